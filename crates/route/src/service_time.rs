//! Estimated service time of a target's requests, from those that have ended.

/// Moving average of the service time of one target's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean time for which a request occupies a slot.
    pub mean_ms: f64,
    /// Number of requests in the average, up to `WINDOW`.
    samples: f64,
}

/// Service time assumed until the first request has ended.
const INITIAL_MS: f64 = 1_000.0;

/// Number of requests over which the average moves.
const WINDOW: f64 = 50.0;

impl Default for ServiceTime {
    fn default() -> Self {
        Self { mean_ms: INITIAL_MS, samples: 0.0 }
    }
}

impl ServiceTime {
    /// Adds the service time of a request to the average.
    pub fn record(&mut self, duration_ms: f64) {
        self.samples = (self.samples + 1.0).min(WINDOW);
        self.mean_ms += (duration_ms - self.mean_ms) / self.samples;
    }
}
