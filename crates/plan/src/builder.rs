//! Computes a placement from load, memory and resident entries.
//!
//! First every entry without a replica gets one. Then, while a runner is overloaded and a move
//! pays, its most loaded entry gets another replica on the least loaded runner that may hold it,
//! evicting surplus replicas of the lowest value. Resident entries stay unless their memory is
//! needed.

use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Bytes, Name};

/// An entry to place.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: Name,
    /// The entry that must be resident on the same runner.
    pub base: Option<Name>,
    /// Memory size.
    pub size: Bytes,
    /// Number of slots that its requests keep busy.
    pub load: f64,
    /// Requests per second.
    pub rate: f64,
    /// Indices of the runners that may hold it.
    pub allowed: Vec<usize>,
}

/// A runner's state for planning.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Memory for entries.
    pub capacity: Bytes,
    /// Number of concurrent requests at full speed.
    pub slots: f64,
    /// Whether it can take requests and orders.
    pub usable: bool,
    /// Entries that it holds or was ordered to hold.
    pub entries: BTreeSet<Name>,
    /// Memory that entries other than `entries` may use.
    pub reserved: Bytes,
}

/// Input of a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Input {
    /// Declared entries.
    pub entries: Vec<Entry>,
    /// Declared runners.
    pub runners: Vec<Runner>,
}

/// Parameters of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Expected number of additional requests served within their deadline that justifies a move.
    pub move_price: f64,
    /// Time over which a move must pay for itself.
    pub horizon_s: f64,
    /// Share of busy slots above which a runner is overloaded.
    pub target_utilization: f64,
    /// Maximum number of loads to add in this plan.
    pub max_loads: usize,
}

/// Entries that each runner should hold.
pub type Placement = BTreeMap<Name, BTreeSet<Name>>;

/// Builds a placement.
pub struct PlacementBuilder<'a> {
    input: &'a Input,
    options: Options,
    by_id: BTreeMap<&'a Name, usize>,
    /// Indices of held entries by runner.
    held: Vec<BTreeSet<usize>>,
    /// Indices of the usable runners that hold each entry.
    replicas: Vec<BTreeSet<usize>>,
    /// Free memory by runner; negative if overcommitted.
    free_bytes: Vec<i128>,
    /// Busy slots by runner.
    load: Vec<f64>,
    /// Number of loads added so far.
    added_loads: usize,
}

impl<'a> PlacementBuilder<'a> {
    /// Starts from the entries that the runners hold.
    pub fn from_input(input: &'a Input, options: Options) -> Self {
        let by_id: BTreeMap<&Name, usize> =
            input.entries.iter().enumerate().map(|(i, e)| (&e.id, i)).collect();
        let mut builder = Self {
            input,
            options,
            by_id,
            held: vec![BTreeSet::new(); input.runners.len()],
            replicas: vec![BTreeSet::new(); input.entries.len()],
            free_bytes: Vec::new(),
            load: vec![0.0; input.runners.len()],
            added_loads: 0,
        };
        builder.adopt_residents();
        builder
    }

    fn adopt_residents(&mut self) {
        for (runner_index, runner) in self.input.runners.iter().enumerate() {
            self.free_bytes.push(i128::from(runner.capacity) - i128::from(runner.reserved));
            for name in &runner.entries {
                let Some(&entry) = self.by_id.get(name) else {
                    continue;
                };
                if self.input.entries[entry].allowed.contains(&runner_index) {
                    self.insert(entry, runner_index);
                }
            }
        }
        for runner_index in 0..self.held.len() {
            self.drop_orphaned_adapters(runner_index);
        }
        self.distribute_load();
    }

    /// Removes adapters whose base is not on the same runner.
    fn drop_orphaned_adapters(&mut self, runner_index: usize) {
        let orphans: Vec<usize> = self.held[runner_index]
            .iter()
            .copied()
            .filter(|&e| self.base_of(e).is_some_and(|b| !self.held[runner_index].contains(&b)))
            .collect();
        for entry in orphans {
            self.remove(entry, runner_index);
        }
    }

    fn base_of(&self, entry: usize) -> Option<usize> {
        let base = self.input.entries[entry].base.as_ref()?;
        self.by_id.get(base).copied()
    }

    fn insert(&mut self, entry: usize, runner_index: usize) {
        if !self.held[runner_index].insert(entry) {
            return;
        }
        self.free_bytes[runner_index] -= i128::from(self.input.entries[entry].size);
        if self.input.runners[runner_index].usable {
            self.replicas[entry].insert(runner_index);
        }
    }

    fn remove(&mut self, entry: usize, runner_index: usize) {
        if !self.held[runner_index].remove(&entry) {
            return;
        }
        self.free_bytes[runner_index] += i128::from(self.input.entries[entry].size);
        self.replicas[entry].remove(&runner_index);
    }

    /// Distributes each entry's load among its replicas in proportion to their runners' slots.
    fn distribute_load(&mut self) {
        self.load.iter_mut().for_each(|l| *l = 0.0);
        for (entry, replicas) in self.replicas.iter().enumerate() {
            let slots: f64 = replicas.iter().map(|&r| self.input.runners[r].slots).sum();
            if slots <= 0.0 {
                continue;
            }
            let load = self.input.entries[entry].load;
            for &runner_index in replicas {
                self.load[runner_index] += load * self.input.runners[runner_index].slots / slots;
            }
        }
    }

    fn utilization(&self, runner_index: usize) -> f64 {
        self.load[runner_index] / self.input.runners[runner_index].slots.max(1.0)
    }

    /// Builds the placement.
    pub fn build(mut self) -> Placement {
        self.place_missing();
        self.relieve_overloaded();
        self.add_second_replicas();
        self.into_placement()
    }

    /// Places each entry without a replica, bases before adapters, then by descending load.
    fn place_missing(&mut self) {
        let mut missing: Vec<usize> =
            (0..self.replicas.len()).filter(|&e| self.replicas[e].is_empty()).collect();
        missing.sort_by(|&a, &b| {
            let (x, y) = (&self.input.entries[a], &self.input.entries[b]);
            let kind = x.base.is_some().cmp(&y.base.is_some());
            kind.then(y.load.total_cmp(&x.load)).then(y.size.cmp(&x.size)).then(x.id.cmp(&y.id))
        });
        for entry in missing {
            if let Some(runner_index) = self.best_runner(entry, f64::INFINITY) {
                self.place_entry(entry, runner_index);
            }
        }
        self.distribute_load();
    }

    /// Places `entry` and its base on a runner, evicting entries if needed.
    fn place_entry(&mut self, entry: usize, runner_index: usize) {
        let base = self.base_of(entry).filter(|b| !self.held[runner_index].contains(b));
        let required = self.required_bytes(entry, runner_index);
        for victim in self.select_victims(runner_index, required, entry).unwrap_or_default() {
            self.remove(victim, runner_index);
        }
        for entry in base.into_iter().chain([entry]) {
            self.insert(entry, runner_index);
            self.added_loads += 1;
        }
    }

    /// Memory that `entry` needs on a runner, including its base unless the runner holds it.
    fn required_bytes(&self, entry: usize, runner_index: usize) -> i128 {
        let own = i128::from(self.input.entries[entry].size);
        let base = self.base_of(entry).filter(|b| !self.held[runner_index].contains(b));
        own + base.map_or(0, |b| i128::from(self.input.entries[b].size))
    }

    /// Selects surplus replicas to remove from a runner so that `required` bytes are free. Returns
    /// `None` if that is impossible.
    fn select_victims(
        &self,
        runner_index: usize,
        required: i128,
        kept: usize,
    ) -> Option<Vec<usize>> {
        let mut free = self.free_bytes[runner_index];
        let mut evicted = BTreeSet::new();
        let mut order: Vec<usize> = self.held[runner_index].iter().copied().collect();
        order.sort_by(|&a, &b| self.value(a).total_cmp(&self.value(b)));
        for entry in order {
            if free >= required {
                break;
            }
            if entry == kept || self.base_of(kept) == Some(entry) || evicted.contains(&entry) {
                continue;
            }
            let group = self.with_adapters(entry, runner_index);
            if group.iter().any(|&e| self.replicas[e].len() < 2 || e == kept) {
                continue;
            }
            for e in group {
                if evicted.insert(e) {
                    free += i128::from(self.input.entries[e].size);
                }
            }
        }
        (free >= required).then(|| evicted.into_iter().collect())
    }

    /// An entry and the adapters on the runner that need it.
    fn with_adapters(&self, entry: usize, runner_index: usize) -> Vec<usize> {
        let is_adapter_of = |e: &usize| self.base_of(*e) == Some(entry);
        let adapters = self.held[runner_index].iter().copied().filter(is_adapter_of);
        std::iter::once(entry).chain(adapters).collect()
    }

    /// Load of one replica of the entry.
    fn value(&self, entry: usize) -> f64 {
        self.input.entries[entry].load / self.replicas[entry].len().max(1) as f64
    }

    /// The best runner with a utilization below `limit` for another replica of `entry`.
    fn best_runner(&self, entry: usize, limit: f64) -> Option<usize> {
        let e = &self.input.entries[entry];
        let domains: BTreeSet<&Name> =
            self.replicas[entry].iter().map(|&r| &self.input.runners[r].domain).collect();
        let mut best: Option<((bool, bool, i64, i128), usize)> = None;
        for &runner_index in &e.allowed {
            let runner = &self.input.runners[runner_index];
            if !runner.usable
                || self.held[runner_index].contains(&entry)
                || self.utilization(runner_index) >= limit
            {
                continue;
            }
            let required = self.required_bytes(entry, runner_index);
            let Some(victims) = self.select_victims(runner_index, required, entry) else {
                continue;
            };
            let needs_base = required > i128::from(e.size);
            let evicts = !victims.is_empty();
            let shares_domain = domains.contains(&runner.domain);
            let utilization =
                (self.utilization(runner_index) * 20.0) as i64 + i64::from(shares_domain) * 4;
            let key = (needs_base, evicts, utilization, -self.free_bytes[runner_index]);
            if best.as_ref().is_none_or(|(k, _)| key < *k) {
                best = Some((key, runner_index));
            }
        }
        best.map(|(_, runner_index)| runner_index)
    }

    /// Adds replicas of entries on overloaded runners where that pays.
    fn relieve_overloaded(&mut self) {
        let mut skipped: BTreeSet<usize> = BTreeSet::new();
        while self.added_loads < self.options.max_loads {
            let Some(overloaded) = self.most_overloaded(&skipped) else {
                break;
            };
            if !self.relieve_runner(overloaded) {
                skipped.insert(overloaded);
            }
        }
    }

    fn most_overloaded(&self, skipped: &BTreeSet<usize>) -> Option<usize> {
        let is_overloaded = |&runner_index: &usize| {
            self.input.runners[runner_index].usable
                && !skipped.contains(&runner_index)
                && self.utilization(runner_index) > self.options.target_utilization
        };
        let overloaded = (0..self.load.len()).filter(is_overloaded);
        overloaded.max_by(|&a, &b| self.utilization(a).total_cmp(&self.utilization(b)))
    }

    /// Adds a replica of one of the entries on `overloaded`. Returns false if none pays.
    fn relieve_runner(&mut self, overloaded: usize) -> bool {
        let mut order: Vec<usize> =
            self.held[overloaded].iter().copied().filter(|&e| self.value(e) > 0.0).collect();
        order.sort_by(|&a, &b| self.value(b).total_cmp(&self.value(a)));
        for entry in order.into_iter().take(MAX_CANDIDATES) {
            let limit = self.utilization(overloaded) * 0.9;
            let Some(runner_index) = self.best_runner(entry, limit) else {
                continue;
            };
            if self.gain(entry, overloaded, runner_index) > self.cost(entry, runner_index) {
                self.place_entry(entry, runner_index);
                self.distribute_load();
                return true;
            }
        }
        false
    }

    /// Adds a second replica in another failure domain for entries with only one, by descending
    /// request rate, where memory is free and it pays.
    fn add_second_replicas(&mut self) {
        let mut single_replicas: Vec<usize> =
            (0..self.replicas.len()).filter(|&e| self.replicas[e].len() == 1).collect();
        let rate = |e: usize| self.input.entries[e].rate;
        single_replicas.sort_by(|&a, &b| rate(b).total_cmp(&rate(a)).then(a.cmp(&b)));
        for entry in single_replicas {
            let gain = expected_savings(self.input.entries[entry].rate, self.options.horizon_s);
            if self.added_loads >= self.options.max_loads || gain <= self.options.move_price {
                return;
            }
            if let Some(runner_index) = self.runner_in_other_domain(entry) {
                self.place_entry(entry, runner_index);
            }
        }
    }

    /// The least utilized runner in another failure domain with free memory for `entry`.
    fn runner_in_other_domain(&self, entry: usize) -> Option<usize> {
        let e = &self.input.entries[entry];
        let shares_domain = |runner_index: usize| {
            let domain = |r: usize| &self.input.runners[r].domain;
            self.replicas[entry].iter().any(|&r| domain(r) == domain(runner_index))
        };
        let fits = |runner_index: usize| {
            let runner = &self.input.runners[runner_index];
            runner.usable
                && !shares_domain(runner_index)
                && self.required_bytes(entry, runner_index) <= self.free_bytes[runner_index]
        };
        let candidates = e.allowed.iter().copied().filter(|&runner_index| fits(runner_index));
        candidates
            .min_by(|&a, &b| self.utilization(a).total_cmp(&self.utilization(b)).then(a.cmp(&b)))
    }

    /// Number of requests over the horizon that a replica of `entry` on the runner takes off
    /// `overloaded`.
    fn gain(&self, entry: usize, overloaded: usize, runner_index: usize) -> f64 {
        let e = &self.input.entries[entry];
        if e.load <= 0.0 {
            return 0.0;
        }
        let shift = self.value(entry) / (self.replicas[entry].len() + 1) as f64;
        let over = (self.utilization(overloaded) - self.options.target_utilization)
            * self.input.runners[overloaded].slots;
        // Half of the difference balances both runners.
        let room = (self.utilization(overloaded) - self.utilization(runner_index)) / 2.0
            * self.input.runners[runner_index].slots;
        let slots = shift.min(over).min(room.max(0.0));
        slots * (e.rate / e.load) * self.options.horizon_s
    }

    fn cost(&self, entry: usize, runner_index: usize) -> f64 {
        let required = self.required_bytes(entry, runner_index);
        let loads = if required > i128::from(self.input.entries[entry].size) { 2 } else { 1 };
        let victims = self.select_victims(runner_index, required, entry).map_or(0, |v| v.len());
        self.options.move_price * (loads + victims) as f64
    }

    fn into_placement(self) -> Placement {
        let entries = &self.input.entries;
        let names = |held: &BTreeSet<usize>| held.iter().map(|&e| entries[e].id.clone()).collect();
        let pairs = self.input.runners.iter().zip(&self.held);
        pairs.map(|(runner, held)| (runner.name.clone(), names(held))).collect()
    }
}

/// Expected number of requests that a second replica saves: those within the horizon, times the
/// probability of losing the only replica.
fn expected_savings(rate: f64, horizon_s: f64) -> f64 {
    rate * horizon_s * LOSS_PROBABILITY
}

/// Assumed probability of losing the only replica within the horizon. It is far above the real rate
/// because a lost entry is unavailable until the weight store has reloaded all lost entries.
const LOSS_PROBABILITY: f64 = 0.25;

/// Maximum number of a runner's entries that are tried before the runner is skipped.
const MAX_CANDIDATES: usize = 4;
