//! A revoked key is not used later than allowed, and the search finds a violation when a guard is
//! off.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    revocation::{Guards, Options, Revocation},
    search,
};

const GUARDS: Guards = Guards {
    age_from_request: true,
    age_from_writing: true,
    same_version: true,
    check_before_send: true,
};

const TWO_STATUSES: Options =
    Options { guards: GUARDS, max_ticks: 4, store_reads: 1, clock_requests: 1, statuses: 2 };
const TWO_READS: Options =
    Options { max_ticks: 4, store_reads: 2, clock_requests: 1, statuses: 1, ..TWO_STATUSES };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Revocation::new(options));
    println!("check=revocation case={name} {outcome}");
    outcome
}

#[rstest]
#[case::two_statuses(TWO_STATUSES)]
#[case::two_reads(TWO_READS)]
fn revoked_key_is_not_used(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::age_from_request(Guards { age_from_request: false, ..GUARDS })]
#[case::age_from_writing(Guards { age_from_writing: false, ..GUARDS })]
#[case::same_version(Guards { same_version: false, ..GUARDS })]
#[case::check_before_send(Guards { check_before_send: false, ..GUARDS })]
fn missing_guard_is_found(#[case] guards: Guards) {
    let outcome = run("guard-off", Options { guards, ..TWO_READS });
    assert!(outcome.trace.is_some(), "{outcome}");
}
