//! Estimates how many slots each target keeps busy.
//!
//! Uses two exponential averages of the offered work: a slow one that suppresses noise, and a fast
//! one that counts only as far as it exceeds random variation.

use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// Time constant of the fast average.
const FAST_DECAY_MS: f64 = 8_000.0;
/// Time constant of the slow average.
const SLOW_DECAY_MS: f64 = 60_000.0;
/// Number of standard deviations of the fast average that count as noise.
const NOISE_DEVIATIONS: f64 = 2.0;

/// The averages of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Averages {
    fast: f64,
    slow: f64,
    /// Average work of one request, in slot-milliseconds.
    work_per_request: f64,
}

/// Estimated load of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Number of slots that the offered requests keep busy.
    pub slots: f64,
    /// Requests per second.
    pub rate: f64,
}

/// Demand of all targets.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    targets: BTreeMap<Name, Averages>,
    updated_at: Tick,
}

impl Demand {
    /// Adds `count` requests for `target` that take `work_ms` slot-milliseconds in total. Call
    /// [`Demand::advance`] first.
    pub fn add(&mut self, target: &Name, count: u32, work_ms: f64) {
        if count == 0 {
            return;
        }
        let averages = self.targets.entry(target.clone()).or_default();
        averages.fast += work_ms / FAST_DECAY_MS;
        averages.slow += work_ms / SLOW_DECAY_MS;
        let work_per_request = work_ms / f64::from(count);
        let weight = (f64::from(count) / 20.0).min(1.0);
        averages.work_per_request += (work_per_request - averages.work_per_request)
            * if averages.work_per_request == 0.0 { 1.0 } else { weight };
    }

    /// Lets the averages decay up to `now`.
    pub fn advance(&mut self, now: Tick) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.updated_at = now;
        if elapsed_ms <= 0.0 {
            return;
        }
        let fast = (-elapsed_ms / FAST_DECAY_MS).exp();
        let slow = (-elapsed_ms / SLOW_DECAY_MS).exp();
        for averages in self.targets.values_mut() {
            averages.fast *= fast;
            averages.slow *= slow;
        }
        self.targets.retain(|_, a| a.slow > 1e-6);
    }

    /// Returns the estimated load of `target`.
    pub fn estimate(&self, target: &str) -> Estimate {
        let Some(averages) = self.targets.get(target) else {
            return Estimate::default();
        };
        // Arrivals are random: the standard deviation of the fast average over n requests is
        // proportional to the square root of n.
        let noise = NOISE_DEVIATIONS
            * (averages.fast * averages.work_per_request / (2.0 * FAST_DECAY_MS)).sqrt();
        let slots = averages.slow.max(averages.fast - noise);
        let rate = if averages.work_per_request > 0.0 {
            slots * 1_000.0 / averages.work_per_request
        } else {
            0.0
        };
        Estimate { slots, rate }
    }

    /// Number of targets with load.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target has load.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
