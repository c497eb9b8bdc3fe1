//! What happens to a core and what it wants done.

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
    /// The stewardship of a group of runners.
    Group(u16),
    /// The record of a runner that does not check orders.
    Runner(Name),
}

impl Key {
    /// The key's name in the service.
    pub fn path(&self) -> String {
        match self {
            Key::Config => "config/head".to_owned(),
            Key::Slot(slot) => format!("slot/{slot}"),
            Key::Group(group) => format!("group/{group}"),
            Key::Runner(runner) => format!("runner/{runner}"),
        }
    }
}

/// A value of the platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Its version.
    pub version: u64,
    /// JSON.
    pub bytes: Vec<u8>,
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: Request,
    /// Its identity if it must not run twice.
    pub claim_id: Option<Id>,
}

/// A poll's answer.
#[derive(Clone, Debug)]
pub struct PollReply {
    /// The runner's memory and epoch.
    pub report: Report,
    /// Requests that it runs or has queued.
    pub running: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A fence's answer.
#[derive(Clone, Debug)]
pub enum FenceReply {
    /// Accepted, with the runner's state.
    Accepted(Report),
    /// Refused for this higher epoch.
    StaleEpoch(Epoch),
    /// No answer.
    Unanswered,
}

/// An order's answer.
#[derive(Clone, Debug)]
pub enum OrderReply {
    /// Carried out or refused, with the runner's state after it.
    Answered(Result<(), Refusal>, Report),
    /// Refused for another epoch.
    StaleEpoch(Epoch),
    /// No answer: it may have been carried out or may still be.
    Unanswered,
}

/// What happens to a core.
#[derive(Debug)]
pub enum Event {
    /// A caller's request was admitted.
    Arrive(Arrival),
    /// An attempt to serve a request ended.
    Ended {
        /// The request.
        id: u64,
        /// How.
        end: AttemptEnd,
        /// Whether the caller has bytes of an answer.
        response_started: bool,
        /// The answer, for repeats of a once-only request.
        answer: Option<Arc<Answer>>,
    },
    /// A revision of the configuration.
    Config(Arc<Revision>, Source),
    /// A key was read; `None` if the service did not answer.
    KeyRead(Key, Option<Option<StoredValue>>),
    /// A key was written, or had another value; `None` if the service did not answer.
    KeyWritten(Key, Option<Result<u64, Option<StoredValue>>>),
    /// The platform's list of hosts.
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
    /// A fence was answered.
    Fenced(Name, Epoch, FenceReply),
    /// An order was answered.
    Ordered(Name, Epoch, u64, OrderReply),
    /// Another daemon says something.
    Frame(HostId, Frame),
    /// A planned stop begins.
    Stop,
    /// Time passes.
    Tick,
}

/// RefusalReason a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The deadline can't be met.
    DeadlineUnmeetable,
    /// Too many requests wait.
    Overloaded,
    /// No upstream has the target.
    NoUpstream,
    /// Upstreams failed.
    UpstreamFailed,
    /// An attempt with the same id ran; its answer is not kept.
    AlreadyRan,
    /// An attempt with the same id may have run.
    IdUncertain,
    /// It can't be decided now whether the id has run.
    IdUndecided,
}

/// A final refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// RefusalReason.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to come back, in milliseconds, if that helps.
    pub retry_after_ms: Option<u64>,
}

/// What a core wants done.
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
    /// Tell the caller that it is refused, at once.
    Refuse(u64, Refused),
    /// Give the caller the kept answer of an earlier attempt.
    Replay(u64, Arc<Answer>),
    /// Read a key.
    Get(Key),
    /// Write a key by compare-and-swap on `base`.
    Put {
        /// The key.
        key: Key,
        /// The version to replace; 0 for none.
        base: u64,
        /// JSON.
        bytes: Vec<u8>,
    },
    /// Watch the configuration at the platform, or leave it to others.
    Watch(bool),
    /// Poll a runner.
    Poll(Name, Name),
    /// Raise a runner's epoch: name, base address, epoch.
    Fence(Name, Name, Epoch),
    /// Send an order: name, base address, order.
    Order(Name, Name, Order),
    /// Tell another daemon something: name, address, frame.
    Send(Name, Name, Frame),
    /// A revision is in force.
    RevisionApplied(Arc<Revision>),
    /// Write a line to the log: what happened, in key=value pairs.
    Log(String),
    /// The planned stop is complete.
    Stopped,
}
