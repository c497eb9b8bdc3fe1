//! Messages between daemons.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};
use vanetally_claim::{ClaimRequest, Id, Message, Outcome, Reply, Ticket};
use vanetally_config::Revision;
use vanetally_ledger::DesiredEntries;
use vanetally_member::ListedHost;
use vanetally_route::UpstreamStatus;
use vanetally_types::{HostId, Name};

/// Number of a record's holder change, and the holder.
pub type EpochHolder = (u64, HostId);

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// I am here.
    #[serde(rename = "p")]
    Ping {
        /// How the sender is listed, with whether it is leaving.
        #[serde(rename = "l")]
        listed: ListedHost,
        /// The revision that it follows.
        #[serde(rename = "c")]
        config: u64,
        /// Hash of its tables of holders.
        #[serde(rename = "t")]
        tables: u64,
    },
    /// Who holds which slots and groups, as the sender knows.
    #[serde(rename = "t")]
    Tables {
        /// Slots by number.
        slots: BTreeMap<u16, EpochHolder>,
        /// Groups of runners by number.
        groups: BTreeMap<u16, EpochHolder>,
    },
    /// Send me your revision.
    #[serde(rename = "cp")]
    PullConfig,
    /// My revision.
    #[serde(rename = "c")]
    Config(Arc<Revision>),
    /// What was seen of a runner.
    #[serde(rename = "s")]
    RunnerStatus {
        /// The runner.
        runner: Name,
        /// The report.
        #[serde(rename = "seen")]
        status: UpstreamStatus,
    },
    /// What arrived at the sender, for the planner: count and milliseconds of slots by target.
    #[serde(rename = "d")]
    Demand(BTreeMap<Name, (u32, u32)>),
    /// What the planner wants on runners that the receiver is steward of.
    #[serde(rename = "w")]
    Desired(BTreeMap<Name, DesiredEntries>),
    /// May this run?
    #[serde(rename = "a")]
    Claim(ClaimRequest),
    /// The answer to an ask.
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
        /// How.
        #[serde(rename = "finish")]
        outcome: Outcome,
    },
    /// The end of an attempt is known.
    #[serde(rename = "fs")]
    FinishAck(Ticket),
    /// Between holders and deputies of a slot.
    #[serde(rename = "x")]
    Slot(u16, Message),
}
