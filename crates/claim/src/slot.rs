//! The state of a slot on one host: its types and the dispatch of events.

use crate::{Answer, Id, Record, Ticket, VersionedRecord};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use vanetally_types::{HostId, Tick};

/// A request of an entry host to a slot's holder to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct ClaimRequest {
    /// The request's id.
    pub id: Id,
    /// The request's deadline in Unix milliseconds.
    pub deadline: u64,
    /// The attempt.
    pub ticket: Ticket,
}

/// How a granted attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub enum Outcome {
    /// It ran; the answer is kept unless it was too large or incomplete.
    Ran(Option<Arc<Answer>>),
    /// It certainly did not run: the id may be granted again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The holder's reply to an entry host about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub enum Reply {
    /// The attempt may run. Repeats for the same ticket count once.
    Grant,
    /// The request ran before, with this answer.
    #[serde(rename = "Kept")]
    Replay(Arc<Answer>),
    /// The request ran before; the answer is not kept.
    AlreadyRan,
    /// An earlier attempt may have run; this one was not granted.
    MayHaveRun,
    /// Not granted, and no attempt is known to have run; retry after this many milliseconds.
    #[serde(rename = "Later")]
    RetryAfter(u64),
    /// This host does not hold the slot.
    NotHolder(Option<HostId>),
}

/// A message between hosts about one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub enum Message {
    /// Holder to backup: requests the promise not to take over as if nothing was granted from
    /// memory.
    #[serde(rename = "AskMemory")]
    RequestPromise {
        /// The record's epoch.
        epoch: u64,
        /// Number of the holder's current period of granting from memory.
        term: u64,
    },
    /// Backup to holder: gives or refuses the promise.
    Promise {
        /// The requested epoch.
        epoch: u64,
        /// The requested term.
        term: u64,
        /// Whether the promise is given.
        given: bool,
    },
    /// Holder to backup: every id granted in this term is recorded.
    #[serde(rename = "MemoryOver")]
    ReleasePromise {
        /// The record's epoch.
        epoch: u64,
        /// The term that ended.
        term: u64,
    },
    /// Earlier holder to the present one: it grants no more ids and hands over its state.
    #[serde(rename = "Farewell")]
    Handover {
        /// Ids that it may have granted, with their deadlines.
        claims: Vec<(Id, u64)>,
        /// Attempts that are running.
        running: Vec<(Id, Ticket)>,
        /// Answers that it keeps.
        answers: Vec<(Id, Arc<Answer>)>,
    },
    /// Present holder to the earlier one: the state that was handed over is recorded.
    #[serde(rename = "FarewellSeen")]
    HandoverAck,
}

/// An input of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry host requests to run an attempt.
    Request(ClaimRequest),
    /// A granted attempt ended.
    Finished {
        /// The request.
        id: Id,
        /// The attempt.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// An entry host is unreachable: the outcome of its attempts is unknown.
    Unreachable(HostId),
    /// This process has provably ended.
    Ended(HostId),
    /// The record as read; `None` when there is none.
    Read(Option<VersionedRecord>),
    /// The last write took effect and has this version.
    Written {
        /// The platform's version.
        version: u64,
    },
    /// It is unknown whether the last write took effect.
    WriteUnconfirmed,
    /// The last write did not take effect; this is the record.
    WriteConflict(Option<VersionedRecord>),
    /// A peer announced a record with this epoch and holder.
    EpochAnnounced {
        /// The epoch.
        epoch: u64,
        /// The holder.
        holder: HostId,
    },
    /// Take over the slot.
    TakeOver {
        /// The backup to name.
        backup: Option<HostId>,
    },
    /// Set another backup.
    SetBackup(Option<HostId>),
    /// Hand the slot over for a planned stop.
    Release {
        /// The next holder.
        to: HostId,
        /// The next holder's backup.
        backup: Option<HostId>,
    },
    /// A message from another host.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
}

/// An output of a slot, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record by compare-and-swap on `base`; 0 requires that there is none.
    Write {
        /// The version to replace.
        base: u64,
        /// The record.
        record: Record,
    },
    /// Send a reply to an attempt.
    Reply {
        /// The attempt.
        ticket: Ticket,
        /// The request.
        id: Id,
        /// The reply.
        reply: Reply,
    },
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Forward an attempt's outcome to the present holder.
    Forward {
        /// The present holder.
        to: HostId,
        /// The request.
        id: Id,
        /// The attempt.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
}

/// Safety rules that the model check disables one at a time to verify that it detects their
/// absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// While the platform is available, an id is granted only after it is written.
    pub record_first: bool,
    /// The holder grants from memory only with the backup's promise.
    pub promise: bool,
    /// A backup that has started to take over gives no promise.
    pub takeover_bar: bool,
    /// A successor that can't rule out grants from memory refuses ids that it doesn't know.
    pub unresolved: bool,
    /// [`Outcome::NotRun`] counts only for the attempt that was granted last.
    pub ticket: bool,
    /// A promise is released only by the term that it was given for.
    pub term: bool,
    /// A record of an older epoch than a known one is never followed.
    pub epoch: bool,
    /// An earlier holder keeps its state until it is recorded.
    pub handover: bool,
}

impl Guards {
    /// All rules enabled.
    pub const ON: Guards = Guards {
        record_first: true,
        promise: true,
        takeover_bar: true,
        unresolved: true,
        ticket: true,
        term: true,
        epoch: true,
        handover: true,
    };
}

/// Settings of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long past its deadline an id is kept; no deadline is further ahead than this.
    pub retention_ms: u64,
    /// Minimum time between two writes.
    pub write_interval_ms: u64,
    /// Maximum time that an attempt waits for the record or a promise.
    pub wait_limit_ms: u64,
    /// Maximum number of ids kept at once.
    pub max_ids: usize,
    /// Safety rules that are enabled.
    pub guards: Guards,
}

/// This host's role for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Another host holds the slot, or none does.
    Other,
    /// This host is taking over the slot.
    Taking,
    /// This host holds the slot.
    Holder,
    /// This host is handing over the slot.
    Releasing,
}

/// How a holder grants ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// After writing the id to the record.
    Recorded,
    /// Not at all: the promises of these hosts are missing.
    #[serde(rename = "asking")]
    AwaitingPromises(BTreeSet<HostId>),
    /// From memory.
    Memory,
}

impl Mode {
    /// The mode's name in logs and state dumps.
    pub fn as_str(&self) -> &'static str {
        match self {
            Mode::Recorded => "recorded",
            Mode::AwaitingPromises(_) => "asking",
            Mode::Memory => "memory",
        }
    }
}

/// State of an id at the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// Waiting to be written.
    Pending(Ticket, Tick),
    /// Granted.
    Running(Ticket),
    /// Granted and certainly not run: the next attempt may be granted.
    NotRun,
    /// Ran, with the answer if it was kept.
    Ran(Option<Arc<Answer>>),
    /// Granted by this or an earlier holder, with unknown outcome.
    Unknown,
}

/// An id that may have been granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Claim {
    /// The deadline in Unix milliseconds.
    pub deadline: u64,
    pub state: State,
    /// Attempts that wait for the outcome of the granted or pending one.
    pub waiters: Vec<Ticket>,
}

/// State of one slot on one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    pub(crate) host_id: HostId,
    pub(crate) options: Options,
    pub(crate) role: Role,
    pub(crate) stored: Option<VersionedRecord>,
    pub(crate) mode: Mode,
    /// Number of this host's last period of granting from memory.
    pub(crate) term: u64,
    pub(crate) claims: BTreeMap<Id, Claim>,
    /// Ids that the written record doesn't contain.
    pub(crate) unrecorded: BTreeSet<Id>,
    /// Whether something other than ids has changed since the record was written.
    pub(crate) needs_write: bool,
    /// See [`Record::expired_until`].
    pub(crate) expired_until: u64,
    /// See [`Record::unresolved`].
    pub(crate) unresolved: BTreeMap<HostId, Option<u64>>,
    pub(crate) backup: Option<HostId>,
    /// The write in progress.
    pub(crate) writing: Option<Record>,
    /// A write that may or may not have taken effect.
    pub(crate) unconfirmed: Option<Record>,
    pub(crate) next_write: Tick,
    pub(crate) next_expiry: Tick,
    /// Whether no write is started until the next tick, after one failed.
    pub(crate) is_write_deferred: bool,
    /// The next holder and its backup, during a handover.
    pub(crate) successor: Option<(HostId, Option<HostId>)>,
    /// The present holder and the handover that it has not acknowledged yet.
    pub(crate) handover: Option<(HostId, Message)>,
    /// As backup: epoch and term of the promise given.
    pub(crate) promised: Option<(u64, u64)>,
    /// As backup: epoch and version of the record that this host tried to replace. It gives no
    /// promise for that epoch while the attempt may still take effect.
    pub(crate) takeover_attempt: Option<(u64, u64)>,
    /// The highest epoch that a peer announced, with its holder.
    pub(crate) highest_epoch: Option<(u64, HostId)>,
}

impl Slot {
    /// Creates a slot with an unknown record.
    pub fn new(host_id: HostId, options: Options) -> Self {
        Self {
            host_id,
            options,
            role: Role::Other,
            stored: None,
            mode: Mode::Recorded,
            term: 0,
            claims: BTreeMap::new(),
            unrecorded: BTreeSet::new(),
            needs_write: false,
            expired_until: 0,
            unresolved: BTreeMap::new(),
            backup: None,
            writing: None,
            unconfirmed: None,
            next_write: Tick::default(),
            next_expiry: Tick::default(),
            is_write_deferred: false,
            successor: None,
            handover: None,
            promised: None,
            takeover_attempt: None,
            highest_epoch: None,
        }
    }

    /// This host's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// How this host grants ids while it is the holder.
    pub fn mode(&self) -> &Mode {
        &self.mode
    }

    /// The record as last known.
    pub fn record(&self) -> Option<&Record> {
        self.stored.as_ref().map(|s| &s.record)
    }

    /// Number of ids kept, and how many of them are unrecorded.
    pub fn counts(&self) -> (usize, usize) {
        (self.claims.len(), self.unrecorded.len())
    }

    /// The entry hosts of running attempts.
    pub fn running_entries(&self) -> Vec<HostId> {
        let mut entries = BTreeSet::new();
        for claim in self.claims.values() {
            if let State::Running(ticket) = &claim.state {
                entries.insert(ticket.entry.clone());
            }
        }
        entries.into_iter().collect()
    }

    /// Earlier holders because of which unknown ids are refused.
    pub fn unresolved_holders(&self) -> impl Iterator<Item = &HostId> {
        self.unresolved.keys()
    }

    /// Whether a handover is in progress or not acknowledged yet.
    pub fn is_handing_over(&self) -> bool {
        self.role == Role::Releasing || self.handover.is_some()
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Request(request) => self.request(now, request, &mut actions),
            Event::Finished { id, ticket, outcome } => {
                self.finished(id, ticket, outcome, &mut actions)
            }
            Event::Unreachable(host) => self.unreachable(&host, &mut actions),
            Event::Ended(host) => self.host_ended(now, &host, &mut actions),
            Event::Read(stored) => self.record_read(stored, &mut actions),
            Event::Written { version } => self.write_succeeded(version, &mut actions),
            Event::WriteUnconfirmed => self.write_unconfirmed(&mut actions),
            Event::WriteConflict(stored) => self.write_conflict(stored, &mut actions),
            Event::EpochAnnounced { epoch, holder } => {
                self.epoch_announced(epoch, holder, &mut actions)
            }
            Event::TakeOver { backup } => self.take_over(backup, &mut actions),
            Event::SetBackup(backup) => self.set_backup(backup),
            Event::Release { to, backup } => self.release(to, backup),
            Event::Message { from, message } => self.handle_message(from, message, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        self.write_if_due(now, &mut actions);
        actions
    }
}
