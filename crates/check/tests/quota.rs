//! No quota is spent twice or lost while requests wait, and the search finds a violation when a
//! guard is off.

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use vanetally_check::{
    Outcome,
    quota::{Options, Quota},
    search, walk,
};
use vanetally_quota::Guards;

/// Messages are late and one is lost, and callers leave.
const LOST: Options = Options {
    guards: Guards::ON,
    checks_lease: true,
    requests: 1,
    leavers: 1,
    losses: 1,
    doubles: 0,
    pauses: 0,
    takeovers: 0,
    time_steps: 3,
};

/// A message arrives twice.
const DOUBLED: Options = Options { losses: 0, doubles: 1, ..LOST };

/// A host or the grantor is paused, for longer than a request waits.
const PAUSED: Options = Options { losses: 0, leavers: 0, pauses: 1, time_steps: 6, ..LOST };

/// The grantor is replaced, which may be paused meanwhile.
const REPLACED: Options = Options { pauses: 1, takeovers: 1, leavers: 0, losses: 0, ..LOST };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Quota::new(options));
    println!("check=quota case={name} {outcome}");
    outcome
}

#[rstest]
#[case::lost(LOST)]
#[case::doubled(DOUBLED)]
#[case::paused(PAUSED)]
#[case::replaced(REPLACED)]
#[case::replaced_lost(Options { losses: 1, ..REPLACED })]
#[case::two_requests(Options { requests: 2, losses: 0, time_steps: 2, ..LOST })]
fn neither_spent_twice_nor_lost(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::remembers_grants(Options { guards: Guards { remembers_grants: false, ..Guards::ON }, ..DOUBLED })]
#[case::returns_once(Options { guards: Guards { returns_once: false, ..Guards::ON }, ..DOUBLED })]
#[case::returns_late(Options { guards: Guards { returns_late: false, ..Guards::ON }, ..LOST })]
#[case::cancels(Options { guards: Guards { cancels: false, ..Guards::ON }, ..LOST })]
#[case::checks_time(Options { guards: Guards { checks_time: false, ..Guards::ON }, ..PAUSED })]
#[case::remembers_cancels(Options { guards: Guards { remembers_cancels: false, ..Guards::ON }, ..LOST })]
#[case::checks_lease(Options { checks_lease: false, ..REPLACED })]
fn missing_guard_is_found(#[case] options: Options) {
    let outcome = run("guard-off", options);
    assert!(outcome.trace.is_some(), "{outcome}");
}

/// Walks with many requests and all faults but losses: two for the same request may lose its grant.
const WALK: Options = Options {
    guards: Guards::ON,
    checks_lease: true,
    requests: 30,
    leavers: 10,
    losses: 0,
    doubles: 10,
    pauses: 4,
    takeovers: 1,
    time_steps: 40,
};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn long_random_walks(choices in proptest::collection::vec(0_usize..1_000, 200)) {
        prop_assert_eq!(walk(Quota::new(WALK), &choices), None);
    }
}
