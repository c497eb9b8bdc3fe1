//! Grants and queue of one upstream.

use crate::{
    Guards, SlotAnswer, SlotEnd, SlotRequest,
    hold_time::HoldTime,
    inherited::Inherited,
    limit::Limit,
    queue::{Key, Queue, Waiting},
    shares::Shares,
};
use std::collections::{BTreeMap, VecDeque};
use vanetally_types::{Name, Tick};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    granted_at: Tick,
    /// When the grant ends if its end is not reported.
    ends_at: Tick,
    /// When the host was last told of the grant.
    told_at: Tick,
}

/// Answers for the hosts, in order.
pub(crate) type Answers = Vec<(Key, SlotAnswer)>;

/// State of one upstream at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OwnedUpstream {
    limit: Limit,
    grants: BTreeMap<Key, Grant>,
    queue: Queue,
    hold_time: HoldTime,
    shares: Shares,
    inherited: Inherited,
    /// Requests whose grants have ended recently.
    ended: VecDeque<(Tick, Key)>,
    /// When a host last requested a slot.
    requested_at: Tick,
    /// Rejections in a second that the upstream survives, if it is brittle.
    brittle: Option<u32>,
    /// Rejections in the last second.
    rejections: VecDeque<Tick>,
}

/// Time without a request for a slot after which other owners may have granted slots.
const ABSENCE_MS: u64 = 500;
/// How long the numbers of ended grants are kept.
const ENDED_MS: u64 = 1_000;
/// Time without requests after which the state is dropped.
const IDLE_MS: u64 = 10_000;
/// Interval at which a host is told again of a grant. One that does not hold it any more releases
/// it, so a lost release costs the slot for about this long.
const REMINDER_MS: u64 = 250;
/// Time within which a brittle upstream counts its rejections, with a margin for the way of their
/// reports.
const REJECTION_WINDOW_MS: u64 = 1_200;
/// Time after a grant within which the rejection of its request is reported.
const UNPROVEN_MS: u64 = 20;
/// Minimum time after which a host asks again.
const MIN_RETRY_MS: u32 = 5;

impl OwnedUpstream {
    /// An upstream for which no slot was requested here.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            limit: Limit::new(slots),
            grants: BTreeMap::new(),
            queue: Queue::default(),
            hold_time: HoldTime::default(),
            shares: Shares::default(),
            inherited: Inherited::default(),
            ended: VecDeque::new(),
            requested_at: Tick(0),
            brittle: None,
            rejections: VecDeque::new(),
        }
    }

    /// Whether one more slot may be granted.
    fn has_room(&self, now: Tick) -> bool {
        self.taken() < self.limit.current() && self.tolerates_grant(now)
    }

    /// Whether a brittle upstream survives if it rejects one more request, and all that were granted
    /// just before and have not shown yet whether they were rejected.
    fn tolerates_grant(&self, now: Tick) -> bool {
        let Some(max_rejections) = self.brittle else {
            return true;
        };
        let is_rejected = |at: &&Tick| now.since(**at) < REJECTION_WINDOW_MS;
        let rejected = self.rejections.iter().filter(is_rejected).count() as u32;
        let is_open = |grant: &&Grant| now.since(grant.granted_at) < UNPROVEN_MS;
        let unproven = self.grants.values().filter(is_open).count() as u32;
        let is_first = rejected + unproven == 0;
        is_first || (rejected + unproven < max_rejections && rejected * 2 < max_rejections)
    }

    /// Returns the requests at the upstream, as far as this owner knows.
    pub(crate) fn taken(&self) -> u32 {
        self.grants.len() as u32 + self.inherited.count()
    }

    /// Returns the number of open grants.
    pub(crate) fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the requests that other owners granted.
    pub(crate) fn inherited(&self) -> u32 {
        self.inherited.count()
    }

    /// Returns the bound on open grants, if it is lower than what the upstream announces.
    pub(crate) fn lowered_limit(&self) -> Option<u32> {
        self.limit.is_lowered().then(|| self.limit.current())
    }

    /// Whether the state can be dropped.
    pub(crate) fn is_idle(&self, now: Tick) -> bool {
        let is_unused = self.grants.is_empty() && self.queue.is_empty() && self.ended.is_empty();
        is_unused && now.since(self.requested_at) > IDLE_MS
    }

    /// Updates what changes with time and with load reports.
    pub(crate) fn advance(&mut self, now: Tick, reported: u32, guards: Guards) -> Answers {
        if guards.expiry {
            self.grants.retain(|_, grant| now < grant.ends_at);
        }
        while self.ended.front().is_some_and(|(at, _)| now.since(*at) > ENDED_MS) {
            self.ended.pop_front();
        }
        self.limit.raise(now);
        let own = self.reported_grants(now);
        self.inherited.update(now, reported, own);
        let mut answers = Answers::new();
        for waiting in self.queue.take_expired(now) {
            let retry_ms = self.expected_ms(&waiting).max(MIN_RETRY_MS);
            answers.push((waiting.key, SlotAnswer::Busy { retry_ms }));
        }
        if guards.reminders {
            answers.extend(self.remind(now));
        }
        self.grant_waiting(now, &mut answers);
        answers
    }

    fn remind(&mut self, now: Tick) -> Answers {
        let mut answers = Answers::new();
        for (key, grant) in &mut self.grants {
            if now.since(grant.told_at) >= REMINDER_MS {
                grant.told_at = now;
                answers.push((key.clone(), SlotAnswer::Granted));
            }
        }
        answers
    }

    /// Answers a request for a slot. [`Self::advance`] was called before.
    pub(crate) fn acquire(
        &mut self,
        now: Tick,
        key: Key,
        request: &SlotRequest,
        guards: Guards,
    ) -> Answers {
        let waiting = Waiting::new(now, key, request);
        if guards.same_grant && self.grants.contains_key(&waiting.key) {
            return vec![(waiting.key, SlotAnswer::Granted)];
        }
        if let Some(known) = self.queue.get(&waiting.key) {
            let expected_ms = self.expected_ms(known);
            return vec![(waiting.key, SlotAnswer::Queued { expected_ms })];
        }
        if guards.ended_numbers && self.ended.iter().any(|(_, ended)| *ended == waiting.key) {
            return Answers::new();
        }
        if self.has_room(now) {
            let key = waiting.key.clone();
            self.grant(now, waiting, guards);
            return vec![(key, SlotAnswer::Granted)];
        }
        let expected_ms = self.expected_ms(&waiting);
        let key = waiting.key.clone();
        // Others that can still be in time go on arriving, so a late one would wait in vain.
        let is_futile = waiting.is_late && self.queue.is_behind_in_time(&waiting);
        if is_futile || expected_ms > request.wait_ms {
            let futile_ms = if is_futile { request.wait_ms.saturating_add(1) } else { 0 };
            let retry_ms = expected_ms.max(MIN_RETRY_MS).max(futile_ms);
            return vec![(key, SlotAnswer::Busy { retry_ms })];
        }
        let queued = (key, SlotAnswer::Queued { expected_ms });
        let Some(displaced) = self.queue.insert(waiting) else {
            return vec![queued];
        };
        let retry_ms = self.displaced_retry_ms(now, &displaced);
        let is_own = displaced.key == queued.0;
        let refused = (displaced.key, SlotAnswer::Busy { retry_ms });
        if is_own { vec![refused] } else { vec![queued, refused] }
    }

    /// Returns the wait that is stated to a request for which the queue has no place. It is longer
    /// than the request may wait; a host would ask again at once otherwise.
    fn displaced_retry_ms(&self, now: Tick, displaced: &Waiting) -> u32 {
        let left_ms = u32::try_from(displaced.deadline.since(now)).unwrap_or(u32::MAX);
        self.expected_ms(displaced).max(MIN_RETRY_MS).max(left_ms.saturating_add(1))
    }

    /// Updates the announced slots, and what other owners may have granted since the last request.
    /// Returns whether requests of other owners were found.
    pub(crate) fn record_request(
        &mut self,
        now: Tick,
        request: &SlotRequest,
        reported: u32,
    ) -> bool {
        self.brittle = request.brittle;
        self.limit.set_slots(request.slots, request.brittle.is_some());
        let was_absent = now.since(self.requested_at) > ABSENCE_MS;
        if self.requested_at == Tick(0) && request.brittle.is_some() {
            self.limit.ramp(now);
        }
        if was_absent {
            self.inherited = Inherited::new(now, reported, self.grants.len() as u32);
        }
        self.requested_at = now;
        was_absent && self.inherited.count() > 0
    }

    /// Ends a grant, or the wait for one.
    pub(crate) fn release(&mut self, now: Tick, key: Key, end: SlotEnd, guards: Guards) -> Answers {
        let taken = self.taken();
        let mut grant = self.grants.remove(&key);
        if grant.is_none() && !self.queue.remove(&key) && !guards.known_release {
            grant = self.grants.pop_first().map(|(_, grant)| grant);
        }
        self.ended.push_back((now, key));
        match (grant, end) {
            (Some(grant), SlotEnd::Used) => self.hold_time.record(now.since(grant.granted_at)),
            (Some(_), SlotEnd::Full) => {
                self.limit.lower(now, taken);
                self.record_rejection(now);
            }
            _ => {}
        }
        let mut answers = Answers::new();
        self.grant_waiting(now, &mut answers);
        answers
    }

    fn record_rejection(&mut self, now: Tick) {
        self.rejections.retain(|at| now.since(*at) < REJECTION_WINDOW_MS);
        self.rejections.push_back(now);
    }

    /// Ends all grants and waits of a host that is gone.
    pub(crate) fn release_host(&mut self, now: Tick, host: &Name) -> Answers {
        self.grants.retain(|(holder, _), _| holder != host);
        self.queue.take(|waiting| waiting.key.0 == *host);
        let mut answers = Answers::new();
        self.grant_waiting(now, &mut answers);
        answers
    }

    /// Ends the wait of all requests, because the upstream is gone.
    pub(crate) fn dismiss(mut self) -> Answers {
        let all = self.queue.take(|_| true).into_iter();
        all.map(|waiting| (waiting.key, SlotAnswer::Busy { retry_ms: MIN_RETRY_MS })).collect()
    }

    fn grant_waiting(&mut self, now: Tick, answers: &mut Answers) {
        while self.has_room(now)
            && let Some(waiting) = self.queue.pop()
        {
            answers.push((waiting.key.clone(), SlotAnswer::Granted));
            self.grant(now, waiting, Guards::ON);
        }
    }

    fn grant(&mut self, now: Tick, waiting: Waiting, guards: Guards) {
        self.shares.record(waiting.rank);
        let grant = Grant { granted_at: now, ends_at: waiting.ends_at, told_at: now };
        let mut key = waiting.key;
        // Without the guard, a repeated request takes another slot, which no host releases.
        while !guards.same_grant && self.grants.contains_key(&key) {
            key.1 += 1_000;
        }
        self.grants.insert(key, grant);
    }

    /// Returns the milliseconds until a request gets a slot that waits or would wait.
    fn expected_ms(&self, waiting: &Waiting) -> u32 {
        let limit = self.limit.current();
        let alone_ms = self.hold_time.until_ms(self.queue.ahead_of(waiting) + 1, limit);
        let fair_ms = self.hold_time.until_ms(self.queue.fair_turns(waiting), limit);
        self.shares.stretch(waiting.rank, alone_ms).min(fair_ms)
    }

    /// Returns the number of grants that load reports include.
    fn reported_grants(&self, now: Tick) -> u32 {
        let before = Inherited::reported_before(now);
        self.grants.values().filter(|grant| grant.granted_at <= before).count() as u32
    }
}
