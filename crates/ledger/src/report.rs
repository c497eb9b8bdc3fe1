//! Reports of runners and orders to them.

use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{Bytes, Name};

/// The phase of an entry on a runner. The entry takes its memory in each phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Its weights are being loaded from the weight store.
    Loading,
    /// It is ready for requests.
    Resident,
    /// It is being removed; its memory is not free yet.
    Unloading,
}

/// An entry that takes memory on a runner, as the runner reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct HeldEntry {
    /// Its phase.
    pub phase: Phase,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Number of requests that use it.
    pub in_flight: u32,
    /// The entry that must be resident beside it.
    #[serde(default)]
    pub base: Option<Name>,
}

/// A runner's state as it reports it. For a runner that checks orders it is authoritative after a
/// fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Report {
    /// Increases with each start of the runner.
    pub incarnation: u64,
    /// The epoch that the runner accepts orders under; 0 before the first fence.
    pub epoch: u64,
    /// Sequence number of the last order carried out under that epoch.
    pub seq: u64,
    /// Entries that take memory.
    pub entries: BTreeMap<Name, HeldEntry>,
}

/// The operation of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Op {
    /// Loads an entry into memory.
    Load {
        /// The entry.
        entry: Name,
        /// Memory that it takes.
        bytes: Bytes,
        /// The entry that must be resident beside it.
        base: Option<Name>,
    },
    /// Unloads an entry if no request uses it.
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

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Order {
    /// The epoch under which it was issued.
    pub epoch: Epoch,
    /// Increases with each order of an epoch.
    pub seq: u64,
    /// The operation.
    #[serde(flatten)]
    pub op: Op,
}

/// Why a runner refused an order. A refused order had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The runner does not accept the epoch or the sequence number.
    Stale,
    /// Requests use the entry, or another entry needs it.
    Busy,
    /// The base is missing, or the entry to unload is not resident.
    Missing,
    /// The weight store accepts no further load at present.
    Store,
}
