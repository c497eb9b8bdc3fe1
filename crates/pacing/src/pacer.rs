//! Gives out the moments for prompts.

use crate::{BreakerTransition, Prefix, PrefixCache, breaker::Breaker, bucket::Bucket};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{Incarnation, Name, Tick};

/// A prompt that is to be read by an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// The engine's incarnation.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// The model.
    #[serde(rename = "m")]
    pub model: Name,
    /// The parts that others may share, in order.
    #[serde(rename = "s")]
    pub shared: Vec<Prefix>,
    /// All its tokens.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// Microseconds that the engine takes to read one of them.
    #[serde(rename = "r")]
    pub per_token_us: u32,
    /// The longest pause that operators want between two events of a stream, in milliseconds.
    #[serde(rename = "g")]
    pub gap_ms: u32,
}

/// What a host is told about a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// It may be sent.
    Granted(SendSlot),
    /// Too many others go first.
    Busy {
        /// Milliseconds after which it is worth to ask again.
        retry_ms: u32,
    },
}

/// The moment for a prompt, and what the engine does then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendSlot {
    /// Milliseconds from now.
    pub delay_ms: u32,
    /// Tokens that the engine has not read before.
    pub unread: u32,
    /// Milliseconds of reading that it has yet to do then for others.
    pub ahead_ms: u32,
    /// Whether the pacer has to hear of its answer: others wait to see whether there is one.
    #[serde(default)]
    pub is_trial: bool,
}

/// The engines that this host paces.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    engines: BTreeMap<Incarnation, Engine>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    bucket: Bucket,
    breaker: Breaker,
    prefixes: PrefixCache,
}

/// Share of the longest pause that prompts sent together may take.
const BURST_SHARE: f64 = 0.3;
/// Moments are given out this far ahead, as a share of the longest pause: whoever has to wait longer
/// may find another engine meanwhile.
const AHEAD_SHARE: f64 = 0.3;
/// Least wait of one that was told to ask again, in milliseconds.
const LEAST_RETRY_MS: f64 = 10.0;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl Pacer {
    /// Finds the moment for a prompt.
    pub fn reserve(&mut self, now: Tick, prompt: &Prompt) -> SlotReply {
        let Engine { bucket, breaker, prefixes } =
            self.engines.entry(prompt.upstream.clone()).or_default();
        if let Some(retry_ms) = breaker.wait_ms(now) {
            return SlotReply::Busy { retry_ms };
        }
        let unread = prompt.tokens.saturating_sub(prefixes.tokens(&prompt.shared));
        let reading_ms = f64::from(unread) * f64::from(prompt.per_token_us) / MICROS_PER_MILLI;
        let gap_ms = f64::from(prompt.gap_ms);
        let delay_ms = bucket.delay_ms(now, reading_ms, BURST_SHARE * gap_ms);
        let most_ms = AHEAD_SHARE * gap_ms;
        if delay_ms > most_ms {
            let retry_ms = (delay_ms - most_ms / 2.0).max(LEAST_RETRY_MS);
            return SlotReply::Busy { retry_ms: retry_ms as u32 };
        }
        let delay_ms = delay_ms as u32;
        let ahead_ms = bucket.fill(now, now + u64::from(delay_ms), reading_ms) as u32;
        prefixes.insert(&prompt.model, &prompt.shared);
        let is_trial = breaker.sent(now);
        SlotReply::Granted(SendSlot { delay_ms, unread, ahead_ms, is_trial })
    }

    /// A host told how a request ended at an engine: badly, or well if it was a trial.
    pub fn record_outcome(
        &mut self,
        now: Tick,
        upstream: &Incarnation,
        is_good: bool,
    ) -> Option<BreakerTransition> {
        // One that was never asked for here, or has gone, needs no breaker.
        self.engines.get_mut(upstream)?.breaker.record_outcome(now, is_good)
    }

    /// An engine let go of a model, and of what it read for it.
    pub fn drop_model(&mut self, upstream: &Incarnation, model: &Name) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.prefixes.drop_model(model);
        }
    }

    /// An engine has gone.
    pub fn forget(&mut self, upstream: &Incarnation) {
        self.engines.remove(upstream);
    }
}
