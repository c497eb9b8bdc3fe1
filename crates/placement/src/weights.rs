//! Weights come and go as the plan says, within the weight store's rate.

use crate::{
    Action, Ceiling, Placement,
    machine::announce,
    plan::{Step, View},
};
use vanetally_ports::{EngineSpec, Operation, Revision};
use vanetally_types::{Name, Tick};

/// A new holder waits this long for the reports of all runners, in milliseconds.
const REPORTS_MS: u64 = 700;
const MILLIS_PER_SECOND: f64 = 1_000.0;

impl Placement {
    pub(crate) fn order_weights(
        &mut self,
        now: Tick,
        token: Revision,
        service: &Name,
        engine: &EngineSpec,
        actions: &mut Vec<Action>,
    ) {
        let window = self.options.window_ms;
        loop {
            let unsettled = self.ledgers.values().filter(|l| l.has_lost_load()).count();
            if !self.ceilings.contains_key(service)
                && let Some(ceiling) = self.first_ceiling(now, service, engine, window)
            {
                self.ceilings.insert(service.clone(), ceiling);
            }
            let ceiling = self.ceilings.get_mut(service);
            let store_has_room = ceiling.is_some_and(|c| c.has_room(now, unsettled));
            let view = View {
                now,
                service,
                engine,
                demand: &self.demand,
                ledgers: &self.ledgers,
                closing: &self.closing,
            };
            let Some(step) = view.next(store_has_room) else {
                return;
            };
            if !self.take_step(now, token, service, step, actions) {
                return;
            }
        }
    }

    /// The ceiling of a new holder; none while too few runners have reported.
    ///
    /// What an earlier holder began is seen from the runners: where loads from the weight store take
    /// longer than its window, those of the window are still under way.
    fn first_ceiling(
        &self,
        now: Tick,
        service: &Name,
        engine: &EngineSpec,
        window_ms: u64,
    ) -> Option<Ceiling> {
        let own = || self.ledgers.values().filter(|l| l.state.service == *service);
        let silent = own().filter(|ledger| !ledger.is_known() && !ledger.state.draining).count();
        if silent > 0 && now.since(self.token_since) < REPORTS_MS {
            return None;
        }
        let shortest = engine.models.values().map(|spec| spec.load_s).fold(f64::MAX, f64::min);
        let outlasts = shortest * MILLIS_PER_SECOND > (window_ms + REPORTS_MS) as f64;
        let begun = own().filter(|ledger| ledger.has_unknown_order()).count() + silent;
        let begun = outlasts.then_some(begun);
        Some(Ceiling::new(now, engine.loads_per_s, window_ms, begun))
    }

    /// Carries a step out, or begins to; tells whether another one may follow at once.
    fn take_step(
        &mut self,
        now: Tick,
        token: Revision,
        service: &Name,
        step: Step,
        actions: &mut Vec<Action>,
    ) -> bool {
        if step.operation == Operation::Unload {
            let key = (step.runner.clone(), step.subject.clone());
            if self.closing.contains_key(&key) {
                return false;
            }
            self.closing.insert(key, now);
            actions.push(announce(&step.runner, &step.subject, false, 0));
            return false;
        }
        if step.from_store
            && let Some(ceiling) = self.ceilings.get_mut(service)
        {
            ceiling.begin(now);
        }
        self.order(now, token, &step.runner, Operation::Load, step.subject, actions);
        true
    }
}
