//! The state machine that plans and sends orders while this host holds the order lease.

use crate::{
    Action, Event, Ledger, LoadLimit, Options, Reservation, demand::DemandTable,
    unsettled::UnsettledOrders,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, btree_map::Entry},
    rc::Rc,
};
use vanetally_ports::{
    Configuration, FencingToken, ModelRef, Operation, Order, OrderOutcome, Report, Subject,
    UpstreamState,
};
use vanetally_types::{Incarnation, Name, Tick};

/// Tracks all runners and sends them orders while it has a fencing token.
pub struct Placement {
    pub(crate) options: Options,
    pub(crate) configuration: Option<Rc<Configuration>>,
    pub(crate) ledgers: BTreeMap<Incarnation, Ledger>,
    /// Failure domains that operators evacuate.
    evacuated: Rc<BTreeSet<Name>>,
    /// Orders to ended incarnations, by the runner id under which another one may start.
    unsettled: BTreeMap<Name, UnsettledOrders>,
    pub(crate) demand: DemandTable,
    pub(crate) token: Option<FencingToken>,
    /// When the current token was first set.
    pub(crate) token_since: Tick,
    /// The last token; `None` if this host has not ordered, and its ledgers hold announcements only.
    /// While it stays the same no other host can have sent orders, and the ledgers remain valid.
    last_token: Option<FencingToken>,
    /// When the next planning round may start.
    round_at: Tick,
    pub(crate) load_limits: HashMap<Name, LoadLimit>,
    /// Models and adapters that hosts requested, with the time of the last request.
    pub(crate) requested: BTreeMap<(Name, ModelRef), Tick>,
    /// Models whose replicas are all saturated while callers wait, with the time when a host last
    /// reported it.
    pub(crate) saturated: BTreeMap<(Name, Name), Tick>,
    /// Models whose holders have no room for a requested adapter, with the time this was last
    /// found.
    pub(crate) adapter_full: BTreeMap<(Name, Name), Tick>,
    /// Models and adapters that were requested although they are held, with the time of the last
    /// announcement.
    pub(crate) reannounced: HashMap<(Name, ModelRef), Tick>,
    /// Adapters of which another copy was requested, with the time of the request.
    copied_adapters: BTreeMap<(Name, ModelRef), Tick>,
    /// Unloads that were announced but not yet ordered, with the time of the announcement.
    pub(crate) pending_unloads: BTreeMap<(Incarnation, Subject), Tick>,
    /// Runners on which memory is being freed, with the model it is for.
    pub(crate) reserved: BTreeMap<Incarnation, Reservation>,
    /// Expected completion times of adapter loads.
    pub(crate) adapter_arrivals: Vec<(Tick, Incarnation, Subject)>,
}

/// A request is dropped if it is not repeated within this time.
const REQUEST_TTL_MS: u64 = 1_000;
/// How long a model counts as saturated after a host reported it. Hosts repeat the report four
/// times a second while requests wait.
const SATURATION_TTL_MS: u64 = 1_000;
/// Minimum time between ordering two more copies of one adapter. Hosts learn of the first copy
/// within this time.
const COPY_INTERVAL_MS: u64 = 500;
/// Time between announcing an unload to all hosts and ordering it.
const UNLOAD_NOTICE_MS: u64 = 150;
/// An announced unload is cancelled if it can't be ordered within this time.
const UNLOAD_NOTICE_LIMIT_MS: u64 = 600;
/// Minimum time between repeated announcements of what hosts request although it is held.
pub(crate) const REANNOUNCE_MS: u64 = 500;
/// Fixed part of the expected duration of an adapter load.
const ADAPTER_BASE_MS: f64 = 20.0;
/// Part of the expected duration of an adapter load per megabyte.
const ADAPTER_PER_MB_MS: f64 = 0.7;
/// A report is requested this long after an unload was accepted. An unload waits for running
/// requests.
const UNLOAD_MS: u64 = 400;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Minimum time between two planning rounds. A round costs runners x models, while hundreds of
/// reports and answers arrive per second.
const ROUND_INTERVAL_MS: u64 = 40;

impl Placement {
    /// Creates a placement that knows no configuration and no runners.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            configuration: None,
            ledgers: BTreeMap::new(),
            evacuated: Rc::default(),
            unsettled: BTreeMap::new(),
            demand: DemandTable::default(),
            token: None,
            token_since: Tick(0),
            last_token: None,
            round_at: Tick(0),
            load_limits: HashMap::new(),
            requested: BTreeMap::new(),
            saturated: BTreeMap::new(),
            adapter_full: BTreeMap::new(),
            reannounced: HashMap::new(),
            copied_adapters: BTreeMap::new(),
            pending_unloads: BTreeMap::new(),
            reserved: BTreeMap::new(),
            adapter_arrivals: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configured(configuration) => self.configure(configuration),
            Event::UpstreamSeen { id, state } => self.upstream_seen(now, id, state),
            Event::UpstreamUnreadable { id } => {
                if let Some(ledger) = self.ledgers.get_mut(&id) {
                    ledger.set_unreadable();
                }
            }
            Event::UpstreamGone { id } => self.upstream_gone(now, id),
            Event::Evacuated(domains) => self.set_evacuated(domains),
            Event::Demand(samples) => {
                samples.iter().for_each(|sample| self.demand.add(now, sample));
            }
            Event::Requested { service, subject, is_saturated: true } => {
                if subject.adapter.is_none() {
                    self.saturated.insert((service, subject.model), now);
                } else if let Entry::Vacant(entry) =
                    self.copied_adapters.entry((service.clone(), subject.clone()))
                {
                    entry.insert(now);
                    self.order_requested(now, &service, &subject, true, &mut actions);
                }
            }
            Event::Requested { service, subject, is_saturated: false } => {
                self.demand.record(now, &service, &subject, 0.0);
                self.reannounce(now, &service, &subject, &mut actions);
                let previous = self.requested.insert((service.clone(), subject.clone()), now);
                // A repeated request waits for the next round.
                if previous.is_none() {
                    self.order_requested(now, &service, &subject, false, &mut actions);
                }
            }
            Event::Reported { runner, requested_at, report } => {
                self.reported(now, &runner, requested_at, report, &mut actions);
            }
            Event::OrderAnswered { order, outcome } => {
                self.order_answered(now, &order, outcome, &mut actions)
            }
            Event::Token(token) => self.set_token(now, token),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn configure(&mut self, configuration: Rc<Configuration>) {
        let version = self.configuration.as_ref().map(|c| c.version);
        if version.is_none_or(|version| version < configuration.version) {
            self.configuration = Some(configuration);
        }
    }

    fn upstream_seen(&mut self, now: Tick, id: Incarnation, state: UpstreamState) {
        let is_tracked = self.last_token.is_some();
        if let Some(ledger) = self.ledgers.get_mut(&id) {
            return ledger.set_announced(state, is_tracked);
        }
        let mut ledger = if is_tracked { Ledger::new(state) } else { Ledger::untracked(state) };
        ledger.set_evacuated(&self.evacuated);
        if let Some(unsettled) = self.unsettled.remove(&id.id) {
            ledger.add_unsettled(now, unsettled);
        }
        self.ledgers.insert(id, ledger);
    }

    fn set_evacuated(&mut self, domains: Rc<BTreeSet<Name>>) {
        self.ledgers.values_mut().for_each(|ledger| ledger.set_evacuated(&domains));
        self.evacuated = domains;
    }

    fn upstream_gone(&mut self, now: Tick, id: Incarnation) {
        self.reserved.remove(&id);
        self.pending_unloads.retain(|(runner, _), _| *runner != id);
        let Some(mut ledger) = self.ledgers.remove(&id) else {
            return;
        };
        let unsettled = ledger.take_unsettled(now);
        if !unsettled.is_empty() {
            self.unsettled.entry(id.id).or_default().merge(now, &unsettled);
        }
    }

    fn reported(
        &mut self,
        now: Tick,
        runner: &Incarnation,
        requested_at: Tick,
        report: Option<Report>,
        actions: &mut Vec<Action>,
    ) {
        let Some(ledger) = self.ledgers.get_mut(runner) else {
            return;
        };
        // A report of another incarnation says nothing about this one, whose end will be announced.
        let report = report.filter(|report| report.born.is_none() || report.born == runner.born);
        let held_before = ledger.held_models();
        if !ledger.apply_report(now, requested_at, report) {
            return;
        }
        let loaded = ledger.held_models().into_iter().filter(|model| !held_before.contains(model));
        for model in loaded.filter(|_| self.token.is_some()) {
            actions.push(announce(runner, &Subject { model, adapter: None }, true, 0));
        }
        self.order_all(now, actions);
    }

    fn set_token(&mut self, now: Tick, token: Option<FencingToken>) {
        if token == self.token {
            return;
        }
        self.token = token;
        // With an unchanged token nobody else held the lease meanwhile: the ledgers remain valid.
        if token.is_none() || token == self.last_token {
            return;
        }
        self.last_token = token;
        self.pending_unloads.clear();
        self.reserved.clear();
        // An earlier holder may have started loads: limits and ledgers are out of date.
        self.load_limits.clear();
        self.token_since = now;
        for ledger in self.ledgers.values_mut() {
            ledger.reset(now);
        }
    }

    fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.requested.retain(|_, at| now.since(*at) < REQUEST_TTL_MS);
        self.saturated.retain(|_, at| now.since(*at) < SATURATION_TTL_MS);
        self.adapter_full.retain(|_, at| now.since(*at) < SATURATION_TTL_MS);
        self.reannounced.retain(|_, at| now.since(*at) < REANNOUNCE_MS);
        self.copied_adapters.retain(|_, at| now.since(*at) < COPY_INTERVAL_MS);
        self.unsettled
            .values_mut()
            .for_each(|unsettled| unsettled.merge(now, &UnsettledOrders::default()));
        self.unsettled.retain(|_, unsettled| !unsettled.is_empty());
        let adapter_arrivals = std::mem::take(&mut self.adapter_arrivals);
        for (due, runner, subject) in adapter_arrivals {
            if now < due {
                self.adapter_arrivals.push((due, runner, subject));
            } else if let Some(ledger) = self.ledgers.get_mut(&runner) {
                ledger.adapter_arrived(&subject);
            }
        }
        if self.token.is_none() {
            return;
        }
        self.request_reports(now, actions);
        self.order_all(now, actions);
    }

    fn request_reports(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        for (runner, ledger) in &mut self.ledgers {
            let service = configuration.services.get(&ledger.state.service);
            let is_engine = service.is_some_and(|service| service.engine.is_some());
            if is_engine && !ledger.is_leaving() && ledger.try_request_report(now) {
                let address = ledger.state.address;
                actions.push(Action::RequestReport { runner: runner.clone(), address });
            }
        }
    }

    fn order_all(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let (Some(token), Some(configuration)) = (self.token, self.configuration.clone()) else {
            return;
        };
        self.order_pending_unloads(now, token, actions);
        if now < self.round_at {
            return;
        }
        self.round_at = now + ROUND_INTERVAL_MS;
        for (name, service) in &configuration.services {
            if let Some(engine) = &service.engine {
                self.order_adapters(now, token, name, engine, actions);
                self.order_weights(now, token, name, engine, actions);
            }
        }
    }

    /// Orders what a host has just requested, or another copy of an adapter whose holders are all
    /// saturated.
    fn order_requested(
        &mut self,
        now: Tick,
        service: &Name,
        subject: &ModelRef,
        is_saturated: bool,
        actions: &mut Vec<Action>,
    ) {
        let (Some(token), Some(configuration)) = (self.token, self.configuration.clone()) else {
            return;
        };
        let engine = configuration.services.get(service).and_then(|known| known.engine.as_ref());
        let Some(engine) = engine else {
            return;
        };
        let subject = Subject { model: subject.model.clone(), adapter: subject.adapter.clone() };
        match (&subject.adapter, is_saturated) {
            (Some(_), true) => {
                // If no runner has room, the present copies must suffice: nothing is evicted.
                self.load_adapter(now, token, service, engine, subject, actions);
            }
            (Some(_), false) => self.order_adapter(now, token, service, engine, subject, actions),
            // A round costs runners x models: requested weights wait for the next one, 40 ms
            // compared with seconds of loading.
            (None, _) => self.order_all(now, actions),
        }
    }

    /// Orders the unloads that were announced to all hosts long enough ago.
    fn order_pending_unloads(&mut self, now: Tick, token: FencingToken, actions: &mut Vec<Action>) {
        // Unloads that could not be ordered in time are cancelled: the demand may have changed
        // since.
        let is_expired = |since: &Tick| now.since(*since) > UNLOAD_NOTICE_LIMIT_MS;
        let expired = self.pending_unloads.iter().filter(|(_, since)| is_expired(since));
        let cancelled: Vec<(Incarnation, Subject)> = expired.map(|(key, _)| key.clone()).collect();
        for (runner, subject) in cancelled {
            actions.push(announce(&runner, &subject, true, 0));
            self.pending_unloads.remove(&(runner, subject));
        }
        let due =
            self.pending_unloads.iter().filter(|(_, since)| now.since(**since) >= UNLOAD_NOTICE_MS);
        let due: Vec<(Incarnation, Subject)> = due.map(|(key, _)| key.clone()).collect();
        for (runner, subject) in due {
            let can_order = self
                .ledgers
                .get(&runner)
                .is_some_and(|ledger| ledger.next_count().is_some() && !ledger.is_busy());
            if can_order {
                self.pending_unloads.remove(&(runner.clone(), subject.clone()));
                self.order(now, token, &runner, Operation::Unload, subject, actions);
            }
        }
    }

    pub(crate) fn order(
        &mut self,
        now: Tick,
        token: FencingToken,
        runner: &Incarnation,
        operation: Operation,
        subject: Subject,
        actions: &mut Vec<Action>,
    ) {
        let Some(ledger) = self.ledgers.get_mut(runner) else {
            return;
        };
        let Some(orders_before) = ledger.next_count() else {
            return;
        };
        let order = Order {
            runner: runner.clone(),
            operation,
            subject,
            orders_before,
            holder: self.options.holder.clone(),
            token,
        };
        let known = ledger.known_state(now);
        ledger.order_sent(now, order.clone());
        if operation == Operation::Unload && order.subject.adapter.is_some() {
            actions.push(announce(runner, &order.subject, false, 0));
        }
        actions.push(Action::Order { order, address: ledger.state.address, known });
    }

    fn order_answered(
        &mut self,
        now: Tick,
        order: &Order,
        outcome: OrderOutcome,
        actions: &mut Vec<Action>,
    ) {
        let expected_ms = self.expected_ms(order);
        let Some(ledger) = self.ledgers.get_mut(&order.runner) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                ledger.order_accepted(now, order, expected_ms);
                self.order_accepted(now, order, expected_ms, actions);
            }
            // The next report shows whether the runner counts this as an accepted order.
            OrderOutcome::AlreadyDone => {
                ledger.order_accepted(now, order, 0);
                ledger.require_report();
                let is_present = order.operation == Operation::Load;
                actions.push(announce(&order.runner, &order.subject, is_present, 0));
            }
            OrderOutcome::Conflict | OrderOutcome::WrongRunner | OrderOutcome::Invalid => {
                ledger.order_refused(order);
            }
            OrderOutcome::NotSent => ledger.order_refused(order),
            OrderOutcome::Unknown => ledger.order_unanswered(now, order),
            OrderOutcome::Fenced => {
                ledger.order_refused(order);
                self.token = None;
                actions.push(Action::Resign);
            }
        }
        self.order_all(now, actions);
    }

    fn order_accepted(
        &mut self,
        now: Tick,
        order: &Order,
        expected_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if order.subject.adapter.is_none() {
            return;
        }
        if order.operation == Operation::Load {
            let arrival = (now + expected_ms, order.runner.clone(), order.subject.clone());
            self.adapter_arrivals.push(arrival);
            actions.push(announce(&order.runner, &order.subject, true, expected_ms));
        }
    }

    /// Expected duration of the order.
    fn expected_ms(&self, order: &Order) -> u64 {
        let ledger = self.ledgers.get(&order.runner);
        let service = ledger.map(|ledger| &ledger.state.service);
        let services = self.configuration.as_ref().map(|c| &c.services);
        let service = service.and_then(|name| services?.get(name));
        let engine = service.and_then(|service| service.engine.as_ref());
        let Some(spec) = engine.and_then(|engine| engine.models.get(&order.subject.model)) else {
            return UNLOAD_MS;
        };
        let has_copy = ledger.is_some_and(|ledger| ledger.has_local_copy(&order.subject.model));
        match (order.operation, &order.subject.adapter) {
            (Operation::Load, Some(_)) => {
                (ADAPTER_BASE_MS + ADAPTER_PER_MB_MS * spec.adapter_mb) as u64
            }
            (Operation::Load, None) if has_copy => (spec.warm_s * MILLIS_PER_SECOND) as u64,
            (Operation::Load, None) => (spec.load_s * MILLIS_PER_SECOND) as u64,
            (Operation::Unload, _) => UNLOAD_MS,
        }
    }
}

/// Returns the action that announces a gained or lost model or adapter.
pub(crate) fn announce(
    runner: &Incarnation,
    subject: &Subject,
    is_present: bool,
    delay_ms: u64,
) -> Action {
    let subject = ModelRef { model: subject.model.clone(), adapter: subject.adapter.clone() };
    Action::Announce { runner: runner.clone(), subject, is_present, delay_ms }
}
