//! The core's state and the dispatch of events.

use crate::{Action, EpochHolder, Event, Frame, Key, gossip::GossipState, requests::Attempt};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use vanetally_claim::{Id, Outcome, Slot, Ticket};
use vanetally_config::{Revision, RevisionTracker};
use vanetally_ledger::Ledger;
use vanetally_member::{GroupLeadership, ListedHost, Members};
use vanetally_plan::Planner;
use vanetally_route::{Router, UpstreamStatus};
use vanetally_types::{HostId, Name, Tick};

/// Start options of a core.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process.
    pub host_id: HostId,
    /// This host's entry in the list of hosts.
    pub listed: ListedHost,
    /// Number of slots for once-only ids; the same on all hosts.
    pub slots: u16,
    /// Number of groups of runners; the same on all hosts.
    pub groups: u16,
    /// Interval between two polls of a runner.
    pub poll_ms: u64,
    /// Interval between two pings.
    pub ping_ms: u64,
    /// Silence after which a peer is suspected to have failed.
    pub suspect_ms: u64,
    /// Maximum time from a request's arrival to its deadline.
    pub horizon_ms: u64,
    /// Maximum number of requests waiting for a replica.
    pub max_queued: usize,
}

/// The polling state of one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probe {
    pub in_flight: bool,
    pub next_poll: Tick,
    pub failures: u32,
    /// The status last sent to peers, and when.
    pub last_sent: Option<(UpstreamStatus, Tick)>,
}

/// The state machine of one entry host.
pub struct Core {
    pub(crate) options: Options,
    pub(crate) now: Tick,
    pub(crate) actions: Vec<Action>,
    pub(crate) revisions: RevisionTracker,
    pub(crate) members: Members,
    pub(crate) router: Router,
    pub(crate) started: Tick,
    pub(crate) last_tick: Tick,
    pub(crate) next_upkeep: Tick,
    pub(crate) next_liveness_check: Tick,
    pub(crate) hosts_listed: bool,
    pub(crate) stopping: bool,
    pub(crate) stopped: bool,
    pub(crate) watching: Option<bool>,
    pub(crate) config_requested_at: Tick,
    // Once-only requests.
    pub(crate) slots: Vec<Slot>,
    pub(crate) slot_holders: BTreeMap<u16, EpochHolder>,
    pub(crate) last_slot_reads: BTreeMap<u16, Tick>,
    /// Slots whose record is being read to decide on a takeover.
    pub(crate) takeover_reads: BTreeSet<u16>,
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    /// Outcomes that the holder has not acknowledged: id, outcome, last sent, sent until.
    pub(crate) unacked_outcomes: BTreeMap<Ticket, (Id, Outcome, Tick, Tick)>,
    // Runners.
    pub(crate) groups: Vec<GroupLeadership>,
    pub(crate) group_leaders: BTreeMap<u16, EpochHolder>,
    /// When this host last tried to become leader of each group.
    pub(crate) last_group_claims: BTreeMap<u16, Tick>,
    pub(crate) ledgers: BTreeMap<Name, Ledger>,
    pub(crate) record_versions: BTreeMap<Key, u64>,
    /// Terms of new leaderships whose runner record is still being read.
    pub(crate) pending_terms: BTreeMap<Name, u64>,
    pub(crate) probes: BTreeMap<Name, Probe>,
    pub(crate) runner_status: BTreeMap<Name, UpstreamStatus>,
    // Planning.
    pub(crate) planner: Planner,
    /// When this host became the planner, if it is.
    pub(crate) planning_since: Option<Tick>,
    pub(crate) next_plan: Tick,
    pub(crate) next_demand_report: Tick,
    /// Since when each unreachable runner has been so.
    pub(crate) lost_since: BTreeMap<Name, Tick>,
    /// Hash of the desired entries last sent to each leader, and when.
    pub(crate) sent_desired: BTreeMap<Name, (u64, Tick)>,
    // Peers.
    pub(crate) gossip: GossipState,
}

impl Core {
    /// Creates a core without configuration and without known peers.
    pub fn new(now: Tick, options: Options) -> Self {
        let slot_options = vanetally_claim::Options {
            retention_ms: options.horizon_ms,
            write_interval_ms: SLOT_WRITE_INTERVAL_MS,
            wait_limit_ms: SLOT_WAIT_LIMIT_MS,
            max_ids: MAX_SLOT_IDS,
            guards: vanetally_claim::Guards::ON,
        };
        let host_id = options.host_id.clone();
        let router = vanetally_route::Options {
            domain: options.listed.domain.clone(),
            max_queued: options.max_queued,
        };
        Self {
            now,
            actions: Vec::new(),
            revisions: RevisionTracker::default(),
            members: Members::new(host_id.clone(), options.suspect_ms),
            router: Router::new(router),
            started: now,
            last_tick: now,
            next_upkeep: now,
            next_liveness_check: now,
            hosts_listed: false,
            stopping: false,
            stopped: false,
            watching: None,
            config_requested_at: Tick::default(),
            slots: (0..options.slots).map(|_| Slot::new(host_id.clone(), slot_options)).collect(),
            slot_holders: BTreeMap::new(),
            last_slot_reads: BTreeMap::new(),
            takeover_reads: BTreeSet::new(),
            attempts: BTreeMap::new(),
            unacked_outcomes: BTreeMap::new(),
            groups: (0..options.groups).map(|_| GroupLeadership::new(host_id.clone())).collect(),
            group_leaders: BTreeMap::new(),
            last_group_claims: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            record_versions: BTreeMap::new(),
            pending_terms: BTreeMap::new(),
            probes: BTreeMap::new(),
            runner_status: BTreeMap::new(),
            planner: Planner::default(),
            planning_since: None,
            next_plan: Tick::default(),
            next_demand_report: Tick::default(),
            lost_since: BTreeMap::new(),
            sent_desired: BTreeMap::new(),
            gossip: GossipState::default(),
            options,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Arrive(arrival) => self.handle_arrival(arrival),
            Event::Ended { id, end, response_started, answer } => {
                self.attempt_ended(id, end, response_started, answer)
            }
            Event::Config(revision, source) => self.offer_revision(revision, source),
            Event::KeyRead(key, value) => self.key_read(key, value),
            Event::KeyWritten(key, result) => self.key_written(key, result),
            Event::Hosts(list) => {
                self.hosts_listed = true;
                self.members.update_list(now, list);
            }
            Event::Polled { runner, polled_at, reply } => {
                self.poll_answered(runner, polled_at, reply)
            }
            Event::Fenced(runner, epoch, reply) => self.fence_answered(runner, epoch, reply),
            Event::Ordered(runner, epoch, seq, reply) => {
                self.order_answered(runner, epoch, seq, reply)
            }
            Event::Frame(from, frame) => self.handle_frame(from, frame),
            Event::Stop => self.begin_stop(),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.actions)
    }

    /// The revision in force.
    pub fn revision(&self) -> &Arc<Revision> {
        self.revisions.current()
    }

    /// Whether the load balancer may send requests to this host.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.revisions.current().number > 0
    }

    /// Numbers of requests waiting and running on this host.
    pub fn requests(&self) -> (usize, usize) {
        let (waiting, running) = self.router.counts();
        (waiting + self.attempts.values().filter(|a| !a.granted).count(), running)
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    pub(crate) fn get(&mut self, key: Key) {
        self.actions.push(Action::Get(key));
    }

    pub(crate) fn put(&mut self, key: Key, base: u64, value: &impl serde::Serialize) {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        self.actions.push(Action::Put { key, base, bytes });
    }

    /// Sends a frame to the host `to`, if its address is known.
    pub(crate) fn send(&mut self, to: &Name, frame: Frame) {
        let address =
            self.members.peers().find(|p| p.listed.name == *to).map(|p| p.listed.link_addr.clone());
        if let Some(address) = address {
            self.actions.push(Action::Send(to.clone(), address, frame));
        }
    }

    /// Sends a frame to all hosts that are not suspected to have failed.
    pub(crate) fn broadcast(&mut self, frame: &Frame) {
        let names: Vec<Name> = self.reachable_peers();
        for name in names {
            self.send(&name, frame.clone());
        }
    }

    pub(crate) fn reachable_peers(&self) -> Vec<Name> {
        let is_reachable = |p: &&vanetally_member::Peer| {
            let last_seen = p.last_seen.unwrap_or(p.known_since);
            self.now.since(last_seen) < self.options.suspect_ms
        };
        self.members.peers().filter(is_reachable).map(|p| p.listed.name.clone()).collect()
    }

    fn key_read(&mut self, key: Key, value: Option<Option<crate::StoredValue>>) {
        match key {
            Key::Config => {}
            Key::Slot(slot) => self.slot_read(slot, value),
            Key::Group(group) => self.group_read(group, value),
            Key::Runner(runner) => self.runner_read(runner, value),
        }
    }

    fn key_written(&mut self, key: Key, result: Option<Result<u64, Option<crate::StoredValue>>>) {
        match key {
            Key::Config => {}
            Key::Slot(slot) => self.slot_written(slot, result),
            Key::Group(group) => self.group_written(group, result),
            Key::Runner(runner) => self.runner_written(runner, result),
        }
    }

    fn begin_stop(&mut self) {
        self.stopping = true;
        self.members.set_leaving();
        self.log("event=stopping".into());
        self.ping_all();
    }

    fn tick(&mut self) {
        self.detect_pause();
        self.tick_requests();
        if self.now < self.next_upkeep {
            return;
        }
        self.next_upkeep = self.now + UPKEEP_INTERVAL_MS;
        self.tick_gossip();
        self.tick_slots();
        self.tick_groups();
        self.tick_planning();
        if self.stopping && !self.stopped && self.is_drained() {
            self.stopped = true;
            self.actions.push(Action::Stopped);
        }
    }

    /// Restarts the timeouts of peers after a pause of this process, during which it could not
    /// receive their pings.
    fn detect_pause(&mut self) {
        let gap_ms = self.now.since(self.last_tick);
        self.last_tick = self.now;
        if gap_ms >= self.options.suspect_ms / 2 {
            self.members.reset_timeouts(self.now);
            self.log(format!("event=resumed gap_ms={gap_ms}"));
        }
    }

    /// Whether no requests, slots or leaderships are left to finish or to hand over.
    fn is_drained(&self) -> bool {
        let is_idle = self.requests() == (0, 0) && !self.has_recent_unacked();
        let no_peers = self.reachable_peers().is_empty();
        let holds = |s: &Slot| s.role() != vanetally_claim::Role::Other || s.is_handing_over();
        let leads = |g: &GroupLeadership| g.role() != vanetally_member::Role::Other;
        is_idle && (no_peers || !(self.slots.iter().any(holds) || self.groups.iter().any(leads)))
    }
}

/// Interval of all periodic work except that on requests.
const UPKEEP_INTERVAL_MS: u64 = 250;
/// Minimum interval between two writes of a slot's record.
const SLOT_WRITE_INTERVAL_MS: u64 = 100;
/// Maximum time that an attempt waits for its id to be written.
const SLOT_WAIT_LIMIT_MS: u64 = 5_000;
/// Maximum number of ids in a slot; keeps its record below a megabyte.
const MAX_SLOT_IDS: usize = 15_000;
