//! At most one host at a time sends orders, and the search finds a violation when a guard is off.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    orders::{Options, Orders},
    search, walk,
};

/// A host is paused, and an answer is lost.
const PAUSED: Options = Options {
    stops_at_expiry: true,
    resettles: true,
    era_in_token: true,
    tracks_eras: true,
    checks_lease_era: true,
    settles: false,
    revokes_orders: true,
    ends_with_lease: true,
    ends_in_system: true,
    resets_at_exit: true,
    late_orders: 0,
    resignations: 0,
    restores: 0,
    lost_answers: 1,
    pauses: 1,
    restarts: 0,
    is_prompt: true,
    time_steps: 6,
};

/// Hosts are restarted.
const RESTARTED: Options =
    Options { lost_answers: 0, pauses: 0, restarts: 2, time_steps: 8, ..PAUSED };

/// Calls are processed after time has passed.
const SLOW: Options = Options { lost_answers: 0, is_prompt: false, time_steps: 4, ..PAUSED };

/// The store is restored from a backup while a host is paused.
const RESTORED: Options = Options { lost_answers: 0, restores: 1, time_steps: 4, ..PAUSED };

/// The store is restored twice, and calls are processed after time has passed.
const RESTORED_TWICE: Options =
    Options { lost_answers: 0, pauses: 0, restores: 2, time_steps: 3, is_prompt: false, ..PAUSED };

/// Orders arrive late while their sender's renewals are not answered.
const LATE: Options = Options { settles: true, late_orders: 1, pauses: 0, time_steps: 7, ..PAUSED };

/// Orders arrive late while their sender stands still.
const LATE_PAUSED: Options = Options { lost_answers: 0, pauses: 1, ..LATE };

/// Orders arrive late after their sender has left the lease.
const LATE_RESIGNED: Options = Options { lost_answers: 0, resignations: 1, ..LATE };

/// Orders arrive late after their sender was killed.
const LATE_RESTARTED: Options = Options { lost_answers: 0, restarts: 1, ..LATE };

/// Orders arrive late after the store was restored.
const LATE_RESTORED: Options = Options { lost_answers: 0, restores: 1, time_steps: 5, ..LATE };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Orders::new(options));
    println!("check=orders case={name} {outcome}");
    outcome
}

#[rstest]
#[case::paused(PAUSED)]
#[case::restarted(RESTARTED)]
#[case::slow(SLOW)]
#[case::restored(RESTORED)]
#[case::restored_twice(RESTORED_TWICE)]
#[case::late(LATE)]
#[case::late_paused(LATE_PAUSED)]
#[case::late_resigned(LATE_RESIGNED)]
#[case::late_restarted(LATE_RESTARTED)]
#[case::late_restored(LATE_RESTORED)]
fn at_most_one_holder(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::stops_at_expiry(Options { stops_at_expiry: false, ..PAUSED })]
#[case::stops_at_expiry_slow(Options { stops_at_expiry: false, time_steps: 6, ..SLOW })]
#[case::resettles(Options { resettles: false, ..RESTARTED })]
#[case::era_in_token(Options { era_in_token: false, pauses: 0, ..RESTORED })]
#[case::tracks_eras(Options { tracks_eras: false, ..RESTORED })]
#[case::checks_lease_era(Options { checks_lease_era: false, ..RESTORED })]
#[case::settles(Options { settles: false, ..LATE_RESIGNED })]
#[case::revokes_orders(Options { revokes_orders: false, ..LATE_RESIGNED })]
#[case::ends_with_lease(Options { ends_with_lease: false, ..LATE_PAUSED })]
#[case::ends_in_system(Options { ends_in_system: false, ..LATE_PAUSED })]
#[case::resets_at_exit(Options { resets_at_exit: false, ends_in_system: false, ..LATE_RESTARTED })]
fn missing_guard_is_found(#[case] options: Options) {
    let outcome = run("guard-off", options);
    assert!(outcome.trace.is_some(), "{outcome}");
}

/// Many faults of all kinds.
const FAULTY: Options =
    Options { lost_answers: 6, pauses: 4, restarts: 2, restores: 3, time_steps: 60, ..SLOW };

/// Long random walks with many faults, from a fixed seed.
#[rstest]
#[case::orders_at_once(FAULTY)]
#[case::late_orders(Options { settles: true, late_orders: 12, resignations: 4, ..FAULTY })]
fn long_random_walks(#[case] options: Options) {
    let mut seed = 7_u64;
    for _ in 0..200 {
        let choices: Vec<usize> = (0..400)
            .map(|_| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (seed >> 33) as usize
            })
            .collect();
        assert_eq!(walk(Orders::new(options), &choices), None);
    }
}
