//! How long engines take, as far as it was learned.

use crate::{choice::Expected, fit::Fit};
use std::collections::BTreeMap;
use vanetally_ports::CallerRequest;
use vanetally_types::Name;

/// How long engines take, learned from what is observed.
///
/// Engines tell several tokens at once, so that a first piece takes a while however short the prompt is.
/// Both parts, what is always there and what each unread token adds, are fitted over all models; how
/// much faster or slower than that a model is, is learned for each.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    reading: Fit,
    /// Runs of all models, as if all were as fast.
    runs: Runs,
    models: BTreeMap<Name, ModelPace>,
    slowness: BTreeMap<Name, f64>,
}

/// What is assumed before anything is learned, in milliseconds.
const FIRST_BASE_MS: f64 = 15.0;
const FIRST_PER_TOKEN_MS: f64 = 0.06;
const FIRST_PER_OUTPUT_MS: f64 = 4.0;
/// How many tokens the assumption about runs counts for: about two runs.
const FIRST_TOKENS: f64 = 500.0;
/// Share of a new sample.
const LEARN: f64 = 0.1;
/// A sample that took this many times what was expected was held up by something else.
const MOST_RATIO: f64 = 2.0;
/// Bounds of a model's share.
const MODEL_SHARE: std::ops::RangeInclusive<f64> = 0.05..=8.0;
/// What older runs still count when a new one ends.
const RUNS_KEPT: f64 = 0.99;
/// Bounds of an upstream's slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=8.0;
/// Share of an engine's time in which it reads prompts where it also makes tokens.
const READING_SHARE: f64 = 0.6;

/// How fast one model is.
#[derive(Clone, Copy, Debug)]
struct ModelPace {
    /// Time to its first pieces, as a share of the fitted one.
    share: f64,
    samples: u32,
    /// Its own runs.
    runs: Runs,
}

impl Default for ModelPace {
    fn default() -> Self {
        Self { share: 1.0, samples: 0, runs: Runs::NONE }
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

/// The last runs: milliseconds after their first pieces, and the tokens that they might make.
#[derive(Clone, Copy, Debug)]
struct Runs {
    millis: f64,
    tokens: f64,
}

impl Runs {
    const NONE: Self = Self { millis: 0.0, tokens: 0.0 };

    fn add(&mut self, millis: f64, tokens: f64) {
        self.millis = self.millis * RUNS_KEPT + millis;
        self.tokens = self.tokens * RUNS_KEPT + tokens;
    }

    /// Milliseconds for each token, where `assumed_ms` counts like a few runs.
    fn per_token_ms(&self, assumed_ms: f64) -> f64 {
        (self.millis + assumed_ms * FIRST_TOKENS) / (self.tokens + FIRST_TOKENS)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            reading: Fit::new(FIRST_BASE_MS, FIRST_PER_TOKEN_MS),
            runs: Runs::NONE,
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

    /// Milliseconds of an engine with `slots` places that the request should take: its part of the
    /// places, or of the time for reading, whichever is more.
    pub(crate) fn work_ms(&self, model: &Name, head: &CallerRequest, slots: u32) -> f64 {
        let reading_ms = self.reading_ms(Some(model), head.prompt_tokens);
        let making_ms = self.per_output_ms(model) * f64::from(head.output_tokens);
        let run_ms = self.base_ms(Some(model)) + reading_ms + making_ms;
        (run_ms / f64::from(slots.max(1))).max(reading_ms / READING_SHARE)
    }

    pub(crate) fn slowness(&self, upstream: &Name) -> f64 {
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
    pub(crate) fn first_piece_ms(&self, upstream: &Name, model: &Name, expected: Expected) -> f64 {
        self.expected_ms(Some(model), expected) * self.slowness(upstream)
    }

    /// The first piece came after `took_ms`.
    pub(crate) fn learn(
        &mut self,
        upstream: &Name,
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
        }
    }

    fn learn_reading(&mut self, model: &Name, unread: u32, expected_ms: f64, ratio: f64) {
        let ratio = ratio.min(MOST_RATIO);
        let pace = self.models.entry(model.clone()).or_default();
        let typical_ms = ratio * expected_ms / pace.share;
        pace.learn(ratio);
        self.reading.observe(f64::from(unread), typical_ms);
    }

    /// A run that might make `output_tokens` took `took_ms` after its first piece.
    pub(crate) fn learn_run(&mut self, model: &Name, output_tokens: u32, took_ms: f64) {
        if output_tokens == 0 {
            return;
        }
        let tokens = f64::from(output_tokens);
        let pace = self.models.entry(model.clone()).or_default();
        pace.runs.add(took_ms, tokens);
        self.runs.add(took_ms / pace.share, tokens);
    }

    /// Milliseconds of a run of the model for each token that it may make.
    fn per_output_ms(&self, model: &Name) -> f64 {
        let typical_ms = self.runs.per_token_ms(FIRST_PER_OUTPUT_MS);
        let Some(pace) = self.models.get(model) else {
            return typical_ms;
        };
        pace.runs.per_token_ms(typical_ms * pace.share)
    }

    pub(crate) fn forget(&mut self, upstream: &Name) {
        self.slowness.remove(upstream);
    }
}
