//! The commands of the tool.

mod args;
mod catalog;
mod demo;
mod state;

use args::{Args, Command};

/// A failed command.
pub enum Error {
    /// The arguments or the input are invalid.
    Usage(String),
    /// The command was run and failed.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for Error {
    fn from(e: anyhow::Error) -> Self {
        Error::Failed(e)
    }
}

/// Runs the command given by the arguments.
pub fn run() -> Result<(), Error> {
    let Some(args) = Args::parse().map_err(|e| Error::Usage(format!("{e:#}")))? else {
        return Ok(());
    };
    match &args.command {
        Command::Check(file) => catalog::check(file),
        Command::Show => catalog::show(&args),
        Command::Diff(file) => catalog::diff(&args, file),
        Command::Apply(file) => catalog::apply(&args, file),
        Command::Restore(host) => catalog::restore(&args, host),
        Command::State(host) => state::state(&args, host),
        Command::Token => catalog::token(),
        Command::Demo => Ok(demo::run()?),
    }
}
