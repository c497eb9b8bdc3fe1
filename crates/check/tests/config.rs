//! Hosts never return to an older revision, operators learn the true result of their writes, and
//! the search finds a violation when a guard is off.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    config::{Config, Options},
    search,
};
use vanetally_config::tracker::Guards;

const GUARDS: Guards = Guards { newer: true, valid: true };

/// Two operators write concurrently and answers are lost.
const RACE: Options = Options {
    guards: GUARDS,
    checks_base: true,
    reads_back: true,
    has_invalid_change: false,
    lost_answers: 2,
    reads: 2,
    gossip: 1,
    restores: 0,
};

/// The platform is also restored to its first state.
const RESTORED: Options = Options { lost_answers: 1, restores: 1, reads: 3, ..RACE };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Config::new(options));
    println!("check=config case={name} {outcome}");
    outcome
}

#[rstest]
#[case::race(RACE)]
#[case::restored(RESTORED)]
#[case::invalid_change(Options { has_invalid_change: true, ..RACE })]
fn revision_never_reverts(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::newer(Options { guards: Guards { newer: false, ..GUARDS }, ..RACE })]
#[case::newer_restored(Options { guards: Guards { newer: false, ..GUARDS }, lost_answers: 0, ..RESTORED })]
#[case::valid(Options { guards: Guards { valid: false, ..GUARDS }, has_invalid_change: true, ..RACE })]
#[case::checks_base(Options { checks_base: false, ..RACE })]
#[case::reads_back(Options { reads_back: false, ..RACE })]
fn missing_guard_is_found(#[case] options: Options) {
    let outcome = run("guard-off", options);
    assert!(outcome.trace.is_some(), "{outcome}");
}
