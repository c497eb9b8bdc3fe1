//! The events that a core handles and the actions that it returns.

use crate::Frame;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use vanetally_claim::{Answer, Id};
use vanetally_config::{Revision, tracker::Source};
use vanetally_ledger::{Epoch, Order, Refusal, Report};
use vanetally_member::ListedHost;
use vanetally_route::{AttemptEnd, Request};
use vanetally_types::{HostId, Name, Tick, Verdict};

/// A key of the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// The configuration.
    Config,
    /// The record of a slot of once-only ids.
    Slot(u16),
    /// The leadership record of a group of runners.
    Group(u16),
    /// The record of a runner that does not check orders.
    Runner(Name),
}

impl Key {
    /// The key's path in the service.
    pub fn path(&self) -> String {
        match self {
            Key::Config => "config/head".to_owned(),
            Key::Slot(slot) => format!("slot/{slot}"),
            Key::Group(group) => format!("group/{group}"),
            Key::Runner(runner) => format!("runner/{runner}"),
        }
    }
}

/// A value that the platform's service holds under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Version for compare-and-swap.
    pub version: u64,
    /// The value as JSON.
    pub bytes: Vec<u8>,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: Request,
    /// The id to claim before it runs, if it must run at most once.
    pub claim_id: Option<Id>,
}

/// A runner's answer to a poll.
#[derive(Clone, Debug)]
pub struct PollReply {
    /// The runner's memory and epoch.
    pub report: Report,
    /// Number of requests that it runs or has queued.
    pub running: u32,
    /// Whether it is shutting down and refuses new work.
    pub leaving: bool,
}

/// A runner's answer to a fence.
#[derive(Clone, Debug)]
pub enum FenceReply {
    /// The fence was accepted; the runner's state.
    Accepted(Report),
    /// The fence was refused because the runner has this higher epoch.
    StaleEpoch(Epoch),
    /// No answer arrived.
    Unanswered,
}

/// A runner's answer to an order.
#[derive(Clone, Debug)]
pub enum OrderReply {
    /// The order was carried out or refused; the runner's state afterwards.
    Answered(Result<(), Refusal>, Report),
    /// The order was refused because the runner has this epoch.
    StaleEpoch(Epoch),
    /// No answer arrived: the order may have been carried out, or may be later.
    Unanswered,
}

/// An input of a core.
#[derive(Debug)]
pub enum Event {
    /// A caller's request was admitted.
    Arrive(Arrival),
    /// An attempt to serve a request ended.
    Ended {
        /// The request.
        id: u64,
        /// How it ended.
        end: AttemptEnd,
        /// Whether the caller has received bytes of an answer.
        response_started: bool,
        /// The answer of a once-only request, to be replayed to later attempts with its id.
        answer: Option<Arc<Answer>>,
    },
    /// A revision of the configuration arrived.
    Config(Arc<Revision>, Source),
    /// A key was read; `None` if the service did not answer.
    KeyRead(Key, Option<Option<StoredValue>>),
    /// A write completed: the new version, or the value found on a conflict; `None` if the service
    /// did not answer.
    KeyWritten(Key, Option<Result<u64, Option<StoredValue>>>),
    /// The platform listed the hosts.
    Hosts(Vec<ListedHost>),
    /// A runner was polled; `None` if it did not answer.
    Polled {
        /// The runner.
        runner: Name,
        /// When the poll was sent.
        polled_at: Tick,
        /// Its answer.
        reply: Option<PollReply>,
    },
    /// A fence was answered: runner, epoch sent, answer.
    Fenced(Name, Epoch, FenceReply),
    /// An order was answered: runner, epoch and sequence number sent, answer.
    Ordered(Name, Epoch, u64, OrderReply),
    /// A frame from another daemon.
    Frame(HostId, Frame),
    /// A planned stop begins.
    Stop,
    /// Time passes.
    Tick,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The deadline can't be met.
    DeadlineUnmeetable,
    /// Too many requests are waiting.
    Overloaded,
    /// No upstream serves the target.
    NoUpstream,
    /// The upstreams failed.
    UpstreamFailed,
    /// An attempt with the same id ran; its answer was not kept.
    AlreadyRan,
    /// An attempt with the same id may have run.
    IdUncertain,
    /// No holder can currently decide whether an attempt with the id has run.
    IdUndecided,
}

/// A final refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay before a retry, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// An output of a core, for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request upstream.
    Call {
        /// The request.
        id: u64,
        /// The upstream.
        upstream: Name,
        /// Its base address.
        url: Name,
        /// The entry to use there.
        entry: Name,
    },
    /// Refuse the request to the caller immediately.
    Refuse(u64, Refused),
    /// Answer the caller with the kept answer of an earlier attempt.
    Replay(u64, Arc<Answer>),
    /// Read a key.
    Get(Key),
    /// Write a key by compare-and-swap.
    Put {
        /// The key.
        key: Key,
        /// The version to replace; 0 if the key must not exist.
        base: u64,
        /// The value as JSON.
        bytes: Vec<u8>,
    },
    /// Start or stop watching the configuration at the platform.
    Watch(bool),
    /// Poll a runner: name, base address.
    Poll(Name, Name),
    /// Raise a runner's epoch: name, base address, epoch.
    Fence(Name, Name, Epoch),
    /// Send an order: name, base address, order.
    Order(Name, Name, Order),
    /// Send a frame to another daemon: host name, address, frame.
    Send(Name, Name, Frame),
    /// A new revision is in force.
    RevisionApplied(Arc<Revision>),
    /// Write a line of key=value pairs to the log.
    Log(String),
    /// The planned stop is complete.
    Stopped,
}
