//! A token bucket.

use crate::MILLIS_PER_SECOND;
use vanetally_types::Tick;

/// Units that may be spent now, and how they come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bucket {
    level: f64,
    at: Tick,
    /// Units a second.
    rate: f64,
    /// Most units that it holds.
    depth: f64,
}

impl Bucket {
    /// A bucket that holds `level` at `now`.
    pub(crate) fn new(now: Tick, level: f64, rate: f64, depth: f64) -> Self {
        Self { level, at: now, rate, depth }
    }

    /// From `now` on it fills at `rate` up to `depth`; what it holds stays, as far as it fits.
    pub(crate) fn resize(&mut self, now: Tick, rate: f64, depth: f64) {
        self.fill(now);
        self.rate = rate;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// What it holds; below zero if more was taken.
    pub(crate) fn level(&mut self, now: Tick) -> f64 {
        self.fill(now);
        self.level
    }

    /// Whether it is at least half full.
    pub(crate) fn is_half_full(&mut self, now: Tick) -> bool {
        self.level(now) * 2.0 >= self.depth
    }

    /// Takes `units`, whatever it holds.
    pub(crate) fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Gives `units` back.
    pub(crate) fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.depth);
    }

    /// Milliseconds until it holds `level`, if nothing is taken.
    pub(crate) fn wait_ms(&mut self, now: Tick, level: f64) -> u64 {
        let lacking = level - self.level(now);
        if lacking <= 0.0 { 0 } else { (lacking / self.rate * MILLIS_PER_SECOND).ceil() as u64 }
    }

    fn fill(&mut self, now: Tick) {
        let passed = now.since(self.at) as f64 / MILLIS_PER_SECOND;
        self.level = (self.level + passed * self.rate).min(self.depth);
        self.at = self.at.max(now);
    }
}
