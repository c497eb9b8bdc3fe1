//! Intervals between the large messages that a host regularly sends to many others.

use vanetally_types::Tick;

/// Limits regular messages to a share of the host's own link.
///
/// The load total of 100 engines, 4.5 KB, for 24 hosts ten times a second takes nine of the ten megabits of a weak
/// host's link. Any other large message, such as a new configuration, then delays the totals so far that the receivers
/// consider their aggregator silent.
#[derive(Clone, Debug)]
pub struct Spacing {
    /// Bytes per millisecond that may be used; `None` if the link's capacity is not known.
    bytes_per_ms: Option<f64>,
    next_due: Tick,
}

/// Share of a host's own link that regular messages may use.
const LINK_SHARE: f64 = 0.2;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Minimum interval between two status messages of a host that forwards data, and between two reports to it.
const MIN_INTERVAL_MS: u64 = 100;
/// Maximum interval between status messages to [`MAX_DIRECT_RECEIVERS`] hosts.
pub(crate) const MAX_INTERVAL_MS: u64 = 250;
/// Number of hosts that a host with half of a processor can serve at the minimum interval: each one
/// costs it half a millisecond of processor time per interval, which lasts 4 ms with 0.12 of a processor.
pub(crate) const REFERENCE_RECEIVERS: usize = 30;
/// Number of hosts that a host with half of a processor can serve at the maximum interval.
pub(crate) const MAX_DIRECT_RECEIVERS: usize =
    REFERENCE_RECEIVERS * MAX_INTERVAL_MS as usize / MIN_INTERVAL_MS as usize;
/// Share of a processor, in percent, to which [`REFERENCE_RECEIVERS`] refers.
const REFERENCE_CAPACITY: f64 = 50.0;
/// Status messages in a row that may be lost before a live source is considered silent.
const LOST_STATUSES: u64 = 2;
/// Longest expected delay of a status message.
const STATUS_DELAY_MS: u64 = 100;

/// Returns the time without a status after which a source that sends one every `interval_ms` is considered silent.
pub const fn silence_ms(interval_ms: u64) -> u64 {
    LOST_STATUSES * interval_ms + STATUS_DELAY_MS
}

/// Returns the milliseconds between two status messages of a host to `receivers` hosts, and between two of their
/// reports to it.
///
/// `capacity` is the sender's share of a processor in percent, 0 if unknown.
pub fn status_interval_ms(receivers: usize, capacity: u32) -> u64 {
    let share = if capacity == 0 { REFERENCE_CAPACITY } else { f64::from(capacity) };
    let reference = REFERENCE_RECEIVERS as f64;
    let scale = receivers as f64 / (reference * share / REFERENCE_CAPACITY);
    let ms = MIN_INTERVAL_MS as f64 * scale.max(1.0);
    // If there are too many receivers for the maximum interval, the interval is that of a host with half of a
    // processor.
    let max_ms =
        (MAX_INTERVAL_MS as f64).max(MIN_INTERVAL_MS as f64 * receivers as f64 / reference);
    ms.min(max_ms) as u64
}

impl Spacing {
    /// Creates the limit for a link of `link_bytes` bytes per second; `None` if its capacity is not known.
    pub fn new(link_bytes: Option<u64>) -> Self {
        let bytes_per_ms = link_bytes.map(|bytes| bytes as f64 * LINK_SHARE / MILLIS_PER_SECOND);
        Self { bytes_per_ms: bytes_per_ms.filter(|bytes| *bytes > 0.0), next_due: Tick(0) }
    }

    /// Whether the next message may be sent.
    pub fn is_due(&self, now: Tick) -> bool {
        now >= self.next_due
    }

    /// Records that `bytes` bytes were sent, to all hosts together.
    pub fn record_sent(&mut self, now: Tick, bytes: usize) {
        let pause_ms = self.bytes_per_ms.map_or(0.0, |per_ms| bytes as f64 / per_ms);
        self.next_due = now + pause_ms as u64;
    }
}
