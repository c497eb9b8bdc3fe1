//! Callers ask for more adapters of a model than there are places where it is held.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use support::{Holder, report};
use vanetally_ports::{HeldModel, Operation, Order, OrderOutcome, Report, Subject};
use vanetally_types::Name;

/// Seen in a soak after two of three engines had started again and held nothing: callers asked for six adapters of the
/// one model, four fit where it was held, and one of the six was never there for 20 s (`lack=adapter holders=0`), while
/// `placement open=3 free_places=8` said that there was room for the model elsewhere.
///
/// Each runner has room for one more model. Orders are carried out at once, and the runners report what they hold: one
/// that never reports a load that it took can't be ordered to at all.
#[test]
fn adapters_beyond_places() {
    let held: [(&str, &[&str]); 2] = [("r1", &["m1", "m2"]), ("r2", &["m3", "m4"])];
    let mut holder = Holder::new(&held);
    let mut runners = BTreeMap::from(held.map(|(id, models)| (id, Runner::new(models))));
    for _ in 0..40 {
        for adapter in ["a1", "a2", "a3", "a4"] {
            holder.want("m1", Some(adapter));
            for order in std::mem::take(&mut holder.orders) {
                let runner = runners.get_mut(&*order.runner.id).expect("it is known");
                runner.carry_out(&order);
                holder.answer(order, OrderOutcome::Accepted);
            }
            for asked in std::mem::take(&mut holder.asked) {
                holder.report(&asked.id, runners[&*asked.id].report());
            }
            holder.pass(60);
        }
    }
    assert!(runners["r2"].models.contains_key("m1"), "nowhere else in ten seconds");
    let places = runners.values().flat_map(|runner| runner.models.get("m1"));
    let held: BTreeSet<&Name> = places.flatten().collect();
    assert_eq!(held.len(), 4, "all that are asked for are there: {held:?}");
}

/// A runner that carries out what it is ordered to at once.
struct Runner {
    models: BTreeMap<Name, BTreeSet<Name>>,
    orders: u64,
}

impl Runner {
    fn new(models: &[&str]) -> Self {
        let models = models.iter().map(|model| ((*model).into(), BTreeSet::new()));
        Self { models: models.collect(), orders: 0 }
    }

    fn carry_out(&mut self, order: &Order) {
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
                let adapters = self.models.get_mut(model).expect("its model is there");
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
