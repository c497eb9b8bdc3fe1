//! Fleets with hundreds of hosts in each failure domain.
//!
//! Guards against costs and delays that grow with the hosts of a domain: one host that serves all others of its domain
//! sends its status less often the more there are, and from 180 hosts on too rarely to be considered alive.

mod fleet;

use fleet::{DOMAINS, Fleet};
use rstest::rstest;
use vanetally_fanout::{Source, silence_ms, status_interval_ms};
use vanetally_types::Name;

/// Status messages per second that one host may send to all its receivers together: thirty at the minimum interval,
/// with room for the uneven shares of relays.
const MAX_STATUSES_PER_S: usize = 450;
/// Maximum age of a host's data in calm times.
const MAX_AGE_MS: u64 = 1_100;
const CALM_S: u64 = 4;

/// Returns a fleet of `hosts` hosts per domain, one in twenty with a high capacity, after its start.
fn settled(hosts: usize) -> Fleet {
    let mut fleet = Fleet::large(hosts, hosts / 20);
    fleet.run(4_000);
    reset(&mut fleet);
    fleet
}

fn reset(fleet: &mut Fleet) {
    fleet.switches.clear();
    fleet.statuses.clear();
    fleet.full_reads = 0;
}

/// Returns the number of switches because a source was silent, stale or not found.
fn failures(fleet: &Fleet) -> usize {
    ["silent", "stale", "nobody"].iter().filter_map(|reason| fleet.switches.get(reason)).sum()
}

#[rstest]
#[case::one_level(60)]
#[case::thousand_hosts(200)]
#[case::two_thousand_hosts(400)]
fn calm(#[case] hosts: usize) {
    let mut fleet = settled(hosts);
    let max_age_ms = fleet.run(CALM_S * 1_000);
    assert_eq!(failures(&fleet), 0, "{:?}", fleet.switches);
    assert!(max_age_ms <= MAX_AGE_MS, "{max_age_ms} ms");
    let max_statuses = fleet.statuses.values().max().unwrap() / CALM_S as usize;
    assert!(max_statuses <= MAX_STATUSES_PER_S, "{max_statuses} a second from one host");
}

/// All hosts start at once: few of them read the store.
#[rstest]
#[case(200)]
#[case(400)]
fn start(#[case] hosts: usize) {
    let mut fleet = Fleet::large(hosts, hosts / 20);
    fleet.run(4_000);
    assert!(fleet.full_reads <= 2 * DOMAINS, "{} full reads", fleet.full_reads);
    let is_served = |name: &&Name| fleet.hosts[*name].selector.source() != Source::Searching;
    assert_eq!(fleet.hosts.keys().filter(is_served).count(), DOMAINS * hosts);
}

/// The host with the most receivers fails: they find other sources, and nobody else notices.
#[rstest]
#[case(200)]
#[case(400)]
fn lost_relay(#[case] hosts: usize) {
    let mut fleet = settled(hosts);
    let receivers = |fleet: &Fleet, name: &Name| {
        let source = Source::Host(name.clone());
        fleet.hosts.values().filter(|host| host.is_up && host.selector.source() == source).count()
    };
    let relay = fleet.hosts.keys().max_by_key(|name| receivers(&fleet, name)).cloned().unwrap();
    let before = receivers(&fleet, &relay);
    assert!(before <= 75, "{before} receivers");
    fleet.hosts.get_mut(&relay).unwrap().is_up = false;
    fleet.run(3_000);
    assert_eq!(receivers(&fleet, &relay), 0);
    assert!(failures(&fleet) <= 2 * before, "{:?} of {before}", fleet.switches);
    reset(&mut fleet);
    fleet.run(1_000);
    assert_eq!(failures(&fleet), 0, "{:?}", fleet.switches);
}

/// A source is never considered silent before two of its statuses were lost.
#[test]
fn silence_follows_interval() {
    for receivers in [1, 30, 75, 200, 1_000, 3_000] {
        for capacity in [0, 12, 25, 50] {
            let interval_ms = status_interval_ms(receivers, capacity);
            assert!(silence_ms(interval_ms) > 2 * interval_ms);
        }
    }
}

/// At the first start of a deployment hosts write their keys over most of a second: a list that grows is not taken for
/// that of a small deployment, and nobody chooses a source from a part of it.
#[test]
fn first_start() {
    const HOSTS: u64 = 200;
    let mut fleet = Fleet::first_start(HOSTS as usize, HOSTS as usize / 20);
    let all: Vec<Name> = fleet.hosts.keys().cloned().collect();
    for part in all.chunks(all.len() / 20) {
        fleet.run(40);
        fleet.list(part);
    }
    fleet.run(4_000);
    // The first host of each domain reads the store; the others learn of all hosts from it.
    assert!(fleet.full_reads <= DOMAINS + 1, "{} full reads", fleet.full_reads);
    assert_eq!(failures(&fleet), 0, "{:?}", fleet.switches);
    let switches = fleet.switches.values().sum::<usize>();
    assert!(switches <= 3 * all.len(), "{:?}", fleet.switches);
    reset(&mut fleet);
    fleet.run(1_000);
    assert_eq!(failures(&fleet), 0, "{:?}", fleet.switches);
}

/// All hosts are lost and start again; the one that the others of its domain turn to first does not.
#[rstest]
#[case(200)]
#[case(400)]
fn all_lost(#[case] hosts: usize) {
    let mut fleet = settled(hosts);
    let dead = fleet.entry("z0").clone();
    fleet.restart_all(&dead);
    reset(&mut fleet);
    fleet.run(3_000);
    assert!(fleet.full_reads <= 2 * DOMAINS, "{} full reads", fleet.full_reads);
    reset(&mut fleet);
    let max_age_ms = fleet.run(1_000);
    assert!(max_age_ms <= MAX_AGE_MS, "{max_age_ms} ms");
    assert_eq!(failures(&fleet), 0, "{:?}", fleet.switches);
}
