//! What one runner holds, fetches and may be about to fetch.

use crate::{Fit, KnownState, Obstacle, capacity::Capacity, strays::Strays};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{EngineSpec, HeldModel, Operation, Order, Report, Subject, UpstreamState};
use vanetally_types::{Name, Tick};

/// Weights on their way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loading {
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
    loading: Option<Loading>,
    unloading: Option<Loading>,
    /// Whether the last report spoke of an order under way that is not known here: an earlier
    /// holder's, or one whose answer was lost.
    has_unknown_order: bool,
    /// Orders taken; none until a report told.
    count: Option<u64>,
    /// An order whose answer is not known.
    pending: Option<(Order, Tick)>,
    /// Orders of this life that were not answered.
    unanswered: Strays,
    /// Orders to former lives that may yet be carried out by this one.
    strays: Strays,
    at_hand: BTreeSet<Name>,
    asked: Option<Tick>,
    /// Whether a report is needed before the next order.
    needs_report: bool,
    /// Whether what the runner announces now can't be read.
    is_unreadable: bool,
    last_report: Tick,
    /// When the last order was answered.
    answered: Option<Tick>,
}

/// A report that is not answered for this long may be asked again, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_000;
/// Least time between two reports, in milliseconds.
const REPORT_EVERY_MS: u64 = 250;
/// An adapter's arrival that no report tells of is forgotten after this long, in milliseconds.
const COMING_MS: u64 = 5_000;
/// Adapters that may be on their way at once.
const MOST_COMING: usize = 3;
/// How old a report may be when it arrives, in milliseconds.
const REPORT_AGE_MS: u64 = 400;
/// An order without an answer counts as lost after this long, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_500;

impl Ledger {
    /// The books of a runner that announced `state`: until it reports, it is thought to hold what it
    /// announces, and gets no order.
    pub fn new(state: UpstreamState) -> Self {
        let mut ledger = Self::empty(state);
        ledger.take_announced();
        ledger
    }

    /// The books of this runner anew, as a holder of orders that knows nothing of it begins them; what may yet be
    /// carried out there is not forgotten.
    pub(crate) fn begin_anew(&mut self, now: Tick) {
        let strays = self.take_strays(now);
        *self = Self::new(self.state.clone());
        self.expect(now, strays);
    }

    /// Orders that may yet be carried out where this runner is, by this life or one after it.
    pub(crate) fn take_strays(&mut self, now: Tick) -> Strays {
        let mut strays = std::mem::take(&mut self.strays);
        strays.extend(now, &std::mem::take(&mut self.unanswered));
        if let Some((order, sent)) = self.pending.take() {
            strays.add(sent, order);
        }
        strays
    }

    /// Orders to former lives may yet be carried out by this one.
    pub(crate) fn expect(&mut self, now: Tick, strays: Strays) {
        self.strays.extend(now, &strays);
    }

    fn take_announced(&mut self) {
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
            count: None,
            pending: None,
            unanswered: Strays::default(),
            strays: Strays::default(),
            at_hand: state.at_hand.iter().cloned().collect(),
            asked: None,
            needs_report: true,
            is_unreadable: false,
            last_report: Tick(0),
            answered: None,
            state,
        }
    }

    /// The runner announced itself anew.
    ///
    /// Announcements may be older than they look: what the runner holds is taken from its own
    /// reports, once there is one, and a difference is a reason to ask for another.
    pub fn announced(&mut self, state: UpstreamState) {
        self.is_unreadable = false;
        let count = self.count.unwrap_or(0);
        let has_arrived = self
            .loading
            .as_ref()
            .is_some_and(|loading| state.models.iter().any(|held| held.name == loading.model));
        if state.orders_taken > count || has_arrived {
            self.needs_report = true;
        }
        self.state = state;
        if !self.is_known() {
            self.take_announced();
        }
    }

    /// What the runner announces can't be read: no order goes there until it can.
    pub fn unreadable(&mut self) {
        self.is_unreadable = true;
    }

    fn set_held(&mut self, models: &[HeldModel]) {
        let sets = models.iter().map(|held| {
            (held.name.clone(), held.adapters.iter().cloned().collect::<BTreeSet<_>>())
        });
        self.held = sets.collect();
    }

    /// Drops what has arrived or gone from the lists of what is on its way.
    fn settle(&mut self) {
        let held = &self.held;
        if self.loading.as_ref().is_some_and(|loading| held.contains_key(&loading.model)) {
            self.loading = None;
        }
        if self.unloading.as_ref().is_some_and(|gone| !held.contains_key(&gone.model)) {
            self.unloading = None;
        }
        self.coming.retain(|subject, _| {
            let adapters = held.get(&subject.model);
            !adapters.zip(subject.adapter.as_ref()).is_some_and(|(set, name)| set.contains(name))
        });
    }

    /// The runner answered the question of `asked`; tells whether the answer was believed.
    pub fn reported(&mut self, now: Tick, asked: Tick, report: Option<Report>) -> bool {
        self.asked = None;
        self.last_report = now;
        let Some(report) = report else {
            return false;
        };
        // A report is some time old: one that counts fewer orders than were answered is stale.
        if self.count.is_some_and(|count| report.orders_taken < count) {
            return false;
        }
        if let Some((order, sent)) = &self.pending {
            let is_taken = report.orders_taken > order.orders_before;
            if !is_taken && asked.since(*sent) < ORDER_TIMEOUT_MS {
                return false;
            }
            // Not taken so far, it may yet be: every other order expects the same count, so that
            // at most one of them is taken. Of two such orders the count does not tell which one was.
            self.unanswered.add(*sent, order.clone());
            self.pending = None;
        }
        self.count = Some(report.orders_taken);
        self.set_held(&report.models);
        self.coming = report.coming.iter().map(|subject| (subject.clone(), now)).collect();
        // A report is some time old: it can't speak of an order that was answered just before.
        let is_fresh = self.answered.is_none_or(|at| asked.since(at) > REPORT_AGE_MS);
        if !report.busy && is_fresh {
            self.loading = None;
            self.unloading = None;
        }
        self.settle();
        self.has_unknown_order = report.busy && self.loading.is_none() && self.unloading.is_none();
        if !report.at_hand.is_empty() {
            self.at_hand = report.at_hand.iter().cloned().collect();
        }
        self.needs_report = false;
        true
    }

    /// Whether a report should be asked for now; notes that it is.
    pub fn try_ask(&mut self, now: Tick) -> bool {
        let is_due = self.needs_report
            || self.has_unknown_order
            || self.pending.as_ref().is_some_and(|(_, sent)| now.since(*sent) > ORDER_TIMEOUT_MS)
            || self.loading.as_ref().is_some_and(|loading| now >= loading.due)
            || self.unloading.as_ref().is_some_and(|gone| now >= gone.due)
            || self.coming.values().any(|at| now.since(*at) > COMING_MS);
        let is_open = self.asked.is_none_or(|at| now.since(at) > REPORT_TIMEOUT_MS);
        let may_ask = is_due && is_open && now.since(self.last_report) >= REPORT_EVERY_MS;
        if may_ask {
            self.asked = Some(now);
        }
        may_ask
    }

    /// The count that the next order has to expect; none while one is open or the books are in
    /// doubt.
    pub fn next_count(&self) -> Option<u64> {
        // A runner carries out one order about weights at a time, and refuses others meanwhile.
        self.count.filter(|_| self.obstacle().is_none())
    }

    /// What keeps the runner from being given an order about weights.
    pub(crate) fn obstacle(&self) -> Option<Obstacle> {
        if self.state.draining {
            Some(Obstacle::Leaving)
        } else if self.is_unreadable {
            Some(Obstacle::Unreadable)
        } else if self.pending.is_some() {
            Some(Obstacle::Unanswered)
        } else if self.count.is_none() || self.needs_report {
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
        self.count.is_some()
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
        self.unanswered.note_sent(now, &order);
        self.pending = Some((order, now));
    }

    /// The order was taken; `takes_ms` is how long it should take.
    pub fn order_taken(&mut self, now: Tick, order: &Order, takes_ms: u64) {
        self.close(order);
        self.answered = Some(now);
        self.count = Some(order.orders_before + 1);
        let due = now + takes_ms;
        let model = order.subject.model.clone();
        match (order.operation, &order.subject.adapter) {
            (Operation::Load, None) => self.loading = Some(Loading { model, due }),
            (Operation::Unload, None) => self.unloading = Some(Loading { model, due }),
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
    pub fn adapter_due(&mut self, subject: &Subject) {
        if self.coming.remove(subject).is_some()
            && let (Some(adapters), Some(adapter)) =
                (self.held.get_mut(&subject.model), &subject.adapter)
        {
            adapters.insert(adapter.clone());
        }
    }

    /// The order was not taken, and never will be.
    pub fn order_refused(&mut self, order: &Order) {
        self.close(order);
        self.needs_report = true;
    }

    /// The order was answered.
    fn close(&mut self, order: &Order) {
        self.unanswered.settle(order);
        if self.pending.as_ref().is_some_and(|(open, _)| open == order) {
            self.pending = None;
        }
    }

    /// The order was not answered: the next report settles it for this life.
    pub fn order_unknown(&mut self, now: Tick, order: &Order) {
        self.unanswered.add(now, order.clone());
        self.doubt();
    }

    /// The next report has to tell how things stand.
    pub(crate) fn doubt(&mut self) {
        self.needs_report = true;
    }

    /// Whether the runner holds the model's weights, and keeps them.
    pub fn holds_model(&self, model: &Name) -> bool {
        let leaves = self.unloading.as_ref().is_some_and(|gone| gone.model == *model);
        self.held.contains_key(model) && !leaves
    }

    /// Whether the subject is there, and stays.
    pub fn holds(&self, subject: &Subject) -> bool {
        let adapters = self.held.get(&subject.model).filter(|_| self.holds_model(&subject.model));
        let has = |adapter: &Name| adapters.is_some_and(|set| set.contains(adapter));
        subject.adapter.as_ref().map_or(adapters.is_some(), has)
    }

    /// Whether the runner holds the model, is getting it or was ordered to.
    pub fn will_hold(&self, model: &Name) -> bool {
        let is_ordered = self.open_load().is_some_and(|subject| subject.model == *model);
        let is_loading = self.loading.as_ref().is_some_and(|l| l.model == *model);
        self.holds_model(model) || is_loading || is_ordered
    }

    /// Whether the adapter is there or on its way.
    pub fn will_hold_adapter(&self, subject: &Subject) -> bool {
        let held = self.held.get(&subject.model).zip(subject.adapter.as_ref());
        let is_ordered = self.pending.as_ref().is_some_and(|(order, _)| {
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
        let ordered = self.open_load().map(|subject| &subject.model);
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
    pub(crate) fn stray_models(&self) -> impl Iterator<Item = &Name> {
        self.strays.models(self.count)
    }

    /// Loads of weights without an answer, of this life and former ones, that a life after this one may carry out one
    /// after the other, by the count that they expect. The next order of this life expects the count that is left out:
    /// of those that expect the same at most one is taken.
    pub(crate) fn unanswered_loads(&self) -> impl Iterator<Item = (u64, &Name)> {
        let own = self.count;
        let all = self.strays.weights().chain(self.unanswered.weights());
        all.filter(move |(count, _)| Some(*count) != own)
    }

    /// Models of which the runner has a copy of its own.
    pub(crate) fn copies(&self) -> impl Iterator<Item = &Name> {
        self.at_hand.iter()
    }

    /// Whether the runner has a copy of the weights of its own.
    pub fn has_at_hand(&self, model: &Name) -> bool {
        self.at_hand.contains(model)
    }

    /// Whether the model's weights fit beside all that is there or on its way.
    pub fn room_for_model(&self, engine: &EngineSpec, model: &Name) -> Fit {
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
    pub fn room_for_adapter(&self, engine: &EngineSpec) -> Fit {
        let strays = self.strays.adapter_count(self.count);
        let taken = self.adapters().count() + self.coming.len() + strays;
        match (taken < engine.max_adapters as usize, self.coming.len() < MOST_COMING) {
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
        self.needs_report && self.open_load().is_some()
    }

    /// The load of weights whose answer is not known.
    pub(crate) fn open_load(&self) -> Option<&Subject> {
        let (order, _) = self.pending.as_ref()?;
        let is_load = order.operation == Operation::Load && order.subject.adapter.is_none();
        is_load.then_some(&order.subject)
    }
}
