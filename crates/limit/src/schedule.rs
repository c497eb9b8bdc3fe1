//! Schedule of the requests to one upstream.

use vanetally_types::Tick;

/// The next free send time at an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// The next send time, as a tick in milliseconds.
    next: f64,
}

/// How much earlier than scheduled a request may be sent. Requests that are few or late would
/// otherwise not use the full limit.
const EARLY_MS: f64 = 250.0;
/// Minimum rate that is applied. An upstream that states less gets a request every ten seconds,
/// because only its answers show whether the limit has ended.
const MIN_RATE: f64 = 0.1;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Returns the milliseconds between two requests at `rate` requests per second.
pub(crate) fn interval_ms(rate: f64) -> f64 {
    MILLIS_PER_SECOND / rate.max(MIN_RATE)
}

impl Schedule {
    /// Creates a schedule whose first request may be sent at `first`.
    pub(crate) fn new(first: Tick) -> Self {
        Self { next: first.0 as f64 + EARLY_MS }
    }

    /// Returns the milliseconds until the next request may be sent.
    pub(crate) fn wait_ms(&self, now: Tick) -> f64 {
        (self.next - EARLY_MS - now.0 as f64).max(0.0)
    }

    /// Takes the next send time.
    pub(crate) fn reserve(&mut self, now: Tick, interval_ms: f64) {
        self.next = self.next.max(now.0 as f64) + interval_ms;
    }

    /// Returns a send time that is not used.
    pub(crate) fn return_slot(&mut self, interval_ms: f64) {
        self.next -= interval_ms;
    }
}
