//! The planner's part: demand in, wanted entries out.

use crate::{Core, Frame};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_config::{Catalog, catalog, catalog::is_leaving};
use vanetally_ledger::{DesiredEntries, DesiredEntry};
use vanetally_member::group_of;
use vanetally_plan::{Entry, Input, Runner, StoreLimits};
use vanetally_route::{Phase, UpstreamStatus};
use vanetally_types::{Name, Tick, hash64, rendezvous};

/// Between two plans, and between two reports of demand, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 1_000;
/// How long a new planner listens before its first plan, in milliseconds.
const PLAN_WARMUP_MS: u64 = 3_000;
/// How long a runner may be out of reach before its entries get other places, in milliseconds.
const UNREACHABLE_GRACE_MS: u64 = 3_000;

impl Core {
    /// The planner is the most preferred living host; two at once would cost moves only.
    fn planner_name(&self) -> Option<Name> {
        let alive = self.members.eligible_hosts(self.now);
        rendezvous(hash64(b"planner"), &alive).cloned()
    }

    pub(crate) fn tick_planning(&mut self) {
        let Some(planner) = self.planner_name() else {
            return;
        };
        let mine = planner == self.options.me.name;
        if self.now >= self.next_demand_report {
            self.next_demand_report = self.now + PLAN_INTERVAL_MS;
            self.report_demand(&planner, mine);
        }
        if !mine {
            if self.planning_since.take().is_some() {
                self.planner = Default::default();
            }
            return;
        }
        if self.planning_since.is_none() {
            self.log("event=planner-took".into());
            self.planning_since = Some(self.now);
        }
        if self.now >= self.next_plan && self.can_plan() {
            self.next_plan = self.now + PLAN_INTERVAL_MS;
            self.plan();
        }
    }

    fn report_demand(&mut self, planner: &Name, mine: bool) {
        let arrived = self.router.take_arrivals();
        if arrived.is_empty() {
            return;
        }
        let arrived: BTreeMap<Name, (u32, u32)> =
            arrived.into_iter().map(|(name, a)| (name, (a.count, a.slot_ms as u32))).collect();
        match mine {
            true => self.add_demand(arrived),
            false => self.send(planner, Frame::Demand(arrived)),
        }
    }

    pub(crate) fn add_demand(&mut self, arrived: BTreeMap<Name, (u32, u32)>) {
        self.planner.demand.advance(self.now);
        for (target, (count, work)) in arrived {
            self.planner.demand.add(&target, count, f64::from(work));
        }
    }

    /// Whether all runners have been seen, or the time to hear of them has passed.
    fn can_plan(&self) -> bool {
        let Some(since) = self.planning_since else {
            return false;
        };
        let all = self.ledgers.keys().all(|name| self.runner_status.contains_key(name));
        let listened = self.now.since(since) >= PLAN_WARMUP_MS;
        self.keeper.current().number > 0 && (listened || (all && !self.ledgers.is_empty()))
    }

    fn plan(&mut self) {
        self.planner.demand.advance(self.now);
        let revision = self.keeper.current().clone();
        let catalog = &revision.catalog;
        let input = self.plan_input(catalog);
        let limits = StoreLimits {
            loads_per_10s: catalog.store.loads_per_10s,
            concurrent_loads: catalog.store.slots,
        };
        let phases = self.runner_status.values().flat_map(|s| s.entries.values());
        let loading = phases.filter(|p| **p == Phase::Loading).count();
        let price = f64::from(catalog.move_price);
        self.planner.plan(self.now, &input, limits, loading, price);
        self.send_desired(catalog, &input);
    }

    fn plan_input(&mut self, catalog: &Catalog) -> Input {
        let entries = catalog.entries().into_iter().map(|e| self.plan_entry(catalog, e)).collect();
        let runners = catalog.runners.iter().map(|r| self.plan_runner(r)).collect();
        Input { entries, runners }
    }

    fn plan_entry(&self, catalog: &Catalog, entry: catalog::Entry) -> Entry {
        // The newest version carries the demand of its model.
        let target = match entry.id.split_once('@') {
            None => Some(entry.id.clone()),
            Some((model, version)) => catalog
                .models
                .iter()
                .find(|m| *m.name == *model)
                .filter(|m| m.versions.last().is_some_and(|v| *v.name == *version))
                .map(|m| m.name.clone()),
        };
        let estimate = target.map(|t| self.planner.demand.estimate(&t)).unwrap_or_default();
        let runners = catalog.runners.iter().enumerate();
        let may = runners.filter(|(_, r)| catalog.allows_placement(&entry.labels, &r.labels));
        Entry {
            id: entry.id,
            base: entry.base,
            size: entry.size,
            load: estimate.slots,
            rate: estimate.rate,
            allowed: may.map(|(at, _)| at).collect(),
        }
    }

    fn plan_runner(&mut self, runner: &catalog::Runner) -> Runner {
        let seen = self.runner_status.get(&runner.name).cloned().unwrap_or_default();
        let leaving = is_leaving(&runner.labels) || seen.leaving;
        let lost = self.is_lost(&runner.name, &seen);
        let usable = !leaving && !lost;
        let present = || -> BTreeSet<Name> {
            let kept = seen.entries.iter().filter(|(_, p)| **p != Phase::Closing);
            kept.map(|(name, _)| name.clone()).collect()
        };
        let entries = match self.planner.planned(&runner.name) {
            Some(placed) if usable => placed.clone(),
            _ => present(),
        };
        Runner {
            name: runner.name.clone(),
            domain: runner.domain.clone(),
            capacity: runner.capacity.0,
            slots: f64::from(runner.slots),
            usable,
            reserved: unplanned_bytes(&seen, &entries),
            entries,
        }
    }

    /// Whether a runner has been out of reach for long.
    fn is_lost(&mut self, runner: &Name, seen: &UpstreamStatus) -> bool {
        if seen.reachable {
            self.lost_since.remove(runner);
            return false;
        }
        let since = *self.lost_since.entry(runner.clone()).or_insert(self.now);
        self.now.since(since) >= UNREACHABLE_GRACE_MS
    }

    fn send_desired(&mut self, catalog: &Catalog, input: &Input) {
        let sizes: BTreeMap<Name, DesiredEntry> = catalog
            .entries()
            .into_iter()
            .map(|e| (e.id, DesiredEntry { bytes: e.size, base: e.base }))
            .collect();
        let mut by_host: BTreeMap<Name, BTreeMap<Name, DesiredEntries>> = BTreeMap::new();
        for runner in input.runners.iter().filter(|r| r.usable) {
            let Some(placed) = self.planner.planned(&runner.name) else {
                continue;
            };
            let pairs = placed.iter().filter_map(|e| Some((e.clone(), sizes.get(e)?.clone())));
            let wanted: DesiredEntries = pairs.collect();
            let group = group_of(&runner.name, self.options.groups);
            let Some((_, holder)) = self.group_leaders.get(&group) else {
                continue;
            };
            by_host.entry(holder.name.clone()).or_default().insert(runner.name.clone(), wanted);
        }
        for (host, wanted) in by_host {
            match host == self.options.me.name {
                true => self.set_desired(wanted),
                false => self.send_desired_to(host, wanted),
            }
        }
    }

    /// Sends wanted entries when they changed, and now and then in case a frame was lost.
    fn send_desired_to(&mut self, host: Name, wanted: BTreeMap<Name, DesiredEntries>) {
        let text = serde_json::to_vec(&wanted).unwrap_or_default();
        let hash = hash64(&text);
        let told = self.sent_desired.get(&host).copied();
        let again = told.is_none_or(|(old, at): (u64, Tick)| {
            old != hash || self.now.since(at) >= PLAN_WARMUP_MS
        });
        if again {
            self.sent_desired.insert(host.clone(), (hash, self.now));
            self.send(&host, Frame::Desired(wanted));
        }
    }
}

/// Memory that entries outside of the plan may take on a runner. What the plan itself waits for
/// is counted as an entry already.
fn unplanned_bytes(seen: &UpstreamStatus, placed: &BTreeSet<Name>) -> u64 {
    let waits = placed.iter().any(|name| !seen.entries.contains_key(name));
    if waits { 0 } else { seen.reserved }
}
