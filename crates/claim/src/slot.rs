//! A slot as one host sees it: its types and the dispatch of events.

use crate::{Answer, Id, Record, Ticket, VersionedRecord};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use vanetally_types::{HostId, Tick};

/// What an entry host asks of a slot's holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct ClaimRequest {
    /// The request.
    pub id: Id,
    /// Its deadline in Unix milliseconds.
    pub deadline: u64,
    /// The attempt.
    pub ticket: Ticket,
}

/// How a granted attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub enum Outcome {
    /// It ran; the answer is kept unless it was too large or broke off.
    Ran(Option<Arc<Answer>>),
    /// It certainly did not run: the id may be granted again.
    NotRun,
    /// It can't be known.
    Unknown,
}

/// What a holder tells an entry host about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub enum Reply {
    /// Run it. Counts once for a ticket, however often it arrives.
    Grant,
    /// It ran before; this was the answer.
    #[serde(rename = "Kept")]
    Replay(Arc<Answer>),
    /// It ran before; the answer is not kept.
    AlreadyRan,
    /// An earlier attempt may have run. This one was not granted.
    MayHaveRun,
    /// Not granted, nothing known to have run; ask again after so many milliseconds.
    #[serde(rename = "Later")]
    RetryAfter(u64),
    /// This host does not hold the slot.
    NotHolder(Option<HostId>),
}

/// Between hosts, about one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub enum Message {
    /// Holder to backup: promise not to take over as if nothing was granted from memory.
    #[serde(rename = "AskMemory")]
    RequestPromise {
        /// The record's epoch.
        epoch: u64,
        /// Counts the holder's spells of granting from memory.
        term: u64,
    },
    /// Backup to holder: the promise, or its refusal.
    Promise {
        /// The epoch that was asked for.
        epoch: u64,
        /// The term that was asked for.
        term: u64,
        /// Whether it is given.
        given: bool,
    },
    /// Holder to backup: everything granted in this term is recorded.
    #[serde(rename = "MemoryOver")]
    ReleasePromise {
        /// The record's epoch.
        epoch: u64,
        /// The term that ended.
        term: u64,
    },
    /// Earlier holder to the present one: it grants no more, and this is what it knows.
    #[serde(rename = "Farewell")]
    Handover {
        /// Ids that it may have granted, with deadlines.
        claims: Vec<(Id, u64)>,
        /// Attempts that run now.
        running: Vec<(Id, Ticket)>,
        /// Answers that it kept.
        answers: Vec<(Id, Arc<Answer>)>,
    },
    /// Present holder to the earlier one: the handover arrived.
    #[serde(rename = "FarewellSeen")]
    HandoverAck,
}

/// What happens to a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry host asks.
    Request(ClaimRequest),
    /// A granted attempt ended.
    Finished {
        /// The request.
        id: Id,
        /// The attempt.
        ticket: Ticket,
        /// How.
        outcome: Outcome,
    },
    /// An entry host can't be reached: nothing more is to be expected of its attempts soon.
    Unreachable(HostId),
    /// It is proved that this process has ended.
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
    /// A peer tells of a record with this epoch and holder.
    EpochAnnounced {
        /// The epoch.
        epoch: u64,
        /// The holder.
        holder: HostId,
    },
    /// Take the slot over, with this backup.
    TakeOver {
        /// The backup to name.
        backup: Option<HostId>,
    },
    /// Name another backup.
    SetBackup(Option<HostId>),
    /// Hand the slot over for a planned stop.
    Release {
        /// The next holder.
        to: HostId,
        /// Its backup.
        backup: Option<HostId>,
    },
    /// A message of another host.
    Message {
        /// Its sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// Time passes.
    Tick,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record by compare-and-swap on `base`; 0 means that there must be none.
    Write {
        /// The version to replace.
        base: u64,
        /// The record.
        record: Record,
    },
    /// Answer an attempt.
    Reply {
        /// The attempt.
        ticket: Ticket,
        /// The request.
        id: Id,
        /// The answer.
        reply: Reply,
    },
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Pass on how an attempt ended to the present holder.
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

/// Guards that the model check switches off one at a time to see that it notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// While the platform answers, an id is granted only once it is written.
    pub record_first: bool,
    /// The holder grants from memory only with the backup's promise.
    pub promise: bool,
    /// A backup that has begun to take over promises no more.
    pub takeover_bar: bool,
    /// A successor without proof refuses ids that it does not know.
    pub unresolved: bool,
    /// "Not run" counts only for the attempt that was granted last.
    pub ticket: bool,
    /// A promise ends only with the term that it was given for.
    pub term: bool,
    /// A record of an older epoch than one seen before is never followed.
    pub epoch: bool,
    /// An earlier holder keeps what it knows until that is written down.
    pub handover: bool,
}

impl Guards {
    /// All guards on.
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

/// Spans and bounds of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long past its deadline an id is remembered, in milliseconds; no deadline lies further
    /// ahead than this.
    pub retention_ms: u64,
    /// Least time between two writes, in milliseconds.
    pub write_interval_ms: u64,
    /// How long an attempt waits for the record or a promise, in milliseconds.
    pub wait_limit_ms: u64,
    /// Most ids remembered at once.
    pub max_ids: usize,
    /// The model check's switches.
    pub guards: Guards,
}

/// Whether this host holds the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Another host does, or none.
    Other,
    /// This host has begun to take it over.
    Taking,
    /// This host does.
    Holder,
    /// This host has begun to hand it over.
    Releasing,
}

/// How a holder grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// After writing the id to the record.
    Recorded,
    /// Not at all: it waits for these promises.
    Asking(BTreeSet<HostId>),
    /// From memory.
    Memory,
}

impl Mode {
    /// The mode's name in logs and state dumps.
    pub fn as_str(&self) -> &'static str {
        match self {
            Mode::Recorded => "recorded",
            Mode::Asking(_) => "asking",
            Mode::Memory => "memory",
        }
    }
}

/// What a holder knows of an id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// Waiting to be written.
    Pending(Ticket, Tick),
    /// Granted.
    Running(Ticket),
    /// Granted and certainly not run: free for the next attempt.
    Free,
    /// Ran, with the answer if it is kept.
    Ran(Option<Arc<Answer>>),
    /// Granted by somebody, outcome unknown.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Claim {
    pub deadline: u64,
    pub state: State,
    pub waiters: Vec<Ticket>,
}

/// One slot as one host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    pub(crate) me: HostId,
    pub(crate) options: Options,
    pub(crate) role: Role,
    pub(crate) stored: Option<VersionedRecord>,
    pub(crate) mode: Mode,
    /// Counts this host's spells of granting from memory.
    pub(crate) term: u64,
    pub(crate) claims: BTreeMap<Id, Claim>,
    /// Ids that the written record lacks.
    pub(crate) unrecorded: BTreeSet<Id>,
    /// The record differs from what it should say in something else than ids.
    pub(crate) stale: bool,
    pub(crate) expired_until: u64,
    pub(crate) unresolved: BTreeMap<HostId, Option<u64>>,
    pub(crate) backup: Option<HostId>,
    pub(crate) writing: Option<Record>,
    /// A write of which it is unknown whether it took effect.
    pub(crate) lost: Option<Record>,
    pub(crate) next_write: Tick,
    pub(crate) next_forget: Tick,
    pub(crate) held_back: bool,
    /// The next holder while a hand-over goes on.
    pub(crate) heir: Option<(HostId, Option<HostId>)>,
    /// What the present holder has not confirmed yet.
    pub(crate) handover: Option<(HostId, Message)>,
    /// As backup: the promise given, epoch and term.
    pub(crate) promised: Option<(u64, u64)>,
    /// As backup: the epoch and version that this host tried to replace; no promise for that
    /// epoch while the attempt may still take effect.
    pub(crate) barred: Option<(u64, u64)>,
    /// The highest epoch that any peer told of, with its holder.
    pub(crate) highest: Option<(u64, HostId)>,
}

impl Slot {
    /// A slot of which nothing is known yet.
    pub fn new(me: HostId, options: Options) -> Self {
        Self {
            me,
            options,
            role: Role::Other,
            stored: None,
            mode: Mode::Recorded,
            term: 0,
            claims: BTreeMap::new(),
            unrecorded: BTreeSet::new(),
            stale: false,
            expired_until: 0,
            unresolved: BTreeMap::new(),
            backup: None,
            writing: None,
            lost: None,
            next_write: Tick::default(),
            next_forget: Tick::default(),
            held_back: false,
            heir: None,
            handover: None,
            promised: None,
            barred: None,
            highest: None,
        }
    }

    /// Whether this host holds the slot.
    pub fn role(&self) -> Role {
        self.role
    }

    /// How a holder grants.
    pub fn mode(&self) -> &Mode {
        &self.mode
    }

    /// The record as last known.
    pub fn record(&self) -> Option<&Record> {
        self.stored.as_ref().map(|s| &s.record)
    }

    /// How many ids are remembered, and how many of them the record lacks.
    pub fn counts(&self) -> (usize, usize) {
        (self.claims.len(), self.unrecorded.len())
    }

    /// The processes that run granted attempts now.
    pub fn running_entries(&self) -> Vec<HostId> {
        let mut entries = BTreeSet::new();
        for claim in self.claims.values() {
            if let State::Running(ticket) = &claim.state {
                entries.insert(ticket.entry.clone());
            }
        }
        entries.into_iter().collect()
    }

    /// Earlier holders for whose sake unknown ids are refused.
    pub fn unresolved_holders(&self) -> impl Iterator<Item = &HostId> {
        self.unresolved.keys()
    }

    /// Whether a handover is still to be confirmed.
    pub fn is_handing_over(&self) -> bool {
        self.role == Role::Releasing || self.handover.is_some()
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Request(ask) => self.ask(now, ask, &mut out),
            Event::Finished { id, ticket, outcome } => self.finished(id, ticket, outcome, &mut out),
            Event::Unreachable(host) => self.unreachable(&host, &mut out),
            Event::Ended(host) => self.ended(now, &host, &mut out),
            Event::Read(stored) => self.read(stored, &mut out),
            Event::Written { version } => self.wrote(version, &mut out),
            Event::WriteUnconfirmed => self.write_lost(&mut out),
            Event::WriteConflict(stored) => self.write_refused(stored, &mut out),
            Event::EpochAnnounced { epoch, holder } => self.heard(epoch, holder, &mut out),
            Event::TakeOver { backup } => self.take(backup, &mut out),
            Event::SetBackup(backup) => self.set_backup(backup),
            Event::Release { to, backup } => self.release(to, backup),
            Event::Message { from, message } => self.message(from, message, &mut out),
            Event::Tick => self.tick(now, &mut out),
        }
        self.step(now, &mut out);
        out
    }
}
