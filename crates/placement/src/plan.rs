//! Which weights should come where next.

use crate::{
    census::{Basis, Census, Model, Runner},
    worth,
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
pub(crate) struct Round<'a> {
    models: Vec<Model<'a>>,
    index: HashMap<&'a Name, usize>,
    runners: Vec<Runner<'a>>,
    runner_count: usize,
    /// Open runners with free room, the least loaded first.
    roomy: Vec<usize>,
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
        let waits = self.is_saturated.cmp(&other.is_saturated);
        let gains = waits.then_with(|| self.gain.total_cmp(&other.gain));
        gains.then_with(|| other.model.cmp(&self.model))
    }
}

/// A way to bring a model to a runner.
struct Way {
    cost: f64,
    runner: usize,
    /// The model that has to go first, if one has to.
    victim: Option<usize>,
}

/// How many of the cheapest runners a step looks at.
const MOST_LOOKED_AT: usize = 24;
/// Share of the runners that may be busy with weights at once, so that others can follow the demand.
const MOST_BUSY: f64 = 0.55;
/// The same where callers wait for a model: the demand for one model may rise fivefold within seconds, and
/// waits until others that are served have all replicas that they could use.
const MOST_BUSY_CROWDED: f64 = 0.85;
/// What each second costs for which a load binds its runner.
const SECOND_COST: f64 = 0.03;
/// What an unload costs for each runner-second a second that the model's runs there come to: it waits
/// for them, and binds the runner meanwhile.
const RUNS_COST: f64 = 0.5;
/// What a runner's present load costs: among equals the idle one is taken.
const LOAD_COST: f64 = 0.05;

impl<'a> Round<'a> {
    /// Counts what `basis` holds.
    pub(crate) fn new(basis: Basis<'a>) -> Self {
        let Census { models, index, runners, runner_count } = Census::new(basis);
        let mut round =
            Self { models, index, runners, runner_count, roomy: Vec::new(), full: Vec::new() };
        round.sort_open();
        round
    }

    fn sort_open(&mut self) {
        let least = self.models.iter().map(|model| model.weights_mb).fold(f64::MAX, f64::min);
        let all = 0..self.runners.len();
        let (mut roomy, full): (Vec<usize>, Vec<usize>) =
            all.partition(|&index| self.runners[index].free_mb >= least);
        roomy.sort_by(|&a, &b| self.runners[a].load.total_cmp(&self.runners[b].load));
        let costs =
            full.into_iter().filter_map(|index| Some((self.cheapest(index, 0.0)?.0, index)));
        let mut costs: Vec<(f64, usize)> = costs.collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.roomy = roomy;
        self.full = costs.into_iter().map(|(_, index)| index).collect();
    }

    /// The model of at least `least_mb` of a runner that is worth least there: what its going loses,
    /// what its runs cost besides, and its index.
    fn cheapest(&self, runner: usize, least_mb: f64) -> Option<(f64, f64, usize)> {
        let held = self.runners[runner].ledger.models();
        let known = held.filter_map(|model| self.index.get(model).copied());
        let large = known.filter(|&index| self.models[index].weights_mb >= least_mb);
        let costs = large.filter_map(|index| {
            let model = &self.models[index];
            let loss = worth::loss(model.load, model.idle_ms, model.replicas)?;
            let runs = model.load / model.replicas.held.max(1) as f64;
            Some((loss, RUNS_COST * runs, index))
        });
        costs.min_by(|a, b| (a.0 + a.1).total_cmp(&(b.0 + b.1)))
    }

    /// Whether the model should have more replicas than are there and planned, not counting `but` of
    /// them.
    pub(crate) fn is_needy(&self, model: &Name, but: usize) -> bool {
        self.index.get(model).is_some_and(|&index| self.lacks(index, but))
    }

    fn lacks(&self, index: usize, but: usize) -> bool {
        let Model { load, replicas, is_saturated, is_cramped, .. } = &self.models[index];
        let planned = replicas.planned.saturating_sub(but);
        let crowded = if *is_saturated { worth::wanted_crowded(*replicas) } else { 0 };
        let cramped = if *is_cramped { replicas.held + 1 } else { 0 };
        let wanted = worth::wanted(*load).max(crowded).max(cramped).min(self.runner_count);
        planned < wanted
    }

    fn need(&self, index: usize) -> Option<Need> {
        if !self.lacks(index, 0) {
            return None;
        }
        let Model { load, idle_ms, replicas, is_saturated, is_cramped, .. } = &self.models[index];
        let gain = worth::gain(*load, *idle_ms, *replicas);
        let gain = if *is_cramped { gain.max(worth::CRAMPED_GAIN) } else { gain };
        (gain > 0.0).then_some(Need { is_saturated: *is_saturated, gain, model: index })
    }

    /// At most `most` steps, with at most `from_store` loads from the weight store among them.
    pub(crate) fn steps(mut self, most: usize, mut from_store: usize) -> Vec<Step> {
        let needs = (0..self.models.len()).filter_map(|index| self.need(index));
        let mut needs: BinaryHeap<Need> = needs.collect();
        let mut steps = self.fill_from_copies(most, needs.peek().map_or(0.0, |need| need.gain));
        let busy = self.runner_count - self.runners.len();
        let most_busy = |share: f64| (self.runner_count as f64 * share).ceil() as usize;
        let (usual, crowded) = (most_busy(MOST_BUSY), most_busy(MOST_BUSY_CROWDED));
        while steps.len() < most
            && let Some(Need { is_saturated, gain, model }) = needs.pop()
        {
            // A model that is nowhere is brought in any case.
            let is_extra = self.models[model].replicas.planned > 0;
            let limit = if is_saturated { crowded } else { usual };
            if is_extra && busy + steps.len() >= limit {
                continue;
            }
            let Some(way) = self.cheapest_way(model, gain, from_store > 0) else {
                continue;
            };
            let step = self.take(model, way);
            from_store -= usize::from(step.from_store);
            steps.push(step);
            needs.extend(self.need(model));
        }
        steps
    }

    /// Steps for free room on runners that have copies of their own: a load from one binds the runner
    /// for a fraction of the time, so it may gain less than the `best_gain` of any other.
    fn fill_from_copies(&mut self, most: usize, best_gain: f64) -> Vec<Step> {
        let mut steps = Vec::new();
        for runner in self.roomy.clone() {
            if steps.len() == most {
                break;
            }
            let known = self.runners[runner].ledger.copies();
            let known = known.filter_map(|model| self.index.get(model).copied());
            let gains = known.filter_map(|model| {
                let way = self.way(model, runner, 0.0)?;
                let Model { load, idle_ms, replicas, load_s, near_s, .. } = &self.models[model];
                let gain = worth::gain(*load, *idle_ms, *replicas);
                (gain / near_s > best_gain / load_s && gain > 0.0).then_some((gain, model, way))
            });
            if let Some((_, model, way)) = gains.max_by(|a, b| a.0.total_cmp(&b.0)) {
                steps.push(self.take(model, way));
            }
        }
        steps
    }

    /// The cheapest way to bring the model to one more runner.
    fn cheapest_way(&self, model: usize, gain: f64, may_use_store: bool) -> Option<Way> {
        let at_hand = self.models[model].at_hand.iter();
        let near = at_hand.filter_map(|&runner| self.way(model, runner, gain));
        let is_open = |&&runner: &&usize| self.runners[runner].is_open;
        let others = |sorted: &'_ [usize]| -> Vec<Way> {
            let open = sorted.iter().filter(is_open).take(MOST_LOOKED_AT);
            open.filter_map(|&runner| self.way(model, runner, gain)).collect()
        };
        let far = if may_use_store {
            others(&self.roomy).into_iter().chain(others(&self.full)).collect()
        } else {
            Vec::new()
        };
        near.chain(far).min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// The way to bring the model to this runner, if that is allowed and worth it.
    fn way(&self, model: usize, runner: usize, gain: f64) -> Option<Way> {
        let Runner { ledger, free_mb, load, is_open, .. } = &self.runners[runner];
        let Model { name, weights_mb, load_s, near_s, .. } = &self.models[model];
        if !is_open || ledger.will_hold(name) {
            return None;
        }
        let seconds = if ledger.has_at_hand(name) { near_s } else { load_s };
        let cost = SECOND_COST * seconds + LOAD_COST * load;
        if free_mb >= weights_mb {
            return Some(Way { cost, runner, victim: None });
        }
        let (loss, runs, victim) = self.cheapest(runner, weights_mb - free_mb)?;
        (loss < gain && gain > worth::FILL_GAIN).then_some(Way {
            cost: cost + loss + runs,
            runner,
            victim: Some(victim),
        })
    }

    /// Notes a step, so that the next ones count with it.
    fn take(&mut self, model: usize, way: Way) -> Step {
        self.models[model].replicas.planned += 1;
        let Runner { name: runner, ledger, is_open, .. } = &mut self.runners[way.runner];
        *is_open = false;
        let name = self.models[model].name;
        let from_store = way.victim.is_none() && !ledger.has_at_hand(name);
        let (operation, subject) = match way.victim {
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
