//! Tracks what one runner holds, is loading and may still load.

use crate::{Fit, KnownState, Obstacle, capacity::Capacity, unsettled::UnsettledOrders};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{EngineSpec, HeldModel, Operation, Order, Report, Subject, UpstreamState};
use vanetally_types::{Name, Tick};

/// A load or unload of weights in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightsChange {
    pub model: Name,
    /// When it should be done.
    pub due: Tick,
}

/// Known state of one runner and the orders sent to it.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) state: UpstreamState,
    /// Held models with their adapters.
    held: BTreeMap<Name, BTreeSet<Name>>,
    /// Adapters that are loading, as far as known, with the time of the order or report.
    loading_adapters: BTreeMap<Subject, Tick>,
    loading: Option<WeightsChange>,
    unloading: Option<WeightsChange>,
    /// Whether the last report mentioned an order in progress that this host doesn't know: one of
    /// an earlier holder, or one whose answer was lost.
    has_unknown_order: bool,
    /// Number of orders that the runner has accepted; `None` before the first report.
    order_count: Option<u64>,
    /// The order that is not answered yet, with the time it was sent.
    pending_order: Option<(Order, Tick)>,
    /// Orders to this incarnation that were not answered.
    unanswered: UnsettledOrders,
    /// Orders to previous incarnations that this one may still execute.
    unsettled: UnsettledOrders,
    /// Models of which the runner has a local copy.
    local_copies: BTreeSet<Name>,
    /// When the open report request was sent.
    report_requested: Option<Tick>,
    /// Whether a report is needed before the next order.
    needs_report: bool,
    /// Whether the runner's current announcement can't be decoded.
    is_unreadable: bool,
    /// Whether operators evacuate the runner's failure domain.
    is_evacuated: bool,
    last_report: Tick,
    /// When the last order was answered.
    last_answer: Option<Tick>,
}

/// Time after which an unanswered report request is repeated.
const REPORT_TIMEOUT_MS: u64 = 1_000;
/// Minimum time between two reports.
const REPORT_INTERVAL_MS: u64 = 250;
/// A report is requested for an adapter that has been loading for this long.
const ADAPTER_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of adapters that load at once.
const MAX_LOADING_ADAPTERS: usize = 3;
/// Maximum age of a report's contents when it arrives.
const MAX_REPORT_AGE_MS: u64 = 400;
/// An order counts as lost if it is not answered within this time.
const ORDER_TIMEOUT_MS: u64 = 1_500;

impl Ledger {
    /// Creates the ledger of a runner that announced `state`. Until the runner reports, it counts
    /// as holding what it announces and gets no orders.
    pub fn new(state: UpstreamState) -> Self {
        let mut ledger = Self::untracked(state);
        ledger.local_copies = ledger.state.at_hand.iter().cloned().collect();
        ledger.use_announced_models();
        ledger
    }

    /// Resets the ledger to the announced state, but keeps the orders that may still be executed.
    pub(crate) fn reset(&mut self, now: Tick) {
        let unsettled = self.take_unsettled(now);
        let is_evacuated = self.is_evacuated;
        *self = Self { is_evacuated, ..Self::new(self.state.clone()) };
        self.add_unsettled(now, unsettled);
    }

    /// Records whether the runner's failure domain is among the evacuated `domains`.
    pub(crate) fn set_evacuated(&mut self, domains: &BTreeSet<Name>) {
        self.is_evacuated = domains.contains(&self.state.domain);
    }

    /// Whether the runner is draining, or its failure domain is evacuated.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state.draining || self.is_evacuated
    }

    /// Takes the orders that this or a later incarnation of the runner may still execute.
    pub(crate) fn take_unsettled(&mut self, now: Tick) -> UnsettledOrders {
        let mut unsettled = std::mem::take(&mut self.unsettled);
        unsettled.merge(now, &std::mem::take(&mut self.unanswered));
        if let Some((order, sent_at)) = self.pending_order.take() {
            unsettled.add(sent_at, order);
        }
        unsettled
    }

    /// Adds orders to previous incarnations that this one may still execute.
    pub(crate) fn add_unsettled(&mut self, now: Tick, unsettled: UnsettledOrders) {
        self.unsettled.merge(now, &unsettled);
    }

    fn use_announced_models(&mut self) {
        let models = std::mem::take(&mut self.state.models);
        self.set_held(&models);
        self.state.models = models;
    }

    /// Creates the ledger of a runner for a host that does not order: it keeps the announcement only.
    pub(crate) fn untracked(state: UpstreamState) -> Self {
        Self {
            held: BTreeMap::new(),
            loading_adapters: BTreeMap::new(),
            loading: None,
            unloading: None,
            has_unknown_order: false,
            order_count: None,
            pending_order: None,
            unanswered: UnsettledOrders::default(),
            unsettled: UnsettledOrders::default(),
            local_copies: BTreeSet::new(),
            report_requested: None,
            needs_report: true,
            is_unreadable: false,
            is_evacuated: false,
            last_report: Tick(0),
            last_answer: None,
            state,
        }
    }

    /// Applies a new announcement.
    ///
    /// A host that does not order (`is_tracked` is false) keeps the announcement only.
    ///
    /// An announcement may be older than it seems. Once a report has arrived, the held models are
    /// taken from reports only, and a difference causes another report request.
    pub(crate) fn set_announced(&mut self, state: UpstreamState, is_tracked: bool) {
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
        if is_tracked && !self.is_known() {
            self.use_announced_models();
        }
    }

    /// Notes that the announcement can't be decoded, which blocks orders until it can.
    pub fn set_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    fn set_held(&mut self, models: &[HeldModel]) {
        let adapters_by_model = models.iter().map(|held| {
            (held.name.clone(), held.adapters.iter().cloned().collect::<BTreeSet<_>>())
        });
        self.held = adapters_by_model.collect();
    }

    /// Drops completed loads and unloads from those in progress.
    fn drop_completed(&mut self) {
        let held = &self.held;
        if self.loading.as_ref().is_some_and(|loading| held.contains_key(&loading.model)) {
            self.loading = None;
        }
        if self.unloading.as_ref().is_some_and(|unloading| !held.contains_key(&unloading.model)) {
            self.unloading = None;
        }
        self.loading_adapters.retain(|subject, _| {
            let adapters = held.get(&subject.model);
            !adapters.zip(subject.adapter.as_ref()).is_some_and(|(set, name)| set.contains(name))
        });
    }

    /// Applies the answer to the report request of `requested_at`. Returns whether it was used.
    pub fn apply_report(&mut self, now: Tick, requested_at: Tick, report: Option<Report>) -> bool {
        self.report_requested = None;
        self.last_report = now;
        let Some(report) = report else {
            return false;
        };
        // A report may be outdated: one that counts fewer orders than were answered is stale.
        if self.order_count.is_some_and(|count| report.orders_taken < count) {
            return false;
        }
        if let Some((order, sent_at)) = &self.pending_order {
            let was_accepted = report.orders_taken > order.orders_before;
            if !was_accepted && requested_at.since(*sent_at) < ORDER_TIMEOUT_MS {
                return false;
            }
            // An order that was not accepted may still be. Every further order expects the same
            // count, so that at most one of them is accepted; the count doesn't say which.
            self.unanswered.add(*sent_at, order.clone());
            self.pending_order = None;
        }
        self.order_count = Some(report.orders_taken);
        self.set_held(&report.models);
        self.loading_adapters =
            report.coming.iter().map(|subject| (subject.clone(), now)).collect();
        // A report may be outdated: it may not include an order that was answered just before.
        let is_newer_than_answer =
            self.last_answer.is_none_or(|at| requested_at.since(at) > MAX_REPORT_AGE_MS);
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

    /// Returns whether a report should be requested now, and if so records the request.
    pub fn try_request_report(&mut self, now: Tick) -> bool {
        let is_due = self.needs_report
            || self.has_unknown_order
            || self
                .pending_order
                .as_ref()
                .is_some_and(|(_, sent_at)| now.since(*sent_at) > ORDER_TIMEOUT_MS)
            || self.loading.as_ref().is_some_and(|loading| now >= loading.due)
            || self.unloading.as_ref().is_some_and(|unloading| now >= unloading.due)
            || self.loading_adapters.values().any(|at| now.since(*at) > ADAPTER_TIMEOUT_MS);
        let has_no_open_request =
            self.report_requested.is_none_or(|at| now.since(at) > REPORT_TIMEOUT_MS);
        let should_request =
            is_due && has_no_open_request && now.since(self.last_report) >= REPORT_INTERVAL_MS;
        if should_request {
            self.report_requested = Some(now);
        }
        should_request
    }

    /// The order count that the next order must expect, or `None` while the runner can't be sent
    /// one.
    pub fn next_count(&self) -> Option<u64> {
        // A runner executes one order about weights at a time and refuses others meanwhile.
        self.order_count.filter(|_| self.obstacle().is_none())
    }

    /// Why the runner can't be sent an order about weights, if it can't.
    pub(crate) fn obstacle(&self) -> Option<Obstacle> {
        if self.is_leaving() {
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

    /// Whether a report has been applied.
    pub fn is_known(&self) -> bool {
        self.order_count.is_some()
    }

    /// Whether the runner executes an order that this host doesn't know.
    pub fn has_unknown_order(&self) -> bool {
        self.has_unknown_order
    }

    /// Whether weights are being loaded or unloaded.
    pub fn is_busy(&self) -> bool {
        self.loading.is_some() || self.unloading.is_some() || self.has_unknown_order
    }

    /// Records that an order was sent.
    pub fn order_sent(&mut self, now: Tick, order: Order) {
        self.unanswered.record_resend(now, &order);
        self.pending_order = Some((order, now));
    }

    /// Records that the order was accepted and should take `expected_ms`.
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
                self.loading_adapters.insert(order.subject.clone(), now);
            }
            (Operation::Unload, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.remove(adapter);
                }
            }
        }
    }

    /// Counts an adapter as held whose load should be done by now.
    pub fn adapter_arrived(&mut self, subject: &Subject) {
        if self.loading_adapters.remove(subject).is_some()
            && let (Some(adapters), Some(adapter)) =
                (self.held.get_mut(&subject.model), &subject.adapter)
        {
            adapters.insert(adapter.clone());
        }
    }

    /// Records that the order was not accepted and never will be.
    pub fn order_refused(&mut self, order: &Order) {
        self.settle_order(order);
        self.needs_report = true;
    }

    /// Removes an order that was answered.
    fn settle_order(&mut self, order: &Order) {
        self.unanswered.settle(order);
        if self.pending_order.as_ref().is_some_and(|(open, _)| open == order) {
            self.pending_order = None;
        }
    }

    /// Records that the order was not answered. The next report settles it for this incarnation.
    pub fn order_unanswered(&mut self, now: Tick, order: &Order) {
        self.unanswered.add(now, order.clone());
        self.require_report();
    }

    /// Blocks orders until the next report.
    pub(crate) fn require_report(&mut self) {
        self.needs_report = true;
    }

    /// Whether the runner holds the model's weights and is not unloading them.
    pub fn holds_model(&self, model: &Name) -> bool {
        let is_unloading =
            self.unloading.as_ref().is_some_and(|unloading| unloading.model == *model);
        self.held.contains_key(model) && !is_unloading
    }

    /// Whether the runner holds the subject and is not unloading it.
    pub fn holds(&self, subject: &Subject) -> bool {
        let adapters = self.held.get(&subject.model).filter(|_| self.holds_model(&subject.model));
        let has = |adapter: &Name| adapters.is_some_and(|set| set.contains(adapter));
        subject.adapter.as_ref().map_or(adapters.is_some(), has)
    }

    /// Whether the runner holds the model, is loading it or was ordered to.
    pub fn will_hold(&self, model: &Name) -> bool {
        let is_ordered = self.pending_load().is_some_and(|subject| subject.model == *model);
        let is_loading = self.loading.as_ref().is_some_and(|l| l.model == *model);
        self.holds_model(model) || is_loading || is_ordered
    }

    /// Whether the runner holds the adapter, is loading it or was ordered to.
    pub fn will_hold_adapter(&self, subject: &Subject) -> bool {
        let held = self.held.get(&subject.model).zip(subject.adapter.as_ref());
        let is_ordered = self.pending_order.as_ref().is_some_and(|(order, _)| {
            order.operation == Operation::Load && order.subject == *subject
        });
        let is_held = held.is_some_and(|(set, name)| set.contains(name));
        is_held || is_ordered || self.loading_adapters.contains_key(subject)
    }

    /// Models whose weights are held and not being unloaded.
    pub fn held_models(&self) -> Vec<Name> {
        self.held_names().cloned().collect()
    }

    /// Models whose weights are held and not being unloaded.
    pub(crate) fn held_names(&self) -> impl Iterator<Item = &Name> {
        self.held.keys().filter(|model| self.holds_model(model))
    }

    /// The model that is loading or was ordered to load.
    pub(crate) fn loading_model(&self) -> Option<&Name> {
        let ordered = self.pending_load().map(|subject| &subject.model);
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        loading.or(ordered).filter(|model| !self.holds_model(model))
    }

    /// Models that are held or loading.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        self.held.keys().chain(loading.filter(|model| !self.held.contains_key(*model)))
    }

    /// Held adapters.
    pub fn adapters(&self) -> impl Iterator<Item = Subject> + '_ {
        self.held.iter().flat_map(|(model, adapters)| {
            let subject =
                |adapter: &Name| Subject { model: model.clone(), adapter: Some(adapter.clone()) };
            adapters.iter().map(subject)
        })
    }

    /// Models whose weights may still be loaded by an order to a previous incarnation.
    pub(crate) fn unsettled_models(&self) -> impl Iterator<Item = &Name> {
        self.unsettled.models(self.order_count)
    }

    /// Unanswered loads of weights, with the order count that each expects. A later incarnation may
    /// execute them one after the other. The current count is left out: the next order to this
    /// incarnation expects it as well, and at most one order per count is accepted.
    pub(crate) fn unanswered_loads(&self) -> impl Iterator<Item = (u64, &Name)> {
        let current = self.order_count;
        let loads = self.unsettled.weight_loads().chain(self.unanswered.weight_loads());
        loads.filter(move |(count, _)| Some(*count) != current)
    }

    /// Models of which the runner has a local copy.
    pub(crate) fn local_copies(&self) -> impl Iterator<Item = &Name> {
        self.local_copies.iter()
    }

    /// Whether the runner has a local copy of the weights.
    pub fn has_local_copy(&self, model: &Name) -> bool {
        self.local_copies.contains(model)
    }

    /// Whether the model's weights fit beside everything that is held, loading or may still be
    /// loaded.
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

    /// Whether another adapter fits beside those that are held, loading or may still be loaded.
    pub fn adapter_fit(&self, engine: &EngineSpec) -> Fit {
        let unsettled = self.unsettled.adapter_count(self.order_count);
        let count = self.adapters().count() + self.loading_adapters.len() + unsettled;
        match (
            count < engine.max_adapters as usize,
            self.loading_adapters.len() < MAX_LOADING_ADAPTERS,
        ) {
            (true, true) => Fit::Fits,
            (_, true) => Fit::NeedsEviction,
            (_, false) => Fit::Never,
        }
    }

    /// Number of adapters that are held or loading.
    pub fn adapter_count(&self) -> usize {
        self.adapters().count() + self.loading_adapters.len()
    }

    /// Returns the known state for an order.
    pub fn known_state(&self, now: Tick) -> KnownState {
        KnownState {
            models: self.models().cloned().collect(),
            adapters: self.adapter_count(),
            report_age_ms: now.since(self.last_report),
        }
    }

    /// Whether a load of weights was ordered but not answered, so that it may start at any time.
    pub(crate) fn has_lost_load(&self) -> bool {
        self.needs_report && self.pending_load().is_some()
    }

    /// The load of weights that is not answered yet.
    pub(crate) fn pending_load(&self) -> Option<&Subject> {
        let (order, _) = self.pending_order.as_ref()?;
        let is_load = order.operation == Operation::Load && order.subject.adapter.is_none();
        is_load.then_some(&order.subject)
    }
}
