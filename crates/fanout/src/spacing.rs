//! How often a host tells many others what is large.

use vanetally_types::Tick;

/// Keeps what a host tells regularly to a share of its own link.
///
/// The sum of 100 engines' loads to 24 hosts ten times a second is nine of the ten megabits that a weak host's link
/// carries. With nothing else under way it passed; one large configuration beside it, and hosts took their
/// aggregator for silent from then on.
#[derive(Clone, Debug)]
pub struct Spacing {
    /// Bytes in a millisecond that may be used; none if the link's size is not known.
    per_ms: Option<f64>,
    due: Tick,
}

/// Share of a host's own link that regular messages may take.
const SHARE: f64 = 0.2;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Milliseconds between two words of an aggregator, and between two reports to it, where it has time enough.
const LEAST_MS: f64 = 100.0;
/// Hosts that an aggregator with half of a processor can hear and tell that often: each takes it half a millisecond
/// of a processor a turn (they heard its word 4 ms after each other where it had 0.12 of one).
const HALF_FANOUT: f64 = 30.0;
const HALF: f64 = 50.0;
/// Longest pause, in milliseconds: two words are lost before a source that lives is taken for silent.
const MOST_MS: f64 = 250.0;

/// Milliseconds between two words of an aggregator with `capacity` percent of a processor, 0 if that is not known,
/// to `hosts` hosts, and between two of their reports to it.
pub fn status_interval_ms(hosts: usize, capacity: u32) -> u64 {
    let share = if capacity == 0 { HALF } else { f64::from(capacity) };
    let turns = hosts as f64 / (HALF_FANOUT * share / HALF);
    let ms = LEAST_MS * turns.max(1.0);
    // More hosts than fit into the longest pause are told as often as an aggregator with half of a processor could.
    let most = MOST_MS.max(LEAST_MS * hosts as f64 / HALF_FANOUT);
    ms.min(most) as u64
}

impl Spacing {
    /// For a link that carries `link_bytes` a second, if that is known.
    pub fn new(link_bytes: Option<u64>) -> Self {
        let per_ms = link_bytes.map(|bytes| bytes as f64 * SHARE / MILLIS_PER_SECOND);
        Self { per_ms: per_ms.filter(|bytes| *bytes > 0.0), due: Tick(0) }
    }

    /// Whether the next message may be sent.
    pub fn is_due(&self, now: Tick) -> bool {
        now >= self.due
    }

    /// So many bytes were sent, to all hosts together.
    pub fn record_sent(&mut self, now: Tick, bytes: usize) {
        let pause_ms = self.per_ms.map_or(0.0, |per_ms| bytes as f64 / per_ms);
        self.due = now + pause_ms as u64;
    }
}
