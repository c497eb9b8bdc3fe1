//! How long requests of a target keep a slot busy, learned from those that ended.

/// Averages over the last requests of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Milliseconds of a slot for one request.
    pub mean_ms: f64,
    /// Requests that ended, up to a bound.
    samples: f64,
}

/// Assumed until the first request has ended.
const GUESS_MILLIS: f64 = 1_000.0;

/// How many requests the average looks back.
const WINDOW: f64 = 50.0;

impl Default for ServiceTime {
    fn default() -> Self {
        Self { mean_ms: GUESS_MILLIS, samples: 0.0 }
    }
}

impl ServiceTime {
    /// A request took `millis`.
    pub fn learn(&mut self, millis: f64) {
        self.samples = (self.samples + 1.0).min(WINDOW);
        self.mean_ms += (millis - self.mean_ms) / self.samples;
    }
}
