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

/// A model not asked for within this time may make way, in milliseconds.
const IDLE_MS: u64 = 6_000;
/// A model asked for within this time has to be somewhere, in milliseconds.
const ASKED_MS: u64 = 20_000;
/// Requests a second that one replica is planned for.
const RATE_PER_REPLICA: f64 = 4.0;

impl View<'_> {
    fn runners(&self) -> impl Iterator<Item = (&Name, &Ledger)> {
        let own = self.ledgers.iter().filter(|(_, l)| l.state.service == *self.service);
        own.filter(|(_, ledger)| !ledger.state.draining)
    }

    fn replicas(&self, model: &Name) -> usize {
        self.runners().filter(|(_, ledger)| ledger.will_hold(model)).count()
    }

    fn rate(&self, model: &Name) -> f64 {
        self.demand.model_rate(self.now, self.service, model)
    }

    /// How many replicas the model should have.
    fn wanted(&self, model: &Name, runners: usize) -> usize {
        let rate = self.rate(model);
        let by_rate = (rate / RATE_PER_REPLICA).ceil() as usize;
        let is_asked = self.now.since(self.demand.model_last(self.service, model)) < ASKED_MS
            && self.demand.model_last(self.service, model) > Tick(0);
        by_rate.max(usize::from(is_asked)).min(runners)
    }

    /// The next step, if any; loads from the weight store only if `store_has_room`.
    pub(crate) fn next(&self, store_has_room: bool) -> Option<Step> {
        let runners = self.runners().count();
        let mut models: Vec<(&Name, f64)> = self.engine.models.keys().filter_map(|model| {
            let replicas = self.replicas(model);
            let wanted = self.wanted(model, runners);
            // The model with the most demand for each replica comes first; those that are
            // nowhere before all others.
            let need = if replicas == 0 { f64::MAX } else { self.rate(model) / replicas as f64 };
            (replicas < wanted).then_some((model, need))
        }).collect();
        models.sort_by(|a, b| b.1.total_cmp(&a.1));
        models.into_iter().find_map(|(model, _)| self.bring(model, store_has_room))
    }

    /// A step that brings the model to one more runner.
    fn bring(&self, model: &Name, store_has_room: bool) -> Option<Step> {
        let subject = Subject { model: model.clone(), adapter: None };
        let open = |(_, ledger): &(&Name, &Ledger)| {
            !ledger.is_busy() && ledger.next_count().is_some() && !ledger.will_hold(model)
        };
        let reachable = |ledger: &Ledger| store_has_room || ledger.has_at_hand(model);
        let fits = |ledger: &Ledger| ledger.room_for_model(self.engine, model) == Room::Fits;
        let here = self.runners().filter(open).filter(|(_, l)| reachable(l) && fits(l));
        let best = here.max_by_key(|(name, ledger)| {
            (ledger.has_at_hand(model), std::cmp::Reverse(ledger.models().count()), (*name).clone())
        });
        if let Some((runner, ledger)) = best {
            let from_store = !ledger.has_at_hand(model);
            return Some(Step {
                runner: runner.clone(),
                operation: Operation::Load,
                subject,
                from_store,
            });
        }
        self.make_room(model, store_has_room)
    }

    /// A step that takes from a runner what is worth least there.
    fn make_room(&self, model: &Name, store_has_room: bool) -> Option<Step> {
        let mut best: Option<((bool, bool, u64), Step)> = None;
        for (runner, ledger) in self.runners() {
            let is_open = !ledger.is_busy() && ledger.next_count().is_some();
            let may = store_has_room || ledger.has_at_hand(model);
            let is_full = ledger.room_for_model(self.engine, model) == Room::Full;
            if !is_open || !may || !is_full || ledger.will_hold(model) {
                continue;
            }
            for victim in ledger.models().filter(|victim| self.may_go(victim, model)) {
                let idle = self.now.since(self.demand.model_last(self.service, victim));
                let rank = (ledger.has_at_hand(model), self.replicas(victim) > 1, idle);
                if best.as_ref().is_none_or(|(most, _)| rank > *most) {
                    let subject = Subject { model: victim.clone(), adapter: None };
                    let step = Step {
                        runner: runner.clone(),
                        operation: Operation::Unload,
                        subject,
                        from_store: false,
                    };
                    best = Some((rank, step));
                }
            }
        }
        best.map(|(_, step)| step)
    }

    /// Whether `victim` may make way for `model`: nobody asks for it, or it is on more runners
    /// than it needs.
    fn may_go(&self, victim: &Name, model: &Name) -> bool {
        let runners = self.runners().count();
        let replicas = self.replicas(victim);
        let is_idle = self.now.since(self.demand.model_last(self.service, victim)) > IDLE_MS;
        let wanted = self.wanted(victim, runners);
        let is_spare = replicas > wanted.max(1) + 1;
        let others = if self.replicas(model) == 0 { 0 } else { 1 };
        (is_idle && replicas > others) || (is_spare && is_idle)
            || (is_spare && self.rate(victim) * 2.0 < self.rate(model))
    }
}
