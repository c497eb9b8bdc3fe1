//! Which lives of upstreams are announced.
//!
//! Announcements lie in the store, one under each id, and an upstream may start again under its id. Here each
//! announcement is taken for what it says of which life, in the order in which the store took them: another
//! start is another life, and the one before it has ended. What this tells, each once, is all that the other
//! decisions hear of it.

use crate::previous::{PreviousIncarnation, PreviousIncarnations};
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
    unreadable_ids: BTreeSet<Name>,
    previous: PreviousIncarnations,
}

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    /// The last announcement under the id.
    revision: Revision,
    /// The last one of this life.
    last_seen: Revision,
    is_readable: bool,
    /// Where the life said that it leaves.
    leaving: Option<Revision>,
}

/// Ids under which nothing can be read are told once each, up to so many.
const MAX_UNREADABLE_IDS: usize = 1_024;

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
            return self.record_first(now, id, revision, read);
        };
        if revision < entry.revision {
            return Vec::new();
        }
        entry.revision = revision;
        let read = read.and_then(|announcement| entry.check(announcement));
        let Announcement { incarnation, mut state } = match read {
            Ok(announcement) => announcement,
            Err(error) => return entry.mark_unreadable(error),
        };
        if entry.incarnation == incarnation {
            entry.is_readable = true;
            entry.last_seen = revision;
            entry.note_leaving(revision, &mut state);
            return vec![RosterUpdate::Seen { incarnation, state, is_new: false }];
        }
        let previous = self.previous.get(now, &incarnation);
        if entry.is_newer_than(&incarnation, revision)
            || previous.is_some_and(|previous| previous.is_replay(revision))
        {
            return vec![RosterUpdate::Outdated { incarnation }];
        }
        if previous.is_some_and(|previous| previous.may_be_late(now)) {
            return Vec::new();
        }
        let leaving = self.previous.remove(&incarnation).and_then(|previous| previous.leaving);
        let next = Entry::new(incarnation.clone(), revision, leaving, &mut state);
        let replaced = std::mem::replace(entry, next);
        self.previous.insert(replaced.incarnation.clone(), replaced.to_previous(now, true));
        vec![
            RosterUpdate::Ended { incarnation: replaced.incarnation, next: incarnation.clone() },
            RosterUpdate::Seen { incarnation, state, is_new: true },
        ]
    }

    /// Nothing is known under `id`. What can't be read names nobody.
    fn record_first(
        &mut self,
        now: Tick,
        id: &Name,
        revision: Revision,
        read: Result<Announcement, AnnouncementError>,
    ) -> Vec<RosterUpdate> {
        let Announcement { incarnation, mut state } = match read {
            Ok(announcement) => announcement,
            Err(error) => return self.record_unreadable(id, error),
        };
        self.unreadable_ids.remove(id);
        let previous = self.previous.get(now, &incarnation);
        if previous.is_some_and(|previous| previous.is_replay(revision)) {
            return vec![RosterUpdate::Outdated { incarnation }];
        }
        let leaving = self.previous.remove(&incarnation).and_then(|previous| previous.leaving);
        let entry = Entry::new(incarnation.clone(), revision, leaving, &mut state);
        self.entries.insert(id.clone(), entry);
        vec![RosterUpdate::Seen { incarnation, state, is_new: true }]
    }

    fn record_unreadable(&mut self, id: &Name, error: AnnouncementError) -> Vec<RosterUpdate> {
        let is_new = self.unreadable_ids.len() < MAX_UNREADABLE_IDS
            && self.unreadable_ids.insert(id.clone());
        if is_new {
            vec![RosterUpdate::Unreadable { incarnation: None, error }]
        } else {
            Vec::new()
        }
    }

    /// The announcement under `id` is gone, and with it the life.
    pub fn remove(&mut self, now: Tick, id: &Name) -> Option<Incarnation> {
        self.unreadable_ids.remove(id);
        let entry = self.entries.remove(id)?;
        self.previous.insert(entry.incarnation.clone(), entry.to_previous(now, false));
        Some(entry.incarnation)
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
        incarnation: Incarnation,
        revision: Revision,
        leaving: Option<Revision>,
        state: &mut UpstreamState,
    ) -> Self {
        let mut entry =
            Self { incarnation, revision, last_seen: revision, is_readable: true, leaving };
        entry.note_leaving(revision, state);
        entry
    }

    /// What is remembered of the life when it is over.
    fn to_previous(&self, now: Tick, is_replaced: bool) -> PreviousIncarnation {
        PreviousIncarnation {
            ended_at: now,
            last_revision: self.last_seen,
            leaving: self.leaving,
            is_replaced,
        }
    }

    /// Whether a copy of the store tells of a life that began before this one.
    fn is_newer_than(&self, other: &Incarnation, revision: Revision) -> bool {
        revision.era > self.last_seen.era
            && other.born.is_some()
            && other.born < self.incarnation.born
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
    fn check(&self, announcement: Announcement) -> Result<Announcement, AnnouncementError> {
        if self.incarnation.born.is_some() && announcement.incarnation.born.is_none() {
            return Err(AnnouncementError::StartMissing);
        }
        Ok(announcement)
    }

    fn mark_unreadable(&mut self, error: AnnouncementError) -> Vec<RosterUpdate> {
        if !std::mem::replace(&mut self.is_readable, false) {
            return Vec::new();
        }
        vec![RosterUpdate::Unreadable { incarnation: Some(self.incarnation.clone()), error }]
    }
}
