//! Leadership of a group of runners.
//!
//! A record in the platform's service names the leader; each change of it increments the term.
//! Two hosts may act as leader at the same time, so this record alone authorises no order: the
//! runner's fence or the compare-and-swap on the runner's record does.

use serde::{Deserialize, Serialize};
use vanetally_types::{HostId, Name, hash64};

/// Returns the group of a runner among `groups` groups.
pub fn group_of(runner: &Name, groups: u16) -> u16 {
    let group = hash64(runner.as_bytes()) % u64::from(groups.max(1));
    group as u16
}

/// The leadership record of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Increases with each change of the record.
    pub term: u64,
    /// The leader.
    pub holder: HostId,
    /// Whether the leader has released the leadership.
    pub released: bool,
}

/// A record and the version that the platform assigned to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedRecord {
    /// The platform's version.
    pub version: u64,
    /// The record.
    pub record: Record,
}

/// An input of a group's leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This host should become leader unless the known leader is eligible.
    Claim {
        /// Whether the known leader, if any, is eligible.
        leader_eligible: bool,
    },
    /// The record as read; `None` if there is none.
    Read(Option<VersionedRecord>),
    /// The last write took effect and has this version.
    Written {
        /// The platform's version.
        version: u64,
    },
    /// A read failed, or it is unknown whether the last write took effect.
    WriteUnconfirmed,
    /// The last write was rejected because the record had changed; this is the current one.
    WriteConflict(Option<VersionedRecord>),
    /// A runner or a peer reported this term.
    TermAnnounced {
        /// The term.
        term: u64,
        /// Its leader, if known.
        holder: Option<HostId>,
    },
    /// Release the leadership before a planned stop.
    Release,
}

/// An output of a group's leadership, for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record by compare-and-swap.
    Write {
        /// The version to replace; 0 if there must be no record.
        base: u64,
        /// The record.
        record: Record,
    },
    /// This host became leader under this term.
    LeadershipAcquired(u64),
    /// This host is no longer the leader.
    LeadershipLost,
}

/// This host's role in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Another host is the leader, or none is.
    Other,
    /// This host is writing itself into the record.
    Taking,
    /// This host is the leader.
    Holder,
}

/// The state of a group's leadership on one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupLeadership {
    host_id: HostId,
    role: Role,
    stored: Option<VersionedRecord>,
    pending_write: Option<Record>,
    reading: bool,
    /// The highest known term.
    highest_term: u64,
    /// The leader under the highest known term, if known.
    holder: Option<HostId>,
}

impl GroupLeadership {
    /// Creates the state of a group whose record has not been read.
    pub fn new(host_id: HostId) -> Self {
        Self {
            host_id,
            role: Role::Other,
            stored: None,
            pending_write: None,
            reading: false,
            highest_term: 0,
            holder: None,
        }
    }

    /// This host's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The highest known term and its leader.
    pub fn known_leader(&self) -> (u64, Option<&HostId>) {
        (self.highest_term, self.holder.as_ref())
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim { leader_eligible } => self.claim(leader_eligible, &mut actions),
            Event::Read(stored) => self.read(stored, &mut actions),
            Event::Written { version } => self.written(version, &mut actions),
            Event::WriteUnconfirmed => self.write_unconfirmed(&mut actions),
            Event::WriteConflict(stored) => self.write_conflict(stored, &mut actions),
            Event::TermAnnounced { term, holder } => {
                self.term_announced(term, holder, &mut actions)
            }
            Event::Release => self.release(&mut actions),
        }
        actions
    }

    fn claim(&mut self, leader_eligible: bool, actions: &mut Vec<Action>) {
        let idle = self.pending_write.is_none() && !self.reading;
        let is_vacant = self.role == Role::Other && !(leader_eligible && self.holder.is_some());
        if idle && is_vacant {
            self.reading = true;
            actions.push(Action::Read);
        }
    }

    fn read(&mut self, stored: Option<VersionedRecord>, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.reading) || self.pending_write.is_some() {
            return;
        }
        self.stored = stored;
        if let Some(stored) = &self.stored {
            let is_newer = stored.record.term > self.highest_term;
            let record = stored.record.clone();
            self.highest_term = self.highest_term.max(record.term);
            if is_newer && !record.released && record.holder != self.host_id {
                // Another host became leader meanwhile: leave it until the next claim.
                self.holder = Some(record.holder);
                return;
            }
        }
        self.write(false, actions);
    }

    /// The platform did not answer: a read failed, or a write may have taken effect.
    fn write_unconfirmed(&mut self, actions: &mut Vec<Action>) {
        self.reading = false;
        if self.pending_write.take().is_some() {
            self.step_down(actions);
        }
    }

    fn write(&mut self, released: bool, actions: &mut Vec<Action>) {
        let base = self.stored.as_ref().map_or(0, |s| s.version);
        let record = Record { term: self.highest_term + 1, holder: self.host_id.clone(), released };
        self.highest_term = record.term;
        self.pending_write = Some(record.clone());
        if !released {
            self.role = Role::Taking;
        }
        actions.push(Action::Write { base, record });
    }

    fn written(&mut self, version: u64, actions: &mut Vec<Action>) {
        let Some(record) = self.pending_write.take() else {
            return;
        };
        let stored = VersionedRecord { version, record };
        self.confirm(stored, actions);
    }

    /// Handles the confirmation that the stored record is this host's.
    fn confirm(&mut self, stored: VersionedRecord, actions: &mut Vec<Action>) {
        let record = stored.record.clone();
        self.stored = Some(stored);
        if record.released {
            self.holder = None;
            return;
        }
        self.holder = Some(self.host_id.clone());
        self.role = Role::Holder;
        actions.push(Action::LeadershipAcquired(record.term));
    }

    fn write_conflict(&mut self, stored: Option<VersionedRecord>, actions: &mut Vec<Action>) {
        let Some(written) = self.pending_write.take() else {
            return;
        };
        match stored {
            Some(current) if current.record == written => return self.confirm(current, actions),
            Some(current) => {
                self.highest_term = self.highest_term.max(current.record.term);
                self.holder = Some(current.record.holder.clone());
                self.stored = Some(current);
            }
            None => self.stored = None,
        }
        self.step_down(actions);
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        let was_leader = self.role != Role::Other;
        self.role = Role::Other;
        if was_leader {
            actions.push(Action::LeadershipLost);
        }
    }

    fn term_announced(&mut self, term: u64, holder: Option<HostId>, actions: &mut Vec<Action>) {
        if term <= self.highest_term && !(term == self.highest_term && self.holder.is_none()) {
            return;
        }
        self.highest_term = self.highest_term.max(term);
        match holder {
            Some(holder) if holder == self.host_id => {}
            Some(holder) => {
                self.holder = Some(holder);
                if self.pending_write.is_none() {
                    self.step_down(actions);
                }
            }
            // A runner has a higher term: renew the leadership under a term above it.
            None if self.role == Role::Holder && self.pending_write.is_none() => {
                self.write(false, actions)
            }
            None => {}
        }
    }

    fn release(&mut self, actions: &mut Vec<Action>) {
        if self.role == Role::Holder && self.pending_write.is_none() {
            self.step_down(actions);
            self.write(true, actions);
        }
    }
}
