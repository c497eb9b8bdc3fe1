//! Starts of whole deployments: calls to the store, and the time until each host knows its source and the configuration.
//!
//! Guards against a start in which most hosts become entry points and read the store: a small failure domain has fewer
//! hosts than entry keys.

mod starts;

use rstest::rstest;
use starts::{Outcome, Start};

/// Time in which a start has settled.
const RUN_MS: u64 = 4_000;

fn check(outcome: &Outcome, max_calls: f64, max_ms: u64) {
    assert!(outcome.calls_per_host <= max_calls, "{outcome:?}");
    assert!(outcome.sourced_ms.1 <= max_ms, "{outcome:?}");
    assert!(outcome.configured_ms.1 <= max_ms, "{outcome:?}");
}

/// All hosts start for the first time.
#[rstest]
#[case(30, 3, 4.2, 300)]
#[case(91, 6, 3.6, 300)]
#[case(985, 5, 4.2, 1_800)]
fn first(
    #[case] hosts: usize,
    #[case] domains: usize,
    #[case] max_calls: f64,
    #[case] max_ms: u64,
) {
    check(&Start::new(hosts, domains).first(RUN_MS), max_calls, max_ms);
}

/// All hosts lose power and start again: before or after the leases of their earlier processes have expired. A large fleet
/// needs no more calls than it did with one entry key read by each host (5.69 after 0.5 s).
#[rstest]
#[case(30, 3, 4.8, 500)]
#[case(91, 6, 4.2, 500)]
#[case(985, 5, 5.69, 1_800)]
fn power_loss(
    #[case] hosts: usize,
    #[case] domains: usize,
    #[case] max_calls: f64,
    #[case] max_ms: u64,
    #[values(500, 7_000)] off_ms: u64,
) {
    let mut start = Start::new(hosts, domains);
    start.first(RUN_MS);
    check(&start.power_loss(off_ms, RUN_MS), max_calls, max_ms);
}
