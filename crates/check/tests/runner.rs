//! The memory of a runner is never overcommitted, and the search finds a violation when a guard is
//! off.

use rstest::rstest;
use vanetally_check::{
    Outcome,
    runner::{Options, Runner},
    search,
};
use vanetally_ledger::Guards;

/// One leader that is never replaced, lost and late answers, a restart of the runner.
const ALONE: Options = Options {
    assumes_fence: true,
    enforces_fence: true,
    guards: Guards::ON,
    exceeds_capacity: false,
    takeovers: 1,
    plan_changes: 2,
    polls: 1,
    restarts: 1,
    crashes: 0,
    lost_answers: 1,
};

/// A second leader takes over from one that may only be paused.
const REPLACED: Options = Options { takeovers: 2, restarts: 0, polls: 0, ..ALONE };

/// The same for a runner that doesn't reject stale fences and orders. Leaders learn its state by
/// polls only, so there are more polls.
fn unfenced(options: Options) -> Options {
    Options { assumes_fence: false, enforces_fence: false, polls: options.polls + 2, ..options }
}

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Runner::new(options));
    println!("check=runner case={name} {outcome}");
    outcome
}

#[rstest]
#[case::fenced_alone(ALONE)]
#[case::fenced_replaced(REPLACED)]
#[case::unfenced_alone(Options { polls: 2, ..unfenced(ALONE) })]
#[case::fenced_exceeds_capacity(Options { exceeds_capacity: true, restarts: 0, ..ALONE })]
#[case::unfenced_replaced(unfenced(REPLACED))]
#[case::unfenced_crashed(Options { crashes: 1, restarts: 1, polls: 1, lost_answers: 0, takeovers: 2, ..unfenced(ALONE) })]
fn never_overcommits(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::capacity(Options { guards: Guards { capacity: false, ..Guards::ON }, exceeds_capacity: true, ..ALONE })]
#[case::enforces_fence(Options { enforces_fence: false, ..REPLACED })]
#[case::refence(Options { guards: Guards { refence: false, ..Guards::ON }, restarts: 0, ..ALONE })]
#[case::report_order(unfenced(Options { guards: Guards { report_order: false, ..Guards::ON }, ..REPLACED }))]
#[case::intent(unfenced(Options { guards: Guards { intent: false, ..Guards::ON }, ..REPLACED }))]
#[case::hold_open(unfenced(Options { guards: Guards { hold_open: false, ..Guards::ON }, ..REPLACED }))]
#[case::issuer_quiet(unfenced(Options { guards: Guards { issuer_quiet: false, ..Guards::ON }, ..REPLACED }))]
fn missing_guard_is_found(#[case] options: Options) {
    let outcome = run("guard-off", options);
    assert!(outcome.trace.is_some(), "{outcome}");
}
