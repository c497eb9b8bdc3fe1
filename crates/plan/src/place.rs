//! Placement: from load, memory and what is resident to what should be.
//!
//! First every entry gets a place. Then, while a runner is overloaded and a move pays, its most
//! loaded entry gets another replica on the least loaded runner that may hold it, evicting
//! surplus replicas of the least value. What is resident stays unless its memory is needed.

use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Bytes, Name};

/// An entry to place.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: Name,
    /// The entry that must be resident beside it.
    pub base: Option<Name>,
    /// Memory that it takes.
    pub size: Bytes,
    /// Slots that its requests keep busy.
    pub load: f64,
    /// Requests a second.
    pub rate: f64,
    /// Indices of runners that may hold it.
    pub allowed: Vec<usize>,
}

/// A runner as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Memory for entries.
    pub capacity: Bytes,
    /// Requests at full speed at once.
    pub slots: f64,
    /// Whether it can take requests and orders.
    pub usable: bool,
    /// What it holds or is told to hold.
    pub entries: BTreeSet<Name>,
    /// Memory that may be taken by entries outside of `entries`.
    pub reserved: Bytes,
}

/// All that a plan is made from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Input {
    /// Declared entries.
    pub entries: Vec<Entry>,
    /// Declared runners.
    pub runners: Vec<Runner>,
}

/// Weights of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Expected requests within deadline that a move must gain.
    pub move_price: f64,
    /// How long a move is expected to pay, in seconds.
    pub horizon_s: f64,
    /// Share of a runner's slots above which it is overloaded.
    pub target_utilization: f64,
    /// Most loads to add in this plan.
    pub max_loads: usize,
}

/// What each runner should hold.
pub type Placement = BTreeMap<Name, BTreeSet<Name>>;

/// A placement being made.
pub struct PlacementBuilder<'a> {
    input: &'a Input,
    options: Options,
    by_id: BTreeMap<&'a Name, usize>,
    /// Entry indices by runner.
    held: Vec<BTreeSet<usize>>,
    /// Runner indices by entry, usable runners only.
    replicas: Vec<BTreeSet<usize>>,
    free: Vec<i128>,
    load: Vec<f64>,
    adds: usize,
}

impl<'a> PlacementBuilder<'a> {
    /// Starts from what the runners hold.
    pub fn from_input(input: &'a Input, options: Options) -> Self {
        let by_id: BTreeMap<&Name, usize> =
            input.entries.iter().enumerate().map(|(i, e)| (&e.id, i)).collect();
        let mut site = Self {
            input,
            options,
            by_id,
            held: vec![BTreeSet::new(); input.runners.len()],
            replicas: vec![BTreeSet::new(); input.entries.len()],
            free: Vec::new(),
            load: vec![0.0; input.runners.len()],
            adds: 0,
        };
        site.adopt();
        site
    }

    fn adopt(&mut self) {
        for (at, runner) in self.input.runners.iter().enumerate() {
            self.free.push(i128::from(runner.capacity) - i128::from(runner.reserved));
            for name in &runner.entries {
                let Some(&entry) = self.by_id.get(name) else {
                    continue;
                };
                if self.input.entries[entry].allowed.contains(&at) {
                    self.put(entry, at);
                }
            }
        }
        for at in 0..self.held.len() {
            self.drop_orphans(at);
        }
        self.spread_load();
    }

    /// Removes adapters whose base is not there.
    fn drop_orphans(&mut self, at: usize) {
        let orphans: Vec<usize> = self.held[at]
            .iter()
            .copied()
            .filter(|&e| self.base_of(e).is_some_and(|b| !self.held[at].contains(&b)))
            .collect();
        for entry in orphans {
            self.remove(entry, at);
        }
    }

    fn base_of(&self, entry: usize) -> Option<usize> {
        let base = self.input.entries[entry].base.as_ref()?;
        self.by_id.get(base).copied()
    }

    fn put(&mut self, entry: usize, at: usize) {
        if !self.held[at].insert(entry) {
            return;
        }
        self.free[at] -= i128::from(self.input.entries[entry].size);
        if self.input.runners[at].usable {
            self.replicas[entry].insert(at);
        }
    }

    fn remove(&mut self, entry: usize, at: usize) {
        if !self.held[at].remove(&entry) {
            return;
        }
        self.free[at] += i128::from(self.input.entries[entry].size);
        self.replicas[entry].remove(&at);
    }

    /// Shares each entry's load among its replicas, by the slots of their runners.
    fn spread_load(&mut self) {
        self.load.iter_mut().for_each(|l| *l = 0.0);
        for (entry, replicas) in self.replicas.iter().enumerate() {
            let slots: f64 = replicas.iter().map(|&r| self.input.runners[r].slots).sum();
            if slots <= 0.0 {
                continue;
            }
            let load = self.input.entries[entry].load;
            for &at in replicas {
                self.load[at] += load * self.input.runners[at].slots / slots;
            }
        }
    }

    fn busy(&self, at: usize) -> f64 {
        self.load[at] / self.input.runners[at].slots.max(1.0)
    }

    /// Makes the placement.
    pub fn build(mut self) -> Placement {
        self.place_missing();
        self.relieve();
        self.insure();
        self.finish()
    }

    /// Gives each entry without a replica its first place, most loaded first, bases before
    /// adapters.
    fn place_missing(&mut self) {
        let mut missing: Vec<usize> =
            (0..self.replicas.len()).filter(|&e| self.replicas[e].is_empty()).collect();
        missing.sort_by(|&a, &b| {
            let (x, y) = (&self.input.entries[a], &self.input.entries[b]);
            let kind = x.base.is_some().cmp(&y.base.is_some());
            kind.then(y.load.total_cmp(&x.load)).then(y.size.cmp(&x.size)).then(x.id.cmp(&y.id))
        });
        for entry in missing {
            if let Some(at) = self.best_place(entry, f64::INFINITY) {
                self.settle(entry, at);
            }
        }
        self.spread_load();
    }

    /// Puts `entry` and what it needs on the runner `at`, making room first.
    fn settle(&mut self, entry: usize, at: usize) {
        let base = self.base_of(entry).filter(|b| !self.held[at].contains(b));
        let need = self.need(entry, at);
        for victim in self.victims(at, need, entry).unwrap_or_default() {
            self.remove(victim, at);
        }
        for entry in base.into_iter().chain([entry]) {
            self.put(entry, at);
            self.adds += 1;
        }
    }

    /// Memory that `entry` needs on runner `at`, with its base unless that is there.
    fn need(&self, entry: usize, at: usize) -> i128 {
        let own = i128::from(self.input.entries[entry].size);
        let base = self.base_of(entry).filter(|b| !self.held[at].contains(b));
        own + base.map_or(0, |b| i128::from(self.input.entries[b].size))
    }

    /// Surplus replicas on `at` to remove so that `need` bytes are free; `None` if it can't be.
    fn victims(&self, at: usize, need: i128, keep: usize) -> Option<Vec<usize>> {
        let mut free = self.free[at];
        let mut gone = BTreeSet::new();
        let mut order: Vec<usize> = self.held[at].iter().copied().collect();
        order.sort_by(|&a, &b| self.value(a).total_cmp(&self.value(b)));
        for entry in order {
            if free >= need {
                break;
            }
            if entry == keep || self.base_of(keep) == Some(entry) || gone.contains(&entry) {
                continue;
            }
            let group = self.with_adapters(entry, at);
            if group.iter().any(|&e| self.replicas[e].len() < 2 || e == keep) {
                continue;
            }
            for e in group {
                if gone.insert(e) {
                    free += i128::from(self.input.entries[e].size);
                }
            }
        }
        (free >= need).then(|| gone.into_iter().collect())
    }

    /// An entry and the adapters on `at` that need it.
    fn with_adapters(&self, entry: usize, at: usize) -> Vec<usize> {
        let needs = |e: &usize| self.base_of(*e) == Some(entry);
        let adapters = self.held[at].iter().copied().filter(needs);
        std::iter::once(entry).chain(adapters).collect()
    }

    /// What one replica carries of its entry's load.
    fn value(&self, entry: usize) -> f64 {
        self.input.entries[entry].load / self.replicas[entry].len().max(1) as f64
    }

    /// The best runner for another replica of `entry`, no busier than `limit`.
    fn best_place(&self, entry: usize, limit: f64) -> Option<usize> {
        let e = &self.input.entries[entry];
        let domains: BTreeSet<&Name> =
            self.replicas[entry].iter().map(|&r| &self.input.runners[r].domain).collect();
        let mut best: Option<((bool, bool, i64, i128), usize)> = None;
        for &at in &e.allowed {
            let runner = &self.input.runners[at];
            if !runner.usable || self.held[at].contains(&entry) || self.busy(at) >= limit {
                continue;
            }
            let need = self.need(entry, at);
            let Some(victims) = self.victims(at, need, entry) else {
                continue;
            };
            let base_missing = need > i128::from(e.size);
            let evicts = !victims.is_empty();
            let shared = domains.contains(&runner.domain);
            let busy = (self.busy(at) * 20.0) as i64 + i64::from(shared) * 4;
            let key = (base_missing, evicts, busy, -self.free[at]);
            if best.as_ref().is_none_or(|(k, _)| key < *k) {
                best = Some((key, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Adds replicas where runners are overloaded and it pays.
    fn relieve(&mut self) {
        let mut given_up: BTreeSet<usize> = BTreeSet::new();
        while self.adds < self.options.max_loads {
            let Some(hot) = self.hottest(&given_up) else {
                break;
            };
            if !self.relieve_one(hot) {
                given_up.insert(hot);
            }
        }
    }

    fn hottest(&self, given_up: &BTreeSet<usize>) -> Option<usize> {
        let over = |&at: &usize| {
            self.input.runners[at].usable
                && !given_up.contains(&at)
                && self.busy(at) > self.options.target_utilization
        };
        let all = (0..self.load.len()).filter(over);
        all.max_by(|&a, &b| self.busy(a).total_cmp(&self.busy(b)))
    }

    /// Gives one of the entries on `hot` another replica; false if none pays.
    fn relieve_one(&mut self, hot: usize) -> bool {
        let mut order: Vec<usize> =
            self.held[hot].iter().copied().filter(|&e| self.value(e) > 0.0).collect();
        order.sort_by(|&a, &b| self.value(b).total_cmp(&self.value(a)));
        for entry in order.into_iter().take(CANDIDATES) {
            let limit = self.busy(hot) * 0.9;
            let Some(at) = self.best_place(entry, limit) else {
                continue;
            };
            if self.gain(entry, hot, at) > self.cost(entry, at) {
                self.settle(entry, at);
                self.spread_load();
                return true;
            }
        }
        false
    }

    /// Gives entries with one replica a second one in another failure domain, most asked for
    /// first, where memory is free and it pays.
    fn insure(&mut self) {
        let mut single: Vec<usize> =
            (0..self.replicas.len()).filter(|&e| self.replicas[e].len() == 1).collect();
        let rate = |e: usize| self.input.entries[e].rate;
        single.sort_by(|&a, &b| rate(b).total_cmp(&rate(a)).then(a.cmp(&b)));
        for entry in single {
            let gain = rate_of_loss(self.input.entries[entry].rate, self.options.horizon_s);
            if self.adds >= self.options.max_loads || gain <= self.options.move_price {
                return;
            }
            if let Some(at) = self.free_place(entry) {
                self.settle(entry, at);
            }
        }
    }

    /// The least busy runner in another failure domain with room for `entry`.
    fn free_place(&self, entry: usize) -> Option<usize> {
        let e = &self.input.entries[entry];
        let shares = |at: usize| {
            let domain = |r: usize| &self.input.runners[r].domain;
            self.replicas[entry].iter().any(|&r| domain(r) == domain(at))
        };
        let fits = |at: usize| {
            let runner = &self.input.runners[at];
            runner.usable && !shares(at) && self.need(entry, at) <= self.free[at]
        };
        let open = e.allowed.iter().copied().filter(|&at| fits(at));
        open.min_by(|&a, &b| self.busy(a).total_cmp(&self.busy(b)).then(a.cmp(&b)))
    }

    /// Requests that a replica of `entry` on `at` saves from a busy `hot` over the horizon_s.
    fn gain(&self, entry: usize, hot: usize, at: usize) -> f64 {
        let e = &self.input.entries[entry];
        if e.load <= 0.0 {
            return 0.0;
        }
        let shift = self.value(entry) / (self.replicas[entry].len() + 1) as f64;
        let over =
            (self.busy(hot) - self.options.target_utilization) * self.input.runners[hot].slots;
        // Half of the difference evens both out.
        let room = (self.busy(hot) - self.busy(at)) / 2.0 * self.input.runners[at].slots;
        let slots = shift.min(over).min(room.max(0.0));
        slots * (e.rate / e.load) * self.options.horizon_s
    }

    fn cost(&self, entry: usize, at: usize) -> f64 {
        let need = self.need(entry, at);
        let loads = if need > i128::from(self.input.entries[entry].size) { 2 } else { 1 };
        let victims = self.victims(at, need, entry).map_or(0, |v| v.len());
        self.options.move_price * (loads + victims) as f64
    }

    fn finish(self) -> Placement {
        let entries = &self.input.entries;
        let names = |held: &BTreeSet<usize>| held.iter().map(|&e| entries[e].id.clone()).collect();
        let pairs = self.input.runners.iter().zip(&self.held);
        pairs.map(|(runner, held)| (runner.name.clone(), names(held))).collect()
    }
}

/// Requests that a second replica is expected to save: those of the horizon_s, by the share of
/// moves that a loss makes worth it.
fn rate_of_loss(rate: f64, horizon_s: f64) -> f64 {
    rate * horizon_s * LOSS_SHARE
}

/// How likely the loss of the only replica is taken to be within the horizon_s. Far above the real
/// rate: a lost entry is out for the whole time that the weight store needs for all lost ones.
const LOSS_SHARE: f64 = 0.25;

/// How many of a runner's entries are tried before it is given up.
const CANDIDATES: usize = 4;
