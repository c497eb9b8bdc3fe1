//! Loads and unloads weights as planned, within the weight store's load limit.

use crate::{
    Action, Fit, LoadLimit, Placement,
    inventory::PlanInput,
    machine::announce,
    plan::{PlanningRound, Step},
};
use vanetally_ports::{EngineSpec, FencingToken, Operation, Subject};
use vanetally_types::{Incarnation, Name, Tick};

/// How long a new holder waits for the reports of all runners.
const REPORT_WAIT_MS: u64 = 700;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Maximum number of steps per planning round.
const MAX_STEPS: usize = 16;
/// A reservation is dropped if its memory is not free after this time. An unload waits for running
/// requests.
const RESERVATION_TIMEOUT_MS: u64 = 10_000;

/// Memory that is being freed on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    /// The model to be loaded there.
    pub model: Name,
    /// When the reservation was made.
    pub since: Tick,
}

impl Placement {
    pub(crate) fn order_weights(
        &mut self,
        now: Tick,
        token: FencingToken,
        service: &Name,
        engine: &EngineSpec,
        actions: &mut Vec<Action>,
    ) {
        self.use_reserved(now, token, service, engine, actions);
        let store_loads = self.remaining_store_loads(now, service, engine);
        let round = PlanningRound::new(self.plan_input(now, service, engine));
        for step in round.steps(MAX_STEPS, store_loads) {
            self.apply_step(now, token, service, step, actions);
        }
    }

    fn plan_input<'a>(
        &'a self,
        now: Tick,
        service: &'a Name,
        engine: &'a EngineSpec,
    ) -> PlanInput<'a> {
        PlanInput {
            now,
            service,
            engine,
            demand: &self.demand,
            saturated: &self.saturated,
            adapter_full: &self.adapter_full,
            ledgers: &self.ledgers,
            pending_unloads: &self.pending_unloads,
            reserved: &self.reserved,
        }
    }

    /// Returns how many more loads from the weight store may start.
    fn remaining_store_loads(&mut self, now: Tick, service: &Name, engine: &EngineSpec) -> usize {
        let unanswered = self.ledgers.values().filter(|l| l.has_lost_load()).count();
        let window = self.options.load_window_ms;
        if !self.load_limits.contains_key(service)
            && let Some(load_limit) = self.initial_load_limit(now, service, engine, window)
        {
            self.load_limits.insert(service.clone(), load_limit);
        }
        let load_limit = self.load_limits.get_mut(service);
        load_limit.map_or(0, |load_limit| load_limit.remaining(now, unanswered))
    }

    /// Orders the loads for which memory was freed, and drops reservations that are no longer
    /// needed.
    fn use_reserved(
        &mut self,
        now: Tick,
        token: FencingToken,
        service: &Name,
        engine: &EngineSpec,
        actions: &mut Vec<Action>,
    ) {
        if self.reserved.is_empty() {
            return;
        }
        let reserved: Vec<(Incarnation, Reservation)> = self
            .reserved
            .iter()
            .map(|(runner, reservation)| (runner.clone(), reservation.clone()))
            .collect();
        let round = PlanningRound::new(self.plan_input(now, service, engine));
        let is_needed = |reservation: &Reservation| round.needs_more(&reservation.model, 1);
        let reserved: Vec<_> = reserved
            .into_iter()
            .map(|(runner, reservation)| (runner, is_needed(&reservation), reservation))
            .collect();
        for (runner, is_needed, Reservation { model, since }) in reserved {
            let Some(ledger) = self.ledgers.get(&runner) else {
                self.reserved.remove(&runner);
                continue;
            };
            let is_unloading =
                self.pending_unloads.keys().any(|(unloading, _)| *unloading == runner);
            if ledger.state.service != *service || is_unloading {
                continue;
            }
            let can_order = ledger.next_count().is_some();
            let has_room = ledger.model_fit(engine, &model) == Fit::Fits;
            let has_copy = ledger.has_local_copy(&model);
            // Drops reservations whose memory was not freed or is no longer needed.
            let has_failed = can_order && !has_room;
            if has_failed || !is_needed || now.since(since) > RESERVATION_TIMEOUT_MS {
                self.reserved.remove(&runner);
            } else if can_order
                && (has_copy || self.remaining_store_loads(now, service, engine) > 0)
            {
                self.reserved.remove(&runner);
                let subject = Subject { model: model.clone(), adapter: None };
                let from_store = !has_copy;
                let step = Step { runner, operation: Operation::Load, subject, model, from_store };
                self.apply_step(now, token, service, step, actions);
            }
        }
    }

    /// Returns the load limit of a new holder, or `None` while too few runners have reported.
    ///
    /// Where every load from the weight store takes longer than the window, the loads that an
    /// earlier holder started within the window are still running and show in the runners' reports.
    fn initial_load_limit(
        &self,
        now: Tick,
        service: &Name,
        engine: &EngineSpec,
        window_ms: u64,
    ) -> Option<LoadLimit> {
        let ledgers = || self.ledgers.values().filter(|l| l.state.service == *service);
        let unreported =
            ledgers().filter(|ledger| !ledger.is_known() && !ledger.is_leaving()).count();
        if unreported > 0 && now.since(self.token_since) < REPORT_WAIT_MS {
            return None;
        }
        let shortest = engine.models.values().map(|spec| spec.load_s).fold(f64::MAX, f64::min);
        let outlasts_window = shortest * MILLIS_PER_SECOND > (window_ms + REPORT_WAIT_MS) as f64;
        let started = ledgers().filter(|ledger| ledger.has_unknown_order()).count() + unreported;
        let started = outlasts_window.then_some(started);
        Some(LoadLimit::new(now, engine.loads_per_s, window_ms, started))
    }

    /// Orders the load of a step, or announces its unload to be ordered later.
    fn apply_step(
        &mut self,
        now: Tick,
        token: FencingToken,
        service: &Name,
        step: Step,
        actions: &mut Vec<Action>,
    ) {
        if step.operation == Operation::Unload {
            actions.push(announce(&step.runner, &step.subject, false, 0));
            let reservation = Reservation { model: step.model, since: now };
            self.reserved.insert(step.runner.clone(), reservation);
            self.pending_unloads.insert((step.runner, step.subject), now);
            return;
        }
        if step.from_store
            && let Some(load_limit) = self.load_limits.get_mut(service)
        {
            load_limit.record_start(now);
        }
        self.order(now, token, &step.runner, Operation::Load, step.subject, actions);
    }
}
