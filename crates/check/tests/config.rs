//! Configuration never goes back, operators learn the truth, and each guard matters.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    config::{Config, Options},
    search,
};
use vanetally_config::tracker::Guards;

const GUARDS: Guards = Guards { newer: true, valid: true };

/// Two operators race and answers are lost.
const RACE: Options = Options {
    guards: GUARDS,
    compares: true,
    looks: true,
    unsound: false,
    losses: 2,
    watches: 2,
    gossip: 1,
    restores: 0,
};

/// The platform is restored to an older state besides.
const RESTORED: Options = Options { losses: 1, restores: 1, watches: 3, ..RACE };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Config::new(options));
    println!("check=config case={name} {outcome}");
    outcome
}

#[rstest]
#[case::race(RACE)]
#[case::restored(RESTORED)]
#[case::unsound(Options { unsound: true, ..RACE })]
fn never_reverts(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::newer(Options { guards: Guards { newer: false, ..GUARDS }, ..RACE })]
#[case::newer_restored(Options { guards: Guards { newer: false, ..GUARDS }, losses: 0, ..RESTORED })]
#[case::sound(Options { guards: Guards { valid: false, ..GUARDS }, unsound: true, ..RACE })]
#[case::compares(Options { compares: false, ..RACE })]
#[case::looks(Options { looks: false, ..RACE })]
fn guard_matters(#[case] options: Options) {
    let outcome = run("guard-off", options);
    assert!(outcome.trace.is_some(), "{outcome}");
}
