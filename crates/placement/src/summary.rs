//! What operators are shown of the placement.

use crate::{Obstacle, Placement, capacity::Capacity};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// One model's demand and replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSummary {
    /// The model.
    pub model: Name,
    /// Runner-seconds a second that are asked for.
    pub load: f64,
    /// Runners that hold it.
    pub holders: usize,
    /// Runners that are getting it.
    pub loading: usize,
}

/// Runners that can and can't be given orders about weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerSummary {
    /// Those that can.
    pub available: usize,
    /// Those on which room is being made.
    pub evicting: usize,
    /// Those that can't, by the reason.
    pub obstacles: BTreeMap<Obstacle, usize>,
    /// Fit for how many more of the smallest models there is on all of them.
    pub free_places: usize,
}

/// Models with less load are left out of a summary.
const MIN_SHOWN_LOAD: f64 = 0.005;

impl Placement {
    /// Each model that is asked for or on its way: what operators look at.
    pub fn summary(&self, now: Tick) -> Vec<ModelSummary> {
        let mut counts: BTreeMap<(&Name, &Name), (usize, usize)> = BTreeMap::new();
        for ledger in self.ledgers.values() {
            let service = &ledger.state.service;
            ledger
                .held_names()
                .for_each(|model| counts.entry((service, model)).or_default().0 += 1);
            if let Some(model) = ledger.coming_model() {
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

    /// Which runners can be given orders, and why others can't.
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
