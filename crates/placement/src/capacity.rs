//! Memory for weights and adapters on a runner.

use crate::Ledger;
use std::collections::BTreeMap;
use vanetally_ports::EngineSpec;
use vanetally_types::Name;

/// Whether a model or adapter fits on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It fits.
    Fits,
    /// It fits once something else is evicted.
    NeedsEviction,
    /// It does not fit, whatever is evicted.
    Never,
}

/// Memory for weights on the runners of one service.
pub(crate) struct Capacity<'a> {
    engine: &'a EngineSpec,
    /// Megabytes for models, without those reserved for adapters.
    pub models_mb: f64,
}

impl<'a> Capacity<'a> {
    pub(crate) fn of(engine: &'a EngineSpec) -> Self {
        let largest_adapter =
            engine.models.values().map(|spec| spec.adapter_mb).fold(0.0, f64::max);
        let adapter_reserve = largest_adapter * f64::from(engine.max_adapters);
        Self { engine, models_mb: engine.weights_mb - adapter_reserve }
    }

    /// Megabytes of a model's weights. A model that is not in the configuration may have any size
    /// and counts as filling the runner.
    fn model_mb(&self, model: &Name) -> f64 {
        let spec = self.engine.models.get(model);
        spec.map_or(self.engine.weights_mb, |spec| spec.weights_mb)
    }

    /// Megabytes left beside everything that is held, loading or may still be loaded.
    pub(crate) fn free_mb(&self, ledger: &Ledger) -> f64 {
        let expected = ledger.models().chain(ledger.unsettled_models());
        let expected_mb = expected.map(|model| self.model_mb(model)).sum::<f64>();
        self.models_mb - expected_mb.max(self.unanswered_mb(ledger))
    }

    /// Megabytes that a later incarnation may load through unanswered orders alone.
    fn unanswered_mb(&self, ledger: &Ledger) -> f64 {
        let mut largest_by_count: BTreeMap<u64, f64> = BTreeMap::new();
        for (count, model) in ledger.unanswered_loads() {
            let size = largest_by_count.entry(count).or_default();
            *size = size.max(self.model_mb(model));
        }
        largest_by_count.values().sum()
    }
}
