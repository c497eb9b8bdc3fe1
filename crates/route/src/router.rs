//! The router's state machine.

use crate::{
    Replica, RetryBudget, ServiceTime, Upstream, UpstreamStatus,
    choose::{Wish, choose},
    index::Index,
    queue::{Key, Queue},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};
use vanetally_types::{Name, Tick, Verdict};

/// A request as the router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique on this host.
    pub id: u64,
    /// Who calls.
    pub caller: Name,
    /// Model, adapter or service.
    pub target: Name,
    /// Entries that can serve it, preferred first.
    pub entries: Vec<Name>,
    /// Its class's rank; lower goes first.
    pub rank: u8,
    /// When its answer is worth nothing any more.
    pub deadline: Tick,
    /// Whether it must not run twice.
    pub once_only: bool,
    /// Hash of the prompt's beginning; 0 for none.
    pub prefix: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a whole answer.
    Completed,
    /// Refused for load, for a missing entry or for leaving: not run.
    Refused,
    /// Nobody answered at the address: not run.
    Unreachable,
    /// Broken off; the verdict tells what is known.
    Failed(Verdict),
    /// The caller has gone.
    CallerGone,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was admitted.
    Arrive(Request),
    /// An attempt ended. `sent`: the caller has bytes of an answer, so there is no retry.
    Ended {
        /// The request.
        id: u64,
        /// How.
        end: AttemptEnd,
        /// Whether the caller has bytes of an answer.
        response_started: bool,
    },
    /// The declared upstreams.
    Upstreams(Vec<Upstream>),
    /// A report on an upstream.
    Status {
        /// Its name.
        upstream: Name,
        /// The report.
        status: UpstreamStatus,
    },
    /// Time passes.
    Tick,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The deadline can't be met by the present queue.
    DeadlineUnmeetable,
    /// Too many requests wait.
    QueueFull,
    /// No upstream has it, and none will in time.
    NoUpstream,
    /// The upstreams failed, and no retry is allowed.
    UpstreamFailed,
}

/// A final refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When it may be tried again, in milliseconds.
    pub retry_after_ms: u64,
}

/// What the driver is to do.
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
    /// Tell the caller that it is refused, at once.
    Refuse {
        /// The request.
        id: u64,
        /// Why.
        refusal: Refusal,
    },
}

/// Bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The failure domain of this host.
    pub domain: Name,
    /// Most requests waiting.
    pub max_queued: usize,
}

/// An attempt under way.
#[derive(Clone, Debug)]
struct Running {
    request: Request,
    upstream: Name,
    since: Tick,
    tried: Tried,
}

/// What is known of all attempts at a request so far.
#[derive(Clone, Copy, Debug)]
struct Tried {
    count: u32,
    /// Whether any of them may have run.
    verdict: Verdict,
}

impl Default for Tried {
    fn default() -> Self {
        Self { count: 0, verdict: Verdict::NotRun }
    }
}

/// What of a target arrived since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Requests.
    pub count: u32,
    /// Milliseconds of slots that they will probably take.
    pub slot_ms: f64,
}

/// Most attempts for one request.
const MOST_ATTEMPTS: u32 = 3;
/// How long a replica that refused for load is left alone.
const BUSY_MILLIS: u64 = 200;
/// How long a load may take at the most before a request for it is refused at once.
const LOAD_MILLIS: u64 = 15_000;
/// Least time to come back.
const LEAST_RETRY: u64 = 1_000;

/// Requests and upstreams of one entry host.
#[derive(Clone, Debug)]
pub struct Router {
    options: Options,
    replicas: Index,
    queue: Queue,
    running: BTreeMap<u64, Running>,
    /// Earlier attempts of requests that wait again.
    tried: BTreeMap<u64, Tried>,
    work: BTreeMap<Name, ServiceTime>,
    arrivals: BTreeMap<Name, Arrivals>,
    budget: RetryBudget,
}

impl Router {
    /// A router that knows no upstream yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            replicas: Index::default(),
            queue: Queue::default(),
            running: BTreeMap::new(),
            tried: BTreeMap::new(),
            work: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            budget: RetryBudget::default(),
        }
    }

    /// Requests waiting and running.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }

    /// The upstreams as this host knows them.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.all()
    }

    /// How long requests of `target` keep a slot busy.
    pub fn service_time(&self, target: &str) -> ServiceTime {
        self.work.get(target).copied().unwrap_or_default()
    }

    /// What has arrived since this was last called, by target.
    pub fn take_arrivals(&mut self) -> BTreeMap<Name, Arrivals> {
        std::mem::take(&mut self.arrivals)
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Arrive(request) => self.arrive(now, request, &mut out),
            Event::Ended { id, end, response_started } => {
                self.ended(now, id, end, response_started, &mut out)
            }
            Event::Upstreams(upstreams) => self.replicas.declare(now, upstreams),
            Event::Status { upstream, status } => self.replicas.report(now, &upstream, status),
            Event::Tick => self.expire(now, &mut out),
        }
        self.dispatch(now, &mut out);
        out
    }

    fn arrive(&mut self, now: Tick, request: Request, out: &mut Vec<Action>) {
        self.budget.deposit();
        let work = self.service_time(&request.target);
        let arrivals = self.arrivals.entry(request.target.clone()).or_default();
        arrivals.count += 1;
        arrivals.slot_ms += work.mean_ms;
        if let Some(refusal) = self.judge(now, &request) {
            return out.push(Action::Refuse { id: request.id, refusal });
        }
        self.queue.push(request);
        if self.queue.len() > self.options.max_queued
            && let Some((target, key)) = self.queue.last()
        {
            self.refuse_queued(now, &target, key, Reason::QueueFull, out);
        }
    }

    /// Why `request` can't be served in time; `None` if it probably can.
    fn judge(&self, now: Tick, request: &Request) -> Option<Refusal> {
        let work = self.service_time(&request.target).mean_ms;
        let wait = self.wait(now, request);
        let left = request.deadline.since(now) as f64;
        let refuse = |reason, millis: f64| {
            let retry_after_ms = (millis as u64).max(LEAST_RETRY);
            Some(Refusal { reason, verdict: Verdict::NotRun, retry_after_ms })
        };
        match wait {
            None if left < LOAD_MILLIS as f64 => refuse(Reason::NoUpstream, LOAD_MILLIS as f64),
            None => None,
            Some(wait) if wait > 0.0 && wait + work > left => {
                refuse(Reason::DeadlineUnmeetable, wait + work - left)
            }
            Some(_) => None,
        }
    }

    /// Milliseconds until a slot is free for `request`; `None` if no upstream has its entry.
    fn wait(&self, now: Tick, request: &Request) -> Option<f64> {
        let serving: Vec<&Replica> =
            request.entries.iter().flat_map(|e| self.replicas.serving(e)).collect();
        if serving.is_empty() {
            return None;
        }
        if serving.iter().any(|r| r.has_room(now) && now >= r.ejected) {
            return Some(0.0);
        }
        let slots: f64 = serving.iter().map(|r| f64::from(r.upstream.slots)).sum();
        let there: f64 = serving.iter().map(|r| r.estimate(now)).sum();
        let ahead = self.queue.ahead(&request.target, request.rank, request.deadline) as f64;
        let work = self.service_time(&request.target).mean_ms;
        Some(((there + ahead + 1.0 - slots).max(0.0)) * work / slots.max(1.0))
    }

    fn refuse_queued(
        &mut self,
        now: Tick,
        target: &Name,
        key: Key,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.queue.take(target, key) else {
            return;
        };
        let wait = self.wait(now, &request).unwrap_or(LOAD_MILLIS as f64);
        let retry_after_ms = (wait as u64).max(LEAST_RETRY);
        let verdict = self.tried.remove(&request.id).map_or(Verdict::NotRun, |t| t.verdict);
        let refusal = Refusal { reason, verdict, retry_after_ms };
        out.push(Action::Refuse { id: request.id, refusal });
    }

    /// Refuses requests whose deadline can't be met any more.
    fn expire(&mut self, now: Tick, out: &mut Vec<Action>) {
        let hopeless = |r: &Request| {
            let work = self.service_time(&r.target).mean_ms;
            (r.deadline.since(now) as f64) < work * 0.5
        };
        for (target, key) in self.queue.find(hopeless) {
            self.refuse_queued(now, &target, key, Reason::DeadlineUnmeetable, out);
        }
    }

    /// Sends waiting requests while replicas have room, best first.
    fn dispatch(&mut self, now: Tick, out: &mut Vec<Action>) {
        if self.queue.len() == 0 || !self.replicas.all().any(|r| r.has_room(now)) {
            return;
        }
        let heads = self.queue.heads().map(|(name, key)| Reverse((key, name.clone())));
        let mut heads: BinaryHeap<Reverse<(Key, Name)>> = heads.collect();
        while let Some(Reverse((key, target))) = heads.pop() {
            if self.dispatch_one(now, &target, key, out)
                && let Some(next) = self.queue.head(&target)
            {
                heads.push(Reverse((next, target)));
            }
        }
    }

    fn dispatch_one(&mut self, now: Tick, target: &Name, key: Key, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.queue.get(target, key) else { return false };
        let wish = Wish {
            entries: &request.entries,
            prefix: request.prefix,
            domain: &self.options.domain,
        };
        let Some((upstream, entry)) = choose(now, &wish, &self.replicas) else { return false };
        let Some(request) = self.queue.take(target, key) else {
            return false;
        };
        let Some(replica) = self.replicas.get_mut(&upstream) else {
            return false;
        };
        replica.own += 1;
        let url = replica.upstream.url.clone();
        let id = request.id;
        let mut tried = self.tried.remove(&id).unwrap_or_default();
        tried.count += 1;
        let running = Running { request, upstream: upstream.clone(), since: now, tried };
        self.running.insert(id, running);
        out.push(Action::Call { id, upstream, url, entry });
        true
    }

    fn ended(
        &mut self,
        now: Tick,
        id: u64,
        end: AttemptEnd,
        response_started: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(&id) else {
            return self.cancel_queued(id);
        };
        if let Some(replica) = self.replicas.get_mut(&running.upstream) {
            replica.own = replica.own.saturating_sub(1);
            match end {
                AttemptEnd::Completed => replica.succeeded(),
                AttemptEnd::Refused => replica.refused(now, BUSY_MILLIS),
                AttemptEnd::Unreachable => replica.failed(now, true),
                AttemptEnd::Failed(_) => replica.failed(now, false),
                AttemptEnd::CallerGone => {}
            }
        }
        let verdict = match end {
            AttemptEnd::Completed => {
                let work = self.work.entry(running.request.target.clone()).or_default();
                return work.learn(now.since(running.since) as f64);
            }
            AttemptEnd::CallerGone => return,
            AttemptEnd::Refused | AttemptEnd::Unreachable => Verdict::NotRun,
            AttemptEnd::Failed(verdict) => verdict,
        };
        if !response_started {
            self.retry(now, running, verdict, out);
        }
    }

    /// A request that is still queued was given up by its caller.
    fn cancel_queued(&mut self, id: u64) {
        for (target, key) in self.queue.find(|r| r.id == id) {
            self.queue.take(&target, key);
        }
        self.tried.remove(&id);
    }

    fn retry(&mut self, now: Tick, running: Running, verdict: Verdict, out: &mut Vec<Action>) {
        let request = running.request;
        let mut tried = running.tried;
        tried.verdict = tried.verdict.max(verdict);
        let allowed =
            verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && !request.once_only);
        let id = request.id;
        if allowed
            && running.tried.count < MOST_ATTEMPTS
            && request.deadline > now
            && self.budget.withdraw()
        {
            self.tried.insert(id, tried);
            return self.queue.push(request);
        }
        let wait = self.wait(now, &request).unwrap_or(LOAD_MILLIS as f64);
        let retry_after_ms = (wait as u64).max(LEAST_RETRY);
        out.push(Action::Refuse {
            id,
            refusal: Refusal {
                reason: Reason::UpstreamFailed,
                verdict: tried.verdict,
                retry_after_ms,
            },
        });
    }
}
