//! Requests that wait for a slot of one upstream.

use crate::{Rank, SlotRequest};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick};

/// A request of a host: its number there.
pub(crate) type Key = (Name, u64);

/// A waiting request. The order of the fields is the order in which slots are granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Waiting {
    pub rank: Rank,
    pub is_late: bool,
    /// Latest time of the grant.
    pub deadline: Tick,
    pub key: Key,
    /// When a grant ends whose end is not reported.
    pub ends_at: Tick,
}

impl Waiting {
    pub(crate) fn new(now: Tick, key: Key, request: &SlotRequest) -> Self {
        Self {
            rank: request.rank,
            is_late: request.is_late,
            deadline: now + u64::from(request.wait_ms),
            key,
            ends_at: now + u64::from(request.hold_ms),
        }
    }
}

/// The waiting requests of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Queue {
    waiting: BTreeSet<Waiting>,
    /// Number of requests taken so far.
    taken: u64,
    /// Value of `taken` when a request of each rank was last taken.
    last_taken: BTreeMap<Rank, u64>,
}

/// One of this many slots goes to the rank that got none for longest, so that no rank starves.
const FAIR_INTERVAL: u64 = 8;
/// Maximum number of waiting requests.
const MAX_WAITING: usize = 256;

impl Queue {
    /// Returns the number of requests that come before one that joins now.
    pub(crate) fn ahead_of(&self, joining: &Waiting) -> u64 {
        self.waiting.range(..joining).count() as u64
    }

    /// Returns the maximum number of slots that are granted before one that joins now gets its own,
    /// however many more urgent requests arrive.
    pub(crate) fn fair_turns(&self, joining: &Waiting) -> u64 {
        let same = self.waiting.iter().filter(|waiting| waiting.rank == joining.rank);
        let ahead = same.filter(|waiting| *waiting < joining).count() as u64;
        let ranks: BTreeSet<Rank> = self.waiting.iter().map(|waiting| waiting.rank).collect();
        let others = ranks.iter().filter(|rank| **rank != joining.rank).count().max(1) as u64;
        (ahead + 1) * FAIR_INTERVAL * others
    }

    /// Whether a request that joins now comes after others that can still be in time.
    pub(crate) fn is_behind_in_time(&self, joining: &Waiting) -> bool {
        self.waiting.range(..joining).any(|waiting| !waiting.is_late)
    }

    /// Adds a request; returns the one that has to leave for it, if there are too many.
    pub(crate) fn insert(&mut self, waiting: Waiting) -> Option<Waiting> {
        self.waiting.insert(waiting);
        if self.waiting.len() > MAX_WAITING { self.waiting.pop_last() } else { None }
    }

    /// Takes the next request.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let is_fair_turn = (self.taken + 1).is_multiple_of(FAIR_INTERVAL);
        let next = match is_fair_turn {
            true => {
                let last = |rank: &Rank| self.last_taken.get(rank).copied().unwrap_or(0);
                self.waiting.iter().min_by_key(|waiting| last(&waiting.rank)).cloned()
            }
            false => self.waiting.first().cloned(),
        }?;
        self.waiting.remove(&next);
        self.taken += 1;
        self.last_taken.insert(next.rank, self.taken);
        if self.waiting.is_empty() {
            self.last_taken.clear();
            self.taken = 0;
        }
        Some(next)
    }

    /// Removes and returns the requests that may not wait any longer.
    pub(crate) fn take_expired(&mut self, now: Tick) -> Vec<Waiting> {
        self.take(|waiting| waiting.deadline < now)
    }

    /// Removes and returns the requests for which `is_wanted` holds.
    pub(crate) fn take(&mut self, is_wanted: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let taken: Vec<Waiting> =
            self.waiting.iter().filter(|waiting| is_wanted(waiting)).cloned().collect();
        for waiting in &taken {
            self.waiting.remove(waiting);
        }
        taken
    }

    /// Removes a request; returns whether it waited.
    pub(crate) fn remove(&mut self, key: &Key) -> bool {
        !self.take(|waiting| waiting.key == *key).is_empty()
    }

    /// Returns a waiting request.
    pub(crate) fn get(&self, key: &Key) -> Option<&Waiting> {
        self.waiting.iter().find(|waiting| waiting.key == *key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
