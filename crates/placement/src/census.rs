//! The runners and models of one service, counted once for a round of the plan.

use crate::{Ledger, Reservation, capacity::Capacity, demand::DemandTable, worth::Replicas};
use std::collections::{BTreeMap, HashMap, HashSet};
use vanetally_ports::{EngineSpec, ModelSpec, Subject};
use vanetally_types::{Incarnation, Name, Tick};

/// What the plan rests on: the runners of one service.
#[derive(Clone, Copy)]
pub(crate) struct Basis<'a> {
    pub now: Tick,
    pub service: &'a Name,
    pub engine: &'a EngineSpec,
    pub demand: &'a DemandTable,
    /// Models of which all replicas are taken while callers wait.
    pub crowded: &'a BTreeMap<(Name, Name), Tick>,
    /// Models whose holders have no place for an adapter that is missed.
    pub cramped: &'a BTreeMap<(Name, Name), Tick>,
    /// Runners that may be ordered to, with their books.
    pub ledgers: &'a BTreeMap<Incarnation, Ledger>,
    /// Runners from which something is about to go.
    pub closing: &'a BTreeMap<(Incarnation, Subject), Tick>,
    /// Runners on which room is being made, and for what.
    pub reserved: &'a BTreeMap<Incarnation, Reservation>,
}

/// A model of the service, as one round of the plan sees it.
pub(crate) struct Model<'a> {
    pub name: &'a Name,
    pub weights_mb: f64,
    /// Seconds of a load from the weight store, and of one from a copy at hand.
    pub load_s: f64,
    pub near_s: f64,
    /// Runner-seconds a second that it is asked for.
    pub load: f64,
    /// Since it was last asked for, in milliseconds.
    pub idle_ms: u64,
    pub replicas: Replicas,
    /// Whether callers wait though it is held.
    pub is_saturated: bool,
    /// Whether its holders have no place for an adapter that is missed.
    pub is_cramped: bool,
    /// Open runners that have a copy of their own, as indices.
    pub at_hand: Vec<usize>,
}

/// A runner that may be given an order about weights.
pub(crate) struct Runner<'a> {
    pub name: &'a Incarnation,
    pub ledger: &'a Ledger,
    pub free_mb: f64,
    /// What its models are asked for there, in runner-seconds a second.
    pub load: f64,
    /// Whether the round has not used it yet.
    pub is_open: bool,
}

/// Models and open runners, with indices of each other.
pub(crate) struct Census<'a> {
    pub models: Vec<Model<'a>>,
    pub index: HashMap<&'a Name, usize>,
    pub runners: Vec<Runner<'a>>,
    /// Runners that stay, open or not.
    pub runner_count: usize,
}

impl<'a> Census<'a> {
    /// Counts what `basis` holds.
    pub(crate) fn new(basis: Basis<'a>) -> Self {
        let specs = basis.engine.models.iter();
        let mut census = Self {
            models: specs.map(|(name, spec)| Model::new(basis, name, spec)).collect(),
            index: basis.engine.models.keys().enumerate().map(|(i, name)| (name, i)).collect(),
            runners: Vec::new(),
            runner_count: 0,
        };
        census.count_replicas(basis);
        census.find_open(basis);
        census
    }

    fn count_replicas(&mut self, basis: Basis<'a>) {
        for (runner, ledger) in own_ledgers(basis) {
            self.runner_count += 1;
            for model in ledger.held_names() {
                if let Some(&index) = self.index.get(model) {
                    self.models[index].replicas.held += 1;
                    self.models[index].replicas.planned += 1;
                }
            }
            let coming = ledger.coming_model();
            let reserved = basis.reserved.get(runner).map(|reservation| &reservation.model);
            let reserved = reserved.filter(|model| !ledger.will_hold(model));
            for model in coming.into_iter().chain(reserved) {
                if let Some(&index) = self.index.get(model) {
                    self.models[index].replicas.planned += 1;
                }
            }
        }
    }

    /// Runners on which nothing is under way that the plan must not disturb.
    fn find_open(&mut self, basis: Basis<'a>) {
        let closing = basis.closing.keys().map(|(runner, _)| runner);
        let occupied: HashSet<&Incarnation> = closing.chain(basis.reserved.keys()).collect();
        let capacity = Capacity::of(basis.engine);
        for (name, ledger) in own_ledgers(basis) {
            if occupied.contains(name) || ledger.next_count().is_none() {
                continue;
            }
            let index = self.runners.len();
            for model in ledger.copies() {
                if let Some(&model) = self.index.get(model) {
                    self.models[model].at_hand.push(index);
                }
            }
            let load = ledger.models().filter_map(|model| self.index.get(model)).map(|&model| {
                let Model { load, replicas, .. } = &self.models[model];
                load / replicas.planned.max(1) as f64
            });
            let load = load.sum();
            let free_mb = capacity.free_mb(ledger);
            self.runners.push(Runner { name, ledger, free_mb, load, is_open: true });
        }
    }
}

/// The runners of the service that stay.
fn own_ledgers(basis: Basis<'_>) -> impl Iterator<Item = (&Incarnation, &Ledger)> {
    basis
        .ledgers
        .iter()
        .filter(move |(_, ledger)| ledger.state.service == *basis.service && !ledger.state.draining)
}

impl<'a> Model<'a> {
    fn new(basis: Basis<'a>, name: &'a Name, spec: &ModelSpec) -> Self {
        Self {
            name,
            weights_mb: spec.weights_mb,
            load_s: spec.load_s,
            near_s: spec.disk_s.min(spec.load_s),
            load: basis.demand.model_load(basis.now, basis.service, name),
            idle_ms: basis.now.since(basis.demand.model_last(basis.service, name)),
            replicas: Replicas::default(),
            is_saturated: basis.crowded.contains_key(&(basis.service.clone(), name.clone())),
            is_cramped: basis.cramped.contains_key(&(basis.service.clone(), name.clone())),
            at_hand: Vec::new(),
        }
    }
}
