//! Command-line arguments of the tool.

use anyhow::{Context, bail};
use lexopt::{Arg, ValueExt};

const HELP: &str = "\
Operates vanetally: configuration, state, a demonstration.

Usage: vanetally COMMAND [OPTIONS]

Commands:
  check FILE     check a catalog (JSON with comments)
  show           print the present revision
  diff FILE      what FILE would change
  apply FILE     put FILE in place of the present catalog
  restore HOST   write the revision that HOST follows to a platform that lost it
  state HOST     what the daemon with the operators' address HOST (IP:PORT) knows
  token          read a caller's token from standard input, print its token_sha256
  demo           run a platform, engines, a service and two entry hosts on loopback

Options:
  --platform URL       the platform's service [VANETALLY_PLATFORM]
  --credential TEXT    the credential shown to it [VANETALLY_CREDENTIAL]
  --base N             apply, restore: only on top of revision N
  --change NAME        apply, restore: name of the change [random]
  --floor N            apply: number the revision above N
  --json               print JSON instead of tables
  --help, --version

Exit codes: 0 done, 1 failed or beaten by another change, 2 bad arguments or unsound catalog.
";

/// The command to run.
pub enum Command {
    /// Check a catalog file.
    Check(String),
    /// Print the current revision.
    Show,
    /// Compare a catalog file with the current revision.
    Diff(String),
    /// Replace the catalog of the current revision by a file.
    Apply(String),
    /// Write the revision that a host follows to the platform.
    Restore(String),
    /// Print the state of a daemon.
    State(String),
    /// Hash a caller's token.
    Token,
    /// Run the demonstration.
    Demo,
}

/// The command and its options.
pub struct Args {
    /// The command to run.
    pub command: Command,
    /// URL of the platform's service.
    pub platform: Option<String>,
    /// Credential for the platform's service.
    pub credential: Option<String>,
    /// Number of the revision that the change must be based on; `None` accepts any.
    pub base: Option<u64>,
    /// Name of the change; `None` for a random one.
    pub change: Option<String>,
    /// Exclusive lower bound of the number of the new revision.
    pub floor: u64,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

impl Args {
    /// Parses the arguments; returns `None` if they only ask for the help or the version.
    pub fn parse() -> anyhow::Result<Option<Self>> {
        let mut operands = Vec::new();
        let mut args = Self {
            command: Command::Show,
            platform: std::env::var("VANETALLY_PLATFORM").ok(),
            credential: std::env::var("VANETALLY_CREDENTIAL").ok(),
            base: None,
            change: None,
            floor: 0,
            json: false,
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(operand) => operands.push(operand.string()?),
                Arg::Long("platform") => args.platform = Some(parser.value()?.string()?),
                Arg::Long("credential") => args.credential = Some(parser.value()?.string()?),
                Arg::Long("base") => args.base = Some(parser.value()?.parse()?),
                Arg::Long("change") => args.change = Some(parser.value()?.string()?),
                Arg::Long("floor") => args.floor = parser.value()?.parse()?,
                Arg::Long("json") => args.json = true,
                Arg::Long("help") => {
                    print!("{HELP}");
                    return Ok(None);
                }
                Arg::Long("version") => {
                    println!("vanetally {}", env!("CARGO_PKG_VERSION"));
                    return Ok(None);
                }
                other => return Err(other.unexpected().into()),
            }
        }
        args.command = parse_command(operands)?;
        Ok(Some(args))
    }
}

fn parse_command(operands: Vec<String>) -> anyhow::Result<Command> {
    let mut operands = operands.into_iter();
    let name = operands.next().context("no command; see --help")?;
    let mut next_operand =
        |what: &str| operands.next().with_context(|| format!("{name}: {what} is missing"));
    let command = match name.as_str() {
        "check" => Command::Check(next_operand("FILE")?),
        "show" => Command::Show,
        "diff" => Command::Diff(next_operand("FILE")?),
        "apply" => Command::Apply(next_operand("FILE")?),
        "restore" => Command::Restore(next_operand("HOST")?),
        "state" => Command::State(next_operand("HOST")?),
        "token" => Command::Token,
        "demo" => Command::Demo,
        other => bail!("`{other}` is no command; see --help"),
    };
    if let Some(extra) = operands.next() {
        bail!("`{extra}` is one word too many; see --help");
    }
    Ok(command)
}
