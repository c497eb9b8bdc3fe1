//! The stored record of a runner that does not check the epoch of orders.
//!
//! Each order is written to the record by compare-and-swap before it is sent. A leader that was
//! replaced without noticing can therefore send no order that its successor has not read.

use crate::Op;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::HostId;

/// An order that was sent or may be sent, and may not have reached the runner yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Intent {
    /// What the order does.
    #[serde(flatten)]
    pub op: Op,
    /// The process that sends it, at most once.
    pub issuer: HostId,
}

/// The record of a runner in the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Record {
    /// The term of the leadership under which it was written.
    pub term: u64,
    /// The process that wrote it.
    pub holder: HostId,
    /// Sequence number of the write. Together with the holder it lets a writer recognise its own
    /// write.
    pub seq: u64,
    /// Orders that may be in flight, by the sequence number of the write that announced them.
    pub open: BTreeMap<u64, Intent>,
}
