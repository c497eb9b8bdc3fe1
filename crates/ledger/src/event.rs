//! Events and actions of a ledger, and the types that they use.

use crate::{Epoch, Order, Record, Refusal, Report};
use std::collections::BTreeMap;
use vanetally_types::{Bytes, HostId, Name, Tick};

/// The catalog's properties of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunnerSpec {
    /// Memory for entries.
    pub capacity: Bytes,
    /// Whether the runner checks epoch and sequence number of orders.
    pub fenced: bool,
    /// The operator's bound on the time in which a sent order can still arrive.
    pub order_ttl_ms: Option<u64>,
    /// Delay between closing an entry for routers and unloading it.
    pub drain_ms: u64,
}

/// The entries that the plan places on a runner.
pub type DesiredEntries = BTreeMap<Name, DesiredEntry>;

/// An entry that the plan places on a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct DesiredEntry {
    /// Memory that it takes.
    pub bytes: Bytes,
    /// The entry that must be resident beside it.
    pub base: Option<Name>,
}

/// An input of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This process became the runner's leader.
    LeadershipAcquired {
        /// The term of the leadership.
        term: u64,
        /// The runner's record, read afterwards; runners that check orders have none.
        record: Option<Record>,
    },
    /// The leadership ended or can't be confirmed.
    LeadershipLost,
    /// The runner accepted a fence and reported its state.
    Fenced {
        /// The accepted epoch.
        epoch: Epoch,
        /// Its state.
        report: Report,
    },
    /// The runner refused a fence or an order because of its epoch.
    StaleEpoch {
        /// The epoch that the fence or the order carried.
        sent: Epoch,
        /// The runner's epoch.
        current: Epoch,
    },
    /// A fence got no answer.
    FenceUnanswered {
        /// The epoch that the fence carried.
        epoch: Epoch,
    },
    /// A poll was answered.
    Reported {
        /// When the poll was sent.
        polled_at: Tick,
        /// The runner's state.
        report: Report,
    },
    /// The plan's entries from now on.
    Desired(DesiredEntries),
    /// The record was written.
    Written {
        /// Its sequence number.
        seq: u64,
    },
    /// It is unknown whether the record was written: the platform did not answer.
    WriteUnconfirmed,
    /// The write was rejected because the record had changed; this is the current one.
    WriteConflict(Option<Record>),
    /// The runner carried out or refused an order.
    Answered {
        /// The order's sequence number.
        seq: u64,
        /// Whether it was carried out.
        result: Result<(), Refusal>,
        /// The runner's state after it.
        report: Report,
    },
    /// An order got no answer: it may have been carried out, or may be later.
    OrderUnanswered {
        /// The order's sequence number.
        seq: u64,
    },
    /// This process has provably ended.
    Ended(HostId),
    /// Time passes.
    Tick,
}

/// An output of a ledger, for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Raise the runner's epoch; followed by `Fenced`, `StaleEpoch` or `FenceUnanswered`.
    Fence(Epoch),
    /// Write the record by compare-and-swap on the last known version.
    Write(Record),
    /// Send the order at most once; followed by `Answered`, `StaleEpoch` or `OrderUnanswered`.
    Send(Order),
    /// Renew the leadership under a term above this one.
    RaiseTerm(u64),
    /// Another leader owns the record: give up the leadership.
    StepDown,
}

/// Safety rules of a ledger. The model checker disables them one at a time to verify that it finds
/// the resulting fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A load is ordered only if the new entry fits beside the held memory.
    pub capacity: bool,
    /// An unanswered order to a fenced runner is followed by a new fence.
    pub refence: bool,
    /// Reports of polls sent before the last answer are ignored.
    pub report_order: bool,
    /// An intent is written before its order is sent.
    pub intent: bool,
    /// An open intent counts as held memory until it is settled.
    pub hold_open: bool,
    /// An intent is settled only once its issuer can't send the order any more.
    pub issuer_quiet: bool,
}

impl Guards {
    /// All guards on.
    pub const ON: Guards = Guards {
        capacity: true,
        refence: true,
        report_order: true,
        intent: true,
        hold_open: true,
        issuer_quiet: true,
    };
}

/// State of the leadership of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderState {
    /// Another host leads the runner, or none does.
    Idle,
    /// Waiting for the fence or the first write of the record.
    Opening,
    /// Orders may be sent.
    Open,
}
