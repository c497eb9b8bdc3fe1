//! How long engines take, as far as it was learned.

use crate::{choice::Expected, fit::Fit};
use std::collections::BTreeMap;
use vanetally_ports::CallerRequest;
use vanetally_types::{Incarnation, Name};

/// How long engines take, learned from what is observed.
///
/// Engines tell several tokens at once, so that a first piece takes a while however short the prompt is.
/// Both parts, what is always there and what each unread token adds, are fitted over all models; how
/// much faster or slower than that a model is, is learned for each.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    reading: Fit,
    models: BTreeMap<Name, ModelPace>,
    slowness: BTreeMap<Incarnation, f64>,
}

/// What is assumed before anything is learned, in milliseconds.
const FIRST_BASE_MS: f64 = 15.0;
const FIRST_PER_TOKEN_MS: f64 = 0.06;
/// Share of a new sample.
const LEARN: f64 = 0.1;
/// A sample that took this many times what was expected was held up by something else.
const MOST_RATIO: f64 = 2.0;
/// Bounds of a model's share.
const MODEL_SHARE: std::ops::RangeInclusive<f64> = 0.05..=8.0;
/// Bounds of an upstream's slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=8.0;
/// Part of a first piece's time that demand leaves out, in milliseconds.
const DEMAND_BASE_MS: f64 = 15.0;
/// Least tokens of a prompt that tells what demand comes to.
const LEAST_SAMPLE: u32 = 200;
/// Share of a sample that makes demand smaller, and of one that makes it larger: short ones tell more.
const DEMAND_SMALLER: f64 = 0.1;
const DEMAND_LARGER: f64 = 0.01;
/// Share of the time for one prompt token that an output token takes in a full batch.
const OUTPUT_TOKENS: f64 = 4.0;

/// How fast one model is.
#[derive(Clone, Copy, Debug)]
struct ModelPace {
    /// Time to its first pieces, as a share of the fitted one.
    share: f64,
    samples: u32,
    /// Milliseconds to a first piece for each unread token, with what does not depend on the prompt and what
    /// it waited for: the unit of demand.
    whole_ms: f64,
}

impl Default for ModelPace {
    fn default() -> Self {
        Self { share: 1.0, samples: 0, whole_ms: FIRST_PER_TOKEN_MS }
    }
}

impl ModelPace {
    /// A first piece came after `ratio` times what was expected: the first samples count more.
    fn learn(&mut self, ratio: f64) {
        self.samples += 1;
        let learn = LEARN.max(1.0 / f64::from(self.samples + 1));
        let next = self.share * (1.0 + learn * (ratio - 1.0));
        self.share = next.clamp(*MODEL_SHARE.start(), *MODEL_SHARE.end());
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            reading: Fit::new(FIRST_BASE_MS, FIRST_PER_TOKEN_MS),
            models: BTreeMap::new(),
            slowness: BTreeMap::new(),
        }
    }
}

impl Pace {
    fn share(&self, model: Option<&Name>) -> f64 {
        model.and_then(|name| self.models.get(name)).map_or(1.0, |pace| pace.share)
    }

    /// Milliseconds to a first piece that don't depend on the prompt.
    pub(crate) fn base_ms(&self, model: Option<&Name>) -> f64 {
        self.share(model) * self.reading.line().0
    }

    /// Milliseconds for one token of a prompt.
    pub(crate) fn per_token(&self, model: Option<&Name>) -> f64 {
        self.share(model) * self.reading.line().1
    }

    /// Milliseconds of an engine that the request should take, as demand is measured.
    pub(crate) fn work_ms(&self, model: &Name, head: &CallerRequest) -> f64 {
        let tokens = f64::from(head.prompt_tokens) + OUTPUT_TOKENS * f64::from(head.output_tokens);
        let whole_ms = self.models.get(model).map_or(FIRST_PER_TOKEN_MS, |pace| pace.whole_ms);
        tokens * whole_ms
    }

    pub(crate) fn slowness(&self, upstream: &Incarnation) -> f64 {
        self.slowness.get(upstream).copied().unwrap_or(1.0)
    }

    /// Milliseconds for an engine to read `tokens` of a prompt.
    pub(crate) fn reading_ms(&self, model: Option<&Name>, tokens: u32) -> f64 {
        f64::from(tokens) * self.per_token(model)
    }

    /// Milliseconds from a sending to its first piece, at an engine that is as fast as others.
    fn expected_ms(&self, model: Option<&Name>, expected: Expected) -> f64 {
        let (base_ms, per_token_ms) = self.reading.line();
        let own_ms = base_ms + per_token_ms * f64::from(expected.unread);
        f64::from(expected.ahead_ms) + self.share(model) * own_ms
    }

    /// Milliseconds from a sending to its first piece.
    pub(crate) fn first_piece_ms(
        &self,
        upstream: &Incarnation,
        model: &Name,
        expected: Expected,
    ) -> f64 {
        self.expected_ms(Some(model), expected) * self.slowness(upstream)
    }

    /// The first piece came after `took_ms`.
    pub(crate) fn learn(
        &mut self,
        upstream: &Incarnation,
        model: Option<&Name>,
        expected: Expected,
        took_ms: f64,
    ) {
        let expected_ms = self.expected_ms(model, expected).max(1.0);
        let ratio = took_ms / expected_ms;
        let slowness = self.slowness.entry(upstream.clone()).or_insert(1.0);
        *slowness += LEARN * (ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end()) - *slowness);
        // Only what is read alone tells how fast the engine reads.
        if let Some(model) = model.filter(|_| expected.ahead_ms == 0) {
            self.learn_reading(model, expected.unread, expected_ms, ratio);
            self.learn_demand(model, expected.unread, took_ms);
        }
    }

    fn learn_reading(&mut self, model: &Name, unread: u32, expected_ms: f64, ratio: f64) {
        let ratio = ratio.min(MOST_RATIO);
        let pace = self.models.entry(model.clone()).or_default();
        let typical_ms = ratio * expected_ms / pace.share;
        pace.learn(ratio);
        self.reading.observe(f64::from(unread), typical_ms);
    }

    fn learn_demand(&mut self, model: &Name, unread: u32, took_ms: f64) {
        if unread < LEAST_SAMPLE {
            return;
        }
        let sample = ((took_ms - DEMAND_BASE_MS) / f64::from(unread)).max(0.0);
        let whole_ms = &mut self.models.entry(model.clone()).or_default().whole_ms;
        let share = if sample < *whole_ms { DEMAND_SMALLER } else { DEMAND_LARGER };
        *whole_ms += share * (sample.min(*whole_ms * MOST_RATIO) - *whole_ms);
    }

    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.slowness.remove(upstream);
    }
}
