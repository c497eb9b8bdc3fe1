//! Which weights should come where next.

use crate::{Ledger, Reservation, Room, demand::DemandTable};
use std::collections::{BTreeMap, HashMap, HashSet};
use vanetally_ports::{EngineSpec, Operation, Subject};
use vanetally_types::{Name, Tick};

/// What the plan rests on: the runners of one service.
#[derive(Clone, Copy)]
pub(crate) struct Basis<'a> {
    pub now: Tick,
    pub service: &'a Name,
    pub engine: &'a EngineSpec,
    pub demand: &'a DemandTable,
    /// Runners that may be ordered to, with their books.
    pub ledgers: &'a BTreeMap<Name, Ledger>,
    /// Runners from which something is about to go.
    pub closing: &'a BTreeMap<(Name, Subject), Tick>,
    /// Runners on which room is being made, and for what.
    pub reserved: &'a BTreeMap<Name, Reservation>,
}

/// Replicas of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Replicas {
    /// Runners that hold it and keep it.
    held: usize,
    /// Those, and runners that are getting it or make room for it.
    planned: usize,
}

/// What the plan looks at, counted once.
pub(crate) struct View<'a> {
    basis: Basis<'a>,
    runners: Vec<(&'a Name, &'a Ledger)>,
    replicas: HashMap<&'a Name, Replicas>,
    /// Runners on which something is under way that the plan must not disturb.
    occupied: HashSet<&'a Name>,
}

/// One step: an order that brings the placement nearer to the demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub runner: Name,
    pub operation: Operation,
    pub subject: Subject,
    /// The model that the step is for.
    pub model: Name,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

/// A model not asked for within this time may leave its last runner, in milliseconds.
const IDLE_MS: u64 = 15_000;
/// A model that is nowhere is brought if it was asked for within this time, in milliseconds: its
/// callers ask again while they wait.
const ASKED_MS: u64 = 2_000;
/// Runner-seconds a second that a model's only replica may be asked for: other models of its runner
/// are served elsewhere.
const SINGLE_LOAD: f64 = 0.7;
/// Runner-seconds a second that one of several replicas is planned for.
const REPLICA_LOAD: f64 = 0.2;
/// What the last replica of a model that nobody asks for is worth.
const IDLE_LOSS: f64 = 0.01;
/// How many times what is gained must be worth what is lost when a model makes way.
const SWAP_FACTOR: f64 = 2.5;
/// The gain of a first replica.
const FIRST_GAIN: f64 = 1.0;

/// Runner-seconds a second that a replica serves in time; what is beyond waits or is lost.
const REPLICA_CAPACITY: f64 = 0.35;

/// What callers of a model bear: how busy each of its replicas is, and the load that all of them
/// together can't serve in time.
fn burden(load: f64, replicas: f64) -> f64 {
    load / replicas + (load - REPLICA_CAPACITY * replicas).max(0.0)
}

/// What a load from the weight store costs beside one at hand: seconds that the runner is bound.
const STORE_COST: f64 = 0.05;
/// What an unload costs for each runner-second a second that the model's runs there come to: it waits
/// for them, and binds the runner meanwhile.
const RUNS_COST: f64 = 0.5;
/// What a runner's present load costs: among equals the idle one is taken.
const LOAD_COST: f64 = 0.05;

impl<'a> View<'a> {
    /// Counts what `basis` holds.
    pub(crate) fn new(basis: Basis<'a>) -> Self {
        let own = basis.ledgers.iter().filter(|(_, l)| l.state.service == *basis.service);
        let runners: Vec<_> = own.filter(|(_, ledger)| !ledger.state.draining).collect();
        let mut replicas: HashMap<&Name, Replicas> = HashMap::new();
        for (runner, ledger) in &runners {
            for model in ledger.held_names() {
                let count = replicas.entry(model).or_default();
                count.held += 1;
                count.planned += 1;
            }
            let coming = ledger.coming_model();
            let reserved = basis.reserved.get(*runner).map(|reservation| &reservation.model);
            let reserved = reserved.filter(|model| !ledger.will_hold(model));
            for model in coming.into_iter().chain(reserved) {
                replicas.entry(model).or_default().planned += 1;
            }
        }
        let closing = basis.closing.keys().map(|(runner, _)| runner);
        let occupied = closing.chain(basis.reserved.keys()).collect();
        Self { basis, runners, replicas, occupied }
    }

    fn replicas(&self, model: &Name) -> usize {
        self.replicas.get(model).map_or(0, |count| count.planned)
    }

    /// Runner-seconds a second that the model asks for.
    fn load(&self, model: &Name) -> f64 {
        self.basis.demand.model_load(self.basis.now, self.basis.service, model)
    }

    fn idle_ms(&self, model: &Name) -> u64 {
        self.basis.now.since(self.basis.demand.model_last(self.basis.service, model))
    }

    /// How many replicas the model should have.
    fn wanted(&self, model: &Name) -> usize {
        let load = self.load(model);
        let by_load = if load < SINGLE_LOAD { 1 } else { (load / REPLICA_LOAD).ceil() as usize };
        by_load.max(1).min(self.runners.len())
    }

    /// Whether the model should have more replicas than are there and planned, not counting
    /// `but` of them.
    pub(crate) fn is_needy(&self, model: &Name, but: usize) -> bool {
        let replicas = self.replicas(model).saturating_sub(but);
        let is_asked = replicas > 0 || self.idle_ms(model) < ASKED_MS;
        is_asked && replicas < self.wanted(model)
    }

    /// Runners that hold the model now.
    fn holders(&self, model: &Name) -> usize {
        self.replicas.get(model).map_or(0, |count| count.held)
    }

    /// What one more replica takes off the others.
    fn gain(&self, model: &Name) -> f64 {
        let replicas = self.replicas(model) as f64;
        if replicas == 0.0 {
            let is_asked = self.idle_ms(model) < ASKED_MS;
            return if is_asked { FIRST_GAIN } else { 0.0 };
        }
        let load = self.load(model);
        burden(load, replicas) - burden(load, replicas + 1.0)
    }

    /// What one replica fewer puts on the others; none if the last one has to stay.
    fn loss(&self, model: &Name) -> Option<f64> {
        // One that is on its way can't serve for seconds.
        let replicas = self.holders(model) as f64;
        if replicas <= 1.0 {
            return (self.idle_ms(model) > IDLE_MS).then_some(IDLE_LOSS);
        }
        let load = self.load(model);
        Some(burden(load, replicas - 1.0) - burden(load, replicas))
    }

    /// Runner-seconds a second that a runner's share of its models comes to.
    fn runner_load(&self, ledger: &Ledger) -> f64 {
        let share = |model: &Name| self.load(model) / self.replicas(model).max(1) as f64;
        ledger.models().map(share).sum()
    }

    /// The next step, if any; loads from the weight store only if `store_has_room`.
    pub(crate) fn next(&self, store_has_room: bool) -> Option<Step> {
        let models = self.basis.engine.models.keys();
        let needy = models.filter(|model| self.is_needy(model, 0));
        let gains = needy.map(|model| (model, self.gain(model)));
        let mut needy: Vec<(&Name, f64)> = gains.filter(|(_, gain)| *gain > 0.0).collect();
        needy.sort_by(|a, b| b.1.total_cmp(&a.1));
        needy.into_iter().find_map(|(model, gain)| self.bring(model, gain, store_has_room))
    }

    /// The cheapest step that brings the model to one more runner.
    fn bring(&self, model: &Name, gain: f64, store_has_room: bool) -> Option<Step> {
        let mut best: Option<(f64, Step)> = None;
        for (runner, ledger) in &self.runners {
            let is_at_hand = ledger.has_at_hand(model);
            let is_free = !self.occupied.contains(*runner);
            let is_open = is_free && ledger.next_count().is_some() && !ledger.will_hold(model);
            if !is_open || !(store_has_room || is_at_hand) {
                continue;
            }
            let Some((room_cost, operation, subject)) = self.make_room(ledger, model, gain) else {
                continue;
            };
            let store_cost = if is_at_hand { 0.0 } else { STORE_COST };
            let cost = room_cost + store_cost + LOAD_COST * self.runner_load(ledger);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let from_store = operation == Operation::Load && !is_at_hand;
                let subject = Subject { model: subject.clone(), adapter: None };
                let runner = Name::clone(runner);
                let model = model.clone();
                best = Some((cost, Step { runner, operation, subject, model, from_store }));
            }
        }
        best.map(|(_, step)| step)
    }

    /// The order that brings the model nearer to the runner: its load, or the unload of what is
    /// worth least there.
    fn make_room<'b>(
        &self,
        ledger: &'b Ledger,
        model: &'b Name,
        gain: f64,
    ) -> Option<(f64, Operation, &'b Name)> {
        match ledger.room_for_model(self.basis.engine, model) {
            Room::Fits => return Some((0.0, Operation::Load, model)),
            Room::Never => return None,
            Room::Full => {}
        }
        let costs = ledger.models().filter_map(|victim| {
            let loss = self.loss(victim)? * SWAP_FACTOR;
            let runs = self.load(victim) / self.holders(victim).max(1) as f64;
            (loss < gain).then_some((loss + RUNS_COST * runs, victim))
        });
        let (cost, victim) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((cost, Operation::Unload, victim))
    }
}
