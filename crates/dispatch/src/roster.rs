//! Which lives of upstreams are announced.
//!
//! Announcements lie in the store, one under each id, and an upstream may start again under its id. Here each
//! announcement is taken for what it says of which life, in the order in which the store took them: another
//! start is another life, and the one before it has ended. What this tells, each once, is all that the other
//! decisions hear of it.

use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{Announcement, AnnouncementError, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

/// What an announcement, or its end, means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A life announced itself, or changed what it announces.
    Seen {
        /// The life.
        life: Incarnation,
        /// What it says.
        state: UpstreamState,
        /// Whether nothing was known of it before.
        is_new: bool,
    },
    /// What lies under its id can't be read: it gets nothing new until it can.
    Unreadable {
        /// The life that was announced last, if any.
        life: Option<Incarnation>,
        /// Why.
        error: AnnouncementError,
    },
    /// A life has ended: another one is announced under its id.
    Ended {
        /// The life that ended.
        life: Incarnation,
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
}

#[derive(Clone, Debug)]
struct Entry {
    life: Incarnation,
    revision: Revision,
    is_readable: bool,
    /// Lives that ended here lately, and when.
    ended: Vec<(Incarnation, Tick)>,
}

/// A heartbeat of a life that has ended may come to the store after the first one of the next life: for this
/// long it is passed over, in milliseconds. Heartbeats come each second or two, so that a life that was taken for an
/// ended one by mistake is believed again with its second or third.
const LATE_MS: u64 = 3_000;
/// Ids under which nothing can be read are told once each, up to so many.
const MOST_STRANGERS: usize = 1_024;

impl Roster {
    /// What lies under `id` as of `revision` was read, or can't be.
    pub fn announced(
        &mut self,
        now: Tick,
        id: &Name,
        revision: Revision,
        read: Result<Announcement, AnnouncementError>,
    ) -> Vec<News> {
        let Some(entry) = self.entries.get_mut(id) else {
            return self.first(id, revision, read);
        };
        if revision < entry.revision {
            return Vec::new();
        }
        entry.revision = revision;
        let read = read.and_then(|told| entry.check(told));
        let Announcement { life, state } = match read {
            Ok(told) => told,
            Err(error) => return entry.unreadable(error),
        };
        entry.ended.retain(|(_, at)| now.since(*at) < LATE_MS);
        if entry.ended.iter().any(|(ended, _)| *ended == life) {
            return Vec::new();
        }
        entry.is_readable = true;
        if entry.life == life {
            return vec![News::Seen { life, state, is_new: false }];
        }
        let before = std::mem::replace(&mut entry.life, life.clone());
        entry.ended.push((before.clone(), now));
        vec![
            News::Ended { life: before, next: life.clone() },
            News::Seen { life, state, is_new: true },
        ]
    }

    /// Nothing is known under `id`. What can't be read names nobody.
    fn first(
        &mut self,
        id: &Name,
        revision: Revision,
        read: Result<Announcement, AnnouncementError>,
    ) -> Vec<News> {
        let Announcement { life, state } = match read {
            Ok(told) => told,
            Err(error) => return self.stranger(id, error),
        };
        self.strangers.remove(id);
        let entry = Entry { life: life.clone(), revision, is_readable: true, ended: Vec::new() };
        self.entries.insert(id.clone(), entry);
        vec![News::Seen { life, state, is_new: true }]
    }

    fn stranger(&mut self, id: &Name, error: AnnouncementError) -> Vec<News> {
        let is_new = self.strangers.len() < MOST_STRANGERS && self.strangers.insert(id.clone());
        if is_new { vec![News::Unreadable { life: None, error }] } else { Vec::new() }
    }

    /// The announcement under `id` is gone, and with it the life.
    pub fn gone(&mut self, id: &Name) -> Option<Incarnation> {
        self.strangers.remove(id);
        self.entries.remove(id).map(|entry| entry.life)
    }

    /// Whether anything is known under `id`.
    pub fn knows(&self, id: &Name) -> bool {
        self.entries.contains_key(id)
    }

    /// All ids under which something is known.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.entries.keys()
    }
}

impl Entry {
    /// An announcement that leaves out the start that the one before it told comes from another writer.
    fn check(&self, told: Announcement) -> Result<Announcement, AnnouncementError> {
        if self.life.born.is_some() && told.life.born.is_none() {
            return Err(AnnouncementError::Unborn);
        }
        Ok(told)
    }

    fn unreadable(&mut self, error: AnnouncementError) -> Vec<News> {
        if !std::mem::replace(&mut self.is_readable, false) {
            return Vec::new();
        }
        vec![News::Unreadable { life: Some(self.life.clone()), error }]
    }
}
