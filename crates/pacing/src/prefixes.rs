//! Prompt prefixes that an engine has read recently and need not read again.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use vanetally_types::Name;

/// A prefix of a prompt that ends with one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Identifies the model, the part and all parts before it.
    #[serde(rename = "k")]
    pub key: u64,
    /// Number of tokens of the last part.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// The prefixes that one engine has read.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// The model of each prefix, by the prefix's key.
    models: HashMap<u64, Name>,
    /// The keys, oldest first.
    order: VecDeque<u64>,
}

/// Maximum number of prefixes kept for one engine.
const MAX_PREFIXES: usize = 1_024;

impl PrefixCache {
    /// Returns how many tokens of a prompt with these parts the engine has read before.
    pub fn tokens(&self, parts: &[Prefix]) -> u32 {
        let known = parts.iter().take_while(|part| self.models.contains_key(&part.key));
        known.map(|part| part.tokens).sum()
    }

    /// Records that the engine reads a prompt with these parts for `model`.
    pub fn insert(&mut self, model: &Name, parts: &[Prefix]) {
        for part in parts {
            if self.models.insert(part.key, model.clone()).is_none() {
                self.order.push_back(part.key);
            }
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(key) = self.order.pop_front() {
                self.models.remove(&key);
            }
        }
    }

    /// Removes the prefixes of a model that the engine unloaded.
    pub fn drop_model(&mut self, model: &Name) {
        self.models.retain(|_, of| of != model);
        let models = &self.models;
        self.order.retain(|key| models.contains_key(key));
    }
}
