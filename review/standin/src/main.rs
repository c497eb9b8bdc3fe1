//! Stand-ins and drivers of the review's scripts.
#![allow(clippy::disallowed_methods, reason = "stand-ins run on the real clock")]

mod http;
mod late_order;
mod partition;
mod runner;
mod site;
mod surplus;
mod two_lengths;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let file = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".into()));
    let record = site::Record::new();
    let result = match case.as_str() {
        "surplus" => surplus::run(&record),
        "late-order" => late_order::run(&record),
        "two-lengths" => two_lengths::run(&record),
        _ => Err(format!("no such case: {case}")),
    };
    match &result {
        Ok(true) => record.add("the rules held"),
        Ok(false) => record.add("a rule was broken"),
        Err(why) => record.add(&format!("the case could not run: {why}")),
    }
    record.write(&file);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
