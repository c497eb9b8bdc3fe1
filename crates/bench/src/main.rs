//! Command-line program that measures a daemon under load.

use anyhow::{Context, bail};
use lexopt::{Arg, ValueExt};
use std::path::PathBuf;
use vanetally_bench::overhead;

const HELP: &str = "\
Load and experiments.

Usage: vanetally-bench COMMAND [OPTIONS]

Commands:
  overhead   time and memory that a daemon adds between a caller and an engine

Options of overhead:
  --streams N     streams open at once [200]
  --burst         all streams of a round begin within 20 ms
  --rounds N      rounds through the daemon and straight to the engine [6]

Each command ends with a line of key=value figures.
";

fn main() -> anyhow::Result<()> {
    let mut command = None;
    let mut settings_path = None;
    let (mut rounds, mut streams, mut is_burst) = (6, 200, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) if command.is_none() => command = Some(value.string()?),
            Arg::Value(value) if settings_path.is_none() => {
                settings_path = Some(PathBuf::from(value))
            }
            Arg::Long("burst") => is_burst = true,
            Arg::Long("streams") => streams = parser.value()?.parse()?,
            Arg::Long("rounds") => rounds = parser.value()?.parse()?,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_deref() {
        Some("overhead") => overhead::run(rounds, streams, is_burst),
        Some("child") => overhead::run_daemon(&settings_path.context("settings")?),
        Some(other) => bail!("`{other}` is no command; see --help"),
        None => bail!("no command; see --help"),
    }
}
