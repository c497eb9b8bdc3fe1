//! Central state of the process: feeds events to the decision logic and turns its actions into
//! calls and messages.

use crate::{
    body_room::BodyRoom,
    clock::{self, Clock},
    command::{Command, RequestRefusal},
    configuration_wait::ConfigurationWait,
    entry_point::EntryAttempts,
    exit::{ServedTunnels, TunnelEvent},
    feed::Feed,
    host_entry::HostEntry,
    limits::Limits,
    order_call::OpenOrders,
    pacing::Pacing,
    peers::PeerMessage,
    pool::Pool,
    probing::Probes,
    quotas::Quotas,
    request_log::{log_attempt, record_broken, record_limit, record_prediction},
    settings::Settings,
    slots::Slots,
    store::Store,
    streams::Streams,
    telemetry,
    tries::TryQueries,
    version_check::VersionChecks,
};
use bytes::Bytes;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Instant,
};
use tokio::sync::{mpsc, watch};
use vanetally_admission::Timeouts;
use vanetally_callers::Callers;
use vanetally_dispatch::{self as dispatch, Digest, Dispatch, LeavingUpstreams, RequestId};
use vanetally_fanout::{
    Freshness, HostIncarnation, Pull, Source, SourceSelector, Spacing, Throttle, Totals, Versions,
};
use vanetally_link::peer::Links;
use vanetally_placement::{
    self as placement, AnnouncementFence, OrderLease, OrderLeaseEvent, OrderLeaseOptions, Placement,
};
use vanetally_ports::{Configuration, Era, Ports, UpstreamState};
use vanetally_quarantine::{ContentHash, CrashEvidence};
use vanetally_reach::Reach;
use vanetally_types::{Incarnation, Name, Tick};

/// The stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Ready and serving.
    Serving,
    /// Not ready; new requests are still accepted.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// The components from which a hub is built.
pub(crate) struct HubParts {
    pub settings: Settings,
    pub ports: Ports,
    pub links: Links,
    pub tunnels: mpsc::UnboundedSender<TunnelEvent>,
}

/// All state of the process, owned by one thread.
pub(crate) struct Hub {
    pub settings: Settings,
    pub ports: Ports,
    pub clock: Clock,
    /// Connections to upstreams for the requests of callers.
    pub pool: Pool,
    pub store: Store,
    pub stage: watch::Sender<Stage>,
    /// Lease of the host key while that key is written.
    pub host_lease: watch::Sender<Option<vanetally_ports::LeaseId>>,
    /// Connections to runners for report requests.
    pub control_pool: Pool,
    /// Reads of the versions that services have had.
    pub version_checks: VersionChecks,
    /// Room for the answers of upstreams to the host's own questions.
    pub body_room: BodyRoom,
    /// Orders that have no answer, each on a connection of its own.
    pub open_orders: OpenOrders,
    pub links: Links,
    pub dispatch: RefCell<Dispatch>,
    /// Whether the dispatcher has been informed of the store's first answer.
    has_reported_store: Cell<bool>,
    pub placement: RefCell<Placement>,
    pub order_lease: RefCell<OrderLease>,
    pub holder: RefCell<Option<Name>>,
    /// Rejects what former holders of the order lease announce.
    pub announcement_fence: Cell<AnnouncementFence>,
    pub peers: RefCell<BTreeMap<Name, HostEntry>>,
    /// Hosts that are known from other hosts only.
    pub introduced: RefCell<BTreeSet<Name>>,
    /// Whether the list of hosts was read or received since the start.
    pub has_host_list: Cell<bool>,
    /// When what follows from the set of hosts is derived again.
    pub peer_updates: RefCell<Throttle>,
    /// Hosts whose keys are missing after a restore of the store, and how long to wait for them.
    pub lapsed: RefCell<BTreeMap<Name, Tick>>,
    pub command_senders: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Command>>>,
    pub next_id: Cell<u64>,
    /// The most recent configurations, as stored.
    pub versions: RefCell<Versions>,
    pub last_digest: RefCell<Digest>,
    /// Where this host reads store data from: the store itself or another host.
    pub source: watch::Sender<Source>,
    /// The aggregator whose load totals this host uses; `None` if it is an aggregator itself.
    pub load_aggregator: RefCell<Option<Name>>,
    pub pacing: RefCell<Pacing>,
    pub slots: RefCell<Slots>,
    pub source_selector: RefCell<SourceSelector>,
    /// This host's search for an entry point of its domain.
    pub entry_attempts: EntryAttempts,
    /// What callers hold.
    pub callers: Rc<Callers>,
    /// Requests that wait for the configuration.
    pub configuration_wait: ConfigurationWait,
    /// Time of the last tick given to the source selection.
    pub last_source_tick: Cell<Tick>,
    /// Pending configuration request to another host.
    pub configuration_pull: RefCell<Pull>,
    pub feeds: RefCell<Vec<Rc<Feed>>>,
    /// Random id of this incarnation of the process.
    pub incarnation: HostIncarnation,
    /// As of when the configuration is confirmed to be the newest.
    pub freshness: RefCell<Freshness>,
    pub quotas: RefCell<Quotas>,
    pub streams: RefCell<Streams>,
    pub limits: RefCell<Limits>,
    /// Upstreams that have announced that they are leaving.
    pub leaving_upstreams: RefCell<LeavingUpstreams>,
    /// Crash evidence by content.
    pub evidence: RefCell<CrashEvidence>,
    pub try_queries: RefCell<TryQueries>,
    pub probes: RefCell<Probes>,
    /// Which upstreams this host reaches, and through which hosts it reaches the others.
    pub reach: RefCell<Reach>,
    /// Tunnels of other hosts through this one.
    pub served_tunnels: ServedTunnels,
    /// Number of quarantine writes in progress.
    pub quarantine_writes: Cell<usize>,
    pub totals: RefCell<Totals>,
    /// When this host last sent its load messages, and when it sends the next ones.
    pub last_load: Cell<Tick>,
    pub next_load: Cell<Tick>,
    /// Limits how often this host, as an aggregator, sends the total load.
    pub sum_spacing: RefCell<Spacing>,
}

/// Requested TTL of the order lease; the store may grant more.
const ORDER_TTL_MS: u64 = 2_000;
/// Wait of a new holder before its first order, until orders of the previous holder can no longer
/// be in flight.
const SETTLE_MS: u64 = 300;

impl Hub {
    pub(crate) fn new(parts: HubParts) -> Rc<Self> {
        let HubParts { settings, ports, links, tunnels } = parts;
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
            prefix_affinity: settings.scheduling.prefix_affinity,
            shared_queue: settings.scheduling.shared_queue,
            slot_grants: settings.scheduling.slot_grants,
        };
        let order_lease = OrderLeaseOptions {
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
            pool: Pool::to_upstreams(clock),
            control_pool: Pool::to_upstreams(clock),
            version_checks: VersionChecks::default(),
            body_room: BodyRoom::new(settings.memory_bytes),
            open_orders: OpenOrders::default(),
            store: Store::new(&settings.store, bounds.contact_ms, ports.store.clone(), clock),
            stage: watch::Sender::new(Stage::Serving),
            host_lease: watch::Sender::new(None),
            links,
            dispatch: RefCell::new(Dispatch::new(clock.now(), options)),
            has_reported_store: Cell::new(false),
            placement: RefCell::new(Placement::new(placement)),
            order_lease: RefCell::new(OrderLease::new(clock.now(), order_lease)),
            holder: RefCell::new(None),
            announcement_fence: Cell::default(),
            peers: RefCell::new(BTreeMap::new()),
            introduced: RefCell::default(),
            has_host_list: Cell::new(false),
            peer_updates: RefCell::default(),
            lapsed: RefCell::default(),
            command_senders: RefCell::new(HashMap::new()),
            next_id: Cell::new(0),
            versions: RefCell::default(),
            last_digest: RefCell::new(Digest::default()),
            source: watch::Sender::new(Source::Searching),
            load_aggregator: RefCell::new(None),
            pacing: RefCell::new(Pacing::new(settings.host.clone())),
            slots: RefCell::new(Slots::new(settings.host.clone(), rand::random())),
            source_selector: RefCell::new(SourceSelector::new(
                clock.now(),
                settings.host.clone(),
                settings.domain.clone(),
                settings.is_first_start,
            )),
            entry_attempts: EntryAttempts::new(&settings),
            callers: Callers::new(clock, settings.caller_limits()),
            configuration_wait: ConfigurationWait::default(),
            last_source_tick: Cell::new(clock.now()),
            configuration_pull: RefCell::default(),
            feeds: RefCell::default(),
            incarnation: rand::random(),
            freshness: RefCell::default(),
            quotas: RefCell::new(Quotas::new(
                bounds.quota,
                rand::random(),
                settings.scheduling.quota_wait,
            )),
            streams: RefCell::new(Streams::new(clock.now(), rand::random())),
            limits: RefCell::new(Limits::new(rand::random())),
            leaving_upstreams: RefCell::default(),
            evidence: RefCell::new(CrashEvidence::new(rand::random())),
            try_queries: RefCell::default(),
            probes: RefCell::default(),
            reach: RefCell::new(Reach::new(settings.host.clone())),
            served_tunnels: ServedTunnels::new(settings.memory_bytes, tunnels),
            quarantine_writes: Cell::new(0),
            totals: RefCell::default(),
            last_load: Cell::new(clock.now()),
            next_load: Cell::new(clock.now()),
            sum_spacing: RefCell::new(Spacing::new(settings.link_bytes_per_s)),
            settings,
            ports,
        })
    }

    /// Registers a request that was read completely at `at`; returns its id and the channel of its
    /// commands.
    pub(crate) fn admit(
        self: &Rc<Self>,
        at: Tick,
        request: vanetally_ports::CallerRequest,
        contents: Rc<[ContentHash]>,
    ) -> (RequestId, mpsc::UnboundedReceiver<Command>) {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, commands) = mpsc::unbounded_channel();
        self.command_senders.borrow_mut().insert(id, sender);
        telemetry::request_arrived();
        self.request_event(match self.settings.scheduling.quota_wait {
            true => dispatch::Event::ArrivedEarlier { at, id, request, contents },
            false => dispatch::Event::Arrived { id, request, contents },
        });
        (id, commands)
    }

    /// Removes a request that has its final response.
    pub(crate) fn forget(&self, id: RequestId) {
        self.command_senders.borrow_mut().remove(&id);
    }

    /// Passes an event to the dispatcher and performs the resulting actions.
    pub(crate) fn request_event(self: &Rc<Self>, event: dispatch::Event) {
        let now = self.clock.now();
        let actions = self.dispatch.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                dispatch::Action::Send { id, attempt } => {
                    log_attempt(&attempt);
                    self.send_command(id, Command::Send(attempt));
                }
                dispatch::Action::Refuse { id, refusal, context } => {
                    self.send_command(id, Command::Refuse(RequestRefusal { refusal, context }));
                }
                dispatch::Action::Abandon { id, number } => {
                    self.send_command(id, Command::Abandon { number });
                }
                dispatch::Action::Reserve { id, reservation, prompt } => {
                    self.reserve(id, reservation, prompt)
                }
                dispatch::Action::RequestModel { service, subject, is_saturated } => {
                    self.request_model(service, subject, is_saturated);
                }
                dispatch::Action::ReportOutcome { upstream, is_good } => {
                    self.report_end(upstream, is_good)
                }
                dispatch::Action::Probe { upstream, suspects } => {
                    self.probe_contents(upstream, suspects);
                }
                dispatch::Action::AttemptBroken { request, upstream, suspects } => {
                    record_broken(&request, &upstream, &suspects);
                }
                dispatch::Action::ReportCrash { upstream, sign, suspects } => {
                    self.report_crash(&upstream, sign, suspects);
                }
                dispatch::Action::AskTries { id, contents } => self.ask_tries(id, contents),
                dispatch::Action::EndTries { contents } => self.end_tries(&contents),
                dispatch::Action::ReportAnswers { answers } => self.report_answers(answers),
                dispatch::Action::RequestPermit { id, reservation, request } => {
                    tokio::task::spawn_local(self.clone().obtain_permit(id, reservation, request));
                }
                dispatch::Action::ReturnPermit { upstream, rate } => {
                    self.return_permit(upstream, rate);
                }
                dispatch::Action::AcquireSlot { id, reservation, request } => {
                    self.acquire_slot(id, reservation, request);
                }
                dispatch::Action::ReleaseSlot { id, reservation, end } => {
                    self.release_slot(id, reservation, end);
                }
                dispatch::Action::LimitChanged { upstream, change, reported_by } => {
                    record_limit(&upstream, change, reported_by.as_ref());
                }
                dispatch::Action::Ejected { upstream, reason } => {
                    log::info!("event=upstream_ejected upstream={upstream} by={}", reason.as_str());
                    telemetry::upstream_ejected(reason);
                }
                dispatch::Action::Predicted { prediction, .. } => record_prediction(&prediction),
            }
        }
    }

    pub(crate) fn send_command(&self, id: RequestId, command: Command) {
        if let Some(sender) = self.command_senders.borrow().get(&id) {
            // A request that has just ended no longer receives commands.
            let _ = sender.send(command);
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.stage.borrow() != Stage::Serving
    }

    /// Whether the load balancer may route callers to this host.
    pub(crate) fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving && self.dispatch.borrow().is_ready(self.clock.now())
    }

    /// Number of requests without a final response, including those that wait for quota.
    pub(crate) fn open_requests(&self) -> usize {
        self.command_senders.borrow().len() + self.quotas.borrow().open_queries()
    }

    /// Returns the limits on caller requests.
    pub(crate) fn caller_limits(&self) -> vanetally_ports::CallerLimits {
        self.dispatch.borrow().configuration().map(|c| c.limits).unwrap_or_default()
    }

    /// Returns the time limits on callers.
    pub(crate) fn caller_timeouts(&self) -> Timeouts {
        let limits = self.caller_limits();
        Timeouts { head_ms: limits.header_ms, idle_ms: limits.idle_ms }
    }

    /// Records that the product's keys of `era` were read; returns whether the store was restored
    /// from a backup since the last read.
    pub(crate) fn record_keys_read(&self, era: Era) -> bool {
        let is_restore = self.store.eras().record_read(era);
        if !is_restore {
            self.order_lease.borrow_mut().set_era(self.clock.now(), era);
        }
        is_restore
    }

    /// Puts a stored configuration into force if it is newer than the current one.
    pub(crate) fn apply_configuration(self: &Rc<Self>, bytes: &Bytes, source: &str) {
        if self.versions.borrow().is_newest(bytes) {
            return;
        }
        #[expect(clippy::disallowed_methods, reason = "a span of work, for the log")]
        let started = Instant::now();
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
            started.elapsed().as_micros()
        );
        if old.is_none() {
            // Hosts that start as well wait for it.
            self.send_to_subscribers(|| Some(PeerMessage::Status(self.host_status())));
        }
    }

    fn configure(self: &Rc<Self>, configuration: Rc<Configuration>) {
        self.quotas.borrow_mut().configure(self.clock.now(), &configuration);
        self.placement_event(placement::Event::Configured(configuration.clone()));
        self.request_event(dispatch::Event::Configured(configuration));
        self.update_configured();
    }

    /// Handles the announcement of an upstream.
    pub(crate) fn upstream_seen(self: &Rc<Self>, id: Incarnation, mut state: UpstreamState) {
        // An upstream's own statement that it is leaving takes precedence over its announcement,
        // which may be older.
        state.draining |= self.leaving_upstreams.borrow().contains(&id);
        self.version_seen(&state.service, &state.software_version);
        let seen = placement::Event::UpstreamSeen { id: id.clone(), state: state.clone() };
        self.placement_event(seen);
        self.request_event(dispatch::Event::UpstreamSeen { id, state });
    }

    /// Handles an unreadable announcement.
    pub(crate) fn upstream_unreadable(self: &Rc<Self>, id: Incarnation) {
        self.placement_event(placement::Event::UpstreamUnreadable { id: id.clone() });
        self.request_event(dispatch::Event::UpstreamUnreadable { id });
    }

    /// Handles the end of an incarnation: another one was announced under the same id.
    pub(crate) fn upstream_ended(self: &Rc<Self>, id: Incarnation) {
        self.leaving_upstreams.borrow_mut().remove(&id);
        self.pacing.borrow_mut().forget(&id);
        self.limits.borrow_mut().forget(&id);
        self.placement_event(placement::Event::UpstreamGone { id: id.clone() });
        self.reach_event(vanetally_reach::Event::Gone(id.clone()));
        self.request_event(dispatch::Event::UpstreamEnded { id: id.clone() });
        // Requests that wait for its slots are queued again, and must not choose it.
        self.forget_slots(&id);
    }

    /// Handles the removal of an upstream's announcement.
    pub(crate) fn upstream_gone(self: &Rc<Self>, id: Incarnation) {
        self.pacing.borrow_mut().forget(&id);
        self.limits.borrow_mut().forget(&id);
        self.placement_event(placement::Event::UpstreamGone { id: id.clone() });
        self.reach_event(vanetally_reach::Event::Gone(id.clone()));
        self.request_event(dispatch::Event::UpstreamGone { id: id.clone() });
        // Requests that wait for its slots are queued again, and must not choose it.
        self.forget_slots(&id);
    }

    /// Runs all periodic checks.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.update_peers();
        self.decide_unanswered();
        self.tick_slots();
        self.tick_streams();
        self.update_granting();
        self.serve_quota();
        self.send_follows();
        if !self.has_reported_store.get() && self.store.contact().has_answered() {
            self.has_reported_store.set(true);
            self.request_event(dispatch::Event::StoreAnswered);
        }
        self.review_evidence();
        self.reach_event(vanetally_reach::Event::Tick);
        self.request_event(dispatch::Event::Tick);
        self.order_lease_event(OrderLeaseEvent::Tick);
        self.expire_lapsed();
        self.tick_source();
        self.repeat_configuration_request();
        self.probe_store();
        self.placement_event(placement::Event::Tick);
    }
}
