//! The planner: demand over time, the last placement, and the limits of moves.

use crate::{Demand, Input, Options, Placement, PlacementBuilder};
use vanetally_types::{Name, Tick};

/// Limits of the weight store and weights of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Loads started in 10 seconds.
    pub loads_per_10s: u32,
    /// Loads at once.
    pub concurrent_loads: u32,
}

/// Keeps demand and makes placements no faster than the weight store allows.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Demand by target.
    pub demand: Demand,
    tokens: f64,
    at: Tick,
    placement: Placement,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            demand: Demand::default(),
            tokens: f64::from(BURST),
            at: Tick::default(),
            placement: Placement::new(),
        }
    }
}

/// Loads that may be ordered at once after a quiet time.
const BURST: u32 = 4;

impl Planner {
    /// What the last plan says that `runner` should hold.
    pub fn planned(&self, runner: &Name) -> Option<&std::collections::BTreeSet<Name>> {
        self.placement.get(runner)
    }

    /// The last plan.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Makes a plan. `loading` loads are under way now; they count against the store's slots.
    pub fn plan(
        &mut self,
        now: Tick,
        input: &Input,
        limits: StoreLimits,
        loading: usize,
        move_price: f64,
    ) -> &Placement {
        let rate = f64::from(limits.loads_per_10s) / 10_000.0;
        let most = f64::from(limits.concurrent_loads.min(BURST.max(limits.loads_per_10s / 10)));
        self.tokens = (self.tokens + now.since(self.at) as f64 * rate).min(most);
        self.at = now;
        let slots = (limits.concurrent_loads as usize).saturating_sub(loading);
        let options = Options {
            move_price,
            horizon_s: HORIZON_SECONDS,
            target_utilization: TARGET,
            max_loads: (self.tokens as usize).min(slots),
        };
        let before: usize = input.runners.iter().map(|r| r.entries.len()).sum();
        let placement = PlacementBuilder::from_input(input, options).build();
        let after: usize = placement.values().map(|held| held.len()).sum();
        self.tokens = (self.tokens - after.saturating_sub(before) as f64).max(0.0);
        self.placement = placement;
        &self.placement
    }
}

/// How long a move is expected to pay.
const HORIZON_SECONDS: f64 = 60.0;

/// Busy share of a runner above which its entries get further replicas.
const TARGET: f64 = 0.7;
