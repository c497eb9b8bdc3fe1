//! Time until an answer of a plain service is complete.

use crate::Dispatch;
use vanetally_types::Name;

/// Moving average of the time from sending a request to the end of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    mean_ms: Option<f64>,
}

/// Weight of one answer in the average.
const WEIGHT: f64 = 0.1;

impl AnswerTimes {
    /// Records an answer that was complete after `took_ms`.
    pub(crate) fn record(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        let mean = self.mean_ms.map_or(took_ms, |mean| mean + WEIGHT * (took_ms - mean));
        self.mean_ms = Some(mean);
    }

    /// Returns the average, or 0 if no answer was recorded.
    pub(crate) fn mean_ms(&self) -> u64 {
        self.mean_ms.unwrap_or(0.0) as u64
    }
}

impl Dispatch {
    /// Returns the average time of complete answers of a service; 0 if none is known.
    pub(crate) fn answer_ms(&self, service: &Name) -> u64 {
        self.answer_times.get(service).map_or(0, AnswerTimes::mean_ms)
    }
}
