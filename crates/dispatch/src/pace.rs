//! How long engines take, as far as it was learned.

use crate::choice::Expected;
use std::collections::BTreeMap;
use vanetally_ports::CallerRequest;
use vanetally_types::Name;

/// How long engines take, learned from what is observed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    per_token_ms: BTreeMap<Name, f64>,
    slowness: BTreeMap<Name, f64>,
}

/// Milliseconds for one prompt token before anything is learned.
const FIRST_PER_TOKEN_MS: f64 = 0.06;
/// Least tokens of a prompt that tells how fast an engine reads.
const LEAST_SAMPLE: u32 = 200;
/// Share of a new sample.
const LEARN: f64 = 0.1;
/// Share of a sample that shows a faster pace, and of one that shows a slower pace.
const LEARN_FASTER: f64 = 0.1;
const LEARN_SLOWER: f64 = 0.01;
/// Share of the time for one prompt token that an output token takes in a full batch.
const OUTPUT_TOKENS: f64 = 4.0;
/// Bounds of an upstream's slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=8.0;
/// Part of the first token's time that does not depend on the prompt, in milliseconds.
pub(crate) const BASE_MS: f64 = 15.0;

impl Pace {
    pub(crate) fn per_token(&self, model: Option<&Name>) -> f64 {
        model.and_then(|m| self.per_token_ms.get(m)).copied().unwrap_or(FIRST_PER_TOKEN_MS)
    }

    /// Milliseconds of an engine that the request should take.
    pub(crate) fn work_ms(&self, model: &Name, head: &CallerRequest) -> f64 {
        let tokens = f64::from(head.prompt_tokens) + OUTPUT_TOKENS * f64::from(head.output_tokens);
        tokens * self.per_token(Some(model))
    }

    pub(crate) fn slowness(&self, upstream: &Name) -> f64 {
        self.slowness.get(upstream).copied().unwrap_or(1.0)
    }

    /// Milliseconds for an engine to read `tokens` of a prompt.
    pub(crate) fn reading_ms(&self, model: Option<&Name>, tokens: u32) -> f64 {
        f64::from(tokens) * self.per_token(model)
    }

    /// Milliseconds from a sending to its first piece.
    pub(crate) fn first_piece_ms(&self, upstream: &Name, model: &Name, expected: Expected) -> f64 {
        let reading = f64::from(expected.ahead_ms) + self.reading_ms(Some(model), expected.unread);
        (BASE_MS + reading) * self.slowness(upstream)
    }

    /// The first piece came after `took_ms`.
    pub(crate) fn learn(
        &mut self,
        upstream: &Name,
        model: Option<&Name>,
        expected: Expected,
        took_ms: f64,
    ) {
        let Expected { unread, ahead_ms } = expected;
        let expected = BASE_MS + f64::from(ahead_ms) + self.reading_ms(model, unread);
        let ratio = (took_ms / expected).clamp(*SLOWNESS.start(), *SLOWNESS.end());
        let slowness = self.slowness.entry(upstream.clone()).or_insert(1.0);
        *slowness += LEARN * (ratio - *slowness);
        // Only what is read alone tells how fast the engine reads.
        let is_alone = ahead_ms == 0 && unread >= LEAST_SAMPLE;
        if let Some(model) = model.filter(|_| is_alone) {
            let sample = ((took_ms - BASE_MS) / f64::from(unread)).max(0.0);
            let pace = self.per_token_ms.entry(model.clone()).or_insert(FIRST_PER_TOKEN_MS);
            // Waiting makes samples long: the short ones tell more.
            let share = if sample < *pace { LEARN_FASTER } else { LEARN_SLOWER };
            *pace += share * (sample.min(*pace * 2.0) - *pace);
        }
    }

    pub(crate) fn forget(&mut self, upstream: &Name) {
        self.slowness.remove(upstream);
    }
}
