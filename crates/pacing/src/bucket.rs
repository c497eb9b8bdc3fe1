//! A leaky bucket of prompt reading time.

use vanetally_types::Tick;

/// The reading time of the prompts that were assigned to an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    /// Outstanding reading time if the engine reads for [`READ_SHARE`] of its time.
    level_ms: f64,
    updated: Tick,
    /// When the engine has read all prompts if it reads without interruption.
    idle_at: Tick,
}

/// Share of an engine's time in which it may read prompts; it generates tokens in the rest.
const READ_SHARE: f64 = 0.6;

impl Bucket {
    /// Returns the milliseconds until a prompt with a reading time of `reading_ms` may be sent, if
    /// prompts with a total reading time of `burst_ms` may be sent together.
    ///
    /// A prompt with a longer reading time has to wait for an empty bucket.
    pub(crate) fn delay_ms(&self, now: Tick, reading_ms: f64, burst_ms: f64) -> f64 {
        let level = self.level(now);
        let excess = level.min(level + reading_ms - burst_ms);
        excess.max(0.0) / READ_SHARE
    }

    /// Records that a prompt with a reading time of `reading_ms` is sent at `send_at`; returns the
    /// reading time that the engine then still needs for earlier prompts.
    pub(crate) fn fill(&mut self, now: Tick, send_at: Tick, reading_ms: f64) -> f64 {
        self.level_ms = self.level(now) + reading_ms;
        self.updated = now;
        let ahead_ms = self.idle_at.since(send_at);
        self.idle_at = self.idle_at.max(send_at) + reading_ms as u64;
        ahead_ms as f64
    }

    fn level(&self, now: Tick) -> f64 {
        (self.level_ms - READ_SHARE * now.since(self.updated) as f64).max(0.0)
    }
}
