//! A randomized soak of real processes: faults from outside them, promises checked from what
//! callers and runners see.
//!
//! `cargo test --test soak` plays the seeds of `seeds.list` and two more. By hand, `SOAK_SEEDS=50`
//! plays that many fresh seeds instead; `SOAK_FIRST=7` sets the first of them; a failing seed's
//! logs are left in the directory named by `SOAK_LOGS`. `SOAK_OTHER=PROGRAM` runs another build beside this one: each time
//! that a host starts again it is of the other one (`.ci/other-build COMMIT` builds one and prints its path).

mod callers;
mod faults;
#[path = "../gateway/mod.rs"]
mod gateway;
mod need;
mod promises;
mod returns;
mod site;
mod words;

use std::{
    sync::Mutex,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

/// Seeds that failed once, each with a line on the cause.
const KNOWN_SEEDS: &str = include_str!("seeds.list");
/// Seeds of a run that sets none.
const USUAL_SEEDS: [u64; 2] = [1, 2];
/// Seeds that are played at the same time.
const AT_ONCE: usize = 3;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn known_seeds() -> Vec<u64> {
    let lines = KNOWN_SEEDS.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| line.split_whitespace().next()?.parse().ok()).collect()
}

fn seeds() -> Vec<u64> {
    match number("SOAK_SEEDS") {
        None => known_seeds().into_iter().chain(USUAL_SEEDS).collect(),
        Some(count) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let first = number("SOAK_FIRST").unwrap_or(now.as_secs() * 1_000);
            (first..first + count).collect()
        }
    }
}

#[test]
fn promises_kept() {
    let seeds = Mutex::new(seeds().into_iter());
    let broken = Mutex::new(Vec::new());
    let play = || {
        loop {
            let next = seeds.lock().expect("no thread panicked").next();
            let Some(seed) = next else {
                return;
            };
            // Seeds that failed once stay as they were.
            let report = site::play(seed, !known_seeds().contains(&seed));
            println!("{report}");
            if !report.broken.is_empty() {
                broken.lock().expect("no thread panicked").push(report);
            }
        }
    };
    thread::scope(|scope| (0..AT_ONCE).for_each(|_| drop(scope.spawn(play))));
    let broken = broken.into_inner().expect("no thread panicked");
    assert!(broken.is_empty(), "{} seeds broke promises", broken.len());
}
