//! How hosts that start together are spread over the entry keys of their failure domain.

use rstest::rstest;
use std::collections::BTreeMap;
use vanetally_fanout::{ENTRY_KEYS, entry_delay_ms, entry_key};
use vanetally_types::Name;

/// Hosts of one failure domain by entry key, and for each the hosts by their delay.
fn keys(hosts: usize) -> BTreeMap<u64, BTreeMap<u64, usize>> {
    let mut keys: BTreeMap<u64, BTreeMap<u64, usize>> = BTreeMap::new();
    for number in 0..hosts {
        let host: Name = format!("front-{number}").into();
        *keys.entry(entry_key(&host)).or_default().entry(entry_delay_ms(&host)).or_default() += 1;
    }
    keys
}

/// A key is read by at most twice its share of the hosts, and few of them read it first and write it.
#[rstest]
#[case(200)]
#[case(400)]
#[case(2_000)]
fn few_writers(#[case] hosts: usize) {
    let keys = keys(hosts);
    assert_eq!(keys.len() as u64, ENTRY_KEYS);
    let share = hosts / ENTRY_KEYS as usize;
    let mut writers = 0;
    for (key, turns) in &keys {
        let readers: usize = turns.values().sum();
        assert!(readers <= 2 * share, "{readers} hosts read key {key}");
        writers += turns.values().next().copied().unwrap_or(0);
    }
    assert!(writers <= hosts / 4, "{writers} of {hosts} hosts read first");
}
