//! The requests of one organisation that wait for quota, in the order in which they are granted.
//!
//! Load: an organisation sends many times its usual load, or short bursts above its rate.

use crate::{QuotaAnswer, Rank};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick};

/// Identifies a request of a host at the grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Asker {
    /// The host that asks.
    pub host: Name,
    /// Number that the host gave the request.
    pub number: u64,
}

/// Answer to a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whose request it is.
    pub to: Asker,
    /// The answer.
    pub answer: QuotaAnswer,
}

/// Maximum number of waiting requests of one organisation, which bounds their memory.
pub(crate) const MAX_WAITING: usize = 1_024;
/// Longest wait that a request may state. With [`STEP_MS`] it bounds the number of cost sums.
pub(crate) const MAX_WAIT_MS: u64 = 10_000;
/// Resolution of deadlines in the order of the queue; within it, arrival decides.
const STEP_MS: u64 = 32;

/// Place of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Place {
    rank: Rank,
    /// Deadline in units of [`STEP_MS`].
    step: u64,
    /// Order of arrival.
    sequence: u64,
}

impl Place {
    /// Rank of the request.
    pub(crate) fn rank(self) -> Rank {
        self.rank
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub asker: Asker,
    pub cost: u32,
    /// Time after which the grant is of no use.
    pub deadline: Tick,
    /// The longest useful wait at its arrival.
    pub wait_ms: u64,
    /// When the forecast that its host knows has to be corrected.
    review_at: Tick,
}

/// Total cost of the entries with the same rank and deadline step.
#[derive(Clone, Copy, Debug, Default)]
struct StepSum {
    cost: u64,
    entries: usize,
}

/// Waiting requests, ordered by rank, then by deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    entries: BTreeMap<Place, Entry>,
    places: BTreeMap<Asker, Place>,
    sums: BTreeMap<(Rank, u64), StepSum>,
    reviews: BTreeSet<(Tick, Place)>,
    /// Number of entries by the wait that they state.
    waits: BTreeMap<u64, usize>,
    total_cost: u64,
    next_sequence: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Total cost of the waiting requests.
    pub(crate) fn total_cost(&self) -> u64 {
        self.total_cost
    }

    /// Longest wait that a waiting request states, in milliseconds.
    pub(crate) fn longest_wait_ms(&self) -> u64 {
        self.waits.last_key_value().map_or(0, |(wait_ms, _)| *wait_ms)
    }

    /// Returns the cost of all that would be granted before a new request. Takes time for each step
    /// up to [`MAX_WAIT_MS`], however many requests wait.
    pub(crate) fn cost_before_new(&self, rank: Rank, deadline: Tick) -> u64 {
        self.sums.range(..=(rank, step(deadline))).map(|(_, sum)| sum.cost).sum()
    }

    /// Returns the cost of all that is granted before the request at `place`.
    pub(crate) fn cost_before(&self, place: Place) -> u64 {
        let earlier_steps = self.sums.range(..(place.rank, place.step));
        let same_step = self.entries.range(Place { sequence: 0, ..place }..place);
        earlier_steps.map(|(_, sum)| sum.cost).sum::<u64>()
            + same_step.map(|(_, entry)| u64::from(entry.cost)).sum::<u64>()
    }

    /// Whether a new request would be the last.
    pub(crate) fn would_be_last(&self, rank: Rank, deadline: Tick) -> bool {
        self.last().is_none_or(|last| (rank, step(deadline)) >= (last.rank, last.step))
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, rank: Rank, entry: Entry) {
        let place = Place { rank, step: step(entry.deadline), sequence: self.next_sequence };
        self.next_sequence += 1;
        let sum = self.sums.entry((rank, place.step)).or_default();
        sum.cost += u64::from(entry.cost);
        sum.entries += 1;
        self.total_cost += u64::from(entry.cost);
        *self.waits.entry(entry.wait_ms).or_default() += 1;
        self.places.insert(entry.asker.clone(), place);
        self.reviews.insert((entry.review_at, place));
        self.entries.insert(place, entry);
    }

    /// Removes the request at `place`.
    pub(crate) fn remove(&mut self, place: Place) -> Option<Entry> {
        let entry = self.entries.remove(&place)?;
        let step = (place.rank, place.step);
        if let Some(sum) = self.sums.get_mut(&step) {
            sum.cost -= u64::from(entry.cost);
            sum.entries -= 1;
            if sum.entries == 0 {
                self.sums.remove(&step);
            }
        }
        if let Some(count) = self.waits.get_mut(&entry.wait_ms) {
            *count -= 1;
            if *count == 0 {
                self.waits.remove(&entry.wait_ms);
            }
        }
        self.total_cost -= u64::from(entry.cost);
        self.places.remove(&entry.asker);
        self.reviews.remove(&(entry.review_at, place));
        Some(entry)
    }

    /// Returns the place of a request.
    pub(crate) fn place_of(&self, asker: &Asker) -> Option<Place> {
        self.places.get(asker).copied()
    }

    /// Returns the places of all requests of `host`.
    pub(crate) fn places_of_host(&self, host: &Name) -> Vec<Place> {
        let first = Asker { host: host.clone(), number: 0 };
        let own = self.places.range(first..).take_while(|(asker, _)| asker.host == *host);
        own.map(|(_, place)| *place).collect()
    }

    /// Returns the place of the request that is granted next.
    pub(crate) fn first(&self) -> Option<Place> {
        self.entries.first_key_value().map(|(place, _)| *place)
    }

    /// Returns the place of the request that is granted last.
    pub(crate) fn last(&self) -> Option<Place> {
        self.entries.last_key_value().map(|(place, _)| *place)
    }

    /// Returns the request at `place`.
    pub(crate) fn get(&self, place: Place) -> Option<&Entry> {
        self.entries.get(&place)
    }

    /// Returns a request whose forecast has to be corrected.
    pub(crate) fn due_review(&self, now: Tick) -> Option<Place> {
        self.reviews.first().filter(|(at, _)| *at <= now).map(|(_, place)| *place)
    }

    /// Sets when the forecast of the request at `place` has to be corrected.
    pub(crate) fn set_review(&mut self, place: Place, at: Tick) {
        if let Some(entry) = self.entries.get_mut(&place) {
            self.reviews.remove(&(entry.review_at, place));
            entry.review_at = at;
            self.reviews.insert((at, place));
        }
    }
}

impl Entry {
    /// Creates an entry that arrives at `now`.
    pub(crate) fn new(now: Tick, asker: Asker, cost: u32, wait_ms: u64) -> Self {
        let deadline = now + wait_ms;
        Self { asker, cost, deadline, wait_ms, review_at: deadline + 1 }
    }
}

fn step(deadline: Tick) -> u64 {
    deadline.0 / STEP_MS
}
