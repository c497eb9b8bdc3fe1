//! Planning on one host: collects demand and sends desired entries to the leaders of runners.

use crate::{Core, Frame};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_config::{Catalog, catalog, catalog::is_leaving};
use vanetally_ledger::{DesiredEntries, DesiredEntry};
use vanetally_member::group_of;
use vanetally_plan::{Entry, Input, Runner, StoreLimits};
use vanetally_route::{Phase, UpstreamStatus};
use vanetally_types::{Name, Tick, hash64, rendezvous};

/// Interval of plans and of demand reports.
const PLAN_INTERVAL_MS: u64 = 1_000;
/// Maximum time that a new planner waits for statuses of all runners before its first plan; also
/// the interval at which unchanged desired entries are sent again.
const PLAN_WARMUP_MS: u64 = 3_000;
/// How long a runner may be unreachable before its entries are placed elsewhere.
const UNREACHABLE_GRACE_MS: u64 = 3_000;

impl Core {
    /// The planner: the highest-ranked eligible host. Two planners at once are harmless apart from
    /// needless moves.
    fn planner_name(&self) -> Option<Name> {
        let eligible = self.members.eligible_hosts(self.now);
        rendezvous(hash64(b"planner"), &eligible).cloned()
    }

    pub(crate) fn tick_planning(&mut self) {
        let Some(planner) = self.planner_name() else {
            return;
        };
        let is_planner = planner == self.options.host_id.name;
        if self.now >= self.next_demand_report {
            self.next_demand_report = self.now + PLAN_INTERVAL_MS;
            self.report_demand(&planner, is_planner);
        }
        if !is_planner {
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

    /// Passes the demand that arrived on this host to the planner.
    fn report_demand(&mut self, planner: &Name, is_planner: bool) {
        let arrivals = self.router.take_arrivals();
        if arrivals.is_empty() {
            return;
        }
        let arrivals: BTreeMap<Name, (u32, u32)> =
            arrivals.into_iter().map(|(name, a)| (name, (a.count, a.slot_ms as u32))).collect();
        match is_planner {
            true => self.add_demand(arrivals),
            false => self.send(planner, Frame::Demand(arrivals)),
        }
    }

    pub(crate) fn add_demand(&mut self, arrivals: BTreeMap<Name, (u32, u32)>) {
        self.planner.demand.advance(self.now);
        for (target, (count, slot_ms)) in arrivals {
            self.planner.demand.add(&target, count, f64::from(slot_ms));
        }
    }

    /// Whether the statuses of all runners are known, or the planner has waited long enough for
    /// them.
    fn can_plan(&self) -> bool {
        let Some(since) = self.planning_since else {
            return false;
        };
        let all_known = self.ledgers.keys().all(|name| self.runner_status.contains_key(name));
        let waited = self.now.since(since) >= PLAN_WARMUP_MS;
        self.revisions.current().number > 0 && (waited || (all_known && !self.ledgers.is_empty()))
    }

    fn plan(&mut self) {
        self.planner.demand.advance(self.now);
        let revision = self.revisions.current().clone();
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
        // A model's demand counts for its newest version only.
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
        let allowed = runners.filter(|(_, r)| catalog.allows_placement(&entry.labels, &r.labels));
        Entry {
            id: entry.id,
            base: entry.base,
            size: entry.size,
            load: estimate.slots,
            rate: estimate.rate,
            allowed: allowed.map(|(index, _)| index).collect(),
        }
    }

    fn plan_runner(&mut self, runner: &catalog::Runner) -> Runner {
        let status = self.runner_status.get(&runner.name).cloned().unwrap_or_default();
        let leaving = is_leaving(&runner.labels) || status.leaving;
        let lost = self.is_lost(&runner.name, &status);
        let usable = !leaving && !lost;
        let current = || -> BTreeSet<Name> {
            let kept = status.entries.iter().filter(|(_, p)| **p != Phase::Closing);
            kept.map(|(name, _)| name.clone()).collect()
        };
        let entries = match self.planner.planned(&runner.name) {
            Some(placed) if usable => placed.clone(),
            _ => current(),
        };
        Runner {
            name: runner.name.clone(),
            domain: runner.domain.clone(),
            capacity: runner.capacity.0,
            slots: f64::from(runner.slots),
            usable,
            reserved: unplanned_bytes(&status, &entries),
            entries,
        }
    }

    /// Whether a runner has been unreachable for longer than the grace period.
    fn is_lost(&mut self, runner: &Name, status: &UpstreamStatus) -> bool {
        if status.reachable {
            self.lost_since.remove(runner);
            return false;
        }
        let since = *self.lost_since.entry(runner.clone()).or_insert(self.now);
        self.now.since(since) >= UNREACHABLE_GRACE_MS
    }

    /// Sends the planned entries of each usable runner to the leader of its group.
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
            let desired: DesiredEntries = pairs.collect();
            let group = group_of(&runner.name, self.options.groups);
            let Some((_, holder)) = self.group_leaders.get(&group) else {
                continue;
            };
            by_host.entry(holder.name.clone()).or_default().insert(runner.name.clone(), desired);
        }
        for (host, desired) in by_host {
            match host == self.options.host_id.name {
                true => self.set_desired(desired),
                false => self.send_desired_to(host, desired),
            }
        }
    }

    /// Sends desired entries if they have changed, and otherwise at intervals, because frames may
    /// be lost.
    fn send_desired_to(&mut self, host: Name, desired: BTreeMap<Name, DesiredEntries>) {
        let json = serde_json::to_vec(&desired).unwrap_or_default();
        let hash = hash64(&json);
        let last_sent = self.sent_desired.get(&host).copied();
        let due = last_sent.is_none_or(|(old, at): (u64, Tick)| {
            old != hash || self.now.since(at) >= PLAN_WARMUP_MS
        });
        if due {
            self.sent_desired.insert(host.clone(), (hash, self.now));
            self.send(&host, Frame::Desired(desired));
        }
    }
}

/// Memory on a runner that entries outside the plan may take. While planned entries are not on the
/// runner yet, its reserved memory may be theirs, which the plan already counts.
fn unplanned_bytes(status: &UpstreamStatus, placed: &BTreeSet<Name>) -> u64 {
    let is_pending = placed.iter().any(|name| !status.entries.contains_key(name));
    if is_pending { 0 } else { status.reserved }
}
