//! The asking host's side: which requests for slots are open, and at which owner.

use crate::{SlotAnswer, SlotRequest};
use std::collections::BTreeMap;
use vanetally_types::{Incarnation, Name, Tick};

/// The open requests and grants of one host. `K` identifies what a slot is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client<K: Ord> {
    open: BTreeMap<u64, Open<K>>,
    numbers: BTreeMap<K, u64>,
    next: u64,
    releases_late_grants: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Open<K> {
    key: K,
    owner: Name,
    request: SlotRequest,
    requested_at: Tick,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The owner has not answered what was sent at this time.
    Requested(Tick),
    /// The owner expects to grant the slot at this time.
    Queued(Tick),
    Granted,
}

/// What follows from an owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received<K> {
    /// The wait is over.
    Decided(K, SlotAnswer),
    /// Nothing.
    Nothing,
    /// The slot is not needed any more: it is to be released.
    Unneeded,
}

/// A request or grant that was closed, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closed<K> {
    /// What the slot was for.
    pub key: K,
    /// The owner.
    pub owner: Name,
    /// The number of the request.
    pub number: u64,
    /// The upstream.
    pub upstream: Incarnation,
    /// Milliseconds since the slot was requested.
    pub waited_ms: u64,
}

/// A request that is sent again, because its slot is overdue: the owner states when it expects it
/// now, unless it is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Repeat {
    /// The owner.
    pub owner: Name,
    /// The number of the request.
    pub number: u64,
    /// The request.
    pub request: SlotRequest,
}

/// What is overdue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overdue<K> {
    /// Requests that owners did not answer; they were closed.
    pub unanswered: Vec<Closed<K>>,
    /// Requests to send again.
    pub repeats: Vec<Repeat>,
}

/// Timeout of an owner's answer.
const ANSWER_TIMEOUT_MS: u64 = 40;
/// The same for a brittle upstream: two owners that each take the other for silent could grant its
/// slots twice.
const BRITTLE_TIMEOUT_MS: u64 = 150;

impl<K: Ord + Copy> Client<K> {
    /// Creates a client whose first request has the number `first`. Numbers must not repeat within
    /// the time-out of a request when the process starts again.
    pub fn new(first: u64) -> Self {
        let (open, numbers) = Default::default();
        Self { open, numbers, next: first, releases_late_grants: true }
    }

    /// Keeps grants that arrive after their request has ended, for the model check.
    pub fn without_late_releases(mut self) -> Self {
        self.releases_late_grants = false;
        self
    }

    /// Opens a request for a slot at `owner`; returns its number.
    pub fn request(&mut self, now: Tick, key: K, owner: &Name, request: &SlotRequest) -> u64 {
        let number = self.next;
        self.next += 1;
        let (owner, request) = (owner.clone(), request.clone());
        let stage = Stage::Requested(now);
        self.open.insert(number, Open { key, owner, request, requested_at: now, stage });
        self.numbers.insert(key, number);
        number
    }

    /// Handles an answer of `owner`.
    pub fn answered(
        &mut self,
        now: Tick,
        owner: &Name,
        number: u64,
        answer: SlotAnswer,
    ) -> Received<K> {
        let Some(open) = self.open.get_mut(&number).filter(|open| open.owner == *owner) else {
            let is_late_grant = answer == SlotAnswer::Granted && self.releases_late_grants;
            return if is_late_grant { Received::Unneeded } else { Received::Nothing };
        };
        let key = open.key;
        match (open.stage, answer) {
            (Stage::Granted, _) => return Received::Nothing,
            (_, SlotAnswer::Queued { expected_ms }) => {
                open.stage = Stage::Queued(now + u64::from(expected_ms));
                return Received::Nothing;
            }
            (_, SlotAnswer::Granted) => open.stage = Stage::Granted,
            (_, SlotAnswer::Busy { .. }) => {
                self.remove(number);
            }
        }
        Received::Decided(key, answer)
    }

    /// Closes the request or grant for `key`; returns where it is to be released, if it is open.
    pub fn close(&mut self, now: Tick, key: K) -> Option<Closed<K>> {
        let number = *self.numbers.get(&key)?;
        self.close_number(now, number)
    }

    /// Returns what is overdue: requests without an answer, and queued ones without a slot.
    pub fn take_overdue(&mut self, now: Tick) -> Overdue<K> {
        let mut repeats = Vec::new();
        let mut unanswered = Vec::new();
        for (number, open) in &mut self.open {
            match open.stage {
                Stage::Requested(at) if now.since(at) > open.request.timeout_ms() => {
                    unanswered.push(*number);
                }
                Stage::Queued(at) if now.since(at) > open.request.timeout_ms() => {
                    open.stage = Stage::Requested(now);
                    let waited_ms = now.since(open.requested_at);
                    let left_ms = u64::from(open.request.wait_ms).saturating_sub(waited_ms);
                    let wait_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
                    let request = SlotRequest { wait_ms, ..open.request.clone() };
                    repeats.push(Repeat { owner: open.owner.clone(), number: *number, request });
                }
                _ => {}
            }
        }
        let closed = unanswered.into_iter().filter_map(|number| self.close_number(now, number));
        Overdue { unanswered: closed.collect(), repeats }
    }

    /// Closes and returns the requests that wait for an owner that is gone.
    pub fn owner_gone(&mut self, now: Tick, owner: &Name) -> Vec<Closed<K>> {
        let is_waiting = |open: &Open<K>| open.owner == *owner && open.stage != Stage::Granted;
        let waiting = self.open.iter().filter(|(_, open)| is_waiting(open));
        let waiting: Vec<u64> = waiting.map(|(number, _)| *number).collect();
        waiting.into_iter().filter_map(|number| self.close_number(now, number)).collect()
    }

    fn close_number(&mut self, now: Tick, number: u64) -> Option<Closed<K>> {
        let Open { key, owner, request, requested_at, .. } = self.remove(number)?;
        let waited_ms = now.since(requested_at);
        Some(Closed { key, owner, number, upstream: request.upstream, waited_ms })
    }

    fn remove(&mut self, number: u64) -> Option<Open<K>> {
        let open = self.open.remove(&number)?;
        self.numbers.remove(&open.key);
        Some(open)
    }
}

impl SlotRequest {
    /// Returns the timeout of the owner's answer in milliseconds.
    fn timeout_ms(&self) -> u64 {
        if self.brittle.is_some() { BRITTLE_TIMEOUT_MS } else { ANSWER_TIMEOUT_MS }
    }
}
