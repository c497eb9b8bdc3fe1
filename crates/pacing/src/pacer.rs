//! Assigns send slots for prompts.

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
    /// The parts that other prompts may share, in order.
    #[serde(rename = "s")]
    pub shared: Vec<Prefix>,
    /// Number of tokens of the whole prompt.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// Microseconds that the engine takes to read one token.
    #[serde(rename = "r")]
    pub per_token_us: u32,
    /// Configured maximum pause between two events of a stream.
    #[serde(rename = "g")]
    pub gap_ms: u32,
}

/// The pacer's reply to a host that asks for a send slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// The prompt may be sent in this slot.
    Granted(SendSlot),
    /// No slot is available soon enough.
    Busy {
        /// Milliseconds after which to ask again.
        retry_ms: u32,
    },
}

/// A reserved time to send a prompt, and the engine's expected state at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendSlot {
    /// Milliseconds until the prompt may be sent.
    pub delay_ms: u32,
    /// Number of tokens that the engine has not read before.
    pub unread: u32,
    /// Milliseconds for which the engine will then still read earlier prompts.
    pub ahead_ms: u32,
    /// Whether the request is a trial: its outcome must be reported to the pacer, since other
    /// requests wait for it.
    #[serde(default)]
    pub is_trial: bool,
}

/// The pacing state of the engines that this host paces.
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

/// Share of the maximum pause that the reading of prompts sent together may take.
const BURST_SHARE: f64 = 0.3;
/// Maximum delay of a slot as a share of the maximum pause. A host that would have to wait longer
/// may find another engine meanwhile.
const MAX_DELAY_SHARE: f64 = 0.3;
/// Minimum time after which a host asks again.
const MIN_RETRY_MS: f64 = 10.0;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl Pacer {
    /// Reserves a send slot for a prompt.
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
        let max_delay_ms = MAX_DELAY_SHARE * gap_ms;
        if delay_ms > max_delay_ms {
            let retry_ms = (delay_ms - max_delay_ms / 2.0).max(MIN_RETRY_MS);
            return SlotReply::Busy { retry_ms: retry_ms as u32 };
        }
        let delay_ms = delay_ms as u32;
        let ahead_ms = bucket.fill(now, now + u64::from(delay_ms), reading_ms) as u32;
        prefixes.insert(&prompt.model, &prompt.shared);
        let is_trial = breaker.record_sent(now);
        SlotReply::Granted(SendSlot { delay_ms, unread, ahead_ms, is_trial })
    }

    /// Records the outcome of a request as reported by a host: a failure, or the success of a
    /// trial.
    pub fn record_outcome(
        &mut self,
        now: Tick,
        upstream: &Incarnation,
        is_good: bool,
    ) -> Option<BreakerTransition> {
        // An engine for which no slot was reserved here, or that has gone, needs no breaker.
        self.engines.get_mut(upstream)?.breaker.record_outcome(now, is_good)
    }

    /// Records that an engine unloaded a model, which also drops the prefixes cached for it.
    pub fn drop_model(&mut self, upstream: &Incarnation, model: &Name) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.prefixes.drop_model(model);
        }
    }

    /// Removes an engine that has gone.
    pub fn forget(&mut self, upstream: &Incarnation) {
        self.engines.remove(upstream);
    }
}
