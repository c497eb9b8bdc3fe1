//! Inventory of the runners and models of one service, taken once per planning round.

use crate::{Ledger, Reservation, capacity::Capacity, demand::DemandTable, value::Replicas};
use std::collections::{BTreeMap, HashMap, HashSet};
use vanetally_ports::{EngineSpec, ModelSpec, Subject};
use vanetally_types::{Incarnation, Name, Tick};

/// Inputs of a planning round for one service.
#[derive(Clone, Copy)]
pub(crate) struct PlanInput<'a> {
    pub now: Tick,
    pub service: &'a Name,
    pub engine: &'a EngineSpec,
    pub demand: &'a DemandTable,
    /// Models whose replicas are all saturated while callers wait.
    pub saturated: &'a BTreeMap<(Name, Name), Tick>,
    /// Models whose holders have no room for a requested adapter.
    pub adapter_full: &'a BTreeMap<(Name, Name), Tick>,
    /// Ledgers of all known runners.
    pub ledgers: &'a BTreeMap<Incarnation, Ledger>,
    /// Unloads that were announced but not yet ordered.
    pub pending_unloads: &'a BTreeMap<(Incarnation, Subject), Tick>,
    /// Runners on which memory is being freed, with the model it is for.
    pub reserved: &'a BTreeMap<Incarnation, Reservation>,
}

/// A model of the service in one planning round.
pub(crate) struct Model<'a> {
    pub name: &'a Name,
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub load_s: f64,
    /// Duration of a load from a runner's local copy.
    pub copy_load_s: f64,
    /// Requested runner-seconds per second.
    pub load: f64,
    /// Milliseconds since the last request.
    pub idle_ms: u64,
    pub replicas: Replicas,
    /// Whether callers wait although replicas exist.
    pub is_saturated: bool,
    /// Whether its holders have no room for a requested adapter.
    pub is_adapter_full: bool,
    /// Indices of available runners with a local copy of the weights.
    pub copy_holders: Vec<usize>,
}

/// A runner that can be sent an order about weights.
pub(crate) struct Runner<'a> {
    pub name: &'a Incarnation,
    pub ledger: &'a Ledger,
    pub free_mb: f64,
    /// This runner's share of the load of its models, in runner-seconds per second.
    pub load: f64,
    /// Whether no step of this round uses it yet.
    pub is_available: bool,
}

/// Models and available runners, referring to each other by index.
pub(crate) struct Inventory<'a> {
    pub models: Vec<Model<'a>>,
    pub index: HashMap<&'a Name, usize>,
    pub runners: Vec<Runner<'a>>,
    /// Number of runners that are not draining, available or not.
    pub runner_count: usize,
}

impl<'a> Inventory<'a> {
    /// Takes the inventory of `input`.
    pub(crate) fn new(input: PlanInput<'a>) -> Self {
        let specs = input.engine.models.iter();
        let mut inventory = Self {
            models: specs.map(|(name, spec)| Model::new(input, name, spec)).collect(),
            index: input.engine.models.keys().enumerate().map(|(i, name)| (name, i)).collect(),
            runners: Vec::new(),
            runner_count: 0,
        };
        inventory.count_replicas(input);
        inventory.find_available(input);
        inventory
    }

    fn count_replicas(&mut self, input: PlanInput<'a>) {
        for (runner, ledger) in staying_ledgers(input) {
            self.runner_count += 1;
            for model in ledger.held_names() {
                if let Some(&index) = self.index.get(model) {
                    self.models[index].replicas.held += 1;
                    self.models[index].replicas.planned += 1;
                }
            }
            let loading = ledger.loading_model();
            let reserved = input.reserved.get(runner).map(|reservation| &reservation.model);
            let reserved = reserved.filter(|model| !ledger.will_hold(model));
            for model in loading.into_iter().chain(reserved) {
                if let Some(&index) = self.index.get(model) {
                    self.models[index].replicas.planned += 1;
                }
            }
        }
    }

    /// Collects the runners that can be sent an order and have no change of weights in progress.
    fn find_available(&mut self, input: PlanInput<'a>) {
        let pending_unloads = input.pending_unloads.keys().map(|(runner, _)| runner);
        let occupied: HashSet<&Incarnation> =
            pending_unloads.chain(input.reserved.keys()).collect();
        let capacity = Capacity::of(input.engine);
        for (name, ledger) in staying_ledgers(input) {
            if occupied.contains(name) || ledger.next_count().is_none() {
                continue;
            }
            let index = self.runners.len();
            for model in ledger.local_copies() {
                if let Some(&model) = self.index.get(model) {
                    self.models[model].copy_holders.push(index);
                }
            }
            let load = ledger.models().filter_map(|model| self.index.get(model)).map(|&model| {
                let Model { load, replicas, .. } = &self.models[model];
                load / replicas.planned.max(1) as f64
            });
            let load = load.sum();
            let free_mb = capacity.free_mb(ledger);
            self.runners.push(Runner { name, ledger, free_mb, load, is_available: true });
        }
    }
}

/// The runners of the service that are not draining.
fn staying_ledgers(input: PlanInput<'_>) -> impl Iterator<Item = (&Incarnation, &Ledger)> {
    input
        .ledgers
        .iter()
        .filter(move |(_, ledger)| ledger.state.service == *input.service && !ledger.is_leaving())
}

impl<'a> Model<'a> {
    fn new(input: PlanInput<'a>, name: &'a Name, spec: &ModelSpec) -> Self {
        Self {
            name,
            weights_mb: spec.weights_mb,
            load_s: spec.load_s,
            copy_load_s: spec.disk_s.min(spec.load_s),
            load: input.demand.model_load(input.now, input.service, name),
            idle_ms: input.now.since(input.demand.model_last_request(input.service, name)),
            replicas: Replicas::default(),
            is_saturated: input.saturated.contains_key(&(input.service.clone(), name.clone())),
            is_adapter_full: input
                .adapter_full
                .contains_key(&(input.service.clone(), name.clone())),
            copy_holders: Vec::new(),
        }
    }
}
