//! The router's state machine.

use crate::{
    Replica, RetryBudget, ServiceTime, Upstream, UpstreamStatus,
    index::Index,
    queue::{Queue, QueueKey},
    selection::{Criteria, select},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};
use vanetally_types::{Name, Tick, Verdict};

/// A request to be routed.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id, unique on this host.
    pub id: u64,
    /// Name of the caller.
    pub caller: Name,
    /// The model, adapter or service that it addresses.
    pub target: Name,
    /// Entries that can serve it, preferred first.
    pub entries: Vec<Name>,
    /// Rank of its class; lower goes first.
    pub rank: u8,
    /// When its answer is no longer of use.
    pub deadline: Tick,
    /// Whether it must run at most once.
    pub once_only: bool,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete.
    Completed,
    /// The upstream refused it, because it is overloaded, lacks the entry or is leaving: not run.
    Refused,
    /// The upstream could not be reached: not run.
    Unreachable,
    /// It broke off; the verdict states whether it may have run.
    Failed(Verdict),
    /// The caller closed the connection.
    CallerGone,
}

/// An input of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was admitted.
    Arrive(Request),
    /// An attempt ended.
    Ended {
        /// The request.
        id: u64,
        /// How it ended.
        end: AttemptEnd,
        /// Whether the caller has received bytes of an answer; such a request is not retried.
        response_started: bool,
    },
    /// The upstreams that the catalog declares.
    Upstreams(Vec<Upstream>),
    /// A new status of an upstream.
    Status {
        /// Its name.
        upstream: Name,
        /// Its status.
        status: UpstreamStatus,
    },
    /// Time passes.
    Tick,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is too long to meet the deadline.
    DeadlineUnmeetable,
    /// Too many requests are waiting.
    QueueFull,
    /// No upstream serves the target, and none is expected to in time.
    NoUpstream,
    /// The upstreams failed, and the request may not be retried.
    UpstreamFailed,
}

/// A final refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay before a retry by the caller.
    pub retry_after_ms: u64,
}

/// An output of a router, for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request upstream.
    Call {
        /// The request.
        id: u64,
        /// The upstream.
        upstream: Name,
        /// Its base address.
        url: Name,
        /// The entry to use there.
        entry: Name,
    },
    /// Refuse the request to the caller immediately.
    Refuse {
        /// The request.
        id: u64,
        /// The refusal.
        refusal: Refusal,
    },
}

/// Options of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The failure domain of this host.
    pub domain: Name,
    /// Maximum number of waiting requests.
    pub max_queued: usize,
}

/// An attempt that was sent upstream.
#[derive(Clone, Debug)]
struct RunningAttempt {
    request: Request,
    upstream: Name,
    started: Tick,
    past: PastAttempts,
}

/// Summary of the attempts of a request so far.
#[derive(Clone, Copy, Debug)]
struct PastAttempts {
    count: u32,
    /// Whether any of them may have run.
    verdict: Verdict,
}

impl Default for PastAttempts {
    fn default() -> Self {
        Self { count: 0, verdict: Verdict::NotRun }
    }
}

/// Requests for a target that arrived since the last call of [`Router::take_arrivals`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Number of requests.
    pub count: u32,
    /// Estimated slot time of these requests.
    pub slot_ms: f64,
}

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// How long no requests are sent to an upstream that refused one.
const BUSY_BACKOFF_MS: u64 = 200;
/// Assumed time to load an entry. A request for a target that no upstream serves is refused at once
/// if its deadline is nearer.
const LOAD_ESTIMATE_MS: u64 = 15_000;
/// Minimum retry delay stated to callers.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Requests and upstreams of one entry host.
#[derive(Clone, Debug)]
pub struct Router {
    options: Options,
    replicas: Index,
    queue: Queue,
    running: BTreeMap<u64, RunningAttempt>,
    /// Earlier attempts of requests that wait for a retry.
    past_attempts: BTreeMap<u64, PastAttempts>,
    service_times: BTreeMap<Name, ServiceTime>,
    arrivals: BTreeMap<Name, Arrivals>,
    budget: RetryBudget,
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            replicas: Index::default(),
            queue: Queue::default(),
            running: BTreeMap::new(),
            past_attempts: BTreeMap::new(),
            service_times: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            budget: RetryBudget::default(),
        }
    }

    /// Numbers of requests waiting and running.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }

    /// Iterates over all upstreams and their state.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.all()
    }

    /// Estimated service time of requests for `target`.
    pub fn service_time(&self, target: &str) -> ServiceTime {
        self.service_times.get(target).copied().unwrap_or_default()
    }

    /// Takes the counts of requests that arrived since the last call, by target.
    pub fn take_arrivals(&mut self) -> BTreeMap<Name, Arrivals> {
        std::mem::take(&mut self.arrivals)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive(request) => self.handle_arrival(now, request, &mut actions),
            Event::Ended { id, end, response_started } => {
                self.handle_ended(now, id, end, response_started, &mut actions)
            }
            Event::Upstreams(upstreams) => self.replicas.declare(now, upstreams),
            Event::Status { upstream, status } => {
                self.replicas.update_status(now, &upstream, status)
            }
            Event::Tick => self.refuse_hopeless(now, &mut actions),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    fn handle_arrival(&mut self, now: Tick, request: Request, actions: &mut Vec<Action>) {
        self.budget.deposit();
        let service_time = self.service_time(&request.target);
        let arrivals = self.arrivals.entry(request.target.clone()).or_default();
        arrivals.count += 1;
        arrivals.slot_ms += service_time.mean_ms;
        if let Some(refusal) = self.check_deadline(now, &request) {
            return actions.push(Action::Refuse { id: request.id, refusal });
        }
        self.queue.push(request);
        if self.queue.len() > self.options.max_queued
            && let Some((target, key)) = self.queue.last()
        {
            self.refuse_queued(now, &target, key, Reason::QueueFull, actions);
        }
    }

    /// Returns a refusal if `request` can't be served in time by the estimates.
    fn check_deadline(&self, now: Tick, request: &Request) -> Option<Refusal> {
        let service_ms = self.service_time(&request.target).mean_ms;
        let wait_ms = self.estimated_wait(now, request);
        let left_ms = request.deadline.since(now) as f64;
        let refuse = |reason, delay_ms: f64| {
            let retry_after_ms = (delay_ms as u64).max(MIN_RETRY_AFTER_MS);
            Some(Refusal { reason, verdict: Verdict::NotRun, retry_after_ms })
        };
        match wait_ms {
            None if left_ms < LOAD_ESTIMATE_MS as f64 => {
                refuse(Reason::NoUpstream, LOAD_ESTIMATE_MS as f64)
            }
            None => None,
            Some(wait_ms) if wait_ms > 0.0 && wait_ms + service_ms > left_ms => {
                refuse(Reason::DeadlineUnmeetable, wait_ms + service_ms - left_ms)
            }
            Some(_) => None,
        }
    }

    /// Estimated milliseconds until a slot is free for `request`; `None` if no upstream serves it.
    fn estimated_wait(&self, now: Tick, request: &Request) -> Option<f64> {
        let replicas: Vec<&Replica> =
            request.entries.iter().flat_map(|e| self.replicas.serving(e)).collect();
        if replicas.is_empty() {
            return None;
        }
        if replicas.iter().any(|r| r.has_capacity(now) && now >= r.ejected_until) {
            return Some(0.0);
        }
        let slots: f64 = replicas.iter().map(|r| f64::from(r.upstream.slots)).sum();
        let load: f64 = replicas.iter().map(|r| r.estimated_load(now)).sum();
        let ahead = self.queue.ahead(&request.target, request.rank, request.deadline) as f64;
        let service_ms = self.service_time(&request.target).mean_ms;
        Some(((load + ahead + 1.0 - slots).max(0.0)) * service_ms / slots.max(1.0))
    }

    fn refuse_queued(
        &mut self,
        now: Tick,
        target: &Name,
        key: QueueKey,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.queue.remove(target, key) else {
            return;
        };
        let wait_ms = self.estimated_wait(now, &request).unwrap_or(LOAD_ESTIMATE_MS as f64);
        let retry_after_ms = (wait_ms as u64).max(MIN_RETRY_AFTER_MS);
        let verdict = self.past_attempts.remove(&request.id).map_or(Verdict::NotRun, |p| p.verdict);
        let refusal = Refusal { reason, verdict, retry_after_ms };
        actions.push(Action::Refuse { id: request.id, refusal });
    }

    /// Refuses queued requests whose remaining time is less than half their service time.
    fn refuse_hopeless(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let is_hopeless = |r: &Request| {
            let service_ms = self.service_time(&r.target).mean_ms;
            (r.deadline.since(now) as f64) < service_ms * 0.5
        };
        for (target, key) in self.queue.find(is_hopeless) {
            self.refuse_queued(now, &target, key, Reason::DeadlineUnmeetable, actions);
        }
    }

    /// Sends waiting requests in queue order while replicas have free capacity.
    fn dispatch(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if self.queue.len() == 0 || !self.replicas.all().any(|r| r.has_capacity(now)) {
            return;
        }
        let heads = self.queue.heads().map(|(name, key)| Reverse((key, name.clone())));
        let mut heads: BinaryHeap<Reverse<(QueueKey, Name)>> = heads.collect();
        while let Some(Reverse((key, target))) = heads.pop() {
            if self.dispatch_one(now, &target, key, actions)
                && let Some(next) = self.queue.head(&target)
            {
                heads.push(Reverse((next, target)));
            }
        }
    }

    /// Sends one waiting request; returns whether a replica had free capacity for it.
    fn dispatch_one(
        &mut self,
        now: Tick,
        target: &Name,
        key: QueueKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.queue.get(target, key) else { return false };
        let criteria = Criteria {
            entries: &request.entries,
            prefix: request.prefix,
            domain: &self.options.domain,
        };
        let Some((upstream, entry)) = select(now, &criteria, &self.replicas) else { return false };
        let Some(request) = self.queue.remove(target, key) else {
            return false;
        };
        let Some(replica) = self.replicas.get_mut(&upstream) else {
            return false;
        };
        replica.own_in_flight += 1;
        let url = replica.upstream.url.clone();
        let id = request.id;
        let mut past = self.past_attempts.remove(&id).unwrap_or_default();
        past.count += 1;
        let running = RunningAttempt { request, upstream: upstream.clone(), started: now, past };
        self.running.insert(id, running);
        actions.push(Action::Call { id, upstream, url, entry });
        true
    }

    fn handle_ended(
        &mut self,
        now: Tick,
        id: u64,
        end: AttemptEnd,
        response_started: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(&id) else {
            return self.cancel_queued(id);
        };
        if let Some(replica) = self.replicas.get_mut(&running.upstream) {
            replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
            match end {
                AttemptEnd::Completed => replica.succeeded(),
                AttemptEnd::Refused => replica.refused(now, BUSY_BACKOFF_MS),
                AttemptEnd::Unreachable => replica.failed(now, true),
                AttemptEnd::Failed(_) => replica.failed(now, false),
                AttemptEnd::CallerGone => {}
            }
        }
        let verdict = match end {
            AttemptEnd::Completed => {
                let service_time =
                    self.service_times.entry(running.request.target.clone()).or_default();
                return service_time.record(now.since(running.started) as f64);
            }
            AttemptEnd::CallerGone => return,
            AttemptEnd::Refused | AttemptEnd::Unreachable => Verdict::NotRun,
            AttemptEnd::Failed(verdict) => verdict,
        };
        if !response_started {
            self.retry(now, running, verdict, actions);
        }
    }

    /// Removes a queued request whose caller has gone.
    fn cancel_queued(&mut self, id: u64) {
        for (target, key) in self.queue.find(|r| r.id == id) {
            self.queue.remove(&target, key);
        }
        self.past_attempts.remove(&id);
    }

    /// Queues a failed request again if it may run again and the limits allow it; else refuses it.
    fn retry(
        &mut self,
        now: Tick,
        running: RunningAttempt,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let request = running.request;
        let mut past = running.past;
        past.verdict = past.verdict.max(verdict);
        let allowed =
            verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && !request.once_only);
        let id = request.id;
        if allowed
            && running.past.count < MAX_ATTEMPTS
            && request.deadline > now
            && self.budget.withdraw()
        {
            self.past_attempts.insert(id, past);
            return self.queue.push(request);
        }
        let wait_ms = self.estimated_wait(now, &request).unwrap_or(LOAD_ESTIMATE_MS as f64);
        let retry_after_ms = (wait_ms as u64).max(MIN_RETRY_AFTER_MS);
        actions.push(Action::Refuse {
            id,
            refusal: Refusal {
                reason: Reason::UpstreamFailed,
                verdict: past.verdict,
                retry_after_ms,
            },
        });
    }
}
