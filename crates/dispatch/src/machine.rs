//! State machine for the requests of one host.

use crate::{
    Action, Event, Options, Prediction, Presence, RefusalContext, RequestId, RetryBudget,
    RouteIndex,
    access::KeyIndex,
    answer_times::AnswerTimes,
    brittle::Brittleness,
    cooldown::Cooldown,
    directory::Directory,
    ending::STOP_RETRY_AFTER_MS,
    loads::Loads,
    pace::PaceModel,
    queue::Queue,
    queue_state::SharedQueue,
    request::{Request, Stage},
    service_pace::ServicePace,
    stop::LongestAnswer,
    suspects::OwnTries,
    upstream::{Load, Upstream},
    versions,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
};
use vanetally_ports::{
    CallerRequest, Configuration, ModelRef, Refusal, RefusalCause, UpstreamState,
};
use vanetally_quarantine::{BlockedContents, ContentHash};
use vanetally_slots::SlotEnd;
use vanetally_streams::Versions;
use vanetally_types::{Incarnation, Name, Tick, Verdict, hash64};

/// All request decisions of one host.
pub struct Dispatch {
    pub(crate) options: Options,
    /// When the process started.
    pub(crate) started_at: Tick,
    /// Whether the store has answered this process.
    pub(crate) has_store: bool,
    pub(crate) configuration: Option<Rc<Configuration>>,
    pub(crate) routes: RouteIndex,
    pub(crate) keys: KeyIndex,
    /// When the store last confirmed that the configuration in force was the newest.
    pub(crate) confirmed_at: Option<Tick>,
    /// The newest configuration version of which another host has told.
    pub(crate) newest_version: Option<u64>,
    pub(crate) quarantine: BlockedContents,
    pub(crate) tries: OwnTries,
    pub(crate) upstreams: BTreeMap<Incarnation, Upstream>,
    /// Failure domains that operators evacuate.
    pub(crate) evacuated: Rc<BTreeSet<Name>>,
    /// Cooldowns of upstreams whose announcements are gone: the same incarnation may announce
    /// itself again.
    cooldowns: BTreeMap<Incarnation, Cooldown>,
    pub(crate) directory: Directory,
    /// The software versions of the services that the store keeps.
    pub(crate) stored_versions: HashMap<Name, Versions>,
    pub(crate) loads: Loads,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) queue: Queue,
    pub(crate) shared_queue: SharedQueue,
    pub(crate) retry_budgets: BTreeMap<Name, RetryBudget>,
    pub(crate) pace: PaceModel,
    pub(crate) service_pace: ServicePace,
    pub(crate) brittleness: Brittleness,
    /// Average time of complete answers, per plain service.
    pub(crate) answer_times: BTreeMap<Name, AnswerTimes>,
    /// Longest recent time of complete answers, per route.
    pub(crate) longest_answers: BTreeMap<Name, LongestAnswer>,
    pub(crate) hosts: usize,
    pub(crate) stopping_since: Option<Tick>,
    pub(crate) demand: BTreeMap<(Name, ModelRef), Demand>,
    pub(crate) requested_models: HashMap<(Name, ModelRef), Tick>,
    /// Releases of what requests had that ended during the current event.
    pub(crate) releases: Vec<Action>,
}

/// Demand since the last digest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    pub arrived: u32,
    pub work_ms: f64,
}

/// Average interval between hosts that return to an upstream after its cooldown.
const RETURN_SPACING_MS: u64 = 5;
/// All hosts return within the cooldown divided by this.
const RETURN_SPREAD_DIVISOR: u64 = 8;
pub(crate) const MICROS_PER_MILLI: f64 = 1_000.0;

/// Time in which an upstream announces itself again after a store has returned an old announcement of it.
const UNIDENTIFIED_MS: u64 = 5_000;

impl Dispatch {
    /// Creates a dispatch without any known state for a process that starts at `now`.
    pub fn new(now: Tick, options: Options) -> Self {
        Self {
            options,
            started_at: now,
            has_store: false,
            configuration: None,
            routes: RouteIndex::default(),
            keys: KeyIndex::default(),
            confirmed_at: None,
            newest_version: None,
            quarantine: BlockedContents::default(),
            tries: OwnTries::default(),
            upstreams: BTreeMap::new(),
            evacuated: Rc::default(),
            cooldowns: BTreeMap::new(),
            directory: Directory::default(),
            stored_versions: HashMap::new(),
            loads: Loads::default(),
            requests: HashMap::new(),
            queue: Queue::default(),
            shared_queue: SharedQueue::default(),
            retry_budgets: BTreeMap::new(),
            pace: PaceModel::default(),
            service_pace: ServicePace::default(),
            brittleness: Brittleness::default(),
            answer_times: BTreeMap::new(),
            longest_answers: BTreeMap::new(),
            hosts: 1,
            stopping_since: None,
            demand: BTreeMap::new(),
            requested_models: HashMap::new(),
            releases: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configured(configuration) => self.configure(configuration),
            Event::VersionHeard(version) => {
                self.newest_version = self.newest_version.max(Some(version));
            }
            Event::Confirmed(at) => self.confirmed_at = self.confirmed_at.max(Some(at)),
            Event::Quarantined(quarantine) => {
                self.quarantine.apply(now, quarantine);
            }
            Event::Suspected(suspicion) => {
                self.quarantine.suspect(now, suspicion);
            }
            Event::TriesAnswered { id, contents, is_granted } => {
                self.tries_answered(now, id, &contents, is_granted);
            }
            Event::Probed { upstream, contents, sign } => {
                self.probed(now, &upstream, &contents, sign, &mut actions);
            }
            Event::Unjudged { upstream, contents } => self.unjudged(now, &upstream, &contents),
            Event::Detached { id } => self.detach(id),
            Event::VersionsStored { service, versions } => self.versions_stored(service, versions),
            Event::UpstreamSeen { id, state } => self.upstream_seen(now, id, state),
            Event::UpstreamUnreadable { id } => {
                if let Some(upstream) = self.upstreams.get_mut(&id) {
                    upstream.is_unreadable = true;
                }
            }
            Event::UpstreamUnidentified { id } => self.set_unidentified(&id, now + UNIDENTIFIED_MS),
            Event::UpstreamIdentified { id } => self.set_unidentified(&id, Tick(0)),
            Event::UpstreamEnded { id } => {
                let is_unidentified = self.is_unidentified(now, &id);
                self.upstream_gone(now, &id);
                self.abandon_attempts(now, &id, is_unidentified, &mut actions);
            }
            Event::UpstreamGone { id } => self.upstream_gone(now, &id),
            Event::Evacuated(domains) => self.set_evacuated(now, domains),
            Event::PresenceReported { runner, subject, presence } => {
                if presence == Presence::Present {
                    self.directory.add_holder(&runner, &subject.model);
                }
                if let Some(upstream) = self.upstreams.get_mut(&runner) {
                    upstream.set_presence(subject, presence, now);
                }
            }
            Event::PeerDigest { host, digest } => {
                self.peer_limits(now, &host, &digest, &mut actions);
                self.peer_digest(now, &host, digest);
            }
            Event::PermitAnswered { id, reservation, request, answer } => {
                self.permit_answered(now, (id, reservation), request, answer, &mut actions);
            }
            Event::LimitStated { upstream, sent, rate } => {
                self.stated(now, upstream, sent, rate, &mut actions);
            }
            Event::BrittlenessStated { service, max_rejections } => {
                self.brittleness.record(now, &service, max_rejections);
            }
            Event::CooldownRequested { upstream, for_ms } => {
                self.cooldown_requested(now, &upstream, for_ms)
            }
            Event::PeerGone { host } => self.peer_gone(&host),
            Event::HostCount(hosts) => {
                self.hosts = hosts.max(1);
                self.retry_budgets.values_mut().for_each(|budget| budget.set_hosts(hosts));
            }
            Event::Arrived { id, request, contents } => {
                self.arrived(now, now, id, request, contents, &mut actions);
            }
            Event::ArrivedEarlier { at, id, request, contents } => {
                self.arrived(now, at, id, request, contents, &mut actions);
            }
            Event::Reserved { id, reservation, slot } => {
                self.reserved(now, id, reservation, slot, &mut actions);
            }
            Event::SlotAnswered { id, reservation, answer } => {
                self.slot_answered(now, (id, reservation), answer, &mut actions);
            }
            Event::FirstPiece { id } => self.first_piece(now, id, &mut actions),
            Event::AnswerContinues { id } => self.answer_continues(id),
            Event::AttemptEnded { id, end, answered } => {
                self.attempt_ended(now, id, end, answered, &mut actions);
            }
            Event::CallerLeft { id } => self.end(id),
            Event::Stopping => self.begin_stop(now),
            Event::StoreAnswered => self.has_store = true,
            Event::Tick => self.expire(now, &mut actions),
        }
        self.send_waiting(now, &mut actions);
        actions.append(&mut self.releases);
        actions
    }

    /// Returns the name of this host.
    pub fn name(&self) -> &Name {
        &self.options.host
    }

    /// Returns the version of the configuration in force, if any.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|c| c.version)
    }

    /// Returns the configuration in force, if any.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether the host can serve requests: it has a configuration and knows an upstream.
    pub fn is_ready(&self, now: Tick) -> bool {
        let knows = self.configuration.is_some() && !self.upstreams.is_empty();
        knows && self.stopping_since.is_none() && self.serves_keys(now)
    }

    /// Applies a cooldown requested by an upstream. Each host adds a delay of its own, so that the
    /// hosts that were rejected together do not return together.
    fn cooldown_requested(&mut self, now: Tick, upstream: &Incarnation, for_ms: u64) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let spread_ms = (self.hosts as u64 * RETURN_SPACING_MS).min(for_ms / RETURN_SPREAD_DIVISOR);
        let own = hash64(self.options.host.as_bytes()) % (spread_ms + 1);
        known.cooldown.request(now, for_ms.saturating_add(own));
    }

    /// Returns the remaining cooldown of an upstream, if it is in cooldown.
    pub fn cooldown_left_ms(&self, now: Tick, upstream: &Incarnation) -> Option<u64> {
        self.upstreams.get(upstream)?.cooldown.left_ms(now)
    }

    /// Returns the announced state of an upstream.
    pub fn upstream_state(&self, upstream: &Incarnation) -> Option<&UpstreamState> {
        self.upstreams.get(upstream).map(|known| &known.state)
    }

    /// Whether another incarnation may have taken the place of an upstream before this host knew it, so that its end says
    /// nothing of its requests.
    pub fn is_unidentified(&self, now: Tick, upstream: &Incarnation) -> bool {
        self.upstreams.get(upstream).is_some_and(|known| now < known.unidentified_until)
    }

    fn set_unidentified(&mut self, upstream: &Incarnation, until: Tick) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.unidentified_until = until;
        }
    }

    /// Returns the known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Incarnation> {
        self.upstreams.keys()
    }

    /// Returns the quarantined content hashes.
    pub fn quarantine(&self) -> &BlockedContents {
        &self.quarantine
    }

    fn configure(&mut self, configuration: Rc<Configuration>) {
        if self.version().is_some_and(|version| version >= configuration.version) {
            return;
        }
        self.routes = RouteIndex::new(&configuration);
        let routes: BTreeSet<&Name> =
            configuration.routes.iter().map(|route| &route.name).collect();
        self.longest_answers.retain(|name, _| routes.contains(name));
        self.keys = KeyIndex::new(&configuration);
        for service in configuration.services.keys() {
            let (options, hosts) = (self.options.retry_budget, self.hosts);
            self.retry_budgets.entry(service.clone()).or_insert_with(|| {
                let mut budget = RetryBudget::new(options);
                budget.set_hosts(hosts);
                budget
            });
        }
        self.configuration = Some(configuration);
        self.configure_cold_starts();
    }

    fn upstream_seen(&mut self, now: Tick, id: Incarnation, state: UpstreamState) {
        let known = self.upstreams.get(&id);
        let old_address = known.map(|upstream| upstream.state.address);
        if let Some(old) = old_address.filter(|old| *old != state.address) {
            self.leave_address(&id, old);
        }
        let known = self.upstreams.get(&id);
        let reported = known.into_iter().flat_map(Upstream::reported_models);
        self.directory.insert(&id, &state, reported);
        let is_version_stored = self.is_version_stored(&state);
        match self.upstreams.get_mut(&id) {
            Some(upstream) => {
                upstream.update(state, now);
                upstream.is_version_stored = is_version_stored;
            }
            None => {
                for other in self.directory.at(state.address) {
                    if let Some(upstream) = self.upstreams.get_mut(other) {
                        upstream.successor_seen(&id, &state, now);
                    }
                }
                let mut upstream = Upstream::new(state, now);
                upstream.cold.configure(self.cold_start(&upstream.state.service));
                upstream.is_version_stored = is_version_stored;
                upstream.is_evacuated = self.evacuated.contains(&upstream.state.domain);
                upstream.cooldown = self.cooldowns.remove(&id).unwrap_or_default();
                self.upstreams.insert(id, upstream);
            }
        }
    }

    fn upstream_gone(&mut self, now: Tick, id: &Incarnation) {
        self.cooldowns.retain(|_, cooldown| cooldown.left_ms(now).is_some());
        self.directory.remove(id);
        self.pace.forget(id);
        self.service_pace.forget(id);
        self.loads.forget(id);
        let Some(gone) = self.upstreams.remove(id) else {
            return;
        };
        if gone.cooldown.left_ms(now).is_some() {
            self.cooldowns.insert(id.clone(), gone.cooldown);
        }
        self.leave_address(id, gone.state.address);
    }

    /// Records that an upstream no longer has an address: it is no successor of the others there.
    fn leave_address(&mut self, id: &Incarnation, address: SocketAddr) {
        for other in self.directory.at(address) {
            if let Some(upstream) = self.upstreams.get_mut(other) {
                upstream.successor_gone(id);
            }
        }
    }

    fn arrived(
        &mut self,
        now: Tick,
        at: Tick,
        id: RequestId,
        head: CallerRequest,
        contents: Rc<[ContentHash]>,
        actions: &mut Vec<Action>,
    ) {
        let context = RefusalContext::default();
        let refuse = |cause, retry| Action::Refuse {
            id,
            refusal: Refusal::not_run(cause, retry),
            context: RefusalContext::default(),
        };
        let admitted = self.route(now, &head).and_then(|route| {
            let access = self.access(now, &route, &head)?;
            Ok((route, access))
        });
        let (route, access) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return actions.push(Action::Refuse { id, refusal, context }),
        };
        if self.refuses_new_requests(now) {
            return actions.push(refuse(RefusalCause::Stopping, Some(STOP_RETRY_AFTER_MS)));
        }
        let target = match versions::target(&route, &head) {
            Ok(target) => target,
            Err((cause, retry_ms)) => return actions.push(refuse(cause, retry_ms)),
        };
        let service = target.service.clone();
        let mut request = Request::new(head, route, access, service.clone(), at);
        if !self.fits_stop(now, &mut request) {
            return actions.push(refuse(RefusalCause::Stopping, Some(STOP_RETRY_AFTER_MS)));
        }
        if let Some(budget) = self.retry_budgets.get_mut(&service) {
            budget.record_request(now);
        }
        let software_version = versions::version_of(&request);
        let request = Request { contents, queued_at: now, software_version, ..request };
        if let Some(subject) = &request.head.model {
            let demand = self.demand.entry((request.service.clone(), subject.clone()));
            let demand = demand.or_default();
            demand.arrived += 1;
            demand.work_ms += self.pace.work_ms(&subject.model, &request.head);
        }
        self.queue.insert(id, &request);
        self.requests.insert(id, request);
    }

    fn first_piece(&mut self, now: Tick, id: RequestId, actions: &mut Vec<Action>) {
        let service = self.requests.get(&id).map(|request| &request.service);
        let is_engine = service.is_some_and(|service| self.is_engine(service));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.verdict = Verdict::Ran;
        let Stage::Sent(attempt) = &mut request.stage else {
            return;
        };
        if attempt.begun_at.replace(now).is_some() {
            return;
        }
        if attempt.is_trial {
            actions
                .push(Action::ReportOutcome { upstream: attempt.upstream.clone(), is_good: true });
        }
        let read = Load { unread_tokens: attempt.load.unread_tokens, ..Load::default() };
        attempt.load.unread_tokens = 0;
        let model = request.head.model.as_ref().map(|subject| &subject.model);
        let took_ms = now.since(attempt.sent_at) as f64;
        if let Some(model) = model {
            let prediction = Prediction {
                request: request.head.id.clone(),
                upstream: attempt.upstream.clone(),
                expected_ms: self.pace.first_piece_ms(&attempt.upstream, model, attempt.expected),
                took_ms,
                unread_tokens: attempt.expected.unread_tokens,
                ahead_ms: attempt.expected.ahead_ms,
                per_token_us: self.pace.per_token_ms(Some(model)) * MICROS_PER_MILLI,
            };
            actions.push(Action::Predicted { id, prediction });
        }
        match is_engine {
            true => self.pace.observe(&attempt.upstream, model, attempt.expected, took_ms),
            false => {
                let route = &request.route.name;
                self.service_pace.observe(now, route, &attempt.upstream, took_ms);
            }
        }
        if let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) {
            upstream.own_load.subtract(read);
            upstream.cooldown.record_end(now, attempt.sent_at, true);
        }
    }

    fn release_load(&mut self, upstream: &Incarnation, load: Load) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.own_load.subtract(load);
        }
    }

    /// Releases the load of a sent request whose answer does not arrive, and leaves its slot to the
    /// owner: the request may still run.
    fn detach(&mut self, id: RequestId) {
        let Some(Stage::Sent(attempt)) = self.requests.get_mut(&id).map(|one| &mut one.stage)
        else {
            return;
        };
        let (upstream, load) = (attempt.upstream.clone(), std::mem::take(&mut attempt.load));
        let slot = attempt.slot.take();
        let end = SlotEnd::Lost;
        let release = slot.map(|reservation| Action::ReleaseSlot { id, reservation, end });
        self.releases.extend(release);
        self.release_load(&upstream, load);
    }

    /// Removes a request and releases its load.
    pub(crate) fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.release_slot(id, &request.stage);
        self.end_tries_of(id);
        match &request.stage {
            Stage::Waiting => self.queue.remove(id, &request),
            Stage::Reserving(open) => self.release_load(&open.choice.upstream, open.load),
            Stage::Sent(attempt) => self.release_load(&attempt.upstream, attempt.load),
        }
    }
}
