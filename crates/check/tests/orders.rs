//! One host gives orders at a time, and each guard matters.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    orders::{Options, Orders},
    search, walk,
};

/// A host is paused, and an answer is lost.
const PAUSED: Options = Options {
    covered: true,
    resettles: true,
    tokens_rise: true,
    knows_eras: true,
    knows_leases: true,
    returns: 0,
    losses: 1,
    pauses: 1,
    restarts: 0,
    is_prompt: true,
    steps: 6,
};

/// Hosts are restarted.
const RESTARTED: Options = Options { losses: 0, pauses: 0, restarts: 2, steps: 8, ..PAUSED };

/// Calls take their time.
const SLOW: Options = Options { losses: 0, is_prompt: false, steps: 4, ..PAUSED };

/// The store comes back from a copy while a host is paused.
const RETURNED: Options = Options { losses: 0, returns: 1, steps: 4, ..PAUSED };

/// It does so twice, and calls take their time.
const RETURNED_TWICE: Options =
    Options { losses: 0, pauses: 0, returns: 2, steps: 3, is_prompt: false, ..PAUSED };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Orders::new(options));
    println!("check=orders case={name} {outcome}");
    outcome
}

#[rstest]
#[case::paused(PAUSED)]
#[case::restarted(RESTARTED)]
#[case::slow(SLOW)]
#[case::returned(RETURNED)]
#[case::returned_twice(RETURNED_TWICE)]
fn one_holder(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::covered(Options { covered: false, ..PAUSED })]
#[case::covered_slow(Options { covered: false, steps: 6, ..SLOW })]
#[case::resettles(Options { resettles: false, ..RESTARTED })]
#[case::tokens_rise(Options { tokens_rise: false, pauses: 0, ..RETURNED })]
#[case::knows_eras(Options { knows_eras: false, ..RETURNED })]
#[case::knows_leases(Options { knows_leases: false, ..RETURNED })]
fn guard_matters(#[case] options: Options) {
    let outcome = run("guard-off", options);
    assert!(outcome.trace.is_some(), "{outcome}");
}

/// Long random runs with many troubles, from a fixed seed.
#[test]
fn long_walks() {
    let options = Options { losses: 6, pauses: 4, restarts: 2, returns: 3, steps: 60, ..SLOW };
    let mut seed = 7_u64;
    for _ in 0..200 {
        let picks: Vec<usize> = (0..400)
            .map(|_| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (seed >> 33) as usize
            })
            .collect();
        assert_eq!(walk(Orders::new(options), &picks), None);
    }
}
