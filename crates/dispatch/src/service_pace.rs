//! Learned speed of the upstreams of plain services.

use std::collections::BTreeMap;
use vanetally_types::{Incarnation, Name, Tick};

/// The usual answer time of each route, and how much slower than usual each upstream answers.
///
/// An upstream is compared with others that serve the same kind of request, and what was learned of it fades while it
/// gets no requests: one that was slow for a while is tried again.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicePace {
    /// Average time to the first piece of an answer, in milliseconds.
    usual_ms: BTreeMap<Name, f64>,
    upstreams: BTreeMap<Incarnation, Observed>,
}

/// What the answers of one upstream showed.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// Answer time relative to the usual one.
    ratio: f64,
    at: Tick,
}

/// Weight of a new answer.
const LEARNING_RATE: f64 = 0.1;
/// Maximum ratio of one answer: a longer one was delayed by something else.
const MAX_RATIO: f64 = 8.0;
/// Ratio below which an upstream counts as usual: single answer times differ by more.
const USUAL_RATIO: f64 = 1.5;
/// Usual time below which answers are not told apart.
const MIN_USUAL_MS: f64 = 10.0;
/// Time without requests in which half of the difference from the usual time fades.
const HALF_LIFE_MS: f64 = 500.0;

impl ServicePace {
    /// Records an answer to a request of `route` that began after `took_ms`.
    pub(crate) fn observe(
        &mut self,
        now: Tick,
        route: &Name,
        upstream: &Incarnation,
        took_ms: f64,
    ) {
        let usual_ms = self.usual_ms.entry(route.clone()).or_insert(took_ms);
        let ratio = (took_ms / usual_ms.max(MIN_USUAL_MS)).min(MAX_RATIO);
        let known = self.upstreams.get(upstream).map_or(1.0, |known| known.ratio_at(now));
        *usual_ms += LEARNING_RATE * (took_ms.min(*usual_ms * MAX_RATIO) - *usual_ms);
        let ratio = known + LEARNING_RATE * (ratio - known);
        self.upstreams.insert(upstream.clone(), Observed { ratio, at: now });
    }

    /// Returns how much slower than usual `upstream` answers; 1 if it is not known to be slow.
    pub(crate) fn slowness(&self, now: Tick, upstream: &Incarnation) -> f64 {
        let ratio = self.upstreams.get(upstream).map_or(1.0, |known| known.ratio_at(now));
        if ratio < USUAL_RATIO { 1.0 } else { ratio }
    }

    /// Removes an upstream whose announcement is gone.
    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.upstreams.remove(upstream);
    }
}

impl Observed {
    fn ratio_at(&self, now: Tick) -> f64 {
        let half_lives = now.since(self.at) as f64 / HALF_LIFE_MS;
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(half_lives)
    }
}
