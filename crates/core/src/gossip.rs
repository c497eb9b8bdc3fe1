//! Gossip between daemons: pings, tables of holders, and statuses of runners.

use crate::{Action, Core, EpochHolder, Frame};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_config::tracker::Source;
use vanetally_types::{HostId, Name, Tick, hash64, rendezvous_rank};

/// What was sent to which peer, and when.
#[derive(Debug, Default)]
pub(crate) struct GossipState {
    next_ping: Tick,
    /// Peers whose holder tables differ from this host's.
    tables_due: BTreeSet<Name>,
    /// When the tables were last sent to each peer.
    tables_sent: BTreeMap<Name, Tick>,
    /// Processes that were sent all runner statuses after their first ping.
    statuses_sent: BTreeSet<HostId>,
}

/// Minimum interval between two sends of the tables to the same peer.
const TABLES_INTERVAL_MS: u64 = 300;
/// Number of hosts in a failure domain that watch the configuration at the platform.
const WATCHERS_PER_DOMAIN: usize = 2;

impl Core {
    pub(crate) fn tick_gossip(&mut self) {
        if self.now >= self.gossip.next_ping {
            self.gossip.next_ping = self.now + self.options.ping_ms;
            self.ping_all();
        }
        let due: Vec<Name> = self.gossip.tables_due.iter().cloned().collect();
        for name in due {
            let last = self.gossip.tables_sent.get(&name).copied().unwrap_or_default();
            if self.now.since(last) >= TABLES_INTERVAL_MS {
                self.gossip.tables_due.remove(&name);
                self.gossip.tables_sent.insert(name.clone(), self.now);
                let frame = self.holder_tables();
                self.send(&name, frame);
            }
        }
        self.choose_watchers();
    }

    /// Starts or stops watching the configuration: a few hosts of each failure domain watch it, the
    /// others receive changes from peers.
    fn choose_watchers(&mut self) {
        let domain = self.options.listed.domain.clone();
        let mut names = vec![self.options.host_id.name.clone()];
        for peer in self.members.peers() {
            if peer.listed.domain == domain
                && self.members.is_host_eligible(self.now, &peer.listed.name)
            {
                names.push(peer.listed.name.clone());
            }
        }
        let ranked = rendezvous_rank(hash64(b"watchers"), &names);
        let watch =
            ranked.iter().take(WATCHERS_PER_DOMAIN).any(|n| **n == self.options.host_id.name);
        if self.watching != Some(watch) {
            self.watching = Some(watch);
            self.actions.push(Action::Watch(watch));
        }
    }

    pub(crate) fn ping_all(&mut self) {
        let mut listed = self.options.listed.clone();
        listed.leaving = self.stopping;
        let config = self.revisions.current().number;
        let frame = Frame::Ping { listed, config, tables: self.tables_hash() };
        let names: Vec<Name> = self.members.peers().map(|p| p.listed.name.clone()).collect();
        for name in names {
            self.send(&name, frame.clone());
        }
    }

    fn holder_tables(&self) -> Frame {
        Frame::Tables { slots: self.slot_holders.clone(), groups: self.group_leaders.clone() }
    }

    fn tables_hash(&self) -> u64 {
        let mut bytes = Vec::new();
        let mut add = |kind: u8, number: u16, latest: &EpochHolder| {
            bytes.push(kind);
            bytes.extend(number.to_le_bytes());
            bytes.extend(latest.0.to_le_bytes());
            bytes.extend(latest.1.incarnation.to_le_bytes());
            bytes.extend(latest.1.name.as_bytes());
        };
        self.slot_holders.iter().for_each(|(n, h)| add(0, *n, h));
        self.group_leaders.iter().for_each(|(n, h)| add(1, *n, h));
        hash64(&bytes)
    }

    /// Schedules the tables to be sent to all reachable peers after a change.
    pub(crate) fn schedule_tables(&mut self) {
        self.gossip.tables_due.extend(self.reachable_peers());
    }

    pub(crate) fn handle_frame(&mut self, from: HostId, frame: Frame) {
        match frame {
            Frame::Ping { listed, config, tables } => {
                self.handle_ping(from, listed, config, tables)
            }
            Frame::Tables { slots, groups } => self.merge_tables(slots, groups),
            Frame::PullConfig => self.send_config(&from),
            Frame::Config(revision) => self.offer_revision(revision, Source::Peer),
            Frame::RunnerStatus { runner, status } => self.apply_status(runner, status),
            Frame::Demand(arrivals) => self.add_demand(arrivals),
            Frame::Desired(desired) => self.set_desired(desired),
            Frame::Claim(claim) => self.handle_claim(claim),
            Frame::ClaimReply { ticket, id, reply } => self.claim_replied(from, ticket, id, reply),
            Frame::Finished { id, ticket, outcome } => self.handle_outcome(id, ticket, outcome),
            Frame::FinishAck(ticket) => {
                self.unacked_outcomes.remove(&ticket);
            }
            Frame::Slot(slot, message) => self.slot_message(from, slot, message),
        }
    }

    /// Records a ping, and sends or requests what differs: configuration, tables, runner statuses.
    fn handle_ping(
        &mut self,
        from: HostId,
        listed: vanetally_member::ListedHost,
        config: u64,
        tables: u64,
    ) {
        if listed.name != from.name {
            return;
        }
        if let Some(ended) = self.members.record_ping(self.now, listed, from.incarnation) {
            self.log(format!("event=host-ended host={ended} by={from}"));
            self.process_ended(&ended);
        }
        if self.members.current_process(&from.name).as_ref() != Some(&from) {
            return;
        }
        if config > self.revisions.current().number {
            self.request_config(&from);
        }
        if tables != self.tables_hash() {
            self.gossip.tables_due.insert(from.name.clone());
        }
        if self.gossip.statuses_sent.insert(from.clone()) {
            self.log(format!("event=host-joined host={from}"));
            self.send_statuses(&from);
        }
    }

    /// Sends the statuses of the runners polled by this host to a process that has just joined.
    fn send_statuses(&mut self, host: &HostId) {
        self.gossip.statuses_sent.retain(|h| h.name != host.name || h == host);
        let polled: Vec<Name> = self.probes.keys().cloned().collect();
        for runner in polled {
            if let Some(status) = self.runner_status.get(&runner).cloned() {
                self.send(&host.name, Frame::RunnerStatus { runner, status });
            }
        }
    }

    /// Notifies slots and ledgers that a process has ended.
    fn process_ended(&mut self, ended: &HostId) {
        self.notify_slots_ended(ended);
        self.notify_ledgers_ended(ended);
    }

    /// Merges a peer's tables; slots and groups beyond this host's numbers are ignored.
    fn merge_tables(
        &mut self,
        slots: BTreeMap<u16, EpochHolder>,
        groups: BTreeMap<u16, EpochHolder>,
    ) {
        for (slot, latest) in slots {
            if slot < self.options.slots {
                self.slot_announced(slot, latest);
            }
        }
        for (group, latest) in groups {
            if group < self.options.groups {
                self.group_announced(group, latest);
            }
        }
    }
}
