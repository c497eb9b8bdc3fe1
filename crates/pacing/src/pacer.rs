//! Gives out the moments for prompts.

use crate::bucket::Bucket;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// A prompt that is to be read by an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// The engine's incarnation.
    #[serde(rename = "u")]
    pub upstream: Name,
    /// Milliseconds that it takes to read.
    #[serde(rename = "r")]
    pub reading_ms: u32,
    /// The longest pause that operators want between two events of a stream, in milliseconds.
    #[serde(rename = "g")]
    pub gap_ms: u32,
}

/// What a host is told about a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Slot {
    /// It may be sent after a delay.
    Granted {
        /// Milliseconds from now.
        delay_ms: u32,
    },
    /// Too many others go first.
    Busy {
        /// Milliseconds after which it is worth to ask again.
        retry_ms: u32,
    },
}

/// The engines that this host paces.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    buckets: BTreeMap<Name, Bucket>,
}

/// Share of the longest pause that prompts sent together may take.
const BURST_SHARE: f64 = 0.3;
/// Moments are given out this far ahead, as a share of the longest pause: whoever has to wait longer
/// may find another engine meanwhile.
const AHEAD_SHARE: f64 = 0.3;
/// Least wait of one that was told to ask again, in milliseconds.
const LEAST_RETRY_MS: f64 = 10.0;

impl Pacer {
    /// Finds the moment for a prompt.
    pub fn reserve(&mut self, now: Tick, prompt: &Prompt) -> Slot {
        let bucket = self.buckets.entry(prompt.upstream.clone()).or_default();
        let (reading_ms, gap_ms) = (f64::from(prompt.reading_ms), f64::from(prompt.gap_ms));
        let delay_ms = bucket.delay_ms(now, reading_ms, BURST_SHARE * gap_ms);
        let ahead_ms = AHEAD_SHARE * gap_ms;
        if delay_ms > ahead_ms {
            let retry_ms = (delay_ms - ahead_ms / 2.0).max(LEAST_RETRY_MS);
            return Slot::Busy { retry_ms: retry_ms as u32 };
        }
        bucket.fill(now, reading_ms);
        Slot::Granted { delay_ms: delay_ms as u32 }
    }

    /// Forgets engines that have nothing left to read.
    pub fn sweep(&mut self, now: Tick) {
        self.buckets.retain(|_, bucket| !bucket.is_empty(now));
    }
}
