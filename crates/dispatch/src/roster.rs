//! Incarnations of upstreams, derived from their announcements.
//!
//! The store holds one announcement per upstream id. An upstream that restarts keeps its id and
//! gets another start time, so an announcement with another start time belongs to a new incarnation
//! and ends the previous one. Announcements are processed in the order of their store revisions.
//! The other decisions learn of upstreams only through the [`RosterUpdate`]s returned here; each
//! change is returned once.

use crate::previous::{PreviousIncarnation, PreviousIncarnations};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{Announcement, AnnouncementError, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

/// Result of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterUpdate {
    /// An incarnation announced itself, or changed its announcement.
    Seen {
        /// The announced incarnation.
        incarnation: Incarnation,
        /// The announced state.
        state: UpstreamState,
        /// Whether the incarnation was unknown before.
        is_new: bool,
    },
    /// The announcement can't be read; the upstream gets no new requests until it can.
    Unreadable {
        /// The incarnation that was announced last, if any.
        incarnation: Option<Incarnation>,
        /// Why the announcement can't be read.
        error: AnnouncementError,
    },
    /// A store that was restored from a backup returned an announcement that is known to be out of date.
    Outdated {
        /// The incarnation in that announcement.
        incarnation: Incarnation,
    },
    /// An incarnation ended: another one was announced under its id.
    Ended {
        /// The incarnation that ended.
        incarnation: Incarnation,
        /// The incarnation that replaced it.
        next: Incarnation,
    },
}

/// The announcements of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<Name, Entry>,
    /// Ids of which no announcement could be read so far.
    unreadable_ids: BTreeSet<Name>,
    previous: PreviousIncarnations,
}

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    /// Revision of the last announcement under the id.
    revision: Revision,
    /// Revision of the last readable announcement of this incarnation.
    last_seen: Revision,
    is_readable: bool,
    /// Revision at which the incarnation announced that it leaves.
    leaving: Option<Revision>,
}

/// Maximum number of ids without a readable announcement; each of them is reported once.
const MAX_UNREADABLE_IDS: usize = 1_024;

impl Roster {
    /// Records the announcement of `id` at `revision`, as read or with the error.
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

    /// Records the first announcement of an unknown `id`. An unreadable one names no incarnation.
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

    /// Records that the announcement of `id` is gone. Returns the incarnation that ended with it.
    pub fn remove(&mut self, now: Tick, id: &Name) -> Option<Incarnation> {
        self.unreadable_ids.remove(id);
        let entry = self.entries.remove(id)?;
        self.previous.insert(entry.incarnation.clone(), entry.to_previous(now, false));
        Some(entry.incarnation)
    }

    /// Whether an incarnation is known under `id`.
    pub fn contains(&self, id: &Name) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns all ids with a known incarnation.
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

    /// Returns what is kept of the incarnation after its end.
    fn to_previous(&self, now: Tick, is_replaced: bool) -> PreviousIncarnation {
        PreviousIncarnation {
            ended_at: now,
            last_revision: self.last_seen,
            leaving: self.leaving,
            is_replaced,
        }
    }

    /// Whether `revision` comes from a restored backup and `other` began before this incarnation.
    fn is_newer_than(&self, other: &Incarnation, revision: Revision) -> bool {
        revision.era > self.last_seen.era
            && other.born.is_some()
            && other.born < self.incarnation.born
    }

    /// Updates the leaving state. Only the incarnation itself, in the era in which it announced
    /// that it leaves, can take that back; an announcement from a restored backup can't.
    fn note_leaving(&mut self, revision: Revision, state: &mut UpstreamState) {
        if state.draining {
            self.leaving = Some(revision);
        } else if self.leaving.is_some_and(|leaving| leaving.era == revision.era) {
            self.leaving = None;
        }
        state.draining = self.leaving.is_some();
    }

    /// Rejects an announcement without a start time if the previous one had it: another writer
    /// wrote it.
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
