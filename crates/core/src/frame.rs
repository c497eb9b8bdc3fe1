//! Messages between daemons.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};
use vanetally_claim::{ClaimRequest, Id, Message, Outcome, Reply, Ticket};
use vanetally_config::Revision;
use vanetally_ledger::DesiredEntries;
use vanetally_member::ListedHost;
use vanetally_route::UpstreamStatus;
use vanetally_types::{HostId, Name};

/// The latest known epoch of a slot, or term of a group, and the host that holds it.
pub type EpochHolder = (u64, HostId);

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent periodically to show that the sender is reachable.
    #[serde(rename = "p")]
    Ping {
        /// The sender's host entry, including whether it is leaving.
        #[serde(rename = "l")]
        listed: ListedHost,
        /// Number of the revision in force at the sender.
        #[serde(rename = "c")]
        config: u64,
        /// Hash of the sender's holder tables.
        #[serde(rename = "t")]
        tables: u64,
    },
    /// The holders of slots and leaders of groups that the sender knows.
    #[serde(rename = "t")]
    Tables {
        /// Epoch and holder by slot number.
        slots: BTreeMap<u16, EpochHolder>,
        /// Term and leader by number of the group of runners.
        groups: BTreeMap<u16, EpochHolder>,
    },
    /// Requests the receiver's configuration revision.
    #[serde(rename = "cp")]
    PullConfig,
    /// The sender's configuration revision.
    #[serde(rename = "c")]
    Config(Arc<Revision>),
    /// The status of a runner as its poller last saw it.
    #[serde(rename = "s")]
    RunnerStatus {
        /// The runner.
        runner: Name,
        /// Its status.
        #[serde(rename = "seen")]
        status: UpstreamStatus,
    },
    /// Demand at the sender, for the planner: request count and milliseconds of slot time by
    /// target.
    #[serde(rename = "d")]
    Demand(BTreeMap<Name, (u32, u32)>),
    /// The planner's desired entries for runners whose leader is the receiver.
    #[serde(rename = "w")]
    Desired(BTreeMap<Name, DesiredEntries>),
    /// Requests the slot's holder to grant an attempt.
    #[serde(rename = "a")]
    Claim(ClaimRequest),
    /// The holder's answer to a claim.
    #[serde(rename = "r")]
    ClaimReply {
        /// The attempt.
        ticket: Ticket,
        /// The request.
        id: Id,
        /// The answer.
        reply: Reply,
    },
    /// How a granted attempt ended.
    #[serde(rename = "f")]
    Finished {
        /// The request.
        id: Id,
        /// The attempt.
        ticket: Ticket,
        /// How it ended.
        #[serde(rename = "finish")]
        outcome: Outcome,
    },
    /// Acknowledges [`Frame::Finished`].
    #[serde(rename = "fs")]
    FinishAck(Ticket),
    /// A message between holders and backups of a slot.
    #[serde(rename = "x")]
    Slot(u16, Message),
}
