//! Ended incarnations of upstreams, kept for as long as a store that is restored from a backup may
//! announce them again.

use std::collections::BTreeMap;
use vanetally_ports::Revision;
use vanetally_types::{Incarnation, Tick};

/// Incarnations that ended recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreviousIncarnations {
    incarnations: BTreeMap<Incarnation, PreviousIncarnation>,
}

/// An incarnation that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreviousIncarnation {
    /// When the end became known.
    pub ended_at: Tick,
    /// Revision of its last announcement.
    pub last_revision: Revision,
    /// Revision at which it announced that it leaves.
    pub leaving: Option<Revision>,
    /// Whether another incarnation was announced in its place; if not, its announcement was
    /// removed.
    pub is_replaced: bool,
}

/// How long heartbeats of an ended incarnation are ignored. A heartbeat of the previous incarnation
/// may reach the store after the first one of the next incarnation. Heartbeats come every one or
/// two seconds, so an incarnation that was taken for ended by mistake is restored by its second or
/// third heartbeat.
const LATE_HEARTBEAT_MS: u64 = 3_000;
/// Maximum age of a backup from which the store is restored. Incarnations that ended longer ago
/// can't be in it.
const MAX_BACKUP_AGE_MS: u64 = 60_000;
/// Maximum number of incarnations that are kept.
const MAX_REMEMBERED: usize = 4_096;

impl PreviousIncarnations {
    /// Adds an incarnation that ended.
    pub(crate) fn insert(&mut self, incarnation: Incarnation, previous: PreviousIncarnation) {
        if self.incarnations.len() >= MAX_REMEMBERED {
            self.incarnations
                .retain(|_, other| previous.ended_at.since(other.ended_at) < MAX_BACKUP_AGE_MS);
        }
        if self.incarnations.len() >= MAX_REMEMBERED {
            self.incarnations.pop_first();
        }
        self.incarnations.insert(incarnation, previous);
    }

    /// Removes an incarnation that turned out to be alive, and returns its record.
    pub(crate) fn remove(&mut self, incarnation: &Incarnation) -> Option<PreviousIncarnation> {
        self.incarnations.remove(incarnation)
    }

    /// Returns the record of an incarnation, unless it ended before any backup of the store was made.
    pub(crate) fn get(&self, now: Tick, incarnation: &Incarnation) -> Option<&PreviousIncarnation> {
        self.incarnations
            .get(incarnation)
            .filter(|previous| now.since(previous.ended_at) < MAX_BACKUP_AGE_MS)
    }
}

impl PreviousIncarnation {
    /// Whether `revision` is the last announcement or an earlier one, repeated by a store that was
    /// restored from a backup.
    pub(crate) fn is_replay(&self, revision: Revision) -> bool {
        revision.era > self.last_revision.era && revision.number <= self.last_revision.number
    }

    /// Whether a heartbeat received at `now` may be a delayed one.
    pub(crate) fn may_be_late(&self, now: Tick) -> bool {
        self.is_replaced && now.since(self.ended_at) < LATE_HEARTBEAT_MS
    }
}
