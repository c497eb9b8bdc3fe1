//! Lives of upstreams that are over, as far as a copy of the store may still tell of them.

use std::collections::BTreeMap;
use vanetally_ports::Revision;
use vanetally_types::{Incarnation, Tick};

/// Lives that ended lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreviousIncarnations {
    incarnations: BTreeMap<Incarnation, PreviousIncarnation>,
}

/// A life that is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreviousIncarnation {
    /// When that was known.
    pub ended_at: Tick,
    /// Its last announcement.
    pub last_revision: Revision,
    /// Where it said that it leaves.
    pub leaving: Option<Revision>,
    /// Whether another life was announced in its place; otherwise its announcement went.
    pub is_replaced: bool,
}

/// A heartbeat of a life that has ended may come to the store after the first one of the next life: for this
/// long it is passed over, in milliseconds. Heartbeats come each second or two, so that a life that was taken for an
/// ended one by mistake is believed again with its second or third.
const LATE_HEARTBEAT_MS: u64 = 3_000;
/// Copies from which a store comes back are younger than this, in milliseconds: what was over before can't be in them.
const MAX_COPY_AGE_MS: u64 = 60_000;
/// Lives that are remembered.
const MAX_REMEMBERED: usize = 4_096;

impl PreviousIncarnations {
    /// A life is over.
    pub(crate) fn insert(&mut self, incarnation: Incarnation, previous: PreviousIncarnation) {
        if self.incarnations.len() >= MAX_REMEMBERED {
            self.incarnations
                .retain(|_, other| previous.ended_at.since(other.ended_at) < MAX_COPY_AGE_MS);
        }
        if self.incarnations.len() >= MAX_REMEMBERED {
            self.incarnations.pop_first();
        }
        self.incarnations.insert(incarnation, previous);
    }

    /// A life that was taken for an ended one lives; what is remembered of it.
    pub(crate) fn remove(&mut self, incarnation: &Incarnation) -> Option<PreviousIncarnation> {
        self.incarnations.remove(incarnation)
    }

    /// What is remembered of a life.
    pub(crate) fn get(&self, now: Tick, incarnation: &Incarnation) -> Option<&PreviousIncarnation> {
        self.incarnations
            .get(incarnation)
            .filter(|previous| now.since(previous.ended_at) < MAX_COPY_AGE_MS)
    }
}

impl PreviousIncarnation {
    /// Whether `revision` is its last announcement or an earlier one, told by a copy of the store.
    pub(crate) fn is_replay(&self, revision: Revision) -> bool {
        revision.era > self.last_revision.era && revision.number <= self.last_revision.number
    }

    /// Whether a heartbeat may be one that came late.
    pub(crate) fn may_be_late(&self, now: Tick) -> bool {
        self.is_replaced && now.since(self.ended_at) < LATE_HEARTBEAT_MS
    }
}
