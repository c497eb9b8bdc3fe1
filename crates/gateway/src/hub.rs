//! Where events meet decisions, and actions become calls and messages.

use crate::{
    call,
    clock::Clock,
    peers::{HostEntry, PeerMessage},
    pool::Pool,
    settings::Settings,
    store::Store,
    telemetry, tenure,
};
use bytes::Bytes;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::{mpsc, watch};
use vanetally_dispatch::{self as dispatch, Attempt, Digest, Dispatch, Presence, RequestId};
use vanetally_link::peer::Links;
use vanetally_placement::{
    self as placement, Basis, DemandSample, Placement, Tenure, TenureEvent, TenureOptions,
};
use vanetally_ports::{
    Configuration, ModelRef, Order, OrderOutcome, Ports, Refusal, UpstreamState,
};
use vanetally_types::{Name, rendezvous_rank};

/// What the decisions tell a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send it.
    Send(Attempt),
    /// End it.
    Refuse(Refusal),
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Serving.
    Serving,
    /// Not ready; what still comes is taken.
    Leaving,
    /// Connections at rest are closed.
    Closing,
}

/// The parts that a hub is made of.
pub(crate) struct Parts {
    pub settings: Settings,
    pub ports: Ports,
    pub links: Links,
}

/// All state of the process, on one thread.
pub(crate) struct Hub {
    pub settings: Settings,
    pub ports: Ports,
    pub clock: Clock,
    pub pool: Pool,
    pub store: Store,
    pub stage: watch::Sender<Stage>,
    pub host_lease: Cell<Option<vanetally_ports::LeaseId>>,
    control: Pool,
    links: Links,
    dispatch: RefCell<Dispatch>,
    placement: RefCell<Placement>,
    tenure: RefCell<Tenure>,
    holder: RefCell<Option<Name>>,
    peers: RefCell<BTreeMap<Name, HostEntry>>,
    waiters: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Command>>>,
    next_id: Cell<u64>,
    raw_configuration: RefCell<Option<Bytes>>,
    last_digest: RefCell<Digest>,
}

/// Length of the order lease, in milliseconds; the store may grant more.
const ORDER_TTL_MS: u64 = 2_000;
/// A holder waits this long before its first order, in milliseconds: the last ones of an earlier
/// holder are on their way no longer.
const SETTLE_MS: u64 = 300;
/// For a runner to answer a report.
const REPORT: Duration = Duration::from_millis(800);
/// For a runner to answer an order.
const ORDER: Duration = Duration::from_millis(1_200);

impl Hub {
    pub(crate) fn new(parts: Parts) -> Rc<Self> {
        let Parts { settings, ports, links } = parts;
        let bounds = &settings.bounds;
        let options = dispatch::Options {
            zone: settings.zone.clone(),
            budget: dispatch::BudgetOptions {
                ratio: bounds.retry_ratio,
                window_ms: bounds.retry_window_ms,
                slack: bounds.retry_slack,
            },
            grace_ms: bounds.grace_ms,
        };
        let tenure = TenureOptions {
            ttl_ms: ORDER_TTL_MS.max(settings.store.least_ttl_ms),
            settle_ms: SETTLE_MS,
            resettle_ms: bounds.order_lease_ms + SETTLE_MS,
        };
        let placement =
            placement::Options { holder: settings.host.clone(), window_ms: bounds.load_window_ms };
        let clock = Clock::start();
        Rc::new(Self {
            clock,
            pool: Pool::default(),
            control: Pool::default(),
            store: Store::new(settings.store.address, ports.store.clone()),
            stage: watch::Sender::new(Stage::Serving),
            host_lease: Cell::new(None),
            links,
            dispatch: RefCell::new(Dispatch::new(options)),
            placement: RefCell::new(Placement::new(placement)),
            tenure: RefCell::new(Tenure::new(clock.now(), tenure)),
            holder: RefCell::new(None),
            peers: RefCell::new(BTreeMap::new()),
            waiters: RefCell::new(HashMap::new()),
            next_id: Cell::new(0),
            raw_configuration: RefCell::new(None),
            last_digest: RefCell::new(Digest::default()),
            settings,
            ports,
        })
    }

    // Requests.

    /// A request was read whole: it gets a number, and the decisions' commands.
    pub(crate) fn admit(
        self: &Rc<Self>,
        request: vanetally_ports::CallerRequest,
    ) -> (RequestId, mpsc::UnboundedReceiver<Command>) {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, commands) = mpsc::unbounded_channel();
        self.waiters.borrow_mut().insert(id, sender);
        telemetry::arrived();
        self.request_event(dispatch::Event::Arrived { id, request });
        (id, commands)
    }

    /// The request has its final answer.
    pub(crate) fn forget(&self, id: RequestId) {
        self.waiters.borrow_mut().remove(&id);
    }

    /// Tells the request decisions what happened, and does what they say.
    pub(crate) fn request_event(self: &Rc<Self>, event: dispatch::Event) {
        let now = self.clock.now();
        let actions = self.dispatch.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                dispatch::Action::Send { id, attempt } => {
                    log_sending(&attempt);
                    self.command(id, Command::Send(attempt));
                }
                dispatch::Action::Refuse { id, refusal } => {
                    self.command(id, Command::Refuse(refusal));
                }
                dispatch::Action::Want { service, subject } => self.want(service, subject),
            }
        }
    }

    fn command(&self, id: RequestId, command: Command) {
        if let Some(waiter) = self.waiters.borrow().get(&id) {
            // A request that has just ended needs no command.
            let _ = waiter.send(command);
        }
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving && self.dispatch.borrow().is_ready()
    }

    /// Requests that have not ended.
    pub(crate) fn open_requests(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Bounds on what callers may send.
    pub(crate) fn limits(&self) -> vanetally_ports::CallerLimits {
        self.dispatch.borrow().configuration().map(|c| c.limits).unwrap_or_default()
    }

    // Beliefs.

    /// The configuration lies in the store as `bytes`.
    pub(crate) fn configuration_seen(self: &Rc<Self>, bytes: &Bytes, source: &str) {
        let configuration = match self.ports.configuration.read(bytes) {
            Ok(configuration) => Rc::new(configuration),
            Err(error) => {
                log::error!("event=configuration_unreadable source={source} error=\"{error}\"");
                return;
            }
        };
        let old = self.dispatch.borrow().version();
        if old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        log::info!(
            "event=configuration_in_force version={} old={} source={source} routes={}",
            configuration.version,
            old.unwrap_or(0),
            configuration.routes.len()
        );
        *self.raw_configuration.borrow_mut() = Some(bytes.clone());
        self.configure(configuration);
    }

    fn configure(self: &Rc<Self>, configuration: Rc<Configuration>) {
        self.placement_event(placement::Event::Configured(configuration.clone()));
        self.request_event(dispatch::Event::Configured(configuration));
    }

    /// An upstream announced itself.
    pub(crate) fn upstream_seen(self: &Rc<Self>, id: Name, state: UpstreamState) {
        let seen = placement::Event::UpstreamSeen { id: id.clone(), state: state.clone() };
        self.placement_event(seen);
        self.request_event(dispatch::Event::UpstreamSeen { id, state });
    }

    /// An upstream's announcement is gone.
    pub(crate) fn upstream_gone(self: &Rc<Self>, id: Name) {
        self.placement_event(placement::Event::UpstreamGone { id: id.clone() });
        self.request_event(dispatch::Event::UpstreamGone { id });
    }

    // Other hosts.

    /// The hosts that have keys now.
    pub(crate) fn set_peers(self: &Rc<Self>, hosts: BTreeMap<Name, HostEntry>) {
        let old = std::mem::replace(&mut *self.peers.borrow_mut(), hosts.clone());
        let gone = old.into_keys().filter(|host| !hosts.contains_key(host));
        gone.for_each(|host| self.request_event(dispatch::Event::PeerGone { host }));
        self.count_peers();
    }

    /// A host wrote its key.
    pub(crate) fn peer_seen(self: &Rc<Self>, host: Name, entry: HostEntry) {
        log::info!("event=host_seen host={host} link={}", entry.link);
        self.peers.borrow_mut().insert(host, entry);
        self.count_peers();
    }

    /// A host's key is gone.
    pub(crate) fn peer_gone(self: &Rc<Self>, host: &Name) {
        log::info!("event=host_gone host={host}");
        self.peers.borrow_mut().remove(host);
        self.request_event(dispatch::Event::PeerGone { host: host.clone() });
        self.count_peers();
    }

    fn count_peers(self: &Rc<Self>) {
        let (hosts, rank) = {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let key = vanetally_types::hash64(tenure::HOLDER_KEY.as_bytes());
            let others = peers.keys().filter(|host| *host != own);
            let ranked = rendezvous_rank(key, others.chain([own]));
            let rank = ranked.iter().position(|host| *host == own).unwrap_or(0);
            (ranked.len(), rank)
        };
        self.tenure.borrow_mut().set_rank(rank);
        self.request_event(dispatch::Event::Hosts(hosts));
    }

    /// Tells all other hosts.
    fn broadcast(&self, message: &PeerMessage) {
        for (host, entry) in &*self.peers.borrow() {
            if *host != self.settings.host {
                self.links.send(host, entry.link, message);
            }
        }
    }

    fn send(&self, host: &Name, message: &PeerMessage) {
        if let Some(entry) = self.peers.borrow().get(host) {
            self.links.send(host, entry.link, message);
        }
    }

    /// Another host told something.
    pub(crate) fn peer_message(self: &Rc<Self>, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::Digest { version, digest } => self.peer_digest(from, version, digest),
            PeerMessage::Want { service, model, adapter } => {
                let subject = ModelRef { model, adapter };
                self.placement_event(placement::Event::Wanted { service, subject });
            }
            PeerMessage::Placed { runner, model, adapter, is_present } => {
                self.placed(runner, ModelRef { model, adapter }, is_present);
            }
            PeerMessage::AskConfiguration => {
                if let Some(bytes) = &*self.raw_configuration.borrow() {
                    self.send(from, &PeerMessage::Configuration(bytes.to_vec()));
                }
            }
            PeerMessage::Configuration(bytes) => self.configuration_seen(&bytes.into(), "peer"),
        }
    }

    fn peer_digest(self: &Rc<Self>, host: &Name, version: u64, digest: Digest) {
        if self.dispatch.borrow().version().unwrap_or(0) < version {
            self.send(host, &PeerMessage::AskConfiguration);
        }
        let samples = digest.demand.iter().map(|row| DemandSample {
            service: row.service.clone(),
            subject: ModelRef { model: row.model.clone(), adapter: row.adapter.clone() },
            arrived: row.arrived,
            work_ms: row.work_ms,
        });
        self.placement_event(placement::Event::Demand(samples.collect()));
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// Tells all hosts this one's load.
    pub(crate) fn tell_load(self: &Rc<Self>) {
        let now = self.clock.now();
        let digest = self.dispatch.borrow_mut().digest(now);
        let is_new = *self.last_digest.borrow() != digest;
        let samples = digest.demand.iter().map(|row| DemandSample {
            service: row.service.clone(),
            subject: ModelRef { model: row.model.clone(), adapter: row.adapter.clone() },
            arrived: row.arrived,
            work_ms: row.work_ms,
        });
        self.placement_event(placement::Event::Demand(samples.collect()));
        if is_new || !digest.loads.is_empty() {
            let version = self.dispatch.borrow().version().unwrap_or(0);
            let message = PeerMessage::Digest { version, digest: digest.clone() };
            self.broadcast(&message);
            *self.last_digest.borrow_mut() = digest;
        }
    }

    // Orders.

    fn want(self: &Rc<Self>, service: Name, subject: ModelRef) {
        let is_holder = self.tenure.borrow().is_holding(self.clock.now());
        let holder = self.holder.borrow().clone();
        log::info!(
            "event=model_wanted service={service} subject={subject} holder={}",
            holder.as_deref().unwrap_or("-")
        );
        if is_holder {
            self.placement_event(placement::Event::Wanted { service, subject });
        } else if let Some(holder) = holder {
            let ModelRef { model, adapter } = subject;
            self.send(&holder, &PeerMessage::Want { service, model, adapter });
        }
    }

    /// The store tells who holds the orders' key.
    pub(crate) fn holder_seen(self: &Rc<Self>, holder: Option<Name>) {
        if *self.holder.borrow() != holder {
            log::info!("event=order_holder_seen holder={}", holder.as_deref().unwrap_or("-"));
        }
        *self.holder.borrow_mut() = holder.clone();
        self.tenure_event(TenureEvent::HolderSeen(holder));
    }

    /// Tells the tenure what happened, and makes the calls that it asks for.
    pub(crate) fn tenure_event(self: &Rc<Self>, event: TenureEvent) {
        let now = self.clock.now();
        let actions = self.tenure.borrow_mut().handle(now, event);
        for action in actions {
            tokio::task::spawn_local(tenure::carry_out(self.clone(), action));
        }
    }

    /// Tells the placement what happened, and does what it says.
    pub(crate) fn placement_event(self: &Rc<Self>, event: placement::Event) {
        let now = self.clock.now();
        let token = self.tenure.borrow().token(now);
        let mut actions = {
            let mut placement = self.placement.borrow_mut();
            let mut actions = placement.handle(now, placement::Event::Token(token));
            actions.extend(placement.handle(now, event));
            actions
        };
        for action in actions.drain(..) {
            self.place(action);
        }
    }

    fn place(self: &Rc<Self>, action: placement::Action) {
        match action {
            placement::Action::Order { order, address, basis } => {
                tokio::task::spawn_local(give_order(self.clone(), order, address, basis));
            }
            placement::Action::AskReport { runner, address } => {
                tokio::task::spawn_local(ask_report(self.clone(), runner, address));
            }
            placement::Action::Announce { runner, subject, is_present, delay_ms } => {
                let hub = self.clone();
                tokio::task::spawn_local(async move {
                    if delay_ms > 0 {
                        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    }
                    hub.announce(runner, subject, is_present);
                });
            }
            placement::Action::Resign => self.tenure_event(TenureEvent::Fenced),
        }
    }

    fn announce(self: &Rc<Self>, runner: Name, subject: ModelRef, is_present: bool) {
        self.broadcast(&PeerMessage::Placed {
            runner: runner.clone(),
            model: subject.model.clone(),
            adapter: subject.adapter.clone(),
            is_present,
        });
        self.placed(runner, subject, is_present);
    }

    fn placed(self: &Rc<Self>, runner: Name, subject: ModelRef, is_present: bool) {
        let presence = if is_present { Presence::Present } else { Presence::Absent };
        self.request_event(dispatch::Event::Placed { runner, subject, presence });
    }

    // Time.

    /// Time passed.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.request_event(dispatch::Event::Tick);
        self.tenure_event(TenureEvent::Tick);
        self.placement_event(placement::Event::Tick);
    }

    /// Housekeeping, about once a second.
    pub(crate) fn upkeep(&self) {
        self.pool.sweep();
        self.control.sweep();
        self.store.sweep();
        let is_holder = self.tenure.borrow().is_holding(self.clock.now());
        if is_holder {
            self.log_placement();
        }
        let dispatch = self.dispatch.borrow();
        telemetry::gauges(dispatch.counts(), dispatch.version(), self.is_ready(), is_holder);
    }

    fn log_placement(&self) {
        let summary = self.placement.borrow().summary(self.clock.now());
        let models = summary.iter().map(|model| {
            let (load, holding, coming) = (model.load, model.holding, model.coming);
            format!("{}:{load:.2}:{holding}+{coming}", model.model)
        });
        log::info!("event=placement models={}", models.collect::<Vec<_>>().join(","));
    }

    /// The state of the process, for people.
    pub(crate) fn dump(&self) -> String {
        let now = self.clock.now();
        let dispatch = self.dispatch.borrow();
        let peers = self.peers.borrow();
        let loads = dispatch.loads(now).into_iter().map(|load| format!("{load:?}\n"));
        let loads: String = loads.collect();
        format!(
            "host={}\nversion={:?}\ncounts={:?}\nstage={:?}\nholder={:?}\ntoken={:?}\npeers={:?}\n{loads}",
            self.settings.host,
            dispatch.version(),
            dispatch.counts(),
            *self.stage.borrow(),
            self.holder.borrow(),
            self.tenure.borrow().token(now),
            peers.keys().collect::<Vec<_>>(),
        )
    }
}

fn log_sending(attempt: &Attempt) {
    log::info!(
        "event=request_sent request={} route={} upstream={} number={} waited_ms={} deadline_ms={} \
         own_load={} peer_load={} ahead_tokens={} version={}",
        attempt.request,
        attempt.route,
        attempt.upstream,
        attempt.number,
        attempt.waited_ms,
        attempt.deadline_ms,
        attempt.own_load,
        attempt.peer_load,
        attempt.ahead_tokens,
        attempt.version
    );
}

async fn give_order(hub: Rc<Hub>, order: Order, address: SocketAddr, basis: Basis) {
    log::info!(
        "event=order_sent runner={} operation={} model={} adapter={} count={} token={} \
         held_models={} held_adapters={} report_age_ms={}",
        order.runner,
        order.operation.as_str(),
        order.subject.model,
        order.subject.adapter.as_deref().unwrap_or("-"),
        order.expected_count,
        order.token,
        basis.models.join(","),
        basis.adapters,
        basis.report_age_ms
    );
    let request = hub.ports.engine.order_request(&order);
    let outcome = match call::call(&hub.control, address, request, ORDER).await {
        Ok(reply) => hub.ports.engine.judge_order(reply.status),
        Err(call::Error::NotSent(_)) => OrderOutcome::NotSent,
        Err(call::Error::Unanswered(_)) => OrderOutcome::Unknown,
    };
    log::info!(
        "event=order_answered runner={} count={} token={} outcome={}",
        order.runner,
        order.expected_count,
        order.token,
        outcome.as_str()
    );
    telemetry::ordered(outcome);
    hub.placement_event(placement::Event::Ordered { order, outcome });
}

async fn ask_report(hub: Rc<Hub>, runner: Name, address: SocketAddr) {
    let asked = hub.clock.now();
    let request = hub.ports.engine.report_request(&runner);
    let reply = call::call(&hub.control, address, request, REPORT).await;
    let report = match reply {
        Ok(reply) if reply.status.is_success() => {
            let report = hub.ports.engine.read_report(&reply.body);
            report.inspect_err(|e| {
                log::warn!("event=report_unreadable runner={runner} error=\"{e}\"");
            })
        }
        Ok(reply) => Err(vanetally_ports::FormatError::new("report", reply.status)),
        Err(error) => Err(vanetally_ports::FormatError::new("report", error)),
    };
    if let Ok(report) = &report {
        log::debug!("event=report runner={runner} report={report:?}");
    }
    hub.placement_event(placement::Event::Reported { runner, asked, report: report.ok() });
}
