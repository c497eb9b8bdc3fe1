//! Leadership of groups of runners: polls, fences, orders, and the statuses sent to peers.

use crate::{
    Action, Core, EpochHolder, FenceReply, Frame, Key, OrderReply, PollReply, StoredValue,
    machine::Probe,
};
use std::collections::BTreeMap;
use vanetally_config::Catalog;
use vanetally_ledger::{
    Action as LedgerAction, DesiredEntries, Epoch, Event as LedgerEvent, Guards, Ledger, Phase,
    Record, RunnerSpec,
};
use vanetally_member::{
    Action as GroupAction, Event as GroupEvent, Record as GroupRecord, Role, group_of,
};
use vanetally_route::{Event as RouteEvent, Phase as RoutePhase, UpstreamStatus};
use vanetally_types::{HostId, Name, Tick, hash64, rendezvous};

/// Number of unanswered polls in a row after which a runner counts as unreachable.
const MAX_POLL_FAILURES: u32 = 3;
/// Interval at which an unchanged runner status is sent to peers again.
const STATUS_RESEND_MS: u64 = 4_000;
/// Number of poll intervals between closing an entry for routers and unloading it.
const DRAIN_POLLS: u64 = 2;
/// Minimum interval between two attempts to become leader of a group.
const LEADER_CLAIM_INTERVAL_MS: u64 = 1_000;

impl Core {
    /// Creates, updates and removes ledgers to match the catalog's runners.
    pub(crate) fn declare_runners(&mut self, catalog: &Catalog) {
        let mut specs: BTreeMap<Name, RunnerSpec> = BTreeMap::new();
        for runner in &catalog.runners {
            let spec = RunnerSpec {
                capacity: runner.capacity.0,
                fenced: runner.fenced,
                order_ttl_ms: runner.order_life.map(|m| m.0),
                drain_ms: DRAIN_POLLS * self.options.poll_ms,
            };
            specs.insert(runner.name.clone(), spec);
        }
        self.ledgers.retain(|name, _| specs.contains_key(name));
        self.runner_status.retain(|name, _| specs.contains_key(name));
        self.probes.retain(|name, _| specs.contains_key(name));
        let host_id = self.options.host_id.clone();
        for (name, spec) in specs {
            let new = || Ledger::new(host_id.clone(), spec.clone(), Guards::ON);
            let is_new = !self.ledgers.contains_key(&name);
            self.ledgers.entry(name.clone()).or_insert_with(new).set_spec(spec.clone());
            let group = group_of(&name, self.options.groups);
            if is_new && self.groups[usize::from(group)].role() == Role::Holder {
                let term = self.groups[usize::from(group)].known_leader().0;
                self.acquire_runner(&name, term);
            }
        }
    }

    fn runners_of(&self, group: u16) -> Vec<Name> {
        let groups = self.options.groups;
        self.ledgers.keys().filter(|name| group_of(name, groups) == group).cloned().collect()
    }

    fn url_of(&self, runner: &str) -> Option<Name> {
        let runners = &self.revisions.current().catalog.runners;
        runners.iter().find(|r| *r.name == *runner).map(|r| r.url.clone())
    }

    // Leadership of groups.

    fn group_event(&mut self, number: u16, event: GroupEvent) {
        let Some(group) = self.groups.get_mut(usize::from(number)) else {
            return;
        };
        let actions = group.handle(event);
        let (term, holder) = group.known_leader();
        if let Some(holder) = holder.cloned() {
            self.update_group_leader(number, (term, holder));
        }
        for action in actions {
            match action {
                GroupAction::Read => self.get(Key::Group(number)),
                GroupAction::Write { base, record } => self.put(Key::Group(number), base, &record),
                GroupAction::LeadershipAcquired(term) => self.leadership_acquired(number, term),
                GroupAction::LeadershipLost => self.leadership_lost(number),
            }
        }
    }

    /// Stores a group's term and leader if the term is the highest known.
    fn update_group_leader(&mut self, number: u16, latest: EpochHolder) {
        if self.group_leaders.get(&number).is_none_or(|known| known.0 < latest.0) {
            self.group_leaders.insert(number, latest);
            self.schedule_tables();
        }
    }

    pub(crate) fn group_announced(&mut self, number: u16, latest: EpochHolder) {
        let (term, holder) = latest.clone();
        self.update_group_leader(number, latest);
        self.group_event(number, GroupEvent::TermAnnounced { term, holder: Some(holder) });
    }

    fn leadership_acquired(&mut self, number: u16, term: u64) {
        self.log(format!("event=steward-took group={number} term={term}"));
        for runner in self.runners_of(number) {
            self.acquire_runner(&runner, term);
        }
    }

    /// Starts the leadership of one runner; the record of an unfenced runner is read first.
    fn acquire_runner(&mut self, runner: &Name, term: u64) {
        let runners = &self.revisions.current().catalog.runners;
        let fenced = runners.iter().find(|r| r.name == *runner).is_some_and(|r| r.fenced);
        if fenced {
            return self
                .ledger_event(runner, LedgerEvent::LeadershipAcquired { term, record: None });
        }
        self.pending_terms.insert(runner.clone(), term);
        self.get(Key::Runner(runner.clone()));
    }

    fn leadership_lost(&mut self, number: u16) {
        self.log(format!("event=steward-dropped group={number}"));
        for runner in self.runners_of(number) {
            self.pending_terms.remove(&runner);
            self.ledger_event(&runner, LedgerEvent::LeadershipLost);
        }
    }

    pub(crate) fn group_read(&mut self, number: u16, value: Option<Option<StoredValue>>) {
        let event = match value {
            None => GroupEvent::WriteUnconfirmed,
            Some(stored) => GroupEvent::Read(stored.and_then(parse_group)),
        };
        self.group_event(number, event);
    }

    pub(crate) fn group_written(
        &mut self,
        number: u16,
        result: Option<Result<u64, Option<StoredValue>>>,
    ) {
        let event = match result {
            None => GroupEvent::WriteUnconfirmed,
            Some(Ok(version)) => GroupEvent::Written { version },
            Some(Err(stored)) => GroupEvent::WriteConflict(stored.and_then(parse_group)),
        };
        self.group_event(number, event);
    }

    /// The host that should become leader of a group without one.
    fn preferred_leader(&self, group: u16) -> Option<Name> {
        let eligible = self.members.eligible_hosts(self.now);
        rendezvous(hash64(format!("group/{group}").as_bytes()), &eligible).cloned()
    }

    pub(crate) fn tick_groups(&mut self) {
        if !self.hosts_listed || self.revisions.current().number == 0 {
            return;
        }
        for number in 0..self.options.groups {
            self.tick_group(number);
        }
    }

    /// Claims a group without an eligible leader if this host ranks first, and polls its runners if
    /// this host is the leader or the preferred one.
    fn tick_group(&mut self, number: u16) {
        let host = self.options.host_id.name.clone();
        let holder = self.group_leaders.get(&number).map(|h| h.1.clone());
        let is_eligible =
            holder.as_ref().is_some_and(|h| self.members.is_process_eligible(self.now, h));
        let leads = holder.as_ref() == Some(&self.options.host_id);
        let poller = match is_eligible {
            true => holder.map(|h| h.name),
            false => self.preferred_leader(number),
        };
        let last_claim = self.last_group_claims.get(&number).copied().unwrap_or(self.started);
        let due = self.now.since(last_claim) >= LEADER_CLAIM_INTERVAL_MS;
        if self.stopping {
            self.group_event(number, GroupEvent::Release);
        } else if (!is_eligible || leads) && poller.as_ref() == Some(&host) && due {
            self.last_group_claims.insert(number, self.now);
            self.group_event(number, GroupEvent::Claim { leader_eligible: is_eligible && !leads });
        }
        for runner in self.runners_of(number) {
            self.ledger_event(&runner, LedgerEvent::Tick);
            if poller.as_ref() == Some(&host) {
                self.poll(&runner);
            } else {
                self.probes.remove(&runner);
            }
        }
    }

    // Runners.

    fn poll(&mut self, runner: &Name) {
        let Some(url) = self.url_of(runner) else {
            return;
        };
        let probe = self.probes.entry(runner.clone()).or_default();
        if !probe.in_flight && self.now >= probe.next_poll {
            probe.in_flight = true;
            probe.next_poll = self.now + self.options.poll_ms;
            self.actions.push(Action::Poll(runner.clone(), url));
        }
    }

    pub(crate) fn poll_answered(
        &mut self,
        runner: Name,
        polled_at: Tick,
        reply: Option<PollReply>,
    ) {
        let Some(probe) = self.probes.get_mut(&runner) else {
            return;
        };
        probe.in_flight = false;
        let Some(reply) = reply else {
            probe.failures += 1;
            if probe.failures >= MAX_POLL_FAILURES {
                self.publish_status(&runner, UpstreamStatus::default());
            }
            return;
        };
        probe.failures = 0;
        let (running, leaving) = (reply.running, reply.leaving);
        self.ledger_event(&runner, LedgerEvent::Reported { polled_at, report: reply.report });
        let status = self.status_from_ledger(&runner, running, leaving);
        self.publish_status(&runner, status);
    }

    /// The runner's status for routers, from the ledger's last report.
    fn status_from_ledger(&self, runner: &Name, running: u32, leaving: bool) -> UpstreamStatus {
        let Some(ledger) = self.ledgers.get(runner) else {
            return UpstreamStatus::default();
        };
        let mut entries = BTreeMap::new();
        for (name, held) in ledger.report().iter().flat_map(|r| &r.entries) {
            let phase = match held.phase {
                Phase::Loading => RoutePhase::Loading,
                Phase::Resident => RoutePhase::Ready,
                Phase::Unloading => RoutePhase::Closing,
            };
            entries.insert(name.clone(), phase);
        }
        for name in ledger.closing() {
            if entries.contains_key(name) {
                entries.insert(name.clone(), RoutePhase::Closing);
            }
        }
        UpstreamStatus {
            entries,
            running,
            leaving,
            reachable: true,
            reserved: ledger.reserved_bytes(),
        }
    }

    /// Applies a runner's status here and sends it to peers if it has changed or is due again.
    fn publish_status(&mut self, runner: &Name, status: UpstreamStatus) {
        let probe: &mut Probe = self.probes.entry(runner.clone()).or_default();
        let due = probe.last_sent.as_ref().is_none_or(|(old, at)| {
            needs_broadcast(old, &status) || self.now.since(*at) >= STATUS_RESEND_MS
        });
        if due {
            probe.last_sent = Some((status.clone(), self.now));
            self.broadcast(&Frame::RunnerStatus { runner: runner.clone(), status: status.clone() });
        }
        self.apply_status(runner.clone(), status);
    }

    /// Stores a runner's status and passes it to the router.
    pub(crate) fn apply_status(&mut self, runner: Name, status: UpstreamStatus) {
        if !self.ledgers.contains_key(&runner) {
            return;
        }
        self.runner_status.insert(runner.clone(), status.clone());
        let actions = self.router.handle(self.now, RouteEvent::Status { upstream: runner, status });
        self.run_route_actions(actions);
    }

    /// Passes an event to a runner's ledger and carries out the resulting actions.
    pub(crate) fn ledger_event(&mut self, runner: &Name, event: LedgerEvent) {
        let Some(ledger) = self.ledgers.get_mut(runner) else {
            return;
        };
        let actions = ledger.handle(self.now, event);
        for action in actions {
            self.ledger_action(runner, action);
        }
    }

    fn ledger_action(&mut self, runner: &Name, action: LedgerAction) {
        let Some(url) = self.url_of(runner) else {
            return;
        };
        match action {
            LedgerAction::Fence(epoch) => {
                self.actions.push(Action::Fence(runner.clone(), url, epoch))
            }
            LedgerAction::Write(record) => {
                let key = Key::Runner(runner.clone());
                let base = self.record_versions.get(&key).copied().unwrap_or(0);
                self.put(key, base, &record);
            }
            LedgerAction::Send(order) => {
                let (op, seq) = (&order.op, order.seq);
                self.log(format!(
                    "event=order runner={runner} seq={seq} entry={} op={}",
                    op.entry(),
                    if op.bytes() > 0 { "load" } else { "unload" }
                ));
                self.actions.push(Action::Order(runner.clone(), url, order));
            }
            LedgerAction::RaiseTerm(term) => {
                let group = group_of(runner, self.options.groups);
                self.group_event(group, GroupEvent::TermAnnounced { term, holder: None });
            }
            LedgerAction::StepDown => self.log(format!("event=steward-outranked runner={runner}")),
        }
    }

    pub(crate) fn runner_read(&mut self, runner: Name, value: Option<Option<StoredValue>>) {
        let Some(term) = self.pending_terms.get(&runner).copied() else {
            return;
        };
        let Some(value) = value else {
            // The platform is unavailable: the leadership starts once the record can be read.
            return self.get(Key::Runner(runner));
        };
        self.pending_terms.remove(&runner);
        let version = value.as_ref().map_or(0, |s| s.version);
        self.record_versions.insert(Key::Runner(runner.clone()), version);
        let record = value.and_then(parse_runner);
        self.ledger_event(&runner, LedgerEvent::LeadershipAcquired { term, record });
        self.check_issuers(&runner);
    }

    /// Reports to the ledger which issuers of its open intents have already ended.
    fn check_issuers(&mut self, runner: &Name) {
        let Some(ledger) = self.ledgers.get(runner) else {
            return;
        };
        for host in ledger.issuers() {
            if self.members.has_ended(&host) || self.is_declared_gone(&host) {
                self.ledger_event(runner, LedgerEvent::Ended(host));
            }
        }
    }

    pub(crate) fn runner_written(
        &mut self,
        runner: Name,
        result: Option<Result<u64, Option<StoredValue>>>,
    ) {
        let key = Key::Runner(runner.clone());
        let pending_seq = self.ledgers.get(&runner).and_then(|l| l.pending_write());
        match result {
            None => self.ledger_event(&runner, LedgerEvent::WriteUnconfirmed),
            Some(Ok(version)) => {
                self.record_versions.insert(key, version);
                if let Some(seq) = pending_seq {
                    self.ledger_event(&runner, LedgerEvent::Written { seq });
                }
            }
            Some(Err(stored)) => {
                self.record_versions.insert(key, stored.as_ref().map_or(0, |s| s.version));
                let record = stored.and_then(parse_runner);
                self.ledger_event(&runner, LedgerEvent::WriteConflict(record));
            }
        }
    }

    pub(crate) fn fence_answered(&mut self, runner: Name, epoch: Epoch, reply: FenceReply) {
        let event = match reply {
            FenceReply::Accepted(report) => LedgerEvent::Fenced { epoch, report },
            FenceReply::StaleEpoch(higher) => {
                LedgerEvent::StaleEpoch { sent: epoch, current: higher }
            }
            FenceReply::Unanswered => LedgerEvent::FenceUnanswered { epoch },
        };
        self.ledger_event(&runner, event);
    }

    pub(crate) fn order_answered(
        &mut self,
        runner: Name,
        sent_epoch: Epoch,
        seq: u64,
        reply: OrderReply,
    ) {
        let event = match reply {
            OrderReply::Answered(result, report) => LedgerEvent::Answered { seq, result, report },
            OrderReply::StaleEpoch(epoch) => {
                LedgerEvent::StaleEpoch { sent: sent_epoch, current: epoch }
            }
            OrderReply::Unanswered => {
                self.log(format!("event=order-lost runner={runner} seq={seq}"));
                LedgerEvent::OrderUnanswered { seq }
            }
        };
        self.ledger_event(&runner, event);
    }

    pub(crate) fn set_desired(&mut self, desired: BTreeMap<Name, DesiredEntries>) {
        for (runner, desired) in desired {
            let known = self.ledgers.get(&runner).and_then(|l| l.desired());
            if known != Some(&desired) {
                self.ledger_event(&runner, LedgerEvent::Desired(desired));
            }
        }
    }

    pub(crate) fn notify_ledgers_ended(&mut self, host: &HostId) {
        let runners: Vec<Name> = self.ledgers.keys().cloned().collect();
        for runner in runners {
            self.ledger_event(&runner, LedgerEvent::Ended(host.clone()));
        }
    }
}

/// Whether a status differs enough from the last one sent that peers need it immediately.
fn needs_broadcast(old: &UpstreamStatus, new: &UpstreamStatus) -> bool {
    let load_changed = old.running.abs_diff(new.running) > old.running / 4 + 1;
    let state_changed =
        (old.leaving, old.reachable, old.reserved) != (new.leaving, new.reachable, new.reserved);
    load_changed || state_changed || old.entries != new.entries
}

fn parse_group(stored: StoredValue) -> Option<vanetally_member::VersionedRecord> {
    let record: GroupRecord = serde_json::from_slice(&stored.bytes).ok()?;
    Some(vanetally_member::VersionedRecord { version: stored.version, record })
}

fn parse_runner(stored: StoredValue) -> Option<Record> {
    serde_json::from_slice(&stored.bytes).ok()
}
