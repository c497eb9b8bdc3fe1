//! Demand for each model and adapter.

use crate::DemandSample;
use std::collections::BTreeMap;
use vanetally_ports::ModelRef;
use vanetally_types::{Name, Tick};

/// Requested work for one model or adapter, decaying over time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingWork {
    /// Requested runner-milliseconds as of `updated_at`, exponentially decayed.
    work_ms: f64,
    updated_at: Tick,
    last_request: Tick,
}

/// Demand for all models and adapters, summed over all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    models: BTreeMap<(Name, Name), DecayingWork>,
    adapters: BTreeMap<(Name, ModelRef), DecayingWork>,
}

/// Time in which the weight of a request falls to 1/e.
const DECAY_MS: f64 = 3_000.0;

impl DecayingWork {
    fn decayed(&self, now: Tick) -> f64 {
        self.work_ms * (-(now.since(self.updated_at) as f64) / DECAY_MS).exp()
    }

    fn add(&mut self, now: Tick, work_ms: f64) {
        self.work_ms = self.decayed(now) + work_ms;
        self.updated_at = now;
        self.last_request = now;
    }
}

impl DemandTable {
    pub(crate) fn add(&mut self, now: Tick, sample: &DemandSample) {
        self.record(now, &sample.service, &sample.subject, f64::from(sample.work_ms));
    }

    /// Records requests for `work_ms` of work; zero only updates the time of the last request.
    pub(crate) fn record(&mut self, now: Tick, service: &Name, subject: &ModelRef, work_ms: f64) {
        let model = (service.clone(), subject.model.clone());
        self.models.entry(model).or_default().add(now, work_ms);
        if subject.adapter.is_some() {
            let adapter = (service.clone(), subject.clone());
            self.adapters.entry(adapter).or_default().add(now, work_ms);
        }
    }

    /// Load of the model, in runner-seconds per second.
    pub(crate) fn model_load(&self, now: Tick, service: &Name, model: &Name) -> f64 {
        let work = self.models.get(&(service.clone(), model.clone()));
        work.map_or(0.0, |work| work.decayed(now) / DECAY_MS)
    }

    /// Time of the last request for the model.
    pub(crate) fn model_last_request(&self, service: &Name, model: &Name) -> Tick {
        let work = self.models.get(&(service.clone(), model.clone()));
        work.map_or(Tick(0), |work| work.last_request)
    }

    /// Time of the last request for the adapter.
    pub(crate) fn adapter_last_request(&self, service: &Name, subject: &ModelRef) -> Tick {
        let work = self.adapters.get(&(service.clone(), subject.clone()));
        work.map_or(Tick(0), |work| work.last_request)
    }
}
