//! Requests for quota that a host has sent to a grantor and that are not settled.

use crate::{Guards, QuotaAnswer, grantor::GRANT_MEMORY_MS};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// Milliseconds for which a grantor's first answer is awaited, for quota as for permits. Small hosts
/// can be throttled for up to 100 ms at a time, but grantors run on large ones.
pub const GRANTOR_ANSWER_MS: u64 = 60;
/// Time beyond the expected end of a wait after which the host no longer waits for the grant.
pub(crate) const GRANT_MARGIN_MS: u64 = 200;
/// Time for which the grant of an abandoned request is returned to its grantor.
const ABANDONED_MS: u64 = GRANT_MEMORY_MS;

/// A request for quota to one grantor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpendQuery {
    /// The grantor.
    pub grantor: Name,
    /// The organisation.
    pub organisation: Name,
    /// Units that the request costs.
    pub cost: u32,
    /// Longest useful wait in milliseconds; 0 if the request does not wait.
    pub wait_ms: u64,
    /// Whether the grantor is known to understand cancellations.
    pub can_cancel: bool,
}

/// How an unused grant is returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Return {
    /// Under its number, to the grantor that may have granted it.
    Cancel {
        /// The grantor.
        grantor: Name,
        /// The number.
        number: u64,
    },
    /// By its cost, to a grantor that does not know numbers.
    GiveBack {
        /// The grantor.
        grantor: Name,
        /// The organisation.
        organisation: Name,
        /// Units to return.
        cost: u32,
    },
}

/// What follows from a message of a grantor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The answer that the request waits for.
    Answer(QuotaAnswer),
    /// The request waits; its answer is awaited for longer.
    Waiting,
    /// Nothing waits for the grant any more.
    Unused(Return),
    /// The message is late or doubled.
    Ignored,
}

/// State of a request for quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The answer is awaited until then.
    Awaited { until: Tick },
    /// The answer has arrived and the request has not taken it yet.
    Answered(QuotaAnswer),
    /// The request no longer waits.
    Abandoned { at: Tick },
}

#[derive(Clone, Debug)]
struct Entry {
    query: SpendQuery,
    asked_at: Tick,
    state: State,
    /// Whether the grantor has let the request wait.
    has_waited: bool,
}

/// Requests for quota of one host that are not settled, by number.
#[derive(Clone, Debug)]
pub struct SpendQueries {
    entries: BTreeMap<u64, Entry>,
    next_number: u64,
    guards: Guards,
}

impl SpendQueries {
    /// Creates the state; numbers count from `first_number`, which differs from process to process,
    /// so that answers to an earlier process of the same host match nothing.
    pub fn new(first_number: u64, guards: Guards) -> Self {
        Self { entries: BTreeMap::new(), next_number: first_number, guards }
    }

    /// Registers a request; returns its number.
    pub fn ask(&mut self, now: Tick, query: SpendQuery) -> u64 {
        self.forget_abandoned(now);
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        let state = State::Awaited { until: now + GRANTOR_ANSWER_MS };
        self.entries.insert(number, Entry { query, asked_at: now, state, has_waited: false });
        number
    }

    /// Returns the time until which the answer to `number` is awaited.
    pub fn awaited_until(&self, number: u64) -> Option<Tick> {
        match self.entries.get(&number)?.state {
            State::Awaited { until } => Some(until),
            _ => None,
        }
    }

    /// Whether `number` has waited for quota and its request has not taken the answer.
    pub fn has_waited(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.has_waited)
    }

    /// Handles the answer of the grantor `from`.
    pub fn answered(
        &mut self,
        now: Tick,
        from: &Name,
        number: u64,
        answer: QuotaAnswer,
    ) -> Received {
        let guards = self.guards;
        let Some(entry) = self.entries.get_mut(&number) else {
            return Received::Ignored;
        };
        if entry.query.grantor != *from {
            return Received::Ignored;
        }
        if guards.checks_time && now > entry.latest_use() {
            entry.abandon(now);
        }
        match (&entry.state, answer) {
            (State::Awaited { .. }, QuotaAnswer::Queued { expected_ms }) => {
                entry.query.can_cancel = true;
                entry.has_waited = true;
                entry.state = State::Awaited { until: now + expected_ms + GRANT_MARGIN_MS };
                Received::Waiting
            }
            (State::Awaited { .. }, _) => {
                entry.state = State::Answered(answer);
                Received::Answer(answer)
            }
            (State::Abandoned { .. }, QuotaAnswer::Granted { .. } | QuotaAnswer::Queued { .. }) => {
                self.unused(number, answer)
            }
            (State::Abandoned { .. } | State::Answered(_), _) => Received::Ignored,
        }
    }

    /// Returns what to do about a grant, or a wait, that is not needed any more.
    fn unused(&mut self, number: u64, answer: QuotaAnswer) -> Received {
        let Some(entry) = self.entries.get_mut(&number).filter(|_| self.guards.returns_late) else {
            return Received::Ignored;
        };
        if entry.query.can_cancel || matches!(answer, QuotaAnswer::Queued { .. }) {
            let grantor = entry.query.grantor.clone();
            return Received::Unused(Return::Cancel { grantor, number });
        }
        // A return without a number must not be repeated.
        let returned = entry.give_back();
        self.entries.remove(&number);
        Received::Unused(returned)
    }

    /// Settles `number`: the request takes the answer that has arrived.
    pub fn take_answer(&mut self, number: u64) -> Option<QuotaAnswer> {
        match self.entries.get(&number)?.state {
            State::Answered(answer) => {
                self.entries.remove(&number);
                Some(answer)
            }
            _ => None,
        }
    }

    /// Abandons `number`: the caller has left, or no answer came in time. Returns what to tell the
    /// grantor.
    pub fn abandon(&mut self, now: Tick, number: u64) -> Option<Return> {
        let guards = self.guards;
        if !guards.returns_late && !guards.cancels {
            self.entries.remove(&number);
            return None;
        }
        let entry = self.entries.get_mut(&number)?;
        let is_granted = matches!(entry.state, State::Answered(QuotaAnswer::Granted { .. }));
        let is_refused = matches!(entry.state, State::Answered(_)) && !is_granted;
        if is_refused {
            self.entries.remove(&number);
            return None;
        }
        entry.abandon(now);
        if !entry.query.can_cancel {
            let returned = is_granted.then(|| entry.give_back());
            if is_granted {
                self.entries.remove(&number);
            }
            return returned;
        }
        let grantor = entry.query.grantor.clone();
        guards.cancels.then_some(Return::Cancel { grantor, number })
    }

    /// Number of requests that are not settled.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all requests are settled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets what was abandoned long ago. Numbers grow with time, so the oldest comes first.
    pub fn forget_abandoned(&mut self, now: Tick) {
        while let Some(first) = self.entries.first_entry() {
            match first.get().state {
                State::Abandoned { at } if now.since(at) > ABANDONED_MS => first.remove(),
                _ => return,
            };
        }
    }
}

impl Entry {
    /// Returns the latest time at which a grant may be used.
    fn latest_use(&self) -> Tick {
        self.asked_at + self.query.wait_ms + GRANTOR_ANSWER_MS + GRANT_MARGIN_MS
    }

    fn abandon(&mut self, now: Tick) {
        if !matches!(self.state, State::Abandoned { .. }) {
            self.state = State::Abandoned { at: now };
        }
    }

    fn give_back(&self) -> Return {
        Return::GiveBack {
            grantor: self.query.grantor.clone(),
            organisation: self.query.organisation.clone(),
            cost: self.query.cost,
        }
    }
}
