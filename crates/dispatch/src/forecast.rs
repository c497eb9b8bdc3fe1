//! Forecast of the time until a waiting request is sent.

use vanetally_types::{Tick, hash64};

/// Expected wait of a request, and the values that it follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// Milliseconds until as many requests are sent as are ahead of it now.
    pub wait_ms: u64,
    /// Milliseconds until the request's own turn: more urgent ones arrive meanwhile, and it may be
    /// late by then.
    pub turn_ms: u64,
    /// Waiting requests of all hosts that come before it or at the same place.
    pub ahead: u32,
    /// Requests per second that all hosts send.
    pub rate: u32,
}

/// Buckets of [`RecentCount`], and the length of each.
const BUCKETS: usize = 10;
const BUCKET_MS: u64 = 100;
/// Time for which the rate must have been known before a forecast is made: reports of other hosts
/// are complete only after they have heard that requests wait.
const MIN_KNOWN_MS: u64 = 300;
/// Time without waiting requests after which a known rate is discarded.
const RATE_TTL_MS: u64 = 1_000;
/// Time in which a rate falls by half while lower rates are reported.
const RATE_HALF_LIFE_MS: f64 = 1_000.0;
/// Assumed minimum share of the rate that requests of one place get.
const MIN_PLACE_SHARE: f64 = 0.1;
/// Maximum time over which the callers of refused requests return.
const MAX_SPREAD_MS: u64 = 3_000;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Number of events in the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentCount {
    buckets: [u32; BUCKETS],
    /// Number of the newest bucket since the clock's origin.
    newest: u64,
}

impl RecentCount {
    pub(crate) fn record(&mut self, now: Tick) {
        let number = now.0 / BUCKET_MS;
        self.clear_until(number);
        self.buckets[number as usize % BUCKETS] += 1;
    }

    pub(crate) fn count(mut self, now: Tick) -> u32 {
        self.clear_until(now.0 / BUCKET_MS);
        self.buckets.iter().sum()
    }

    /// Clears the buckets that are reused for the time up to bucket `number`.
    fn clear_until(&mut self, number: u64) {
        let passed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for offset in 0..passed {
            self.buckets[(number - offset) as usize % BUCKETS] = 0;
        }
        self.newest = self.newest.max(number);
    }
}

/// Smoothed rate at which all hosts send requests for a model.
///
/// It follows higher reports at once and lower ones slowly, since a report that lacks the rows of
/// some hosts would otherwise cause refusals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendRate {
    per_s: f64,
    known_since: Tick,
    updated: Tick,
}

impl SendRate {
    /// Creates a rate from the first report.
    pub(crate) fn new(now: Tick, per_s: u32) -> Self {
        Self { per_s: f64::from(per_s), known_since: now, updated: now }
    }

    /// Updates the rate with `per_s` sent requests in the last second.
    pub(crate) fn update(&mut self, now: Tick, per_s: u32) {
        let passed_ms = now.since(self.updated);
        if passed_ms > RATE_TTL_MS || self.per_s < 1.0 {
            *self = Self::new(now, per_s);
            return;
        }
        let faded = self.per_s * 0.5_f64.powf(passed_ms as f64 / RATE_HALF_LIFE_MS);
        self.per_s = faded.max(f64::from(per_s));
        self.updated = now;
    }

    /// Returns the requests per second, or `None` before enough reports were received.
    pub(crate) fn known(&self, now: Tick) -> Option<f64> {
        let is_known = now.since(self.known_since) >= MIN_KNOWN_MS && self.per_s >= 1.0;
        is_known.then_some(self.per_s)
    }

    /// Whether nothing has waited for the model for some time.
    pub(crate) fn is_expired(&self, now: Tick) -> bool {
        now.since(self.updated) > RATE_TTL_MS
    }
}

/// Waiting requests ahead of a request, and how fast they are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ahead {
    /// Requests that come before it.
    pub before: u32,
    /// Requests at the same place, this one excluded.
    pub equal: u32,
    /// Share of the sent requests that were at this place or after it.
    pub share: f64,
}

impl Ahead {
    /// Returns the expected wait at `rate` requests per second, given the time that the request has
    /// already waited at this place: the requests that came to it later are not ahead.
    pub(crate) fn wait_ms(self, rate: f64, waited_ms: u64) -> u64 {
        let place_rate = rate * self.share.clamp(MIN_PLACE_SHARE, 1.0);
        let equal_ms = f64::from(self.equal) / place_rate * MILLIS_PER_SECOND;
        let before_ms = f64::from(self.before) / rate * MILLIS_PER_SECOND;
        (before_ms + (equal_ms - waited_ms as f64).max(0.0)) as u64
    }

    /// Returns how many of the requests at the same place are not sent within `within_ms`.
    pub(crate) fn unsent_after(self, rate: f64, within_ms: u64) -> u32 {
        let sent = (rate * within_ms as f64 / MILLIS_PER_SECOND) as u32;
        self.equal.saturating_sub(sent.saturating_sub(self.before))
    }

    /// Returns the forecast of a request whose turn comes after `turn_ms`.
    pub(crate) fn forecast(self, rate: f64, turn_ms: u64) -> Forecast {
        let ahead = self.before.saturating_add(self.equal);
        let wait_ms = (f64::from(ahead) / rate * MILLIS_PER_SECOND) as u64;
        Forecast { wait_ms, turn_ms, ahead, rate: rate as u32 }
    }
}

/// Returns the `Retry-After` of a refused request: its forecast, and a part of the time that the
/// requests refused in the last second need, by a hash of its id.
pub(crate) fn retry_after_ms(forecast: Forecast, refused: u32, id: &str) -> u64 {
    let rate = f64::from(forecast.rate.max(1));
    let spread_ms = (f64::from(refused) / rate * MILLIS_PER_SECOND) as u64;
    forecast.wait_ms + hash64(id.as_bytes()) % (spread_ms.min(MAX_SPREAD_MS) + 1)
}
