//! `vanetallyd`, the daemon that runs on every entry host.

use anyhow::bail;
use lexopt::{Arg, ValueExt};
use std::{path::PathBuf, process::ExitCode, sync::Arc, thread};
use vanetally_config::Settings;
use vanetally_daemon::Daemon;
use vanetally_gateway::logging;
use vanetally_platform::settings;

const HELP: &str = "\
Serves callers from many models on fewer accelerators.

Usage: vanetallyd --settings FILE
       vanetallyd gateway [--settings FILE]

`gateway` serves on the users' platform: settings, store, engines and callers are spoken with as
docs/PLATFORM.md says, and the log goes to standard output. Without --settings the file is the one
that the platform names.

Options:
  --settings FILE   the settings, JSON with comments
  --check           only check the settings
  --help, --version

The log goes to standard error; RUST_LOG sets its level (info if unset).
A termination signal begins a planned stop: duties are handed over, requests in flight finish.
Exit codes: 0 stopped as planned, 1 failed, 2 bad settings or arguments.
";

/// Version and commit of this build.
const BUILD: &str = concat!(env!("CARGO_PKG_VERSION"), "+", env!("VANETALLY_BUILD"));
/// Exit code for bad settings or arguments.
const EXIT_USAGE: u8 = 2;

struct Args {
    settings: Option<PathBuf>,
    check_only: bool,
    is_gateway: bool,
}

/// The program to run.
enum Command {
    /// The daemon, with vanetally's own protocols.
    Daemon(Box<Settings>),
    /// The gateway on the users' platform, with the settings at this path.
    Gateway(PathBuf),
}

/// Parses the arguments; returns `None` if they only ask for the help or the version.
fn parse_args() -> anyhow::Result<Option<Args>> {
    let (mut settings, mut check_only, mut is_gateway) = (None, false, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?.string()?)),
            Arg::Long("check") => check_only = true,
            Arg::Value(value) if value == "gateway" => is_gateway = true,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Arg::Long("version") => {
                println!("vanetallyd {BUILD}");
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(Args { settings, check_only, is_gateway }))
}

fn main() -> ExitCode {
    let command = match resolve_command() {
        Ok(Some(command)) => command,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("vanetallyd: {e:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let outcome = match command {
        Command::Daemon(settings) => run_daemon(*settings),
        Command::Gateway(path) => run_gateway(path).map(|()| true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("vanetallyd: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the command to run, with its settings checked; `None` if the arguments only ask for the
/// help, the version or the check.
fn resolve_command() -> anyhow::Result<Option<Command>> {
    let Some(args) = parse_args()? else {
        return Ok(None);
    };
    let path = match args.settings {
        Some(path) => path,
        None if args.is_gateway => settings::path()?,
        None => bail!("--settings FILE is missing; see --help"),
    };
    let command = if args.is_gateway {
        settings::at(&path)?;
        Command::Gateway(path.clone())
    } else {
        Command::Daemon(Box::new(Settings::from_path(&path)?))
    };
    if args.check_only {
        println!("{}: sound", path.display());
        return Ok(None);
    }
    Ok(Some(command))
}

fn run_gateway(path: PathBuf) -> anyhow::Result<()> {
    logging::try_init()?;
    let reload = move || settings::at(&path);
    vanetally_gateway::run(BUILD, reload()?, reload, vanetally_platform::ports())
}

/// Runs the daemon until it has stopped; returns whether the stop went as planned.
fn run_daemon(settings: Settings) -> anyhow::Result<bool> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let daemon = Arc::new(Daemon::try_start(settings)?);
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    let stopper = daemon.clone();
    thread::Builder::new().name("signals".into()).spawn(move || {
        for _ in signals.forever() {
            stopper.stop();
        }
    })?;
    Ok(daemon.join())
}
