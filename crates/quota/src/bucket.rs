//! Token bucket.

use crate::MILLIS_PER_SECOND;
use vanetally_types::Tick;

/// A token bucket that may be overdrawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bucket {
    level: f64,
    updated_at: Tick,
    /// Units per second.
    rate: f64,
    /// Maximum level.
    depth: f64,
}

impl Bucket {
    /// Creates a bucket with `level` units at `now`.
    pub(crate) fn new(now: Tick, level: f64, rate: f64, depth: f64) -> Self {
        Self { level, updated_at: now, rate, depth }
    }

    /// Changes the rate and the depth from `now` on, and caps the level at the depth.
    pub(crate) fn resize(&mut self, now: Tick, rate: f64, depth: f64) {
        self.refill(now);
        self.rate = rate;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// Returns the level; negative if the bucket is overdrawn.
    pub(crate) fn level(&mut self, now: Tick) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns the rate, in units per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether the bucket is at least half full.
    pub(crate) fn is_half_full(&mut self, now: Tick) -> bool {
        self.level(now) * 2.0 >= self.depth
    }

    /// Takes `units`, whatever the level is.
    pub(crate) fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Puts `units` back.
    pub(crate) fn put_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.depth);
    }

    /// Returns the milliseconds until the bucket reaches `level` if nothing is taken.
    pub(crate) fn wait_ms(&mut self, now: Tick, level: f64) -> u64 {
        let missing = level - self.level(now);
        if missing <= 0.0 { 0 } else { (missing / self.rate * MILLIS_PER_SECOND).ceil() as u64 }
    }

    fn refill(&mut self, now: Tick) {
        let elapsed_s = now.since(self.updated_at) as f64 / MILLIS_PER_SECOND;
        self.level = (self.level + elapsed_s * self.rate).min(self.depth);
        self.updated_at = self.updated_at.max(now);
    }
}
