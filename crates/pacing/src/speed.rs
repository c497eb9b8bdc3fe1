//! Reading speed of one engine, relative to an engine of average speed.

use serde::{Deserialize, Serialize};

/// What a host knows of the speed of the engine for which it requests a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Slowness that the prompt's reading time includes, in percent of the average.
    #[serde(rename = "i")]
    pub included: u16,
    /// The last time to a first piece at this engine that was not reported yet, in percent of the
    /// time at an engine of average speed.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub sample: Option<u16>,
}

/// Slowness of an engine, learned from samples.
#[derive(Clone, Copy, Debug)]
pub struct ReadingSpeed {
    slowness: f64,
    samples: u32,
}

/// Minimum weight of a new sample.
const LEARNING_RATE: f64 = 0.1;
/// Cap on a sample: a larger one was delayed by something else than reading.
const MAX_SLOWNESS: f64 = 2.0;
const MIN_SLOWNESS: f64 = 0.5;
/// Number of samples from which an estimate can be relied upon.
const MIN_SAMPLES: u32 = 4;
const PERCENT: f64 = 100.0;

impl Default for ReadingSpeed {
    fn default() -> Self {
        Self { slowness: 1.0, samples: 0 }
    }
}

impl ReadingSpeed {
    /// Adds a time to the first piece that was `ratio` times that of an engine of average speed.
    /// The first samples have more weight, since one host sends few prompts to each engine.
    pub fn observe(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let rate = LEARNING_RATE.max(1.0 / (f64::from(self.samples) + 1.0));
        self.slowness += rate * (ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS) - self.slowness);
    }

    /// Returns the factor by which the engine reads more slowly than the average, at least 1: a
    /// lower one would shorten the spacing of prompts.
    pub fn slowness(&self) -> f64 {
        self.slowness.max(1.0)
    }

    /// Records what a host reports of the engine; returns the factor by which the prompt's reading
    /// time has to be corrected.
    pub(crate) fn correction(&mut self, report: SpeedReport) -> f64 {
        if let Some(sample) = report.sample {
            self.observe(f64::from(sample) / PERCENT);
        }
        let included = f64::from(report.included) / PERCENT;
        if self.samples < MIN_SAMPLES || included <= 0.0 {
            return 1.0;
        }
        self.slowness() / included
    }
}
