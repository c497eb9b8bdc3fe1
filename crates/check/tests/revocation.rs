//! A key that was taken away is not used later than allowed, and each guard matters.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    revocation::{Guards, Options, Revocation},
    search,
};

const GUARDS: Guards =
    Guards { from_sending: true, from_writing: true, same_version: true, last_look: true };

const SLOW: Options = Options { guards: GUARDS, ticks: 4, reads: 1, asks: 1, words: 2 };
const TWO_READS: Options = Options { ticks: 4, reads: 2, asks: 1, words: 1, ..SLOW };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Revocation::new(options));
    println!("check=revocation case={name} {outcome}");
    outcome
}

#[rstest]
#[case::slow(SLOW)]
#[case::two_reads(TWO_READS)]
fn never_late(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::from_sending(Guards { from_sending: false, ..GUARDS })]
#[case::from_writing(Guards { from_writing: false, ..GUARDS })]
#[case::same_version(Guards { same_version: false, ..GUARDS })]
#[case::last_look(Guards { last_look: false, ..GUARDS })]
fn guard_matters(#[case] guards: Guards) {
    let outcome = run("guard-off", Options { guards, ..TWO_READS });
    assert!(outcome.trace.is_some(), "{outcome}");
}
