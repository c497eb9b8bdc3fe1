//! `vanetally`, the operators' command-line tool.

mod tool;

use std::process::ExitCode;

/// Exit code for bad arguments or invalid input.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match tool::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(tool::Error::Usage(message)) => {
            eprintln!("vanetally: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(tool::Error::Failed(e)) => {
            eprintln!("vanetally: {e:#}");
            ExitCode::FAILURE
        }
    }
}
