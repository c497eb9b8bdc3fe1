//! What one runner holds, fetches and may be about to fetch.

use crate::{Fit, KnownState, Obstacle, capacity::Capacity, unsettled::UnsettledOrders};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{EngineSpec, HeldModel, Operation, Order, Report, Subject, UpstreamState};
use vanetally_types::{Name, Tick};

/// Weights on their way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightsChange {
    pub model: Name,
    /// When they should be there.
    pub due: Tick,
}

/// The books of one runner.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) state: UpstreamState,
    /// Models with their adapters.
    held: BTreeMap<Name, BTreeSet<Name>>,
    /// Adapters on their way, or thought to be, with the time of the order.
    coming: BTreeMap<Subject, Tick>,
    loading: Option<WeightsChange>,
    unloading: Option<WeightsChange>,
    /// Whether the last report spoke of an order under way that is not known here: an earlier
    /// holder's, or one whose answer was lost.
    has_unknown_order: bool,
    /// Orders taken; none until a report told.
    order_count: Option<u64>,
    /// An order whose answer is not known.
    pending_order: Option<(Order, Tick)>,
    /// Orders of this life that were not answered.
    unanswered: UnsettledOrders,
    /// Orders to former lives that may yet be carried out by this one.
    unsettled: UnsettledOrders,
    local_copies: BTreeSet<Name>,
    report_requested: Option<Tick>,
    /// Whether a report is needed before the next order.
    needs_report: bool,
    /// Whether what the runner announces now can't be read.
    is_unreadable: bool,
    last_report: Tick,
    /// When the last order was answered.
    last_answer: Option<Tick>,
}

/// A report that is not answered for this long may be asked again, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_000;
/// Least time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// An adapter's arrival that no report tells of is forgotten after this long, in milliseconds.
const ADAPTER_TIMEOUT_MS: u64 = 5_000;
/// Adapters that may be on their way at once.
const MAX_COMING_ADAPTERS: usize = 3;
/// How old a report may be when it arrives, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 400;
/// An order without an answer counts as lost after this long, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_500;

impl Ledger {
    /// The books of a runner that announced `state`: until it reports, it is thought to hold what it
    /// announces, and gets no order.
    pub fn new(state: UpstreamState) -> Self {
        let mut ledger = Self::empty(state);
        ledger.use_announced_models();
        ledger
    }

    /// The books of this runner anew, as a holder of orders that knows nothing of it begins them; what may yet be
    /// carried out there is not forgotten.
    pub(crate) fn reset(&mut self, now: Tick) {
        let unsettled = self.take_unsettled(now);
        *self = Self::new(self.state.clone());
        self.add_unsettled(now, unsettled);
    }

    /// Orders that may yet be carried out where this runner is, by this life or one after it.
    pub(crate) fn take_unsettled(&mut self, now: Tick) -> UnsettledOrders {
        let mut unsettled = std::mem::take(&mut self.unsettled);
        unsettled.merge(now, &std::mem::take(&mut self.unanswered));
        if let Some((order, sent)) = self.pending_order.take() {
            unsettled.add(sent, order);
        }
        unsettled
    }

    /// Orders to former lives may yet be carried out by this one.
    pub(crate) fn add_unsettled(&mut self, now: Tick, unsettled: UnsettledOrders) {
        self.unsettled.merge(now, &unsettled);
    }

    fn use_announced_models(&mut self) {
        let models = std::mem::take(&mut self.state.models);
        self.set_held(&models);
        self.state.models = models;
    }

    fn empty(state: UpstreamState) -> Self {
        Self {
            held: BTreeMap::new(),
            coming: BTreeMap::new(),
            loading: None,
            unloading: None,
            has_unknown_order: false,
            order_count: None,
            pending_order: None,
            unanswered: UnsettledOrders::default(),
            unsettled: UnsettledOrders::default(),
            local_copies: state.at_hand.iter().cloned().collect(),
            report_requested: None,
            needs_report: true,
            is_unreadable: false,
            last_report: Tick(0),
            last_answer: None,
            state,
        }
    }

    /// The runner announced itself anew.
    ///
    /// Announcements may be older than they look: what the runner holds is taken from its own
    /// reports, once there is one, and a difference is a reason to ask for another.
    pub fn set_announced(&mut self, state: UpstreamState) {
        self.is_unreadable = false;
        let count = self.order_count.unwrap_or(0);
        let has_loaded = self
            .loading
            .as_ref()
            .is_some_and(|loading| state.models.iter().any(|held| held.name == loading.model));
        if state.orders_taken > count || has_loaded {
            self.needs_report = true;
        }
        self.state = state;
        if !self.is_known() {
            self.use_announced_models();
        }
    }

    /// What the runner announces can't be read: no order goes there until it can.
    pub fn set_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    fn set_held(&mut self, models: &[HeldModel]) {
        let sets = models.iter().map(|held| {
            (held.name.clone(), held.adapters.iter().cloned().collect::<BTreeSet<_>>())
        });
        self.held = sets.collect();
    }

    /// Drops what has arrived or gone from the lists of what is on its way.
    fn drop_completed(&mut self) {
        let held = &self.held;
        if self.loading.as_ref().is_some_and(|loading| held.contains_key(&loading.model)) {
            self.loading = None;
        }
        if self.unloading.as_ref().is_some_and(|unloading| !held.contains_key(&unloading.model)) {
            self.unloading = None;
        }
        self.coming.retain(|subject, _| {
            let adapters = held.get(&subject.model);
            !adapters.zip(subject.adapter.as_ref()).is_some_and(|(set, name)| set.contains(name))
        });
    }

    /// The runner answered the question of `asked`; tells whether the answer was believed.
    pub fn apply_report(&mut self, now: Tick, asked: Tick, report: Option<Report>) -> bool {
        self.report_requested = None;
        self.last_report = now;
        let Some(report) = report else {
            return false;
        };
        // A report is some time old: one that counts fewer orders than were answered is stale.
        if self.order_count.is_some_and(|count| report.orders_taken < count) {
            return false;
        }
        if let Some((order, sent)) = &self.pending_order {
            let was_accepted = report.orders_taken > order.orders_before;
            if !was_accepted && asked.since(*sent) < ORDER_TIMEOUT_MS {
                return false;
            }
            // Not taken so far, it may yet be: every other order expects the same count, so that
            // at most one of them is taken. Of two such orders the count does not tell which one was.
            self.unanswered.add(*sent, order.clone());
            self.pending_order = None;
        }
        self.order_count = Some(report.orders_taken);
        self.set_held(&report.models);
        self.coming = report.coming.iter().map(|subject| (subject.clone(), now)).collect();
        // A report is some time old: it can't speak of an order that was answered just before.
        let is_newer_than_answer =
            self.last_answer.is_none_or(|at| asked.since(at) > MAX_REPORT_AGE_MS);
        if !report.busy && is_newer_than_answer {
            self.loading = None;
            self.unloading = None;
        }
        self.drop_completed();
        self.has_unknown_order = report.busy && self.loading.is_none() && self.unloading.is_none();
        if !report.at_hand.is_empty() {
            self.local_copies = report.at_hand.iter().cloned().collect();
        }
        self.needs_report = false;
        true
    }

    /// Whether a report should be asked for now; notes that it is.
    pub fn try_request_report(&mut self, now: Tick) -> bool {
        let is_due = self.needs_report
            || self.has_unknown_order
            || self
                .pending_order
                .as_ref()
                .is_some_and(|(_, sent)| now.since(*sent) > ORDER_TIMEOUT_MS)
            || self.loading.as_ref().is_some_and(|loading| now >= loading.due)
            || self.unloading.as_ref().is_some_and(|unloading| now >= unloading.due)
            || self.coming.values().any(|at| now.since(*at) > ADAPTER_TIMEOUT_MS);
        let has_no_open_request =
            self.report_requested.is_none_or(|at| now.since(at) > REPORT_TIMEOUT_MS);
        let should_request =
            is_due && has_no_open_request && now.since(self.last_report) >= REPORT_INTERVAL_MS;
        if should_request {
            self.report_requested = Some(now);
        }
        should_request
    }

    /// The count that the next order has to expect; none while one is open or the books are in
    /// doubt.
    pub fn next_count(&self) -> Option<u64> {
        // A runner carries out one order about weights at a time, and refuses others meanwhile.
        self.order_count.filter(|_| self.obstacle().is_none())
    }

    /// What keeps the runner from being given an order about weights.
    pub(crate) fn obstacle(&self) -> Option<Obstacle> {
        if self.state.draining {
            Some(Obstacle::Leaving)
        } else if self.is_unreadable {
            Some(Obstacle::Unreadable)
        } else if self.pending_order.is_some() {
            Some(Obstacle::Unanswered)
        } else if self.order_count.is_none() || self.needs_report {
            Some(Obstacle::NeedsReport)
        } else if self.has_unknown_order {
            Some(Obstacle::UnknownOrder)
        } else if self.loading.is_some() {
            Some(Obstacle::Loading)
        } else if self.unloading.is_some() {
            Some(Obstacle::Unloading)
        } else {
            None
        }
    }

    /// Whether a report has told what the runner holds.
    pub fn is_known(&self) -> bool {
        self.order_count.is_some()
    }

    /// Whether the runner carries out an order that is not known here.
    pub fn has_unknown_order(&self) -> bool {
        self.has_unknown_order
    }

    /// Whether weights are on their way in or out.
    pub fn is_busy(&self) -> bool {
        self.loading.is_some() || self.unloading.is_some() || self.has_unknown_order
    }

    /// An order goes out.
    pub fn order_sent(&mut self, now: Tick, order: Order) {
        self.unanswered.record_resend(now, &order);
        self.pending_order = Some((order, now));
    }

    /// The order was taken; `takes_ms` is how long it should take.
    pub fn order_accepted(&mut self, now: Tick, order: &Order, expected_ms: u64) {
        self.settle_order(order);
        self.last_answer = Some(now);
        self.order_count = Some(order.orders_before + 1);
        let due = now + expected_ms;
        let model = order.subject.model.clone();
        match (order.operation, &order.subject.adapter) {
            (Operation::Load, None) => self.loading = Some(WeightsChange { model, due }),
            (Operation::Unload, None) => self.unloading = Some(WeightsChange { model, due }),
            (Operation::Load, Some(_)) => {
                self.coming.insert(order.subject.clone(), now);
            }
            (Operation::Unload, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.remove(adapter);
                }
            }
        }
    }

    /// An adapter should have arrived by now.
    pub fn adapter_arrived(&mut self, subject: &Subject) {
        if self.coming.remove(subject).is_some()
            && let (Some(adapters), Some(adapter)) =
                (self.held.get_mut(&subject.model), &subject.adapter)
        {
            adapters.insert(adapter.clone());
        }
    }

    /// The order was not taken, and never will be.
    pub fn order_refused(&mut self, order: &Order) {
        self.settle_order(order);
        self.needs_report = true;
    }

    /// The order was answered.
    fn settle_order(&mut self, order: &Order) {
        self.unanswered.settle(order);
        if self.pending_order.as_ref().is_some_and(|(open, _)| open == order) {
            self.pending_order = None;
        }
    }

    /// The order was not answered: the next report settles it for this life.
    pub fn order_unanswered(&mut self, now: Tick, order: &Order) {
        self.unanswered.add(now, order.clone());
        self.require_report();
    }

    /// The next report has to tell how things stand.
    pub(crate) fn require_report(&mut self) {
        self.needs_report = true;
    }

    /// Whether the runner holds the model's weights, and keeps them.
    pub fn holds_model(&self, model: &Name) -> bool {
        let is_unloading =
            self.unloading.as_ref().is_some_and(|unloading| unloading.model == *model);
        self.held.contains_key(model) && !is_unloading
    }

    /// Whether the subject is there, and stays.
    pub fn holds(&self, subject: &Subject) -> bool {
        let adapters = self.held.get(&subject.model).filter(|_| self.holds_model(&subject.model));
        let has = |adapter: &Name| adapters.is_some_and(|set| set.contains(adapter));
        subject.adapter.as_ref().map_or(adapters.is_some(), has)
    }

    /// Whether the runner holds the model, is getting it or was ordered to.
    pub fn will_hold(&self, model: &Name) -> bool {
        let is_ordered = self.pending_load().is_some_and(|subject| subject.model == *model);
        let is_loading = self.loading.as_ref().is_some_and(|l| l.model == *model);
        self.holds_model(model) || is_loading || is_ordered
    }

    /// Whether the adapter is there or on its way.
    pub fn will_hold_adapter(&self, subject: &Subject) -> bool {
        let held = self.held.get(&subject.model).zip(subject.adapter.as_ref());
        let is_ordered = self.pending_order.as_ref().is_some_and(|(order, _)| {
            order.operation == Operation::Load && order.subject == *subject
        });
        let is_held = held.is_some_and(|(set, name)| set.contains(name));
        is_held || is_ordered || self.coming.contains_key(subject)
    }

    /// Models whose weights are there and stay.
    pub fn held_models(&self) -> Vec<Name> {
        self.held_names().cloned().collect()
    }

    /// Models whose weights are there and stay.
    pub(crate) fn held_names(&self) -> impl Iterator<Item = &Name> {
        self.held.keys().filter(|model| self.holds_model(model))
    }

    /// The model that is on its way here, or was ordered.
    pub(crate) fn coming_model(&self) -> Option<&Name> {
        let ordered = self.pending_load().map(|subject| &subject.model);
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        loading.or(ordered).filter(|model| !self.holds_model(model))
    }

    /// Models that are there or on their way.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        self.held.keys().chain(loading.filter(|model| !self.held.contains_key(*model)))
    }

    /// Adapters that are there.
    pub fn adapters(&self) -> impl Iterator<Item = Subject> + '_ {
        self.held.iter().flat_map(|(model, adapters)| {
            let subject =
                |adapter: &Name| Subject { model: model.clone(), adapter: Some(adapter.clone()) };
            adapters.iter().map(subject)
        })
    }

    /// Models whose weights may yet come by an order to a former life.
    pub(crate) fn unsettled_models(&self) -> impl Iterator<Item = &Name> {
        self.unsettled.models(self.order_count)
    }

    /// Loads of weights without an answer, of this life and former ones, that a life after this one may carry out one
    /// after the other, by the count that they expect. The next order of this life expects the count that is left out:
    /// of those that expect the same at most one is taken.
    pub(crate) fn unanswered_loads(&self) -> impl Iterator<Item = (u64, &Name)> {
        let own = self.order_count;
        let all = self.unsettled.weight_loads().chain(self.unanswered.weight_loads());
        all.filter(move |(count, _)| Some(*count) != own)
    }

    /// Models of which the runner has a copy of its own.
    pub(crate) fn local_copies(&self) -> impl Iterator<Item = &Name> {
        self.local_copies.iter()
    }

    /// Whether the runner has a copy of the weights of its own.
    pub fn has_local_copy(&self, model: &Name) -> bool {
        self.local_copies.contains(model)
    }

    /// Whether the model's weights fit beside all that is there or on its way.
    pub fn model_fit(&self, engine: &EngineSpec, model: &Name) -> Fit {
        let Some(spec) = engine.models.get(model) else {
            return Fit::Never;
        };
        let capacity = Capacity::of(engine);
        if spec.weights_mb > capacity.models_mb {
            return Fit::Never;
        }
        let fits = spec.weights_mb <= capacity.free_mb(self);
        if fits { Fit::Fits } else { Fit::NeedsEviction }
    }

    /// Whether one more adapter fits beside all that are there or on their way.
    pub fn adapter_fit(&self, engine: &EngineSpec) -> Fit {
        let unsettled = self.unsettled.adapter_count(self.order_count);
        let taken = self.adapters().count() + self.coming.len() + unsettled;
        match (taken < engine.max_adapters as usize, self.coming.len() < MAX_COMING_ADAPTERS) {
            (true, true) => Fit::Fits,
            (_, true) => Fit::NeedsEviction,
            (_, false) => Fit::Never,
        }
    }

    /// How many adapters are there or on their way.
    pub fn adapter_count(&self) -> usize {
        self.adapters().count() + self.coming.len()
    }

    /// What is believed now.
    pub fn known_state(&self, now: Tick) -> KnownState {
        KnownState {
            models: self.models().cloned().collect(),
            adapters: self.adapter_count(),
            report_age_ms: now.since(self.last_report),
        }
    }

    /// Whether a load of weights was ordered and no answer came: it may begin at any moment.
    pub(crate) fn has_lost_load(&self) -> bool {
        self.needs_report && self.pending_load().is_some()
    }

    /// The load of weights whose answer is not known.
    pub(crate) fn pending_load(&self) -> Option<&Subject> {
        let (order, _) = self.pending_order.as_ref()?;
        let is_load = order.operation == Operation::Load && order.subject.adapter.is_none();
        is_load.then_some(&order.subject)
    }
}
