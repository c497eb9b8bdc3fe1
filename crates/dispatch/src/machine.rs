//! The state machine of one host's requests.

use crate::{
    Action, Attempt, AttemptEnd, Budget, DemandRow, Digest, Event, LoadRow, Options, RequestId,
    RouteIndex,
    choose::{Choice, Lack, Pace, View, choose},
    queue::Queue,
    request::{Request, Sending, Stage},
    routes,
    upstream::{Load, Upstream},
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
};
use vanetally_ports::{
    CallerRequest, Configuration, ModelRef, Refusal, RefusalCause, RequestKind, UpstreamState,
};
use vanetally_types::{Name, Tick, Verdict};

/// All decisions about requests of one host.
pub struct Dispatch {
    options: Options,
    configuration: Option<Rc<Configuration>>,
    routes: RouteIndex,
    upstreams: BTreeMap<Name, Upstream>,
    requests: HashMap<RequestId, Request>,
    queue: Queue,
    budgets: BTreeMap<Name, Budget>,
    pace: Pace,
    hosts: usize,
    stopping_since: Option<Tick>,
    demand: BTreeMap<(Name, ModelRef), Demand>,
    wanted: HashMap<(Name, ModelRef), Tick>,
}

/// Requests since the last digest.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    arrived: u32,
    work_ms: f64,
}

/// What is believed of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSummary {
    /// Its incarnation.
    pub upstream: Name,
    /// Requests of all hosts there.
    pub running: u32,
    /// Prompt tokens that it has not read.
    pub unread_tokens: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Whether it is ejected.
    pub is_suspect: bool,
}

/// Figures for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Requests that have not ended.
    pub open: usize,
    /// Upstreams known.
    pub upstreams: usize,
    /// Upstreams ejected.
    pub suspects: usize,
}

/// The same thing is wanted again after this long, in milliseconds.
const WANT_AGAIN_MS: u64 = 250;
/// An upstream that was full is left alone for this long, in milliseconds.
const FULL_MS: u64 = 60;
/// An upstream that could not be reached is left alone for this long, in milliseconds.
const UNREACHABLE_MS: u64 = 250;
/// A request that was turned away waits this long before it is sent again, in milliseconds.
const AGAIN_MS: u64 = 30;
/// The final answer at the deadline leaves the upstream this long to give its own, in milliseconds.
const DEADLINE_GRACE_MS: u64 = 120;
/// A request that was turned away by all upstreams allowed to it waits this long for one of them.
const EXHAUSTED_MS: u64 = 150;
/// Sendings of one request, those that were turned away included.
const MOST_SENDINGS: u32 = 4;
/// Least time left for a sending to make sense, in milliseconds.
const LEAST_LEFT_MS: u64 = 20;
/// A planned stop takes requests for this share of its time.
const STOP_SHARE: f64 = 0.3;
/// When to come back after a refusal by a host that stops, in milliseconds.
const STOP_RETRY_MS: u64 = 50;
/// When to come back if nothing better is known, in milliseconds.
const RETRY_MS: u64 = 500;
/// When to come back for a model that nobody holds, in milliseconds.
const LOAD_RETRY_MS: u64 = 3_000;
/// Connections that all hosts together leave free.
const CONNECTION_SHARE: f64 = 0.8;

impl Dispatch {
    /// Nothing is known yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            configuration: None,
            routes: RouteIndex::default(),
            upstreams: BTreeMap::new(),
            requests: HashMap::new(),
            queue: Queue::default(),
            budgets: BTreeMap::new(),
            pace: Pace::default(),
            hosts: 1,
            stopping_since: None,
            demand: BTreeMap::new(),
            wanted: HashMap::new(),
        }
    }

    /// Takes in what happened; tells what has to be done.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configured(configuration) => self.configure(configuration),
            Event::UpstreamSeen { id, state } => self.upstream_seen(now, id, state),
            Event::UpstreamGone { id } => {
                self.upstreams.remove(&id);
                self.pace.forget(&id);
            }
            Event::Placed { runner, subject, presence } => {
                if let Some(upstream) = self.upstreams.get_mut(&runner) {
                    upstream.set_presence(subject, presence, now);
                }
            }
            Event::PeerDigest { host, digest } => self.peer_digest(now, &host, digest),
            Event::PeerGone { host } => self.peer_gone(&host),
            Event::Hosts(hosts) => {
                self.hosts = hosts.max(1);
                self.budgets.values_mut().for_each(|budget| budget.share_among(hosts));
            }
            Event::Arrived { id, request } => self.arrived(now, id, request, &mut actions),
            Event::FirstPiece { id } => self.first_piece(now, id),
            Event::AttemptEnded { id, end, answered } => {
                self.attempt_ended(now, id, end, answered, &mut actions);
            }
            Event::CallerLeft { id } => self.end(id),
            Event::Stopping => {
                self.stopping_since.get_or_insert(now);
            }
            Event::Tick => self.expire(now, &mut actions),
        }
        self.pump(now, &mut actions);
        actions
    }

    /// The version in force, if any.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|c| c.version)
    }

    /// The configuration in force, if any.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether the host can serve requests: it knows a configuration and some upstream.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && !self.upstreams.is_empty() && self.stopping_since.is_none()
    }

    /// Figures for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            waiting: self.queue.len(),
            open: self.requests.len(),
            upstreams: self.upstreams.len(),
            suspects: self.upstreams.values().filter(|u| u.health.is_suspect()).count(),
        }
    }

    /// What is believed of each upstream, for people.
    pub fn loads(&self, now: Tick) -> Vec<UpstreamSummary> {
        let loads = self.upstreams.iter().map(|(id, upstream)| {
            let load = upstream.total(now);
            UpstreamSummary {
                upstream: id.clone(),
                running: load.running,
                unread_tokens: load.unread_tokens,
                is_draining: upstream.state.draining,
                is_suspect: upstream.health.is_suspect(),
            }
        });
        loads.collect()
    }

    /// What other hosts have to know of this one's load; arrivals since the last call.
    pub fn digest(&mut self, now: Tick) -> Digest {
        let loads = self.upstreams.iter_mut().filter_map(|(id, upstream)| {
            let (good, bad) = upstream.health.counts(now);
            let own = upstream.own;
            (own.running > 0 || good + bad > 0).then(|| LoadRow {
                upstream: id.clone(),
                running: own.running,
                unread_tokens: own.unread_tokens,
                held_tokens: own.held_tokens,
                good: u16::try_from(good).unwrap_or(u16::MAX),
                bad: u16::try_from(bad).unwrap_or(u16::MAX),
            })
        });
        let loads = loads.collect();
        let demand = std::mem::take(&mut self.demand).into_iter();
        let demand = demand.map(|((service, subject), demand)| DemandRow {
            service,
            model: subject.model,
            adapter: subject.adapter,
            arrived: demand.arrived,
            work_ms: demand.work_ms.round() as u32,
        });
        Digest { loads, demand: demand.collect() }
    }

    fn configure(&mut self, configuration: Rc<Configuration>) {
        if self.version().is_some_and(|version| version >= configuration.version) {
            return;
        }
        self.routes = RouteIndex::new(&configuration);
        for service in configuration.services.keys() {
            let (options, hosts) = (self.options.budget, self.hosts);
            self.budgets.entry(service.clone()).or_insert_with(|| {
                let mut budget = Budget::new(options);
                budget.share_among(hosts);
                budget
            });
        }
        self.configuration = Some(configuration);
    }

    fn upstream_seen(&mut self, now: Tick, id: Name, state: UpstreamState) {
        match self.upstreams.get_mut(&id) {
            Some(upstream) => upstream.update(state, now),
            None => {
                self.upstreams.insert(id, Upstream::new(state, now));
            }
        }
    }

    fn peer_digest(&mut self, now: Tick, host: &Name, digest: Digest) {
        let mut rows: HashMap<Name, LoadRow> =
            digest.loads.into_iter().map(|row| (row.upstream.clone(), row)).collect();
        for (id, upstream) in &mut self.upstreams {
            match rows.remove(id) {
                Some(row) => upstream.set_peer(host, row, now),
                None => upstream.forget_peer(host),
            }
        }
    }

    fn peer_gone(&mut self, host: &Name) {
        for upstream in self.upstreams.values_mut() {
            upstream.forget_peer(host);
        }
    }

    fn arrived(
        &mut self,
        now: Tick,
        id: RequestId,
        head: CallerRequest,
        actions: &mut Vec<Action>,
    ) {
        let refuse = |cause, retry| Action::Refuse { id, refusal: Refusal::not_run(cause, retry) };
        if self.configuration.is_none() {
            return actions.push(refuse(RefusalCause::NotConfigured, Some(RETRY_MS)));
        }
        let Some(route) = self.routes.find(&head.host, &head.path).cloned() else {
            return actions.push(refuse(RefusalCause::NoRoute, None));
        };
        if self.is_late_in_stop(now) {
            return actions.push(refuse(RefusalCause::Stopping, Some(STOP_RETRY_MS)));
        }
        let Some(target) = routes::target(&route, &head.id) else {
            return actions.push(refuse(RefusalCause::NoUpstream, Some(RETRY_MS)));
        };
        let service = target.service.clone();
        if let Some(budget) = self.budgets.get_mut(&service) {
            budget.earn(now);
        }
        let request = Request::new(head, route, service, now);
        if let Some(subject) = &request.head.model {
            let demand = self.demand.entry((request.service.clone(), subject.clone()));
            let demand = demand.or_default();
            demand.arrived += 1;
            demand.work_ms += self.pace.work_ms(&subject.model, &request.head);
        }
        self.queue.insert(id, &request);
        self.requests.insert(id, request);
    }

    fn is_late_in_stop(&self, now: Tick) -> bool {
        let most = (self.options.grace_ms as f64 * STOP_SHARE) as u64;
        self.stopping_since.is_some_and(|since| now.since(since) > most)
    }

    fn first_piece(&mut self, now: Tick, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.verdict = Verdict::Ran;
        let Stage::Sent(sending) = &mut request.stage else {
            return;
        };
        if std::mem::replace(&mut sending.has_begun, true) {
            return;
        }
        let read = Load { unread_tokens: sending.load.unread_tokens, ..Load::default() };
        sending.load.unread_tokens = 0;
        let model = request.head.model.as_ref();
        let took = now.since(sending.at) as f64;
        self.pace.learn(&sending.upstream, model.map(|m| &m.model), sending.ahead, took);
        if let Some(upstream) = self.upstreams.get_mut(&sending.upstream) {
            upstream.own.take(read);
        }
    }

    fn attempt_ended(
        &mut self,
        now: Tick,
        id: RequestId,
        end: AttemptEnd,
        answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let Stage::Sent(sending) = std::mem::replace(&mut request.stage, Stage::Waiting) else {
            self.requests.insert(id, request);
            return;
        };
        self.learn_end(now, &request, &sending, end);
        match end {
            AttemptEnd::Served => return,
            // The upstream's own failure went to the caller, unless it may be tried again.
            AttemptEnd::Failed if answered || !request.route.is_repeatable() => return,
            AttemptEnd::Failed => request.verdict = Verdict::Ran,
            AttemptEnd::Unreachable if request.sendings == 1 => request.tried.clear(),
            AttemptEnd::Unreachable => {}
            AttemptEnd::Broken => request.verdict = Verdict::MayHaveRun,
            AttemptEnd::Full | AttemptEnd::Absent | AttemptEnd::Replaced => {
                request.not_before = now + AGAIN_MS;
            }
        }
        if request.verdict == Verdict::NotRun && request.is_exhausted() {
            // Only where it was turned away may it be sent again: its caller does better elsewhere.
            request.patience = request.patience.min(now + EXHAUSTED_MS);
        }
        match self.why_not_again(now, &request, end, answered) {
            Some(refusal) => actions.push(Action::Refuse { id, refusal }),
            None => {
                self.queue.insert(id, &request);
                self.requests.insert(id, request);
            }
        }
    }

    fn learn_end(&mut self, now: Tick, request: &Request, sending: &Sending, end: AttemptEnd) {
        let Some(upstream) = self.upstreams.get_mut(&sending.upstream) else {
            return;
        };
        upstream.own.take(sending.load);
        match end {
            AttemptEnd::Served => upstream.health.ended(now, true),
            // An upstream's own failure of a request that may be repeated says little: others that
            // are asked fail as well, where the request is at fault.
            AttemptEnd::Failed if request.route.kind == RequestKind::Idempotent => {}
            AttemptEnd::Failed | AttemptEnd::Broken => upstream.health.ended(now, false),
            AttemptEnd::Unreachable => {
                upstream.health.ended(now, false);
                upstream.full_until = now + UNREACHABLE_MS;
            }
            AttemptEnd::Full => {
                upstream.full_until = now + FULL_MS;
                let load = upstream.total(now);
                // An upstream with free places that says it is full is at fault.
                upstream.health.ended(now, load.running * 2 >= upstream.state.slots);
            }
            AttemptEnd::Replaced => upstream.is_replaced = true,
            AttemptEnd::Absent => {
                if let Some(subject) = request.head.model.clone() {
                    upstream.set_presence(subject, crate::Presence::Absent, now);
                }
            }
        }
        let (good, bad) = upstream.peer_ends(now);
        upstream.health.review(now, good, bad);
    }

    /// The final answer to a request that may not be sent again.
    fn why_not_again(
        &mut self,
        now: Tick,
        request: &Request,
        end: AttemptEnd,
        answered: bool,
    ) -> Option<Refusal> {
        let cause = RefusalCause::UpstreamFailed;
        let may_run_again = request.verdict == Verdict::NotRun || request.route.is_repeatable();
        if answered && !(request.route.kind == RequestKind::Stream && request.route.resumable) {
            return Some(Refusal::may_have_run(cause));
        }
        if !may_run_again {
            return Some(Refusal::may_have_run(cause));
        }
        let is_worn_out = request.sendings >= MOST_SENDINGS;
        if is_worn_out || (end == AttemptEnd::Failed && request.sendings > 1) {
            return Some(self.refusal(request, cause, Some(RETRY_MS)));
        }
        // The next sending is paid for here: one that never was sent costs nothing.
        let service = &request.service;
        let is_paid = end == AttemptEnd::Unreachable
            || self.budgets.get_mut(service).is_some_and(|budget| budget.try_spend(now));
        if !is_paid || now + LEAST_LEFT_MS >= request.deadline {
            return Some(self.refusal(request, cause, Some(RETRY_MS)));
        }
        None
    }

    fn refusal(&self, request: &Request, cause: RefusalCause, retry: Option<u64>) -> Refusal {
        match request.verdict {
            Verdict::NotRun => Refusal::not_run(cause, retry),
            _ => Refusal::may_have_run(cause),
        }
    }

    /// Forgets a request; its upstream is free of it.
    fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        match &request.stage {
            Stage::Waiting => self.queue.remove(id, &request),
            Stage::Sent(sending) => {
                if let Some(upstream) = self.upstreams.get_mut(&sending.upstream) {
                    upstream.own.take(sending.load);
                }
            }
        }
    }

    /// Ends what has no time left, and reviews the upstreams' health.
    fn expire(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let is_leaving = self.is_late_in_stop(now);
        let late = self.requests.iter().filter_map(|(id, request)| {
            let is_late = match request.stage {
                // What has not begun by now might not end before the process does.
                Stage::Waiting if is_leaving => true,
                Stage::Waiting if request.verdict == Verdict::NotRun => now >= request.patience,
                Stage::Waiting => now + LEAST_LEFT_MS >= request.deadline,
                Stage::Sent(_) => now >= request.deadline + DEADLINE_GRACE_MS,
            };
            is_late.then(|| (*id, self.late_refusal(now, request)))
        });
        let late: Vec<(RequestId, Refusal)> = late.collect();
        for (id, refusal) in late {
            self.end(id);
            actions.push(Action::Refuse { id, refusal });
        }
        for upstream in self.upstreams.values_mut() {
            let (good, bad) = upstream.peer_ends(now);
            upstream.health.review(now, good, bad);
        }
        self.wanted.retain(|_, at| now.since(*at) < WANT_AGAIN_MS);
    }

    fn late_refusal(&self, now: Tick, request: &Request) -> Refusal {
        if request.stage == Stage::Waiting && self.is_late_in_stop(now) {
            return self.refusal(request, RefusalCause::Stopping, Some(STOP_RETRY_MS));
        }
        if matches!(request.stage, Stage::Sent(_)) {
            return Refusal::may_have_run(RefusalCause::TimedOut);
        }
        let is_held = request.head.model.as_ref().is_none_or(|subject| {
            self.upstreams.values().any(|upstream| upstream.holds(subject, now))
        });
        let retry = match is_held {
            true if request.is_exhausted() => EXHAUSTED_MS,
            true => RETRY_MS,
            false => LOAD_RETRY_MS,
        };
        self.refusal(request, RefusalCause::Overloaded, Some(retry))
    }

    /// Sends what waits and can go.
    fn pump(&mut self, now: Tick, actions: &mut Vec<Action>) {
        for service in self.queue.services() {
            let mut lacking: HashSet<Option<ModelRef>> = HashSet::new();
            for id in self.in_order(now, &service) {
                self.try_send(now, &service, id, &mut lacking, actions);
            }
        }
    }

    /// Waiting requests that can still be answered in time come before those that can't.
    fn in_order(&self, now: Tick, service: &Name) -> Vec<RequestId> {
        let mut waiting = self.queue.waiting(service);
        let is_late = |id: &RequestId| {
            self.requests.get(id).is_some_and(|r| now.since(r.arrived) > r.route.target_ms)
        };
        waiting.sort_by_key(is_late);
        waiting
    }

    fn try_send(
        &mut self,
        now: Tick,
        service: &Name,
        id: RequestId,
        lacking: &mut HashSet<Option<ModelRef>>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let subject = request.head.model.clone();
        if now < request.not_before || lacking.contains(&subject) {
            return;
        }
        match self.choose(now, request) {
            Ok(choice) => actions.extend(self.send(now, id, choice)),
            Err(lack) => {
                if request.tried.is_empty() {
                    lacking.insert(subject.clone());
                }
                if let (Lack::Holder, Some(subject)) = (lack, subject) {
                    self.want(now, service, subject, actions);
                }
            }
        }
    }

    fn choose(&self, now: Tick, request: &Request) -> Result<Choice, Lack> {
        let services = self.configuration.as_ref().map(|c| &c.services);
        let service = services.and_then(|services| services.get(&request.service));
        let view = View {
            now,
            zone: &self.options.zone,
            engine: service.and_then(|service| service.engine.as_ref()),
            pace: &self.pace,
            hosts: self.hosts,
        };
        let own = self.upstreams.iter().filter(|(_, u)| u.state.service == request.service);
        choose(&view, request, own)
    }

    fn want(&mut self, now: Tick, service: &Name, subject: ModelRef, actions: &mut Vec<Action>) {
        let last = self.wanted.get(&(service.clone(), subject.clone()));
        if last.is_some_and(|at| now.since(*at) < WANT_AGAIN_MS) {
            return;
        }
        self.wanted.insert((service.clone(), subject.clone()), now);
        actions.push(Action::Want { service: service.clone(), subject });
    }

    fn send(&mut self, now: Tick, id: RequestId, choice: Choice) -> Option<Action> {
        let connections = self.connections(&choice.upstream);
        let version = self.version().unwrap_or(0);
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        self.queue.remove(id, request);
        let load = Load { running: 1, unread_tokens: choice.unread, held_tokens: request.tokens() };
        let attempt = Attempt {
            request: request.head.id.clone(),
            route: request.route.name.clone(),
            version,
            waited_ms: now.since(request.arrived),
            ahead_tokens: choice.ahead,
            upstream: choice.upstream.clone(),
            address: upstream.state.address,
            deadline_ms: request.deadline.since(now),
            priority: request.route.priority,
            connections,
            number: request.sendings + 1,
            own_load: upstream.own.running as usize,
            peer_load: upstream.peer_load(now).running,
            is_stream: request.route.kind == RequestKind::Stream,
            may_repeat: request.route.is_repeatable(),
        };
        upstream.own.add(load);
        upstream.health.sent(now);
        upstream.remember(request.head.model.as_ref(), &request.head.parts);
        request.sendings += 1;
        if !request.tried.contains(&choice.upstream) {
            request.tried.push(choice.upstream.clone());
        }
        request.stage = Stage::Sent(Sending {
            upstream: choice.upstream,
            at: now,
            load,
            ahead: choice.ahead,
            has_begun: false,
        });
        Some(Action::Send { id, attempt })
    }

    /// This host's share of the connections to an upstream.
    fn connections(&self, upstream: &Name) -> usize {
        let service = self.upstreams.get(upstream).map(|u| &u.state.service);
        let services = self.configuration.as_ref().map(|c| &c.services);
        let most = service.and_then(|name| services?.get(name)).map(|s| s.max_connections);
        let share = f64::from(most.unwrap_or(1)) * CONNECTION_SHARE / self.hosts as f64;
        (share as usize).max(1)
    }
}
