//! Which weights should come where next.

use crate::{
    inventory::{Inventory, Model, PlanInput, Runner},
    value,
};
use std::collections::{BinaryHeap, HashMap};
use vanetally_ports::{Operation, Subject};
use vanetally_types::{Incarnation, Name};

/// One step: an order that brings the placement nearer to the demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub runner: Incarnation,
    pub operation: Operation,
    pub subject: Subject,
    /// The model that the step is for.
    pub model: Name,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

/// One round of the plan. Everything is counted once; a step costs no more than a look at the runners
/// that have a copy of its model, and at the few cheapest others.
pub(crate) struct PlanningRound<'a> {
    models: Vec<Model<'a>>,
    index: HashMap<&'a Name, usize>,
    runners: Vec<Runner<'a>>,
    runner_count: usize,
    /// Open runners with free room, the least loaded first.
    with_room: Vec<usize>,
    /// Open runners without, the one whose cheapest model is worth least first.
    full: Vec<usize>,
}

/// A model and what one more replica of it gains, ordered by that; those for which callers wait come first.
struct Need {
    is_saturated: bool,
    gain: f64,
    model: usize,
}

impl PartialEq for Need {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Need {}

impl PartialOrd for Need {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Need {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_saturation = self.is_saturated.cmp(&other.is_saturated);
        let by_gain = by_saturation.then_with(|| self.gain.total_cmp(&other.gain));
        by_gain.then_with(|| other.model.cmp(&self.model))
    }
}

/// A way to bring a model to a runner.
struct Candidate {
    cost: f64,
    runner: usize,
    /// The model that has to go first, if one has to.
    victim: Option<usize>,
}

/// How many of the cheapest runners a step looks at.
const MAX_CANDIDATES: usize = 24;
/// Share of the runners that may be busy with weights at once, so that others can follow the demand.
const MAX_BUSY_SHARE: f64 = 0.55;
/// The same where callers wait for a model: the demand for one model may rise fivefold within seconds, and
/// waits until others that are served have all replicas that they could use.
const MAX_BUSY_SHARE_SATURATED: f64 = 0.85;
/// What each second costs for which a load binds its runner.
const LOAD_SECOND_COST: f64 = 0.03;
/// What an unload costs for each runner-second a second that the model's runs there come to: it waits
/// for them, and binds the runner meanwhile.
const UNLOAD_RUN_COST: f64 = 0.5;
/// What a runner's present load costs: among equals the idle one is taken.
const RUNNER_LOAD_COST: f64 = 0.05;

impl<'a> PlanningRound<'a> {
    /// Counts what `basis` holds.
    pub(crate) fn new(input: PlanInput<'a>) -> Self {
        let Inventory { models, index, runners, runner_count } = Inventory::new(input);
        let mut round =
            Self { models, index, runners, runner_count, with_room: Vec::new(), full: Vec::new() };
        round.sort_runners();
        round
    }

    fn sort_runners(&mut self) {
        let smallest_mb = self.models.iter().map(|model| model.weights_mb).fold(f64::MAX, f64::min);
        let all = 0..self.runners.len();
        let (mut with_room, full): (Vec<usize>, Vec<usize>) =
            all.partition(|&index| self.runners[index].free_mb >= smallest_mb);
        with_room.sort_by(|&a, &b| self.runners[a].load.total_cmp(&self.runners[b].load));
        let costs =
            full.into_iter().filter_map(|index| Some((self.cheapest_victim(index, 0.0)?.0, index)));
        let mut costs: Vec<(f64, usize)> = costs.collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.with_room = with_room;
        self.full = costs.into_iter().map(|(_, index)| index).collect();
    }

    /// The model of at least `least_mb` of a runner that is worth least there: what its going loses,
    /// what its runs cost besides, and its index.
    fn cheapest_victim(&self, runner: usize, min_mb: f64) -> Option<(f64, f64, usize)> {
        let held = self.runners[runner].ledger.models();
        let known = held.filter_map(|model| self.index.get(model).copied());
        let large = known.filter(|&index| self.models[index].weights_mb >= min_mb);
        let costs = large.filter_map(|index| {
            let model = &self.models[index];
            let loss = value::loss(model.load, model.idle_ms, model.replicas)?;
            let runs = model.load / model.replicas.held.max(1) as f64;
            Some((loss, UNLOAD_RUN_COST * runs, index))
        });
        costs.min_by(|a, b| (a.0 + a.1).total_cmp(&(b.0 + b.1)))
    }

    /// Whether the model should have more replicas than are there and planned, not counting `but` of
    /// them.
    pub(crate) fn needs_more(&self, model: &Name, excluded: usize) -> bool {
        self.index.get(model).is_some_and(|&index| self.needs_replica(index, excluded))
    }

    fn needs_replica(&self, index: usize, excluded: usize) -> bool {
        let Model { load, replicas, is_saturated, is_adapter_full, .. } = &self.models[index];
        let planned = replicas.planned.saturating_sub(excluded);
        let saturated = if *is_saturated { value::target_replicas_saturated(*replicas) } else { 0 };
        let adapter_full = if *is_adapter_full { replicas.held + 1 } else { 0 };
        let target =
            value::target_replicas(*load).max(saturated).max(adapter_full).min(self.runner_count);
        planned < target
    }

    fn need(&self, index: usize) -> Option<Need> {
        if !self.needs_replica(index, 0) {
            return None;
        }
        let Model { load, idle_ms, replicas, is_saturated, is_adapter_full, .. } =
            &self.models[index];
        let gain = value::gain(*load, *idle_ms, *replicas);
        let gain = if *is_adapter_full { gain.max(value::ADAPTER_ROOM_GAIN) } else { gain };
        (gain > 0.0).then_some(Need { is_saturated: *is_saturated, gain, model: index })
    }

    /// At most `most` steps, with at most `from_store` loads from the weight store among them.
    pub(crate) fn steps(mut self, max_steps: usize, mut store_loads: usize) -> Vec<Step> {
        let needs = (0..self.models.len()).filter_map(|index| self.need(index));
        let mut needs: BinaryHeap<Need> = needs.collect();
        let mut steps =
            self.fill_from_copies(max_steps, needs.peek().map_or(0.0, |need| need.gain));
        let busy = self.runner_count - self.runners.len();
        let max_busy = |share: f64| (self.runner_count as f64 * share).ceil() as usize;
        let (unsaturated, saturated) =
            (max_busy(MAX_BUSY_SHARE), max_busy(MAX_BUSY_SHARE_SATURATED));
        while steps.len() < max_steps
            && let Some(Need { is_saturated, gain, model }) = needs.pop()
        {
            // A model that is nowhere is brought in any case.
            let is_additional = self.models[model].replicas.planned > 0;
            let limit = if is_saturated { saturated } else { unsaturated };
            if is_additional && busy + steps.len() >= limit {
                continue;
            }
            let Some(candidate) = self.cheapest_candidate(model, gain, store_loads > 0) else {
                continue;
            };
            let step = self.apply(model, candidate);
            store_loads -= usize::from(step.from_store);
            steps.push(step);
            needs.extend(self.need(model));
        }
        steps
    }

    /// Steps for free room on runners that have copies of their own: a load from one binds the runner
    /// for a fraction of the time, so it may gain less than the `best_gain` of any other.
    fn fill_from_copies(&mut self, max_steps: usize, best_gain: f64) -> Vec<Step> {
        let mut steps = Vec::new();
        for runner in self.with_room.clone() {
            if steps.len() == max_steps {
                break;
            }
            let known = self.runners[runner].ledger.local_copies();
            let known = known.filter_map(|model| self.index.get(model).copied());
            let gains = known.filter_map(|model| {
                let candidate = self.candidate(model, runner, 0.0)?;
                let Model { load, idle_ms, replicas, load_s, copy_load_s, .. } =
                    &self.models[model];
                let gain = value::gain(*load, *idle_ms, *replicas);
                (gain / copy_load_s > best_gain / load_s && gain > 0.0)
                    .then_some((gain, model, candidate))
            });
            if let Some((_, model, candidate)) = gains.max_by(|a, b| a.0.total_cmp(&b.0)) {
                steps.push(self.apply(model, candidate));
            }
        }
        steps
    }

    /// The cheapest way to bring the model to one more runner.
    fn cheapest_candidate(
        &self,
        model: usize,
        gain: f64,
        may_use_store: bool,
    ) -> Option<Candidate> {
        let copy_holders = self.models[model].copy_holders.iter();
        let with_copy = copy_holders.filter_map(|&runner| self.candidate(model, runner, gain));
        let is_available = |&&runner: &&usize| self.runners[runner].is_available;
        let cheapest_runners = |sorted: &'_ [usize]| -> Vec<Candidate> {
            let available = sorted.iter().filter(is_available).take(MAX_CANDIDATES);
            available.filter_map(|&runner| self.candidate(model, runner, gain)).collect()
        };
        let from_store = if may_use_store {
            cheapest_runners(&self.with_room)
                .into_iter()
                .chain(cheapest_runners(&self.full))
                .collect()
        } else {
            Vec::new()
        };
        with_copy.chain(from_store).min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// The way to bring the model to this runner, if that is allowed and worth it.
    fn candidate(&self, model: usize, runner: usize, gain: f64) -> Option<Candidate> {
        let Runner { ledger, free_mb, load, is_available, .. } = &self.runners[runner];
        let Model { name, weights_mb, load_s, copy_load_s, .. } = &self.models[model];
        if !is_available || ledger.will_hold(name) {
            return None;
        }
        let seconds = if ledger.has_local_copy(name) { copy_load_s } else { load_s };
        let cost = LOAD_SECOND_COST * seconds + RUNNER_LOAD_COST * load;
        if free_mb >= weights_mb {
            return Some(Candidate { cost, runner, victim: None });
        }
        let (loss, runs, victim) = self.cheapest_victim(runner, weights_mb - free_mb)?;
        (loss < gain && gain > value::FILL_GAIN).then_some(Candidate {
            cost: cost + loss + runs,
            runner,
            victim: Some(victim),
        })
    }

    /// Notes a step, so that the next ones count with it.
    fn apply(&mut self, model: usize, candidate: Candidate) -> Step {
        self.models[model].replicas.planned += 1;
        let Runner { name: runner, ledger, is_available, .. } = &mut self.runners[candidate.runner];
        *is_available = false;
        let name = self.models[model].name;
        let from_store = candidate.victim.is_none() && !ledger.has_local_copy(name);
        let (operation, subject) = match candidate.victim {
            None => (Operation::Load, name),
            Some(victim) => {
                let replicas = &mut self.models[victim].replicas;
                replicas.held = replicas.held.saturating_sub(1);
                replicas.planned = replicas.planned.saturating_sub(1);
                (Operation::Unload, self.models[victim].name)
            }
        };
        Step {
            runner: Incarnation::clone(runner),
            operation,
            subject: Subject { model: subject.clone(), adapter: None },
            model: name.clone(),
            from_store,
        }
    }
}
