//! Learned processing times of engines.

use crate::{choice::ReadEstimate, fit::LinearFit};
use std::collections::BTreeMap;
use vanetally_ports::CallerRequest;
use vanetally_types::{Incarnation, Name};

/// Model of the time that engines take for the first piece of an answer.
///
/// Engines emit several tokens at once, so a first piece takes some time however short the prompt
/// is. The constant part and the part per unread token are fitted over all models; a factor
/// relative to this fit is learned for each model.
#[derive(Clone, Debug)]
pub(crate) struct PaceModel {
    reading: LinearFit,
    models: BTreeMap<Name, ModelPace>,
    slowness: BTreeMap<Incarnation, f64>,
}

/// Initial values of the fit.
const INITIAL_BASE_MS: f64 = 15.0;
const INITIAL_PER_TOKEN_MS: f64 = 0.06;
/// Weight of a new sample.
const LEARNING_RATE: f64 = 0.1;
/// Cap on a sample relative to its expected value: a larger one was delayed by something else.
const MAX_RATIO: f64 = 2.0;
/// Range of the factor of a model.
const MODEL_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.05..=8.0;
/// Range of the slowness of an upstream.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.5..=8.0;
/// Part of the time to the first piece that does not count as demand.
const DEMAND_BASE_MS: f64 = 15.0;
/// Minimum number of prompt tokens of a sample for demand.
const MIN_SAMPLE_TOKENS: u32 = 200;
/// Weight of a sample that decreases or increases the demand per token. Short times carry more
/// information.
const DEMAND_DECREASE_RATE: f64 = 0.1;
const DEMAND_INCREASE_RATE: f64 = 0.01;
/// Time of an output token in a full batch, as a multiple of the time of a prompt token.
const OUTPUT_TOKEN_WEIGHT: f64 = 4.0;

/// Learned speed of one model.
#[derive(Clone, Copy, Debug)]
struct ModelPace {
    /// Time to the first piece, relative to the fit over all models.
    factor: f64,
    samples: u32,
    /// Unit of demand: time to the first piece per unread token, including queueing and the constant
    /// part beyond [`DEMAND_BASE_MS`].
    work_per_token_ms: f64,
}

impl Default for ModelPace {
    fn default() -> Self {
        Self { factor: 1.0, samples: 0, work_per_token_ms: INITIAL_PER_TOKEN_MS }
    }
}

impl ModelPace {
    /// Updates the factor with a first piece that took `ratio` times the expected time. The first
    /// samples have more weight.
    fn observe(&mut self, ratio: f64) {
        self.samples += 1;
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.samples + 1));
        let next = self.factor * (1.0 + rate * (ratio - 1.0));
        self.factor = next.clamp(*MODEL_FACTOR_RANGE.start(), *MODEL_FACTOR_RANGE.end());
    }
}

impl Default for PaceModel {
    fn default() -> Self {
        Self {
            reading: LinearFit::new(INITIAL_BASE_MS, INITIAL_PER_TOKEN_MS),
            models: BTreeMap::new(),
            slowness: BTreeMap::new(),
        }
    }
}

impl PaceModel {
    fn factor(&self, model: Option<&Name>) -> f64 {
        model.and_then(|name| self.models.get(name)).map_or(1.0, |pace| pace.factor)
    }

    /// Returns the constant part of the time to the first piece.
    pub(crate) fn base_ms(&self, model: Option<&Name>) -> f64 {
        self.factor(model) * self.reading.base_and_slope().0
    }

    /// Returns the reading time per prompt token.
    pub(crate) fn per_token_ms(&self, model: Option<&Name>) -> f64 {
        self.factor(model) * self.reading.base_and_slope().1
    }

    /// Returns the expected engine time of a request, in the unit of demand.
    pub(crate) fn work_ms(&self, model: &Name, head: &CallerRequest) -> f64 {
        let tokens =
            f64::from(head.prompt_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(head.output_tokens);
        let work_per_token_ms =
            self.models.get(model).map_or(INITIAL_PER_TOKEN_MS, |pace| pace.work_per_token_ms);
        tokens * work_per_token_ms
    }

    pub(crate) fn slowness(&self, upstream: &Incarnation) -> f64 {
        self.slowness.get(upstream).copied().unwrap_or(1.0)
    }

    /// Returns the time that an engine takes to read `tokens` of a prompt.
    pub(crate) fn reading_ms(&self, model: Option<&Name>, tokens: u32) -> f64 {
        f64::from(tokens) * self.per_token_ms(model)
    }

    /// Returns the expected time from sending to the first piece at an engine of average speed.
    fn expected_ms(&self, model: Option<&Name>, expected: ReadEstimate) -> f64 {
        let (base_ms, per_token_ms) = self.reading.base_and_slope();
        let own_ms = base_ms + per_token_ms * f64::from(expected.unread_tokens);
        f64::from(expected.ahead_ms) + self.factor(model) * own_ms
    }

    /// Returns the expected time from sending to the first piece at this engine.
    pub(crate) fn first_piece_ms(
        &self,
        upstream: &Incarnation,
        model: &Name,
        expected: ReadEstimate,
    ) -> f64 {
        self.expected_ms(Some(model), expected) * self.slowness(upstream)
    }

    /// Updates the model with a first piece that came after `took_ms`.
    pub(crate) fn observe(
        &mut self,
        upstream: &Incarnation,
        model: Option<&Name>,
        expected: ReadEstimate,
        took_ms: f64,
    ) {
        let expected_ms = self.expected_ms(model, expected).max(1.0);
        let ratio = took_ms / expected_ms;
        let slowness = self.slowness.entry(upstream.clone()).or_insert(1.0);
        *slowness += LEARNING_RATE
            * (ratio.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end()) - *slowness);
        // Only a prompt that did not wait for others shows how fast the engine reads.
        if let Some(model) = model.filter(|_| expected.ahead_ms == 0) {
            self.update_reading(model, expected.unread_tokens, expected_ms, ratio);
            self.update_demand(model, expected.unread_tokens, took_ms);
        }
    }

    fn update_reading(&mut self, model: &Name, unread_tokens: u32, expected_ms: f64, ratio: f64) {
        let ratio = ratio.min(MAX_RATIO);
        let pace = self.models.entry(model.clone()).or_default();
        let typical_ms = ratio * expected_ms / pace.factor;
        pace.observe(ratio);
        self.reading.observe(f64::from(unread_tokens), typical_ms);
    }

    fn update_demand(&mut self, model: &Name, unread_tokens: u32, took_ms: f64) {
        if unread_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = ((took_ms - DEMAND_BASE_MS) / f64::from(unread_tokens)).max(0.0);
        let work_per_token_ms =
            &mut self.models.entry(model.clone()).or_default().work_per_token_ms;
        let rate =
            if sample < *work_per_token_ms { DEMAND_DECREASE_RATE } else { DEMAND_INCREASE_RATE };
        *work_per_token_ms +=
            rate * (sample.min(*work_per_token_ms * MAX_RATIO) - *work_per_token_ms);
    }

    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.slowness.remove(upstream);
    }
}
