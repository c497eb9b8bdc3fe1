//! Where events meet decisions, and actions become calls and messages.

use crate::{
    clock::{self, Clock},
    feed::Feed,
    limits::Limits,
    pacing::Pacing,
    peers::HostEntry,
    pool::Pool,
    quarantine::{Looks, Suspect},
    quotas::Quotas,
    settings::Settings,
    store::Store,
    telemetry,
};
use bytes::Bytes;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Instant,
};
use tokio::sync::{mpsc, watch};
use vanetally_dispatch::{
    self as dispatch, Attempt, Digest, Dispatch, LeavingUpstreams, Prediction, RefusalContext,
    RequestId, ShortageKind,
};
use vanetally_fanout::{
    Freshness, HostIncarnation, Pull, Source, SourceSelector, Spacing, Totals, Versions,
};
use vanetally_limit::LimitChange;
use vanetally_link::peer::Links;
use vanetally_placement::{
    self as placement, OrderLease, OrderLeaseEvent, OrderLeaseOptions, Placement,
};
use vanetally_ports::{Configuration, Era, Ports, Refusal, UpstreamState};
use vanetally_quarantine::{ContentHash, CrashEvidence};
use vanetally_types::{Incarnation, Name, Tick};

/// What the decisions tell a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send it.
    Send(Attempt),
    /// Give up the attempt that is under way: its upstream has ended.
    Abandon {
        /// The number of the attempt.
        number: u32,
    },
    /// End it.
    Refuse(Refused),
}

/// A final answer of the product's own, and what stood in the request's way.
#[derive(Debug)]
pub(crate) struct Refused {
    pub refusal: Refusal,
    pub context: RefusalContext,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, context: RefusalContext::default() }
    }
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
    pub control: Pool,
    pub links: Links,
    pub dispatch: RefCell<Dispatch>,
    /// Whether the decisions know that the store has answered.
    has_store: Cell<bool>,
    pub placement: RefCell<Placement>,
    pub tenure: RefCell<OrderLease>,
    pub holder: RefCell<Option<Name>>,
    pub peers: RefCell<BTreeMap<Name, HostEntry>>,
    /// Hosts whose keys a copy of the store lacks, and until when they are waited for.
    pub lapsed: RefCell<BTreeMap<Name, Tick>>,
    pub waiters: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Command>>>,
    pub next_id: Cell<u64>,
    /// The last configurations as they lay in the store.
    pub versions: RefCell<Versions>,
    pub last_digest: RefCell<Digest>,
    /// Where this host reads what lies in the store.
    pub source: watch::Sender<Source>,
    /// The aggregator whose sums this host rests on; none if it is one itself.
    pub gatherer: RefCell<Option<Name>>,
    pub pacing: RefCell<Pacing>,
    pub follow: RefCell<SourceSelector>,
    /// When time last passed for the choice of a source.
    pub followed: Cell<Tick>,
    /// The configuration that another host was asked for.
    pub pull: RefCell<Pull>,
    pub feeds: RefCell<Vec<Rc<Feed>>>,
    /// Tells this life of the process from others.
    pub life: HostIncarnation,
    /// How certainly this host has the newest configuration.
    pub freshness: RefCell<Freshness>,
    pub quotas: RefCell<Quotas>,
    pub limits: RefCell<Limits>,
    /// Upstreams that have said that they leave.
    pub leaving_upstreams: RefCell<LeavingUpstreams>,
    /// Evidence against contents.
    pub evidence: RefCell<CrashEvidence>,
    pub looks: RefCell<Looks>,
    /// Quarantines that are being written to the store.
    pub writes: Cell<usize>,
    pub totals: RefCell<Totals>,
    /// How often this host, as an aggregator, tells the sum of all loads.
    pub sum_spacing: RefCell<Spacing>,
}

/// Length of the order lease, in milliseconds; the store may grant more.
const ORDER_TTL_MS: u64 = 2_000;
/// A holder waits this long before its first order, in milliseconds: the last ones of an earlier
/// holder are on their way no longer.
const SETTLE_MS: u64 = 300;

impl Hub {
    pub(crate) fn new(parts: Parts) -> Rc<Self> {
        let Parts { settings, ports, links } = parts;
        let bounds = &settings.bounds;
        let options = dispatch::Options {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            retry_budget: dispatch::RetryBudgetOptions {
                ratio: bounds.retry_ratio,
                window_ms: bounds.retry_window_ms,
                slack: bounds.retry_slack,
            },
            grace_ms: bounds.grace_ms,
            revoke_ms: bounds.revoke_ms,
        };
        let tenure = OrderLeaseOptions {
            ttl_ms: ORDER_TTL_MS.max(settings.store.min_ttl_ms),
            settle_ms: SETTLE_MS,
            resettle_ms: bounds.order_lease_ms + SETTLE_MS,
        };
        let placement = placement::Options {
            holder: settings.host.clone(),
            load_window_ms: bounds.load_window_ms,
        };
        let clock = Clock::starting_at(clock::ORIGIN);
        Rc::new(Self {
            clock,
            pool: Pool::new(clock),
            control: Pool::new(clock),
            store: Store::new(&settings.store, bounds.contact_ms, ports.store.clone(), clock),
            stage: watch::Sender::new(Stage::Serving),
            host_lease: Cell::new(None),
            links,
            dispatch: RefCell::new(Dispatch::new(clock.now(), options)),
            has_store: Cell::new(false),
            placement: RefCell::new(Placement::new(placement)),
            tenure: RefCell::new(OrderLease::new(clock.now(), tenure)),
            holder: RefCell::new(None),
            peers: RefCell::new(BTreeMap::new()),
            lapsed: RefCell::default(),
            waiters: RefCell::new(HashMap::new()),
            next_id: Cell::new(0),
            versions: RefCell::default(),
            last_digest: RefCell::new(Digest::default()),
            source: watch::Sender::new(Source::Searching),
            gatherer: RefCell::new(None),
            pacing: RefCell::new(Pacing::new(settings.host.clone())),
            follow: RefCell::new(SourceSelector::new(
                clock.now(),
                settings.host.clone(),
                settings.domain.clone(),
                settings.is_first_start,
            )),
            followed: Cell::new(clock.now()),
            pull: RefCell::default(),
            feeds: RefCell::default(),
            life: rand::random(),
            freshness: RefCell::default(),
            quotas: RefCell::new(Quotas::new(bounds.quota, rand::random())),
            limits: RefCell::new(Limits::new(rand::random())),
            leaving_upstreams: RefCell::default(),
            evidence: RefCell::default(),
            looks: RefCell::default(),
            writes: Cell::new(0),
            totals: RefCell::default(),
            sum_spacing: RefCell::new(Spacing::new(settings.link_bytes_per_s)),
            settings,
            ports,
        })
    }

    /// A request was read whole: it gets a number, and the decisions' commands.
    pub(crate) fn admit(
        self: &Rc<Self>,
        request: vanetally_ports::CallerRequest,
        content: ContentHash,
    ) -> (RequestId, mpsc::UnboundedReceiver<Command>) {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, commands) = mpsc::unbounded_channel();
        self.waiters.borrow_mut().insert(id, sender);
        telemetry::arrived();
        self.request_event(dispatch::Event::Arrived { id, request, content_hash: content });
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
                dispatch::Action::Refuse { id, refusal, context } => {
                    self.command(id, Command::Refuse(Refused { refusal, context }));
                }
                dispatch::Action::Abandon { id, number } => {
                    self.command(id, Command::Abandon { number });
                }
                dispatch::Action::Reserve { id, reservation, prompt } => {
                    self.reserve(id, reservation, prompt)
                }
                dispatch::Action::RequestModel { service, subject, is_saturated } => {
                    self.want(service, subject, is_saturated);
                }
                dispatch::Action::ReportOutcome { upstream, is_good } => {
                    self.tell_pacer(upstream, is_good)
                }
                dispatch::Action::Probe {
                    upstream,
                    address,
                    is_engine,
                    content_hash,
                    is_common,
                } => {
                    self.look_at(Suspect { upstream, address, is_engine }, content_hash, is_common);
                }
                dispatch::Action::ReportCrash(suspicion) => self.suspect(suspicion),
                dispatch::Action::RequestPermit { id, reservation, request } => {
                    tokio::task::spawn_local(self.clone().permit(id, reservation, request));
                }
                dispatch::Action::ReturnPermit { upstream, rate } => {
                    self.return_permit(upstream, rate);
                }
                dispatch::Action::LimitChanged { upstream, change, reported_by } => {
                    note_limit(&upstream, change, reported_by.as_ref());
                }
                dispatch::Action::Predicted { prediction, .. } => note_prediction(&prediction),
            }
        }
    }

    fn command(&self, id: RequestId, command: Command) {
        if let Some(waiter) = self.waiters.borrow().get(&id) {
            // A request that has just ended needs no command.
            let _ = waiter.send(command);
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.stage.borrow() != Stage::Serving
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving && self.dispatch.borrow().is_ready(self.clock.now())
    }

    /// Requests that have not ended.
    pub(crate) fn open_requests(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Bounds on what callers may send.
    pub(crate) fn limits(&self) -> vanetally_ports::CallerLimits {
        self.dispatch.borrow().configuration().map(|c| c.limits).unwrap_or_default()
    }

    /// The product's keys of `era` were read; tells whether the store came back from a copy since they last were.
    pub(crate) fn keys_read(&self, era: Era) -> bool {
        let is_return = self.store.eras().read(era);
        if !is_return {
            self.tenure.borrow_mut().set_era(self.clock.now(), era);
        }
        is_return
    }

    /// The configuration lies in the store as `bytes`.
    pub(crate) fn configuration_seen(self: &Rc<Self>, bytes: &Bytes, source: &str) {
        if self.versions.borrow().is_newest(bytes) {
            return;
        }
        #[expect(clippy::disallowed_methods, reason = "a span of work, for the log")]
        let begun = Instant::now();
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
        let (version, routes) = (configuration.version, configuration.routes.len());
        self.versions.borrow_mut().insert(version, bytes.clone());
        self.configure(configuration);
        log::info!(
            "event=configuration_in_force version={version} old={} source={source} routes={routes} \
             bytes={} took_us={}",
            old.unwrap_or(0),
            bytes.len(),
            begun.elapsed().as_micros()
        );
    }

    fn configure(self: &Rc<Self>, configuration: Rc<Configuration>) {
        self.quotas.borrow_mut().configure(self.clock.now(), &configuration);
        self.placement_event(placement::Event::Configured(configuration.clone()));
        self.request_event(dispatch::Event::Configured(configuration));
    }

    /// An upstream announced itself.
    pub(crate) fn upstream_seen(self: &Rc<Self>, id: Incarnation, mut state: UpstreamState) {
        // What it has said itself holds, however old its announcement is.
        state.draining |= self.leaving_upstreams.borrow().contains(&id);
        let seen = placement::Event::UpstreamSeen { id: id.clone(), state: state.clone() };
        self.placement_event(seen);
        self.request_event(dispatch::Event::UpstreamSeen { id, state });
    }

    /// What an upstream announces can't be read.
    pub(crate) fn upstream_unreadable(self: &Rc<Self>, id: Incarnation) {
        self.placement_event(placement::Event::UpstreamUnreadable { id: id.clone() });
        self.request_event(dispatch::Event::UpstreamUnreadable { id });
    }

    /// Another life is announced under an upstream's id.
    pub(crate) fn upstream_ended(self: &Rc<Self>, id: Incarnation) {
        self.leaving_upstreams.borrow_mut().remove(&id);
        self.pacing.borrow_mut().forget(&id);
        self.limits.borrow_mut().forget(&id);
        self.placement_event(placement::Event::UpstreamGone { id: id.clone() });
        self.request_event(dispatch::Event::UpstreamEnded { id });
    }

    /// An upstream's announcement is gone.
    pub(crate) fn upstream_gone(self: &Rc<Self>, id: Incarnation) {
        self.pacing.borrow_mut().forget(&id);
        self.limits.borrow_mut().forget(&id);
        self.placement_event(placement::Event::UpstreamGone { id: id.clone() });
        self.request_event(dispatch::Event::UpstreamGone { id });
    }

    /// Time passed.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.check_pacers();
        self.review_granting();
        self.follow_grantor();
        if !self.has_store.get() && self.store.contact().has_answered() {
            self.has_store.set(true);
            self.request_event(dispatch::Event::StoreAnswered);
        }
        self.request_event(dispatch::Event::Tick);
        self.tenure_event(OrderLeaseEvent::Tick);
        self.review_lapsed();
        self.follow_tick();
        self.probe_store();
        self.placement_event(placement::Event::Tick);
    }
}

fn note_limit(upstream: &Incarnation, change: LimitChange, by: Option<&Name>) {
    telemetry::limit_stated(change);
    let by = by.map_or("answer", |host| host);
    match change {
        LimitChange::Stated(rate) => {
            log::info!("event=limit_named upstream={upstream} per_s={rate} by={by}");
        }
        LimitChange::Ended => log::info!("event=limit_ended upstream={upstream} by={by}"),
    }
}

fn note_prediction(prediction: &Prediction) {
    telemetry::predicted(prediction.took_ms / prediction.expected_ms);
    log::debug!(
        "event=first_piece request={} upstream={} took_ms={} expected_ms={:.0} unread_tokens={} ahead_ms={} per_token_us={:.0}",
        prediction.request,
        prediction.upstream,
        prediction.took_ms,
        prediction.expected_ms,
        prediction.unread_tokens,
        prediction.ahead_ms,
        prediction.per_token_us
    );
}

fn log_sending(attempt: &Attempt) {
    let subject = attempt.subject.as_ref().map_or_else(|| "-".into(), ToString::to_string);
    log::info!(
        "event=request_sent request={} route={} subject={subject} upstream={} number={} waited_ms={} lacked={} deadline_ms={} \
         own_load={} peer_load={} unread_tokens={} ahead_ms={} delay_ms={} limit={} version={}",
        attempt.request,
        attempt.route,
        attempt.upstream,
        attempt.number,
        attempt.waited_ms,
        attempt.shortage.map_or("-", ShortageKind::as_str),
        attempt.deadline_ms,
        attempt.own_load,
        attempt.peer_load,
        attempt.unread_tokens,
        attempt.ahead_ms,
        attempt.delay_ms,
        attempt.limit.map_or_else(|| "-".to_owned(), |rate| rate.to_string()),
        attempt.version
    );
}
