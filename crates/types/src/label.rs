//! Labels: key-value pairs that operators attach to the objects they declare.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key-value pairs, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(BTreeMap<Name, Name>);

impl Labels {
    /// Returns the value of `key`, if the label is set.
    pub fn get(&self, key: &str) -> Option<&Name> {
        self.0.get(key)
    }

    /// Sets `key` to `value`, replacing an earlier value.
    pub fn set(&mut self, key: impl Into<Name>, value: impl Into<Name>) {
        self.0.insert(key.into(), value.into());
    }

    /// Returns these labels merged with `other`, whose values take precedence.
    pub fn merged(&self, other: &Labels) -> Labels {
        let mut merged = self.clone();
        for (key, value) in &other.0 {
            merged.0.insert(key.clone(), value.clone());
        }
        merged
    }
}

impl<const N: usize> From<[(&str, &str); N]> for Labels {
    fn from(pairs: [(&str, &str); N]) -> Self {
        Self(pairs.into_iter().map(|(k, v)| (k.into(), v.into())).collect())
    }
}
