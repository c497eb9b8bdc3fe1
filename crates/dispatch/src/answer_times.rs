//! How long whole answers of a plain service take.

/// The mean of the last answers, from the sending to the end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    mean_ms: Option<f64>,
}

/// Weight of one answer in the mean.
const WEIGHT: f64 = 0.1;

impl AnswerTimes {
    /// An answer was whole after `took_ms`.
    pub(crate) fn record(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        let mean = self.mean_ms.map_or(took_ms, |mean| mean + WEIGHT * (took_ms - mean));
        self.mean_ms = Some(mean);
    }

    /// The mean in milliseconds; 0 while nothing is known.
    pub(crate) fn mean_ms(&self) -> u64 {
        self.mean_ms.unwrap_or(0.0) as u64
    }
}
