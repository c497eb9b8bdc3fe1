//! Script of case 8 of the second review. `review-case-3 NAME RECORD`, run at the repository's root; the
//! variable `TROUBLE=0` leaves the disruption out.

mod kit;
mod steady_reader;

use kit::{NOT_RUN, Record};
use std::path::Path;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, record) = (arguments.next(), arguments.next());
    let (Some(case), Some(record)) = (case, record) else {
        eprintln!("review-case-3 NAME RECORD");
        std::process::exit(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = Record::create(Path::new(&record)).and_then(|record| match case.as_str() {
        "steady-reader" => steady_reader::run(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    std::process::exit(code.unwrap_or_else(|error| {
        eprintln!("{error}");
        NOT_RUN
    }));
}
