//! Limits how many loads from the weight store start within a sliding window.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// Limits load starts within a sliding window.
#[derive(Clone, Debug)]
pub struct LoadLimit {
    window_ms: u64,
    max_starts: usize,
    starts: VecDeque<Tick>,
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl LoadLimit {
    /// Creates a limit of `per_second` loads over windows of `window_ms`.
    ///
    /// `started` loads count as started now; the whole window does if the number is unknown.
    pub fn new(now: Tick, per_second: f64, window_ms: u64, started: Option<usize>) -> Self {
        let max_starts = (per_second * window_ms as f64 / MILLIS_PER_SECOND) as usize;
        let max_starts = max_starts.max(1);
        let started = started.unwrap_or(max_starts).min(max_starts);
        Self { window_ms, max_starts, starts: std::iter::repeat_n(now, started).collect() }
    }

    /// Returns how many more loads may start, given `unanswered` ones that may start at any time.
    pub fn remaining(&mut self, now: Tick, unanswered: usize) -> usize {
        while self.starts.front().is_some_and(|at| now.since(*at) > self.window_ms) {
            self.starts.pop_front();
        }
        self.max_starts.saturating_sub(self.starts.len() + unanswered)
    }

    /// Records that a load was ordered.
    pub fn record_start(&mut self, now: Tick) {
        self.starts.push_back(now);
    }
}
