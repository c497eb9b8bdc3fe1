//! The store answers some hosts of a fleet and not the one that reads it for all; others stand still.

mod fleet;

use fleet::{DOMAINS, Fleet, HOSTS, MOST_READERS, TICK_MS};
use rstest::rstest;
use vanetally_fanout::Event;
use vanetally_types::{Name, hash64};

/// A number from 0 to 1 that is as good as random.
fn draw(seed: u64, what: &str, host: &Name) -> f64 {
    let text = format!("{seed} {what} {host}");
    hash64(text.as_bytes()) as f64 / u64::MAX as f64
}

/// Strikes the share `deaf` of the hosts, the root among them, with a store that does not answer them, and the share
/// `frozen` with a stop of seven seconds; the highest age of what the others know meanwhile.
fn struck(seed: u64, deaf: f64, frozen: f64) -> (u64, Fleet) {
    let mut fleet = Fleet::settled();
    let root = fleet.root();
    for (host, one) in &mut fleet.hosts {
        one.is_up = draw(seed, "frozen", host) >= frozen || *host == root;
        one.reaches_store = draw(seed, "deaf", host) >= deaf && *host != root;
    }
    let oldest = fleet.play_for(7_000, |_| true);
    (oldest, fleet)
}

/// The host that reads the store for all hears nothing from it any more; the store answers others, and some stand still.
///
/// Played with 69 hosts: the reader was frozen, its successor took its place, and half a second later the store fell
/// silent to that one and to a third of the rest. It stayed the source of all for four seconds, with versions 13 to 26 unread:
///
/// `6.5 front-sea-b-1 event=source_changed source=store reason=silent age_ms=653`
/// `8.28 front-sea-b-1 event=store_lost`
///
/// The others had asked the next host in the order for what is new. It stood still; one that says nothing was asked again
/// and again, and only one that knew nothing newer was passed over. Nobody else looked whether the store answers it.
#[rstest]
fn up_to_date(#[values(0.1, 0.4, 0.7, 0.9)] deaf: f64, #[values(0.0, 0.2, 0.4)] frozen: f64) {
    for seed in 0..6 {
        let (oldest, fleet) = struck(seed, deaf, frozen);
        assert!(oldest < UP_TO_DATE_MS, "seed {seed}: {oldest} ms, {} readings", fleet.readings);
        assert!(fleet.most_readers <= MOST_READERS, "seed {seed}: {}", fleet.most_readers);
        assert!(fleet.probes <= MOST_PROBES, "seed {seed}: {} probes", fleet.probes);
        heals(fleet);
    }
}

/// When the trouble is over one host reads for all again, and what it took stays small: nobody turns to and fro.
fn heals(mut fleet: Fleet) {
    for one in fleet.hosts.values_mut() {
        one.is_up = true;
        one.reaches_store = true;
    }
    fleet.tell_all(|| Event::Stalled);
    fleet.play_for(7_000, |_| true);
    fleet.readings = 0;
    let oldest = fleet.play_for(3_000, |_| true);
    assert!(oldest < UP_TO_DATE_MS, "{oldest}");
    assert_eq!(fleet.readings, 0);
    fleet.root();
}

/// Probes of 300 hosts within seven seconds: one of each at most, and those that come next in the order again and again.
const MOST_PROBES: usize = 2 * DOMAINS * HOSTS;

/// What is known is stale after 1.1 s; a host that reaches one that is up to date is so itself within a third of the three
/// seconds that deployments of so many hosts allow for a change, and two turns of the loop.
const UP_TO_DATE_MS: u64 = 1_100 + 1_000 + 2 * TICK_MS;
