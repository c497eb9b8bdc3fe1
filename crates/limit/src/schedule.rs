//! Requests to one upstream, one behind the other.

use vanetally_types::Tick;

/// When the next request may go to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// The moment of the next one, in milliseconds.
    next: f64,
}

/// A request may go this much before its moment, in milliseconds: where those that come are fewer than the limit
/// allows, or come late, what it allows is used all the same.
const EARLY_MS: f64 = 250.0;
/// The least rate that is kept to, in requests a second: one that names less is asked every ten seconds whether it
/// is still in need, since only its answers tell.
const LEAST_RATE: f64 = 0.1;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Milliseconds from one request to the next at `rate` requests a second.
pub(crate) fn interval_ms(rate: f64) -> f64 {
    MILLIS_PER_SECOND / rate.max(LEAST_RATE)
}

impl Schedule {
    /// The first request may go at `first`.
    pub(crate) fn new(first: Tick) -> Self {
        Self { next: first.0 as f64 + EARLY_MS }
    }

    /// Milliseconds until the next request may go.
    pub(crate) fn wait_ms(&self, now: Tick) -> f64 {
        (self.next - EARLY_MS - now.0 as f64).max(0.0)
    }

    /// The next request goes, at its moment.
    pub(crate) fn take(&mut self, now: Tick, interval_ms: f64) {
        self.next = self.next.max(now.0 as f64) + interval_ms;
    }

    /// One that was to go does not.
    pub(crate) fn give_back(&mut self, interval_ms: f64) {
        self.next -= interval_ms;
    }
}
