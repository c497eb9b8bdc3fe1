//! What a ledger is told, what it wants done, and the types of both.

use crate::{Epoch, Order, Record, Refusal, Report};
use std::collections::BTreeMap;
use vanetally_types::{Bytes, HostId, Name, Tick};

/// What the catalog says of the runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunnerSpec {
    /// Memory for entries.
    pub capacity: Bytes,
    /// Whether the runner checks epoch and sequence of orders.
    pub fenced: bool,
    /// The operator's bound on the life of an order once sent, in milliseconds.
    pub order_ttl_ms: Option<u64>,
    /// Between telling routers that an entry closes and unloading it, in milliseconds.
    pub drain_ms: u64,
}

/// What the plan wants on the runner.
pub type DesiredEntries = BTreeMap<Name, DesiredEntry>;

/// An entry that the plan wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct DesiredEntry {
    /// Memory that it takes.
    pub bytes: Bytes,
    /// The entry that must be resident beside it.
    pub base: Option<Name>,
}

/// What happens to a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This process became the runner's steward. `record` is the runner's written record, read
    /// after that; runners that check orders have none.
    LeadershipAcquired {
        /// The stewardship's number.
        term: u64,
        /// The record as read.
        record: Option<Record>,
    },
    /// The stewardship ended or is in doubt.
    LeadershipLost,
    /// The runner accepted the fence and told its state.
    Fenced {
        /// The epoch it accepted.
        epoch: Epoch,
        /// Its state.
        report: Report,
    },
    /// A fence or an order was refused for a higher epoch at the runner.
    StaleEpoch {
        /// The epoch that the fence or the order carried.
        sent: Epoch,
        /// The runner's epoch.
        current: Epoch,
    },
    /// The answer to a fence was lost.
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
    /// What the plan wants from now on.
    Desired(DesiredEntries),
    /// The record with this sequence is written.
    Written {
        /// Its sequence.
        seq: u64,
    },
    /// It is unknown whether the record was written: the platform is out or its answer lost.
    WriteUnconfirmed,
    /// The record has been changed by somebody; here it is.
    WriteConflict(Option<Record>),
    /// The runner answered an order: done, or refused.
    Answered {
        /// The order's sequence.
        seq: u64,
        /// Whether it was carried out.
        result: Result<(), Refusal>,
        /// The runner's state after it.
        report: Report,
    },
    /// The answer to an order was lost: it may have been carried out, or still will be.
    OrderUnanswered {
        /// The order's sequence.
        seq: u64,
    },
    /// It is proved that this process has ended.
    Ended(HostId),
    /// Time passes.
    Tick,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Raise the runner's epoch; answer with `Fenced`, `StaleEpoch` or `FenceUnanswered`.
    Fence(Epoch),
    /// Write the record by compare-and-swap on the version last seen.
    Write(Record),
    /// Send the order, once only; answer with `Answered`, `StaleEpoch` or `OrderUnanswered`.
    Send(Order),
    /// The stewardship needs a number above this one.
    RaiseTerm(u64),
    /// The record belongs to another stewardship: give this one up.
    StepDown,
}

/// Guards that the model check switches off one at a time to see that it notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Orders go out only when held memory plus the new entry fits.
    pub capacity: bool,
    /// A lost answer to a fenced order is settled by a new fence.
    pub refence: bool,
    /// Reports asked for before the last answer are ignored.
    pub report_order: bool,
    /// Intents are written before orders are sent.
    pub intent: bool,
    /// An open intent holds its memory until it is settled.
    pub hold_open: bool,
    /// An intent is settled only once its sender is known to send no more.
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

/// How far the stewardship of a runner has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderState {
    /// Somebody else's.
    Idle,
    /// Waiting for the fence or the first write.
    Opening,
    /// May give orders.
    Open,
}
