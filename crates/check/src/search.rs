//! Breadth-first search over the states of a model, by `pathfinding`.

use pathfinding::prelude::bfs;
use std::{cell::Cell, fmt, hash::Hash};

/// States that one step leads to. Steps are named only when a trace is built.
pub struct Steps<S> {
    with_names: bool,
    successors: Vec<(String, S)>,
}

impl<S: State> Steps<S> {
    /// Adds a state and the step that leads to it.
    pub fn add(&mut self, name: impl FnOnce() -> String, mut state: S) {
        state.normalize();
        let name = if self.with_names { name() } else { String::new() };
        self.successors.push((name, state));
    }
}

/// State of a model.
pub trait State: Clone + Eq + Hash {
    /// Adds the states that one step leads to.
    fn successors(&self, steps: &mut Steps<Self>);

    /// Drops what can no longer make a difference, so that equivalent states are equal.
    fn normalize(&mut self) {}

    /// Returns a description of the violation if this state violates the invariant.
    fn violation(&self) -> Option<String>;
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of states visited.
    pub states: usize,
    /// Whether all states within the bounds were visited, or a violation was found.
    pub complete: bool,
    /// Shortest path to a violation, if there is one: its steps, then the violation.
    pub trace: Option<Vec<String>>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (states, complete) = (self.states, self.complete);
        write!(f, "states={states} complete={complete} broken={}", self.trace.is_some())?;
        for (index, step) in self.trace.iter().flatten().enumerate() {
            write!(f, "\n  {index}. {step}")?;
        }
        Ok(())
    }
}

/// Maximum number of states visited in one search, to bound its memory.
const MAX_STATES: usize = 700_000;

/// Visits all states reachable from `start`, until one violates the invariant or there are more
/// than `MAX_STATES`.
pub fn search<S: State>(start: S) -> Outcome {
    let visited = Cell::new(0);
    let next_states = |state: &S| {
        visited.set(visited.get() + 1);
        match visited.get() > MAX_STATES {
            true => Vec::new(),
            false => expand(state, false).into_iter().map(|(_, next)| next).collect(),
        }
    };
    let path = bfs(&start, next_states, |state| state.violation().is_some());
    let trace = path.map(|path| name_steps(&path));
    let complete = trace.is_some() || visited.get() <= MAX_STATES;
    Outcome { states: visited.get().min(MAX_STATES), complete, trace }
}

/// Takes one step per element of `choices`, each of which selects a successor. Walks can go far
/// beyond the bounds of a full search. Returns the steps and the violation, if there is one.
pub fn walk<S: State>(start: S, choices: &[usize]) -> Option<Vec<String>> {
    let mut states = vec![start];
    for choice in choices {
        let next = expand(states.last()?, false);
        let count = next.len().max(1);
        let Some((_, state)) = next.into_iter().nth(choice % count) else { break };
        let is_violated = state.violation().is_some();
        states.push(state);
        if is_violated {
            return Some(name_steps(&states));
        }
    }
    None
}

fn expand<S: State>(state: &S, with_names: bool) -> Vec<(String, S)> {
    let mut steps = Steps { with_names, successors: Vec::new() };
    state.successors(&mut steps);
    steps.successors
}

/// Names of the steps between consecutive states, then the violation in the last state.
fn name_steps<S: State>(states: &[S]) -> Vec<String> {
    let mut names = Vec::new();
    for pair in states.windows(2) {
        let step = expand(&pair[0], true).into_iter().find(|(_, next)| *next == pair[1]);
        names.extend(step.map(|(name, _)| name));
    }
    names.extend(states.last().and_then(|state| state.violation()));
    names
}
