//! Owners that fail, hosts that die with grants, and lost messages, during a burst of four times the
//! capacity from 70 hosts to 4 plain upstreams with 6 slots each.

mod slot_fleet;

use rstest::rstest;
use slot_fleet::{CAPACITY, Fault, Fleet, Scenario};

fn play(fault: Fault, seed: u64) -> Fleet {
    Fleet::play(Scenario { fault, seed, ..Scenario::burst(true) })
}

fn assert_works(fleet: &Fleet, share: f64) {
    let (arrived, rejected) = fleet.arrived_and_rejected();
    assert!(rejected * 50 < arrived, "{}", fleet.summary());
    let in_time = fleet.in_time(1_000, 5_000) as f64;
    assert!(in_time >= (CAPACITY * 4) as f64 * share, "{}", fleet.summary());
}

/// Guards against hosts that wait for an owner that does not answer, and against slots that the
/// next owner grants although requests of the previous one run.
#[rstest]
#[case::frozen(Fault::OwnerFrozen { from_ms: 2_000, to_ms: 4_000 })]
#[case::gone(Fault::OwnerGone { at_ms: 2_000 })]
#[case::cut_off(Fault::OwnerCutOff { from_ms: 2_000, to_ms: 4_000 })]
fn failed_owner(#[case] fault: Fault, #[values(1, 2)] seed: u64) {
    assert_works(&play(fault, seed), 0.9);
}

/// Guards against slots that are lost because the release is.
#[rstest]
fn lost_releases(#[values(1, 2)] seed: u64) {
    assert_works(&play(Fault::ReleasesLost { one_in: 20 }, seed), 0.9);
}

/// A third of the hosts die with their grants. Guards against slots that stay lost with them: the
/// others get all slots again a second later, when the end of these hosts is known.
#[rstest]
fn dead_hosts(#[values(1, 2)] seed: u64) {
    let fleet = play(Fault::HostsGone { at_ms: 2_000, count: 20 }, seed);
    let (arrived, rejected) = fleet.arrived_and_rejected();
    assert!(rejected * 50 < arrived, "{}", fleet.summary());
    let in_time = fleet.in_time(3_200, 5_000) as u64;
    assert!(in_time * 10 >= CAPACITY * 18 / 10 * 9, "{in_time} {}", fleet.summary());
}

/// Guards against grants that stay open after all requests have ended.
#[test]
fn nothing_left() {
    let fault = Fault::ReleasesLost { one_in: 20 };
    let fleet = Fleet::play(Scenario {
        end_ms: 12_000,
        quiet_from_ms: 8_000,
        fault,
        ..Scenario::burst(true)
    });
    assert_eq!(fleet.left_grants, 0, "{}", fleet.summary());
}
