//! A leaky bucket of reading time.

use vanetally_types::Tick;

/// Reading that an engine was given.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    /// What it has not had time for, in milliseconds, if it reads in a share of its time.
    level_ms: f64,
    at: Tick,
    /// When it has read all, if it reads at full speed.
    read_at: Tick,
}

/// Share of an engine's time in which it may read prompts; the rest makes tokens.
const SHARE: f64 = 0.6;

impl Bucket {
    /// Milliseconds until a prompt of `reading_ms` may be sent, where `burst_ms` may come together.
    ///
    /// A prompt longer than that has to wait for an empty bucket.
    pub(crate) fn delay_ms(&self, now: Tick, reading_ms: f64, burst_ms: f64) -> f64 {
        let level = self.level(now);
        let excess = level.min(level + reading_ms - burst_ms);
        excess.max(0.0) / SHARE
    }

    /// A prompt of `reading_ms` is sent at `moment`; gives back the milliseconds of reading that lie
    /// before it then.
    pub(crate) fn fill(&mut self, now: Tick, moment: Tick, reading_ms: f64) -> f64 {
        self.level_ms = self.level(now) + reading_ms;
        self.at = now;
        let ahead_ms = self.read_at.since(moment);
        self.read_at = self.read_at.max(moment) + reading_ms as u64;
        ahead_ms as f64
    }

    fn level(&self, now: Tick) -> f64 {
        (self.level_ms - SHARE * now.since(self.at) as f64).max(0.0)
    }
}
