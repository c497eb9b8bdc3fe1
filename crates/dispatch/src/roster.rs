//! Which lives of upstreams are announced.
//!
//! Announcements lie in the store, one under each id, and an upstream may start again under its id. Here each
//! announcement is taken for what it says of which life, in the order in which the store took them: another
//! start is another life, and the one before it has ended. What this tells, each once, is all that the other
//! decisions hear of it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
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
    /// A copy of the store tells what is known to be over.
    Outdated {
        /// The life that it tells of.
        life: Incarnation,
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
    /// Lives whose announcements went lately, oldest first.
    departed: VecDeque<Departed>,
}

#[derive(Clone, Debug)]
struct Entry {
    life: Incarnation,
    revision: Revision,
    is_readable: bool,
    /// Where the life said that it leaves.
    leaving: Option<Revision>,
    /// Lives that ended here lately.
    ended: Vec<Ended>,
}

/// A life after which another one was announced under its id.
#[derive(Clone, Debug)]
struct Ended {
    life: Incarnation,
    at: Tick,
    /// Where the other one was announced.
    revision: Revision,
}

/// A life whose announcement went.
#[derive(Clone, Debug)]
struct Departed {
    life: Incarnation,
    at: Tick,
    /// Its last announcement.
    revision: Revision,
    leaving: Option<Revision>,
}

/// A heartbeat of a life that has ended may come to the store after the first one of the next life: for this
/// long it is passed over, in milliseconds. Heartbeats come each second or two, so that a life that was taken for an
/// ended one by mistake is believed again with its second or third.
const LATE_MS: u64 = 3_000;
/// Copies from which a store comes back are younger than this, in milliseconds: what was over before can't be in them.
const COPY_MS: u64 = 60_000;
/// Ids under which nothing can be read are told once each, up to so many.
const MOST_STRANGERS: usize = 1_024;
/// Lives whose announcements went that are remembered.
const MOST_DEPARTED: usize = 4_096;

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
            return self.first(now, id, revision, read);
        };
        if revision < entry.revision {
            return Vec::new();
        }
        entry.revision = revision;
        let read = read.and_then(|told| entry.check(told));
        let Announcement { life, mut state } = match read {
            Ok(told) => told,
            Err(error) => return entry.unreadable(error),
        };
        entry.ended.retain(|ended| now.since(ended.at) < COPY_MS);
        let ended = entry.ended.iter().find(|ended| ended.life == life);
        if let Some(ended) = ended {
            if ended.revision.era < revision.era {
                return vec![News::Outdated { life }];
            }
            if now.since(ended.at) < LATE_MS {
                return Vec::new();
            }
        }
        entry.is_readable = true;
        if entry.life == life {
            entry.note_leaving(revision, &mut state);
            return vec![News::Seen { life, state, is_new: false }];
        }
        entry.leaving = state.draining.then_some(revision);
        let before = std::mem::replace(&mut entry.life, life.clone());
        entry.ended.push(Ended { life: before.clone(), at: now, revision });
        vec![
            News::Ended { life: before, next: life.clone() },
            News::Seen { life, state, is_new: true },
        ]
    }

    /// Nothing is known under `id`. What can't be read names nobody.
    fn first(
        &mut self,
        now: Tick,
        id: &Name,
        revision: Revision,
        read: Result<Announcement, AnnouncementError>,
    ) -> Vec<News> {
        let Announcement { life, mut state } = match read {
            Ok(told) => told,
            Err(error) => return self.stranger(id, error),
        };
        self.strangers.remove(id);
        let departed = self.find_departed(now, &life);
        if departed.is_some_and(|departed| departed.is_told_again(revision)) {
            return vec![News::Outdated { life }];
        }
        let leaving = departed.and_then(|departed| departed.leaving);
        self.departed.retain(|departed| departed.life != life);
        let (is_readable, ended) = (true, Vec::new());
        let mut entry = Entry { life: life.clone(), revision, is_readable, leaving, ended };
        entry.note_leaving(revision, &mut state);
        self.entries.insert(id.clone(), entry);
        vec![News::Seen { life, state, is_new: true }]
    }

    fn stranger(&mut self, id: &Name, error: AnnouncementError) -> Vec<News> {
        let is_new = self.strangers.len() < MOST_STRANGERS && self.strangers.insert(id.clone());
        if is_new { vec![News::Unreadable { life: None, error }] } else { Vec::new() }
    }

    /// The announcement under `id` is gone, and with it the life.
    pub fn gone(&mut self, now: Tick, id: &Name) -> Option<Incarnation> {
        self.strangers.remove(id);
        let Entry { life, revision, leaving, .. } = self.entries.remove(id)?;
        if self.departed.len() >= MOST_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(Departed { life: life.clone(), at: now, revision, leaving });
        Some(life)
    }

    /// What is remembered of a life whose announcement went.
    fn find_departed(&mut self, now: Tick, life: &Incarnation) -> Option<&Departed> {
        let is_old = |departed: &Departed| now.since(departed.at) >= COPY_MS;
        while self.departed.front().is_some_and(is_old) {
            self.departed.pop_front();
        }
        self.departed.iter().find(|departed| departed.life == *life)
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

impl Departed {
    /// Whether `revision` is its last announcement or an earlier one, told by a copy.
    fn is_told_again(&self, revision: Revision) -> bool {
        revision.era > self.revision.era && revision.number <= self.revision.number
    }
}

impl Entry {
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
