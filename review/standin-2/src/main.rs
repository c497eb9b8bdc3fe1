//! Drivers of the scripts of the second review: `review-standin-2 CASE FOLDER`.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod frozen_exit;
mod record;
mod runner;
mod site;
mod slow_reader;
mod tap;
mod two_lengths;

use record::Record;
use std::{path::Path, process::ExitCode};

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case did not come about.
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case={case} trouble={has_trouble}"));
    let run = match case.as_str() {
        "frozen-exit" => frozen_exit::run,
        "slow-reader" => slow_reader::run,
        "two-lengths" => two_lengths::run,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let verdict = std::panic::catch_unwind(|| run(&record, has_trouble));
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("held", 0),
        Ok(Verdict::Broken) => ("broken", 1),
        Ok(Verdict::NotRun) | Err(_) => ("not run", 2),
    };
    record.line(&format!("verdict={text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
