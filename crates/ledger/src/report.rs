//! What runners say of themselves and what they are told.

use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{Bytes, Name};

/// Where an entry stands on a runner. Each phase takes the entry's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Weights are coming from the weight store.
    Loading,
    /// Ready for requests.
    Resident,
    /// Being removed; its memory is not free yet.
    Unloading,
}

/// An entry on a runner, as the runner reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct HeldEntry {
    /// Where it stands.
    pub phase: Phase,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Requests that use it now.
    pub in_flight: u32,
    /// The entry that it needs beside it.
    #[serde(default)]
    pub base: Option<Name>,
}

/// A runner's own state. For a runner that checks orders it is the truth after a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Report {
    /// Grows with each start of the runner.
    pub incarnation: u64,
    /// The epoch that the runner accepts orders under; 0 before the first fence.
    pub epoch: u64,
    /// The last order carried out under that epoch.
    pub seq: u64,
    /// What takes memory.
    pub entries: BTreeMap<Name, HeldEntry>,
}

/// What an order does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Op {
    /// Bring an entry into memory.
    Load {
        /// The entry.
        entry: Name,
        /// Memory that it takes.
        bytes: Bytes,
        /// The entry that must be resident beside it.
        base: Option<Name>,
    },
    /// Remove an entry if no request uses it.
    Unload {
        /// The entry.
        entry: Name,
    },
}

impl Op {
    /// The entry that the order is about.
    pub fn entry(&self) -> &Name {
        match self {
            Op::Load { entry, .. } | Op::Unload { entry } => entry,
        }
    }

    /// Memory that the order may take: zero for an unload.
    pub fn bytes(&self) -> Bytes {
        match self {
            Op::Load { bytes, .. } => *bytes,
            Op::Unload { .. } => 0,
        }
    }
}

/// An order with its fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Order {
    /// The epoch that it is given under.
    pub epoch: Epoch,
    /// Grows with each order of an epoch.
    pub seq: u64,
    /// What to do.
    #[serde(flatten)]
    pub op: Op,
}

/// Why a runner did not carry out an order. It certainly did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The epoch or the sequence is not the one that it accepts.
    Stale,
    /// Requests use the entry, or another entry needs it.
    Busy,
    /// The base is missing, or there is nothing to unload.
    Missing,
    /// The weight store takes no further load now.
    Store,
}
