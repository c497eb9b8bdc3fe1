//! The store answers some hosts of a fleet but not the one that reads it for all, and other hosts are frozen.

mod fleet;

use fleet::{DOMAINS, Fleet, HOSTS, MAX_READERS, TICK_MS};
use rstest::rstest;
use vanetally_fanout::Event;
use vanetally_types::{Name, hash64};

/// Returns a pseudo-random number from 0 to 1.
fn draw(seed: u64, purpose: &str, host: &Name) -> f64 {
    let text = format!("{seed} {purpose} {host}");
    hash64(text.as_bytes()) as f64 / u64::MAX as f64
}

/// Cuts the root and the share `cut_off` of the other hosts off from the store and freezes the share `frozen` for seven
/// seconds. Returns the maximum age of the data of the running hosts meanwhile.
fn run_with_faults(seed: u64, cut_off: f64, frozen: f64) -> (u64, Fleet) {
    let mut fleet = Fleet::settled();
    let root = fleet.root();
    for (host, one) in &mut fleet.hosts {
        one.is_up = draw(seed, "frozen", host) >= frozen || *host == root;
        one.reaches_store = draw(seed, "deaf", host) >= cut_off && *host != root;
    }
    let max_age_ms = fleet.run_counting(7_000, |_| true);
    (max_age_ms, fleet)
}

/// The store no longer answers the host that reads it for all, but answers others; some hosts are frozen.
///
/// The cut-off reader stayed the source of all hosts for four seconds, with new versions unread. The others had
/// subscribed to the next host in the order, which was frozen: a host that did not answer was tried again and again,
/// only one without newer data was skipped, and no other host probed the store.
#[rstest]
fn data_stays_fresh(
    #[values(0.1, 0.4, 0.7, 0.9)] cut_off: f64,
    #[values(0.0, 0.2, 0.4)] frozen: f64,
) {
    for seed in 0..6 {
        let (max_age_ms, fleet) = run_with_faults(seed, cut_off, frozen);
        assert!(
            max_age_ms < MAX_AGE_MS,
            "seed {seed}: {max_age_ms} ms, {} full reads",
            fleet.full_reads
        );
        assert!(fleet.max_readers <= MAX_READERS, "seed {seed}: {}", fleet.max_readers);
        assert!(fleet.probes <= MAX_PROBES, "seed {seed}: {} probes", fleet.probes);
        assert_recovers(fleet);
    }
}

/// Asserts that after the faults one host reads the store for all again, and that no host keeps switching its source.
fn assert_recovers(mut fleet: Fleet) {
    for one in fleet.hosts.values_mut() {
        one.is_up = true;
        one.reaches_store = true;
    }
    fleet.notify_all(|| Event::Stalled);
    fleet.run_counting(7_000, |_| true);
    fleet.full_reads = 0;
    let max_age_ms = fleet.run_counting(3_000, |_| true);
    assert!(max_age_ms < MAX_AGE_MS, "{max_age_ms}");
    assert_eq!(fleet.full_reads, 0);
    fleet.root();
}

/// Maximum number of probes of 300 hosts within seven seconds: one per host, and repeated ones by the hosts that are
/// next in the order.
const MAX_PROBES: usize = 2 * DOMAINS * HOSTS;

/// Maximum age of the data: it is stale after 1.1 s, and a host that can reach an up-to-date one is up to date within
/// another second, a third of the three seconds that deployments of this size allow for a change, and two ticks.
const MAX_AGE_MS: u64 = 1_100 + 1_000 + 2 * TICK_MS;
