//! The planner: keeps the demand, the last placement and the rate limit of loads.

use crate::{Demand, Input, Options, Placement, PlacementBuilder};
use vanetally_types::{Name, Tick};

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Maximum number of loads started in 10 seconds.
    pub loads_per_10s: u32,
    /// Maximum number of concurrent loads.
    pub concurrent_loads: u32,
}

/// Plans placements by demand, with no more loads than the weight store allows.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Demand by target.
    pub demand: Demand,
    /// Tokens of the rate limit: the number of loads that may be planned now.
    load_tokens: f64,
    updated_at: Tick,
    placement: Placement,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            demand: Demand::default(),
            load_tokens: f64::from(MAX_BURST),
            updated_at: Tick::default(),
            placement: Placement::new(),
        }
    }
}

/// Maximum number of loads at once after an idle period, unless the store allows more loads per
/// second.
const MAX_BURST: u32 = 4;

impl Planner {
    /// Returns the entries that `runner` should hold according to the last plan.
    pub fn planned(&self, runner: &Name) -> Option<&std::collections::BTreeSet<Name>> {
        self.placement.get(runner)
    }

    /// The last plan.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Makes a plan. `running_loads` loads are in progress and count against the concurrent ones.
    pub fn plan(
        &mut self,
        now: Tick,
        input: &Input,
        limits: StoreLimits,
        running_loads: usize,
        move_price: f64,
    ) -> &Placement {
        let rate = f64::from(limits.loads_per_10s) / 10_000.0;
        let max_tokens =
            f64::from(limits.concurrent_loads.min(MAX_BURST.max(limits.loads_per_10s / 10)));
        self.load_tokens =
            (self.load_tokens + now.since(self.updated_at) as f64 * rate).min(max_tokens);
        self.updated_at = now;
        let free_slots = (limits.concurrent_loads as usize).saturating_sub(running_loads);
        let options = Options {
            move_price,
            horizon_s: HORIZON_S,
            target_utilization: TARGET_UTILIZATION,
            max_loads: (self.load_tokens as usize).min(free_slots),
        };
        let entries_before: usize = input.runners.iter().map(|r| r.entries.len()).sum();
        let placement = PlacementBuilder::from_input(input, options).build();
        let entries_after: usize = placement.values().map(|held| held.len()).sum();
        self.load_tokens =
            (self.load_tokens - entries_after.saturating_sub(entries_before) as f64).max(0.0);
        self.placement = placement;
        &self.placement
    }
}

/// Time over which a move must pay for itself.
const HORIZON_S: f64 = 60.0;

/// Utilization of a runner above which its entries get more replicas.
const TARGET_UTILIZATION: f64 = 0.7;
