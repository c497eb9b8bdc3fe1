//! How many loads from the weight store may begin within its window.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// Loads that began, or may yet begin, within a sliding window.
#[derive(Clone, Debug)]
pub struct LoadLimit {
    window_ms: u64,
    max_starts: usize,
    starts: VecDeque<Tick>,
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl LoadLimit {
    /// A load_limit of `per_second` loads over windows of `window_ms`, of which `begun` may have begun
    /// just now; all of them if that is not known.
    pub fn new(now: Tick, per_second: f64, window_ms: u64, started: Option<usize>) -> Self {
        let max_starts = (per_second * window_ms as f64 / MILLIS_PER_SECOND) as usize;
        let max_starts = max_starts.max(1);
        let started = started.unwrap_or(max_starts).min(max_starts);
        Self { window_ms, max_starts, starts: std::iter::repeat_n(now, started).collect() }
    }

    /// How many more may begin beside `unsettled` ones that may begin at any moment.
    pub fn remaining(&mut self, now: Tick, unanswered: usize) -> usize {
        while self.starts.front().is_some_and(|at| now.since(*at) > self.window_ms) {
            self.starts.pop_front();
        }
        self.max_starts.saturating_sub(self.starts.len() + unanswered)
    }

    /// A load was ordered.
    pub fn record_start(&mut self, now: Tick) {
        self.starts.push_back(now);
    }
}
