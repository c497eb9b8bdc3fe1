//! How many loads from the weight store may begin within its window.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// Loads that began, or may yet begin, within a sliding window.
#[derive(Clone, Debug)]
pub struct LoadLimit {
    window_ms: u64,
    most: usize,
    begun: VecDeque<Tick>,
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl LoadLimit {
    /// A load_limit of `per_second` loads over windows of `window_ms`, of which `begun` may have begun
    /// just now; all of them if that is not known.
    pub fn new(now: Tick, per_second: f64, window_ms: u64, begun: Option<usize>) -> Self {
        let most = (per_second * window_ms as f64 / MILLIS_PER_SECOND) as usize;
        let most = most.max(1);
        let begun = begun.unwrap_or(most).min(most);
        Self { window_ms, most, begun: std::iter::repeat_n(now, begun).collect() }
    }

    /// How many more may begin beside `unsettled` ones that may begin at any moment.
    pub fn room(&mut self, now: Tick, unsettled: usize) -> usize {
        while self.begun.front().is_some_and(|at| now.since(*at) > self.window_ms) {
            self.begun.pop_front();
        }
        self.most.saturating_sub(self.begun.len() + unsettled)
    }

    /// A load was ordered.
    pub fn begin(&mut self, now: Tick) {
        self.begun.push_back(now);
    }
}
