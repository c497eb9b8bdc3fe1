//! Which lives of upstreams are announced.
//!
//! Announcements lie in the store, one under each id, and an upstream may start again under its id. Here each
//! announcement is taken for what it says of which life, in the order in which the store took them: another
//! start is another life, and the one before it has ended. What this tells, each once, is all that the other
//! decisions hear of it.

use crate::former::{Former, FormerLives};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{Announcement, AnnouncementError, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

/// What an announcement, or its end, means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterUpdate {
    /// A life announced itself, or changed what it announces.
    Seen {
        /// The life.
        incarnation: Incarnation,
        /// What it says.
        state: UpstreamState,
        /// Whether nothing was known of it before.
        is_new: bool,
    },
    /// What lies under its id can't be read: it gets nothing new until it can.
    Unreadable {
        /// The life that was announced last, if any.
        incarnation: Option<Incarnation>,
        /// Why.
        error: AnnouncementError,
    },
    /// A copy of the store tells what is known to be over.
    Outdated {
        /// The life that it tells of.
        incarnation: Incarnation,
    },
    /// A life has ended: another one is announced under its id.
    Ended {
        /// The life that ended.
        incarnation: Incarnation,
        /// The one after it.
        next: Incarnation,
    },
}

/// The announcements of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<Name, Entry>,
    /// Ids under which nothing was ever read, only what can't be.
    strangers: BTreeSet<Name>,
    former: FormerLives,
}

#[derive(Clone, Debug)]
struct Entry {
    life: Incarnation,
    /// The last announcement under the id.
    revision: Revision,
    /// The last one of this life.
    seen: Revision,
    is_readable: bool,
    /// Where the life said that it leaves.
    leaving: Option<Revision>,
}

/// Ids under which nothing can be read are told once each, up to so many.
const MOST_STRANGERS: usize = 1_024;

impl Roster {
    /// What lies under `id` as of `revision` was read, or can't be.
    pub fn record(
        &mut self,
        now: Tick,
        id: &Name,
        revision: Revision,
        read: Result<Announcement, AnnouncementError>,
    ) -> Vec<RosterUpdate> {
        let Some(entry) = self.entries.get_mut(id) else {
            return self.first(now, id, revision, read);
        };
        if revision < entry.revision {
            return Vec::new();
        }
        entry.revision = revision;
        let read = read.and_then(|told| entry.check(told));
        let Announcement { incarnation: life, mut state } = match read {
            Ok(told) => told,
            Err(error) => return entry.unreadable(error),
        };
        if entry.life == life {
            entry.is_readable = true;
            entry.seen = revision;
            entry.note_leaving(revision, &mut state);
            return vec![RosterUpdate::Seen { incarnation: life, state, is_new: false }];
        }
        let former = self.former.get(now, &life);
        if entry.is_younger(&life, revision) || former.is_some_and(|f| f.is_told_again(revision)) {
            return vec![RosterUpdate::Outdated { incarnation: life }];
        }
        if former.is_some_and(|former| former.is_late(now)) {
            return Vec::new();
        }
        let leaving = self.former.remove(&life).and_then(|former| former.leaving);
        let next = Entry::new(life.clone(), revision, leaving, &mut state);
        let before = std::mem::replace(entry, next);
        self.former.insert(before.life.clone(), before.end(now, true));
        vec![
            RosterUpdate::Ended { incarnation: before.life, next: life.clone() },
            RosterUpdate::Seen { incarnation: life, state, is_new: true },
        ]
    }

    /// Nothing is known under `id`. What can't be read names nobody.
    fn first(
        &mut self,
        now: Tick,
        id: &Name,
        revision: Revision,
        read: Result<Announcement, AnnouncementError>,
    ) -> Vec<RosterUpdate> {
        let Announcement { incarnation: life, mut state } = match read {
            Ok(told) => told,
            Err(error) => return self.stranger(id, error),
        };
        self.strangers.remove(id);
        let former = self.former.get(now, &life);
        if former.is_some_and(|former| former.is_told_again(revision)) {
            return vec![RosterUpdate::Outdated { incarnation: life }];
        }
        let leaving = self.former.remove(&life).and_then(|former| former.leaving);
        let entry = Entry::new(life.clone(), revision, leaving, &mut state);
        self.entries.insert(id.clone(), entry);
        vec![RosterUpdate::Seen { incarnation: life, state, is_new: true }]
    }

    fn stranger(&mut self, id: &Name, error: AnnouncementError) -> Vec<RosterUpdate> {
        let is_new = self.strangers.len() < MOST_STRANGERS && self.strangers.insert(id.clone());
        if is_new {
            vec![RosterUpdate::Unreadable { incarnation: None, error }]
        } else {
            Vec::new()
        }
    }

    /// The announcement under `id` is gone, and with it the life.
    pub fn remove(&mut self, now: Tick, id: &Name) -> Option<Incarnation> {
        self.strangers.remove(id);
        let entry = self.entries.remove(id)?;
        self.former.insert(entry.life.clone(), entry.end(now, false));
        Some(entry.life)
    }

    /// Whether anything is known under `id`.
    pub fn contains(&self, id: &Name) -> bool {
        self.entries.contains_key(id)
    }

    /// All ids under which something is known.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.entries.keys()
    }
}

impl Entry {
    fn new(
        life: Incarnation,
        revision: Revision,
        leaving: Option<Revision>,
        state: &mut UpstreamState,
    ) -> Self {
        let mut entry = Self { life, revision, seen: revision, is_readable: true, leaving };
        entry.note_leaving(revision, state);
        entry
    }

    /// What is remembered of the life when it is over.
    fn end(&self, now: Tick, is_replaced: bool) -> Former {
        Former { at: now, last: self.seen, leaving: self.leaving, is_replaced }
    }

    /// Whether a copy of the store tells of a life that began before this one.
    fn is_younger(&self, other: &Incarnation, revision: Revision) -> bool {
        revision.era > self.seen.era && other.born.is_some() && other.born < self.life.born
    }

    /// A copy does not take back that a life leaves; the life itself may, in the era in which it said so.
    fn note_leaving(&mut self, revision: Revision, state: &mut UpstreamState) {
        if state.draining {
            self.leaving = Some(revision);
        } else if self.leaving.is_some_and(|leaving| leaving.era == revision.era) {
            self.leaving = None;
        }
        state.draining = self.leaving.is_some();
    }

    /// An announcement that leaves out the start that the one before it told comes from another writer.
    fn check(&self, told: Announcement) -> Result<Announcement, AnnouncementError> {
        if self.life.born.is_some() && told.incarnation.born.is_none() {
            return Err(AnnouncementError::StartMissing);
        }
        Ok(told)
    }

    fn unreadable(&mut self, error: AnnouncementError) -> Vec<RosterUpdate> {
        if !std::mem::replace(&mut self.is_readable, false) {
            return Vec::new();
        }
        vec![RosterUpdate::Unreadable { incarnation: Some(self.life.clone()), error }]
    }
}
