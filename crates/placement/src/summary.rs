//! Summary of the placement for operators.

use crate::{Obstacle, Placement, capacity::Capacity};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// Demand and replicas of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSummary {
    /// The model.
    pub model: Name,
    /// Requested runner-seconds per second.
    pub load: f64,
    /// Number of runners that hold it.
    pub holders: usize,
    /// Number of runners that are loading it.
    pub loading: usize,
}

/// Number of runners that can and can't be sent orders about weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerSummary {
    /// Runners that can.
    pub available: usize,
    /// Runners on which memory is being freed for a model.
    pub evicting: usize,
    /// Runners that can't, by reason.
    pub obstacles: BTreeMap<Obstacle, usize>,
    /// How many more models of the smallest size fit on all runners together.
    pub free_places: usize,
}

/// Models with less load, in runner-seconds per second, are left out of a summary.
const MIN_SHOWN_LOAD: f64 = 0.005;

impl Placement {
    /// Returns the models that are requested or loading.
    pub fn summary(&self, now: Tick) -> Vec<ModelSummary> {
        let mut counts: BTreeMap<(&Name, &Name), (usize, usize)> = BTreeMap::new();
        for ledger in self.ledgers.values() {
            let service = &ledger.state.service;
            ledger
                .held_names()
                .for_each(|model| counts.entry((service, model)).or_default().0 += 1);
            if let Some(model) = ledger.loading_model() {
                counts.entry((service, model)).or_default().1 += 1;
            }
        }
        let services = self.configuration.iter().flat_map(|c| c.services.iter());
        let engines = services.filter_map(|(name, service)| Some((name, service.engine.as_ref()?)));
        let models = engines.flat_map(|(service, engine)| {
            engine.models.keys().map(|model| {
                let (holders, loading) = counts.get(&(service, model)).copied().unwrap_or_default();
                let load = self.demand.model_load(now, service, model);
                ModelSummary { model: model.clone(), load, holders, loading }
            })
        });
        let models: Vec<ModelSummary> = models.collect();
        models
            .into_iter()
            .filter(|model| model.load > MIN_SHOWN_LOAD || model.loading > 0)
            .collect()
    }

    /// Returns how many runners can be sent orders, and why others can't.
    pub fn runners(&self) -> RunnerSummary {
        let mut summary = RunnerSummary::default();
        let services = self.configuration.as_ref().map(|c| &c.services);
        for (name, ledger) in &self.ledgers {
            let service = services.and_then(|services| services.get(&ledger.state.service));
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let is_evicting = self.pending_unloads.keys().any(|(runner, _)| runner == name);
            match ledger.obstacle() {
                Some(obstacle) => *summary.obstacles.entry(obstacle).or_default() += 1,
                None if is_evicting || self.reserved.contains_key(name) => {
                    summary.evicting += 1;
                }
                None => summary.available += 1,
            }
            let smallest_mb =
                engine.models.values().map(|spec| spec.weights_mb).fold(f64::MAX, f64::min);
            let free_mb = Capacity::of(engine).free_mb(ledger).max(0.0);
            summary.free_places += (free_mb / smallest_mb) as usize;
        }
        summary
    }
}
