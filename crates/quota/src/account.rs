//! The grantor's account of one organisation: its bucket, the requests that wait for it, and those
//! that were refused and may come back.

use crate::{
    MILLIS_PER_SECOND, QuotaAnswer, Rank,
    bucket::Bucket,
    queries::GRANT_MARGIN_MS,
    queue::{Asker, Entry, MAX_WAIT_MS, MAX_WAITING, Place, Queue},
};
use std::collections::BTreeMap;
use vanetally_types::{Tick, hash64};

/// Time after the stated end of a wait at which the grantor corrects the forecast. It is shorter
/// than the time after which the asking host no longer waits.
const REVIEW_MS: u64 = 50;
/// Longest time between two servings of a queue, in milliseconds. A request that would be granted later than this
/// before its deadline could miss it.
pub const SERVE_INTERVAL_MS: u64 = 20;
const _: () = assert!(
    REVIEW_MS + SERVE_INTERVAL_MS < GRANT_MARGIN_MS,
    "a corrected forecast arrives before the host stops waiting"
);
/// Longest time over which refused requests are spread. Callers wait for a few seconds at most.
const MAX_SPREAD_MS: u64 = 4_000;

/// Time constant of the rates at which ranks are granted.
const FLOW_MS: f64 = 1_000.0;
/// Minimum share of the rate that the forecast assumes for a request of any rank.
const MIN_RATE_SHARE: f64 = 0.05;

/// Bucket and queue of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub bucket: Bucket,
    pub queue: Queue,
    refused: RefusedCost,
    flows: BTreeMap<Rank, Flow>,
    pub counts: QueueCounts,
}

/// What happened to the requests of an organisation that waited, since the counts were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueCounts {
    /// Requests that began to wait.
    pub queued: u64,
    /// Requests that were granted after a wait.
    pub granted: u64,
    /// Requests that were refused after a wait: more urgent ones came, or their time passed.
    pub displaced: u64,
    /// Requests that were cancelled while they waited.
    pub cancelled: u64,
    /// Requests that were refused at once.
    pub refused: u64,
}

/// Cost granted to one rank, which decays over [`FLOW_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    cost: f64,
    updated_at: Tick,
}

/// Cost of refused requests that have not been able to come back yet.
#[derive(Clone, Copy, Debug)]
struct RefusedCost {
    cost: f64,
    updated_at: Tick,
}

/// An answer for a request of the queue.
pub(crate) type QueueAnswer = (Asker, QuotaAnswer, u32);

impl Account {
    /// Creates an account on which nothing waits.
    pub(crate) fn new(now: Tick, bucket: Bucket) -> Self {
        let refused = RefusedCost { cost: 0.0, updated_at: now };
        let (queue, flows, counts) = (Queue::default(), BTreeMap::new(), QueueCounts::default());
        Self { bucket, queue, refused, flows, counts }
    }

    /// Takes the cost of a granted request; returns whether the organisation is far below its quota.
    pub(crate) fn take(&mut self, now: Tick, rank: Rank, cost: u32) -> bool {
        self.bucket.take(f64::from(cost));
        self.flows.entry(rank).or_default().add(now, f64::from(cost));
        self.bucket.is_half_full(now)
    }

    /// Answers the waiting requests whose turn or end has come.
    pub(crate) fn serve(&mut self, now: Tick, answers: &mut Vec<QueueAnswer>) {
        self.grant_due(now, answers);
        while let Some(place) = self.queue.due_review(now) {
            self.review(now, place, answers);
        }
    }

    /// Grants from the head of the queue while the bucket is not empty.
    fn grant_due(&mut self, now: Tick, answers: &mut Vec<QueueAnswer>) {
        while let Some(place) = self.queue.first() {
            let is_past = self.queue.get(place).is_some_and(|entry| entry.deadline < now);
            if is_past {
                self.displace(now, place, answers);
                continue;
            }
            if self.bucket.level(now) <= 0.0 {
                return;
            }
            let Some(entry) = self.queue.remove(place) else { return };
            let is_below_quota = self.take(now, place.rank(), entry.cost);
            self.counts.granted += 1;
            answers.push((entry.asker, QuotaAnswer::Granted { is_below_quota }, entry.cost));
        }
    }

    /// Corrects the forecast of a request that more urgent ones have delayed, or refuses it if it
    /// can't be granted in time any more.
    fn review(&mut self, now: Tick, place: Place, answers: &mut Vec<QueueAnswer>) {
        let Some(entry) = self.queue.get(place) else { return };
        let (asker, cost, deadline) = (entry.asker.clone(), entry.cost, entry.deadline);
        let expected_ms = self.expected_ms(now, place.rank(), self.queue.cost_before(place));
        if now + expected_ms > deadline {
            return self.displace(now, place, answers);
        }
        self.state_wait(now, place, expected_ms);
        answers.push((asker, QuotaAnswer::Queued { expected_ms }, cost));
    }

    /// Records that the host of the request at `place` is told to expect its grant in `expected_ms`.
    fn state_wait(&mut self, now: Tick, place: Place, expected_ms: u64) {
        let Some(entry) = self.queue.get(place) else { return };
        let review_at = (now + expected_ms + REVIEW_MS).min(entry.deadline + 1);
        self.queue.set_review(place, review_at);
    }

    /// Queues a request that the empty bucket can't serve, or refuses it.
    pub(crate) fn enqueue(
        &mut self,
        now: Tick,
        asker: Asker,
        cost: u32,
        rank: Rank,
        wait_ms: u64,
        answers: &mut Vec<QueueAnswer>,
    ) -> QuotaAnswer {
        let wait_ms = wait_ms.min(MAX_WAIT_MS);
        let deadline = now + wait_ms;
        let cost_before = self.queue.cost_before_new(rank, deadline);
        let expected_ms = self.expected_ms(now, rank, cost_before);
        let has_no_place =
            self.queue.len() >= MAX_WAITING && self.queue.would_be_last(rank, deadline);
        if expected_ms + SERVE_INTERVAL_MS > wait_ms || has_no_place {
            return self.refuse(now, cost, &asker);
        }
        let entry = Entry::new(now, asker.clone(), cost, wait_ms);
        self.queue.insert(rank, entry);
        self.counts.queued += 1;
        if let Some(place) = self.queue.place_of(&asker) {
            self.state_wait(now, place, expected_ms);
        }
        while let Some(last) = self.overflow(now) {
            self.displace(now, last, answers);
        }
        QuotaAnswer::Queued { expected_ms }
    }

    /// Returns the last request if the queue is longer than its bounds.
    fn overflow(&mut self, now: Tick) -> Option<Place> {
        let last = self.queue.last()?;
        let cost = u64::from(self.queue.get(last)?.cost);
        let expected_ms = self.served_ms(now, self.queue.total_cost() - cost);
        let is_over = self.queue.len() > MAX_WAITING
            || expected_ms + SERVE_INTERVAL_MS > self.queue.longest_wait_ms();
        is_over.then_some(last)
    }

    /// Refuses a request that waits.
    fn displace(&mut self, now: Tick, place: Place, answers: &mut Vec<QueueAnswer>) {
        if let Some(entry) = self.queue.remove(place) {
            self.counts.displaced += 1;
            let answer = self.refuse_waiting(now, entry.cost, &entry.asker);
            answers.push((entry.asker, answer, entry.cost));
        }
    }

    /// Refuses a request that has not waited.
    pub(crate) fn refuse(&mut self, now: Tick, cost: u32, asker: &Asker) -> QuotaAnswer {
        self.counts.refused += 1;
        self.refuse_waiting(now, cost, asker)
    }

    /// Returns the refusal with the time until the queue has been served, spread over the time that
    /// the refused requests take.
    fn refuse_waiting(&mut self, now: Tick, cost: u32, asker: &Asker) -> QuotaAnswer {
        let served_ms = self.served_ms(now, self.queue.total_cost());
        let spread_ms = self.refused.add(now, f64::from(cost), self.bucket.rate());
        let retry_ms = served_ms + 1 + (spread_ms * fraction(asker)) as u64;
        QuotaAnswer::Refused { retry_ms }
    }

    /// Returns the milliseconds until the bucket is above zero after `cost` was taken from it.
    fn served_ms(&mut self, now: Tick, cost: u64) -> u64 {
        self.bucket.wait_ms(now, cost as f64 + f64::MIN_POSITIVE)
    }

    /// Returns the milliseconds after which a request of `rank` is granted that comes after `cost`.
    /// More urgent ranks are assumed to take as much as lately.
    pub(crate) fn expected_ms(&mut self, now: Tick, rank: Rank, cost: u64) -> u64 {
        let rate = self.bucket.rate();
        let urgent: f64 = self.flows.range(..rank).map(|(_, flow)| flow.rate(now)).sum();
        let share = (1.0 - urgent / rate).max(MIN_RATE_SHARE);
        (self.served_ms(now, cost) as f64 / share).ceil() as u64
    }

    /// Removes a request whose caller has left; returns whether it waited.
    pub(crate) fn cancel(&mut self, asker: &Asker) -> bool {
        let removed = self.queue.place_of(asker).and_then(|place| self.queue.remove(place));
        self.counts.cancelled += u64::from(removed.is_some());
        removed.is_some()
    }

    /// Ends the queue; returns whose requests waited.
    pub(crate) fn end_queue(&mut self) -> Vec<Asker> {
        let mut askers = Vec::new();
        while let Some(entry) = self.queue.first().and_then(|place| self.queue.remove(place)) {
            askers.push(entry.asker);
        }
        askers
    }
}

impl Flow {
    fn add(&mut self, now: Tick, cost: f64) {
        self.cost = self.cost * self.decay(now) + cost;
        self.updated_at = now;
    }

    /// Returns the units per second.
    fn rate(&self, now: Tick) -> f64 {
        self.cost * self.decay(now) * MILLIS_PER_SECOND / FLOW_MS
    }

    fn decay(&self, now: Tick) -> f64 {
        (-(now.since(self.updated_at) as f64) / FLOW_MS).exp()
    }
}

impl RefusedCost {
    /// Adds `cost`; returns the milliseconds that all refused requests take at `rate` units per
    /// second.
    fn add(&mut self, now: Tick, cost: f64, rate: f64) -> f64 {
        let elapsed_s = now.since(self.updated_at) as f64 / MILLIS_PER_SECOND;
        let max = rate * MAX_SPREAD_MS as f64 / MILLIS_PER_SECOND;
        self.cost = ((self.cost - elapsed_s * rate).max(0.0) + cost).min(max);
        self.updated_at = self.updated_at.max(now);
        self.cost / rate * MILLIS_PER_SECOND
    }
}

/// Returns a number from 0 to 1 that differs from request to request.
fn fraction(asker: &Asker) -> f64 {
    let mut bytes = asker.host.as_bytes().to_vec();
    bytes.extend_from_slice(&asker.number.to_le_bytes());
    hash64(&bytes) as f64 / u64::MAX as f64
}
