//! Which weights should come where next.

use crate::{Ledger, Room, demand::DemandTable};
use std::collections::BTreeMap;
use vanetally_ports::{EngineSpec, Operation, Subject};
use vanetally_types::{Name, Tick};

/// What the plan looks at: the runners of one service.
pub(crate) struct View<'a> {
    pub now: Tick,
    pub service: &'a Name,
    pub engine: &'a EngineSpec,
    pub demand: &'a DemandTable,
    /// Runners that may be ordered to, with their books.
    pub ledgers: &'a BTreeMap<Name, Ledger>,
    /// Runners from which something is about to go.
    pub closing: &'a BTreeMap<(Name, Subject), Tick>,
}

/// One step: an order that brings the placement nearer to the demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub runner: Name,
    pub operation: Operation,
    pub subject: Subject,
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

/// What a load from the weight store costs beside one at hand: seconds that the runner is bound.
const STORE_COST: f64 = 0.05;
/// What an unload costs for each runner-second a second that the model's runs there come to: it waits
/// for them, and binds the runner meanwhile.
const RUNS_COST: f64 = 0.5;
/// What a runner's present load costs: among equals the idle one is taken.
const LOAD_COST: f64 = 0.05;

impl View<'_> {
    fn runners(&self) -> impl Iterator<Item = (&Name, &Ledger)> {
        let own = self.ledgers.iter().filter(|(_, l)| l.state.service == *self.service);
        own.filter(|(_, ledger)| !ledger.state.draining)
    }

    fn replicas(&self, model: &Name) -> usize {
        self.runners().filter(|(_, ledger)| ledger.will_hold(model)).count()
    }

    /// Runner-seconds a second that the model asks for.
    fn load(&self, model: &Name) -> f64 {
        self.demand.model_load(self.now, self.service, model)
    }

    fn idle_ms(&self, model: &Name) -> u64 {
        self.now.since(self.demand.model_last(self.service, model))
    }

    /// How many replicas the model should have.
    fn wanted(&self, model: &Name, runners: usize) -> usize {
        let load = self.load(model);
        let by_load = if load < SINGLE_LOAD { 1 } else { (load / REPLICA_LOAD).ceil() as usize };
        by_load.max(1).min(runners)
    }

    /// Runners that hold the model now.
    fn holders(&self, model: &Name) -> usize {
        self.runners().filter(|(_, ledger)| ledger.holds_model(model)).count()
    }

    /// What one more replica takes off the others.
    fn gain(&self, model: &Name) -> f64 {
        let replicas = self.replicas(model) as f64;
        if replicas == 0.0 {
            let is_asked = self.idle_ms(model) < ASKED_MS;
            return if is_asked { FIRST_GAIN } else { 0.0 };
        }
        self.load(model) / (replicas * (replicas + 1.0))
    }

    /// What one replica fewer puts on the others; none if the last one has to stay.
    fn loss(&self, model: &Name) -> Option<f64> {
        // One that is on its way can't serve for seconds.
        let replicas = self.holders(model) as f64;
        if replicas <= 1.0 {
            return (self.idle_ms(model) > IDLE_MS).then_some(IDLE_LOSS);
        }
        Some(self.load(model) / (replicas * (replicas - 1.0)))
    }

    /// Runner-seconds a second that a runner's share of its models comes to.
    fn runner_load(&self, ledger: &Ledger) -> f64 {
        let share = |model: &Name| self.load(model) / self.replicas(model).max(1) as f64;
        ledger.models().map(share).sum()
    }

    /// The next step, if any; loads from the weight store only if `store_has_room`.
    pub(crate) fn next(&self, store_has_room: bool) -> Option<Step> {
        let runners = self.runners().count();
        let gains = self.engine.models.keys().map(|model| (model, self.gain(model)));
        let mut needy: Vec<(&Name, f64)> = gains
            .filter(|(model, gain)| {
                *gain > 0.0 && self.replicas(model) < self.wanted(model, runners)
            })
            .collect();
        needy.sort_by(|a, b| b.1.total_cmp(&a.1));
        needy.into_iter().find_map(|(model, gain)| self.bring(model, gain, store_has_room))
    }

    /// The cheapest step that brings the model to one more runner.
    fn bring(&self, model: &Name, gain: f64, store_has_room: bool) -> Option<Step> {
        let mut best: Option<(f64, Step)> = None;
        for (runner, ledger) in self.runners() {
            let is_at_hand = ledger.has_at_hand(model);
            let is_closing = self.closing.keys().any(|(closing, _)| closing == runner);
            let is_open = ledger.next_count().is_some() && !ledger.will_hold(model) && !is_closing;
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
                best =
                    Some((cost, Step { runner: runner.clone(), operation, subject, from_store }));
            }
        }
        best.map(|(_, step)| step)
    }

    /// The order that brings the model nearer to the runner: its load, or the unload of what is
    /// worth least there.
    fn make_room<'a>(
        &self,
        ledger: &'a Ledger,
        model: &'a Name,
        gain: f64,
    ) -> Option<(f64, Operation, &'a Name)> {
        match ledger.room_for_model(self.engine, model) {
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
