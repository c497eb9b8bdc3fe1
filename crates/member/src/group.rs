//! The stewardship of a group of runners.
//!
//! A record in the platform's service names the steward and grows by a term with each change.
//! Two hosts may believe at once that they are the steward; what they order is decided by the
//! runner's fence or by the compare-and-swap on the runner's record, never by this record alone.

use serde::{Deserialize, Serialize};
use vanetally_types::{HostId, Name, hash64};

/// The group of a runner among `groups`.
pub fn group_of(runner: &Name, groups: u16) -> u16 {
    let spread = hash64(runner.as_bytes()) % u64::from(groups.max(1));
    spread as u16
}

/// A stewardship as written.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Grows with each change.
    pub term: u64,
    /// The steward.
    pub holder: HostId,
    /// Whether the steward has handed it back.
    pub released: bool,
}

/// A record with the version that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedRecord {
    /// The platform's version.
    pub version: u64,
    /// The record.
    pub record: Record,
}

/// What happens to a stewardship.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This host should take it unless the recorded holder is among the living.
    Claim {
        /// Whether the recorded holder, if any, is known to serve.
        holder_serves: bool,
    },
    /// The record as read.
    Read(Option<VersionedRecord>),
    /// The last write took effect.
    Written {
        /// The platform's version.
        version: u64,
    },
    /// It is unknown whether the last write took effect.
    WriteUnconfirmed,
    /// The last write did not take effect; this is the record.
    WriteConflict(Option<VersionedRecord>),
    /// A runner or a peer knows a term at least this high.
    TermAnnounced {
        /// The term.
        term: u64,
        /// Its holder, where known.
        holder: Option<HostId>,
    },
    /// Hand it back for a planned stop.
    Release,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write by compare-and-swap on `base`; 0 means that there must be none.
    Write {
        /// The version to replace.
        base: u64,
        /// The record.
        record: Record,
    },
    /// This host is the steward under this term.
    LeadershipAcquired(u64),
    /// This host is not the steward any more.
    LeadershipLost,
}

/// Whether this host is the steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Another host is, or none.
    Other,
    /// This host is writing itself in.
    Taking,
    /// This host is.
    Holder,
}

/// One group's stewardship as one host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupLeadership {
    me: HostId,
    role: Role,
    stored: Option<VersionedRecord>,
    writing: Option<Record>,
    reading: bool,
    /// The highest term known anywhere.
    highest: u64,
    /// The holder of the highest term known from peers.
    holder: Option<HostId>,
}

impl GroupLeadership {
    /// A stewardship of which nothing is known yet.
    pub fn new(me: HostId) -> Self {
        Self {
            me,
            role: Role::Other,
            stored: None,
            writing: None,
            reading: false,
            highest: 0,
            holder: None,
        }
    }

    /// Whether this host is the steward.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The highest term known and its holder.
    pub fn known_leader(&self) -> (u64, Option<&HostId>) {
        (self.highest, self.holder.as_ref())
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Claim { holder_serves } => self.claim(holder_serves, &mut out),
            Event::Read(stored) => self.read(stored, &mut out),
            Event::Written { version } => self.wrote(version, &mut out),
            Event::WriteUnconfirmed => self.write_lost(&mut out),
            Event::WriteConflict(stored) => self.write_refused(stored, &mut out),
            Event::TermAnnounced { term, holder } => self.heard(term, holder, &mut out),
            Event::Release => self.release(&mut out),
        }
        out
    }

    fn claim(&mut self, holder_serves: bool, out: &mut Vec<Action>) {
        let idle = self.writing.is_none() && !self.reading;
        let wanted = self.role == Role::Other && !(holder_serves && self.holder.is_some());
        if idle && wanted {
            self.reading = true;
            out.push(Action::Read);
        }
    }

    fn read(&mut self, stored: Option<VersionedRecord>, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.reading) || self.writing.is_some() {
            return;
        }
        self.stored = stored;
        if let Some(stored) = &self.stored {
            let newer = stored.record.term > self.highest;
            let record = stored.record.clone();
            self.highest = self.highest.max(record.term);
            if newer && !record.released && record.holder != self.me {
                // Somebody took it since: look again before taking it from them.
                self.holder = Some(record.holder);
                return;
            }
        }
        self.write(false, out);
    }

    /// The platform is out: a read failed, or a write that may have taken effect.
    fn write_lost(&mut self, out: &mut Vec<Action>) {
        self.reading = false;
        if self.writing.take().is_some() {
            self.drop(out);
        }
    }

    fn write(&mut self, released: bool, out: &mut Vec<Action>) {
        let base = self.stored.as_ref().map_or(0, |s| s.version);
        let record = Record { term: self.highest + 1, holder: self.me.clone(), released };
        self.highest = record.term;
        self.writing = Some(record.clone());
        if !released {
            self.role = Role::Taking;
        }
        out.push(Action::Write { base, record });
    }

    fn wrote(&mut self, version: u64, out: &mut Vec<Action>) {
        let Some(record) = self.writing.take() else {
            return;
        };
        let stored = VersionedRecord { version, record };
        self.settle(stored, out);
    }

    /// This host's own record stands.
    fn settle(&mut self, stored: VersionedRecord, out: &mut Vec<Action>) {
        let record = stored.record.clone();
        self.stored = Some(stored);
        if record.released {
            self.holder = None;
            return;
        }
        self.holder = Some(self.me.clone());
        self.role = Role::Holder;
        out.push(Action::LeadershipAcquired(record.term));
    }

    fn write_refused(&mut self, stored: Option<VersionedRecord>, out: &mut Vec<Action>) {
        let Some(wrote) = self.writing.take() else {
            return;
        };
        match stored {
            Some(new) if new.record == wrote => return self.settle(new, out),
            Some(new) => {
                self.highest = self.highest.max(new.record.term);
                self.holder = Some(new.record.holder.clone());
                self.stored = Some(new);
            }
            None => self.stored = None,
        }
        self.drop(out);
    }

    fn drop(&mut self, out: &mut Vec<Action>) {
        let held = self.role != Role::Other;
        self.role = Role::Other;
        if held {
            out.push(Action::LeadershipLost);
        }
    }

    fn heard(&mut self, term: u64, holder: Option<HostId>, out: &mut Vec<Action>) {
        if term <= self.highest && !(term == self.highest && self.holder.is_none()) {
            return;
        }
        self.highest = self.highest.max(term);
        match holder {
            Some(holder) if holder == self.me => {}
            Some(holder) => {
                self.holder = Some(holder);
                if self.writing.is_none() {
                    self.drop(out);
                }
            }
            // A runner knows a higher term: take the stewardship anew above it.
            None if self.role == Role::Holder && self.writing.is_none() => self.write(false, out),
            None => {}
        }
    }

    fn release(&mut self, out: &mut Vec<Action>) {
        if self.role == Role::Holder && self.writing.is_none() {
            self.drop(out);
            self.write(true, out);
        }
    }
}
