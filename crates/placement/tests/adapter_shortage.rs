//! Callers request more adapters of a model than fit on its holders.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use support::{Holder, report};
use vanetally_ports::{HeldModel, Operation, Order, OrderOutcome, Report, Subject};
use vanetally_types::Name;

/// When the holders of a model have no room for all requested adapters, the model must be loaded on
/// another runner with free memory; otherwise one of the adapters is never available.
///
/// Each runner has memory for one more model. Runners execute orders at once and report what they
/// hold: one that never reports an accepted load gets no further orders.
#[test]
fn more_adapters_than_places() {
    let held: [(&str, &[&str]); 2] = [("r1", &["m1", "m2"]), ("r2", &["m3", "m4"])];
    let mut holder = Holder::new(&held);
    let mut runners = BTreeMap::from(held.map(|(id, models)| (id, Runner::new(models))));
    for _ in 0..40 {
        for adapter in ["a1", "a2", "a3", "a4"] {
            holder.request("m1", Some(adapter));
            for order in std::mem::take(&mut holder.orders) {
                let runner = runners.get_mut(&*order.runner.id).expect("known runner");
                runner.execute(&order);
                holder.answer(order, OrderOutcome::Accepted);
            }
            for runner_id in std::mem::take(&mut holder.report_requests) {
                holder.report(&runner_id.id, runners[&*runner_id.id].report());
            }
            holder.advance(60);
        }
    }
    assert!(runners["r2"].models.contains_key("m1"), "no second holder after ten seconds");
    let places = runners.values().flat_map(|runner| runner.models.get("m1"));
    let held: BTreeSet<&Name> = places.flatten().collect();
    assert_eq!(held.len(), 4, "all requested adapters are held: {held:?}");
}

/// A runner that executes orders at once.
struct Runner {
    models: BTreeMap<Name, BTreeSet<Name>>,
    orders: u64,
}

impl Runner {
    fn new(models: &[&str]) -> Self {
        let models = models.iter().map(|model| ((*model).into(), BTreeSet::new()));
        Self { models: models.collect(), orders: 0 }
    }

    fn execute(&mut self, order: &Order) {
        self.orders += 1;
        let Subject { model, adapter } = &order.subject;
        match (order.operation, adapter) {
            (Operation::Load, None) => {
                self.models.insert(model.clone(), BTreeSet::new());
            }
            (Operation::Unload, None) => {
                self.models.remove(model);
            }
            (operation, Some(adapter)) => {
                let adapters = self.models.get_mut(model).expect("the model is held");
                match operation {
                    Operation::Load => adapters.insert(adapter.clone()),
                    Operation::Unload => adapters.remove(adapter),
                };
            }
        }
    }

    fn report(&self) -> Report {
        let models = self.models.iter().map(|(name, adapters)| HeldModel {
            name: name.clone(),
            adapters: adapters.iter().cloned().collect(),
        });
        Report { models: models.collect(), ..report(&[], self.orders) }
    }
}
