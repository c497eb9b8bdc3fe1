//! A burst of four times the capacity from 70 hosts to 4 plain upstreams with 6 slots each.
//!
//! Without owners that grant the slots (`slot_grants` off), hosts decide from load reports that are
//! 100 ms old: most requests that arrive at the upstreams are rejected, and urgent requests are
//! served no better than others.

mod slot_fleet;

use rstest::rstest;
use slot_fleet::{CAPACITY, End, Fleet, Scenario};

const SEEDS: [u64; 3] = [1, 2, 3];

fn burst(seed: u64) -> Fleet {
    Fleet::play(Scenario { seed, ..Scenario::burst(true) })
}

/// Returns the share of requests in the burst on `route` that were answered in time.
fn share_in_time(fleet: &Fleet, route: &str) -> f64 {
    let all: Vec<_> = fleet.begun(1_000, 5_000).filter(|call| call.route == route).collect();
    all.iter().filter(|call| call.is_in_time()).count() as f64 / all.len() as f64
}

/// Guards against slots that several hosts take at the same time.
#[rstest]
fn few_rejections(#[values(1, 2, 3)] seed: u64) {
    let fleet = burst(seed);
    let (arrived, rejected) = fleet.arrived_and_rejected();
    assert!(arrived > 2_000 && rejected * 50 < arrived, "{}", fleet.summary());
}

/// Guards against slots that idle while requests wait, and against answers that are too late.
#[test]
fn capacity_is_used() {
    for seed in SEEDS {
        let fleet = burst(seed);
        let possible = CAPACITY * 4;
        let in_time = fleet.in_time(1_000, 5_000) as u64;
        assert!(in_time * 10 >= possible * 9, "{}", fleet.summary());
    }
}

/// Guards against urgent requests that wait at one host while others send routine ones.
#[test]
fn urgent_first() {
    for seed in SEEDS {
        let fleet = burst(seed);
        let urgent = share_in_time(&fleet, "urgent");
        assert!(urgent > 0.95, "{urgent} {}", fleet.summary());
    }
}

/// Urgent requests alone exceed the capacity. Guards against a rank that gets nothing: one of eight
/// slots is left to the others.
#[test]
fn no_rank_starves() {
    let fleet = Fleet::play(Scenario { urgent_tenths: 9, ..Scenario::burst(true) });
    let (urgent, once) = (share_in_time(&fleet, "urgent"), share_in_time(&fleet, "once"));
    let served =
        fleet.begun(1_000, 5_000).filter(|call| call.route == "once" && call.is_in_time()).count();
    assert!(served as u64 * 16 > CAPACITY * 4, "{urgent} {once} {}", fleet.summary());
}

/// Guards against requests that wait until their time is over before they are refused, and against
/// values of `Retry-After` that are all the same.
#[test]
fn early_refusals() {
    let fleet = burst(1);
    let mut waits: Vec<u64> = fleet.calls.iter().filter_map(|c| c.refused_after_ms()).collect();
    waits.sort_unstable();
    let (median, most) = (waits[waits.len() / 2], waits[waits.len() * 9 / 10]);
    assert!(median <= 10 && most <= 50, "median {median} nine tenths {most}");
    let ends = fleet.calls.iter().filter_map(|call| call.ended);
    let retries: std::collections::BTreeSet<u64> = ends
        .filter_map(|(_, end)| match end {
            End::Refused { retry_ms } => Some(retry_ms),
            _ => None,
        })
        .collect();
    assert!(retries.len() > 50 && retries.first().is_some_and(|ms| *ms > 0), "{retries:?}");
}

/// Guards against hosts that go on refusing when the burst is over.
#[test]
fn recovers() {
    for seed in SEEDS {
        let fleet = burst(seed);
        let late = fleet.begun(5_500, 8_000).filter(|call| !call.is_in_time()).count();
        assert_eq!(late, 0, "{}", fleet.summary());
    }
}

/// Guards against refusals while slots are free.
#[test]
fn all_served_below_capacity() {
    let scenario = Scenario { burst_rate: CAPACITY / 2, ..Scenario::burst(true) };
    let fleet = Fleet::play(scenario);
    let refused = fleet.calls.iter().filter(|call| call.refused_after_ms().is_some()).count();
    assert_eq!(refused, 0, "{}", fleet.summary());
    let (arrived, _) = fleet.arrived_and_rejected();
    // A request, its answer and a release; some ask more than one owner.
    assert!(fleet.messages * 2 < arrived * 7, "{}", fleet.summary());
}
