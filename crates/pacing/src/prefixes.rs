//! The beginnings of prompts that an engine has read lately and need not read again.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use vanetally_types::Name;

/// The end of a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Identifies the model, the part and all that stands before it.
    #[serde(rename = "k")]
    pub key: u64,
    /// Tokens of the part.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// The beginnings that one engine has read, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    known: HashMap<u64, Name>,
    order: VecDeque<u64>,
}

/// Beginnings remembered for one engine.
const MOST_PREFIXES: usize = 1_024;

impl PrefixCache {
    /// Tokens of the prompt with these parts that were read before.
    pub fn tokens(&self, parts: &[Prefix]) -> u32 {
        let known = parts.iter().take_while(|part| self.known.contains_key(&part.key));
        known.map(|part| part.tokens).sum()
    }

    /// The engine reads a prompt for `model`.
    pub fn insert(&mut self, model: &Name, parts: &[Prefix]) {
        for part in parts {
            if self.known.insert(part.key, model.clone()).is_none() {
                self.order.push_back(part.key);
            }
        }
        while self.order.len() > MOST_PREFIXES {
            if let Some(key) = self.order.pop_front() {
                self.known.remove(&key);
            }
        }
    }

    /// The engine let go of a model, and of what it read for it.
    pub fn drop_model(&mut self, model: &Name) {
        self.known.retain(|_, of| of != model);
        let known = &self.known;
        self.order.retain(|key| known.contains_key(key));
    }
}
