//! Plans which weights to load or unload next, and on which runners.

use crate::{
    inventory::{Inventory, Model, PlanInput, Runner},
    value,
};
use std::collections::{BinaryHeap, HashMap};
use vanetally_ports::{Operation, Subject};
use vanetally_types::{Incarnation, Name};

/// An order that brings the placement closer to the demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub runner: Incarnation,
    pub operation: Operation,
    pub subject: Subject,
    /// The model that is loaded, now or after the unload.
    pub model: Name,
    /// Whether the weights are loaded from the weight store rather than from a local copy.
    pub from_store: bool,
}

/// One planning round. The inventory is taken once; each step examines only the runners with a
/// local copy of its model and a few of the cheapest others.
pub(crate) struct PlanningRound<'a> {
    models: Vec<Model<'a>>,
    index: HashMap<&'a Name, usize>,
    runners: Vec<Runner<'a>>,
    runner_count: usize,
    /// Available runners with free memory for at least the smallest model, least loaded first.
    with_room: Vec<usize>,
    /// Other available runners, the one with the lowest loss of an eviction first.
    full: Vec<usize>,
}

/// A model that needs another replica, ordered by saturation and then by gain.
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

/// A possible placement of a model on a runner.
struct Candidate {
    cost: f64,
    runner: usize,
    /// The model to evict first, if any.
    victim: Option<usize>,
}

/// Maximum number of the cheapest runners that a step examines.
const MAX_CANDIDATES: usize = 24;
/// Maximum share of runners that load or unload weights at once, so that others stay available when
/// the demand changes.
const MAX_BUSY_SHARE: f64 = 0.55;
/// Maximum share for saturated models. The demand for one model may rise fivefold within seconds;
/// with the usual share it would wait until other models have all the replicas that they can use.
const MAX_BUSY_SHARE_SATURATED: f64 = 0.85;
/// Cost per second that a load occupies its runner.
const LOAD_SECOND_COST: f64 = 0.03;
/// Cost of an unload per runner-second per second of the model's load there: the unload waits for
/// running requests and occupies the runner meanwhile.
const UNLOAD_RUN_COST: f64 = 0.5;
/// Cost per unit of a runner's current load: prefers the least loaded runner.
const RUNNER_LOAD_COST: f64 = 0.05;

impl<'a> PlanningRound<'a> {
    /// Takes the inventory of `input`.
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

    /// The cheapest model of at least `min_mb` to evict from a runner: the loss of its replica, the
    /// cost of its running requests, and its index.
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

    /// Whether the model should have more replicas than are planned, not counting `excluded` of
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

    /// Returns at most `max_steps` steps, of which at most `store_loads` load from the weight
    /// store.
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
            // The first replica of a model is not limited.
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

    /// Fills free memory on runners from their local copies. Such a load occupies the runner for a
    /// fraction of the time, so it may gain less than `best_gain`, the highest gain of any model.
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

    /// The cheapest placement of the model on another runner.
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

    /// The placement of the model on this runner, if it is possible and gains more than it loses.
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

    /// Updates the inventory with a step, so that later steps account for it.
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
