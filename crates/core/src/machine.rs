//! The core's parts and the dispatch of events.

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

/// What a core is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process.
    pub me: HostId,
    /// How this host is listed.
    pub listed: ListedHost,
    /// Slots of once-only ids; the same on all hosts.
    pub slots: u16,
    /// Groups of runners; the same on all hosts.
    pub groups: u16,
    /// Between two polls of a runner, in milliseconds.
    pub poll_ms: u64,
    /// Between two pings, in milliseconds.
    pub ping_ms: u64,
    /// A peer silent for this long is suspected, in milliseconds.
    pub suspect_ms: u64,
    /// No deadline lies further ahead than this, in milliseconds.
    pub horizon_ms: u64,
    /// Most requests waiting for a replica.
    pub max_queued: usize,
}

/// What is known of polling one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probe {
    pub in_flight: bool,
    pub next_poll: Tick,
    pub failures: u32,
    /// The last report sent to peers and when.
    pub last_sent: Option<(UpstreamStatus, Tick)>,
}

/// All decisions of one entry host.
pub struct Core {
    pub(crate) options: Options,
    pub(crate) now: Tick,
    pub(crate) actions: Vec<Action>,
    pub(crate) keeper: RevisionTracker,
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
    pub(crate) config_requested: Tick,
    // Once-only requests.
    pub(crate) slots: Vec<Slot>,
    pub(crate) slot_holders: BTreeMap<u16, EpochHolder>,
    pub(crate) last_reads: BTreeMap<u16, Tick>,
    pub(crate) takeover_reads: BTreeSet<u16>,
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    pub(crate) unacked_outcomes: BTreeMap<Ticket, (Id, Outcome, Tick, Tick)>,
    // Runners.
    pub(crate) groups: Vec<GroupLeadership>,
    pub(crate) group_leaders: BTreeMap<u16, EpochHolder>,
    pub(crate) last_claims: BTreeMap<u16, Tick>,
    pub(crate) ledgers: BTreeMap<Name, Ledger>,
    pub(crate) record_versions: BTreeMap<Key, u64>,
    pub(crate) pending_terms: BTreeMap<Name, u64>,
    pub(crate) probes: BTreeMap<Name, Probe>,
    pub(crate) runner_status: BTreeMap<Name, UpstreamStatus>,
    // Planning.
    pub(crate) planner: Planner,
    pub(crate) planning_since: Option<Tick>,
    pub(crate) next_plan: Tick,
    pub(crate) next_demand_report: Tick,
    pub(crate) lost_since: BTreeMap<Name, Tick>,
    pub(crate) sent_desired: BTreeMap<Name, (u64, Tick)>,
    // Peers.
    pub(crate) gossip: GossipState,
}

impl Core {
    /// A core at its start.
    pub fn new(now: Tick, options: Options) -> Self {
        let slot_options = vanetally_claim::Options {
            retention_ms: options.horizon_ms,
            write_interval_ms: SLOT_WRITE_INTERVAL_MS,
            wait_limit_ms: SLOT_WAIT_LIMIT_MS,
            max_ids: MAX_SLOT_IDS,
            guards: vanetally_claim::Guards::ON,
        };
        let me = options.me.clone();
        let router = vanetally_route::Options {
            domain: options.listed.domain.clone(),
            max_queued: options.max_queued,
        };
        Self {
            now,
            actions: Vec::new(),
            keeper: RevisionTracker::default(),
            members: Members::new(me.clone(), options.suspect_ms),
            router: Router::new(router),
            started: now,
            last_tick: now,
            next_upkeep: now,
            next_liveness_check: now,
            hosts_listed: false,
            stopping: false,
            stopped: false,
            watching: None,
            config_requested: Tick::default(),
            slots: (0..options.slots).map(|_| Slot::new(me.clone(), slot_options)).collect(),
            slot_holders: BTreeMap::new(),
            last_reads: BTreeMap::new(),
            takeover_reads: BTreeSet::new(),
            attempts: BTreeMap::new(),
            unacked_outcomes: BTreeMap::new(),
            groups: (0..options.groups).map(|_| GroupLeadership::new(me.clone())).collect(),
            group_leaders: BTreeMap::new(),
            last_claims: BTreeMap::new(),
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

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Arrive(arrival) => self.handle_arrival(arrival),
            Event::Ended { id, end, response_started: sent, answer } => {
                self.attempt_ended(id, end, sent, answer)
            }
            Event::Config(revision, source) => self.offer_revision(revision, source),
            Event::KeyRead(key, value) => self.key_read(key, value),
            Event::KeyWritten(key, result) => self.key_written(key, result),
            Event::Hosts(list) => {
                self.hosts_listed = true;
                self.members.update_list(now, list);
            }
            Event::Polled { runner, polled_at: asked, reply: polled } => {
                self.poll_answered(runner, asked, polled)
            }
            Event::Fenced(runner, epoch, fenced) => self.fence_answered(runner, epoch, fenced),
            Event::Ordered(runner, of, seq, ordered) => {
                self.order_answered(runner, of, seq, ordered)
            }
            Event::Frame(from, frame) => self.handle_frame(from, frame),
            Event::Stop => self.begin_stop(),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.actions)
    }

    /// The revision in force.
    pub fn revision(&self) -> &Arc<Revision> {
        self.keeper.current()
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.keeper.current().number > 0
    }

    /// Requests waiting and running here.
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

    /// Sends a frame to all hosts that may be there.
    pub(crate) fn broadcast(&mut self, frame: &Frame) {
        let names: Vec<Name> = self.reachable_peers();
        for name in names {
            self.send(&name, frame.clone());
        }
    }

    pub(crate) fn reachable_peers(&self) -> Vec<Name> {
        let spoke = |p: &&vanetally_member::Peer| {
            let last = p.last_seen.unwrap_or(p.known_since);
            self.now.since(last) < self.options.suspect_ms
        };
        self.members.peers().filter(spoke).map(|p| p.listed.name.clone()).collect()
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

    /// A host that was paused must not take its own silence for that of others.
    fn detect_pause(&mut self) {
        let gap = self.now.since(self.last_tick);
        self.last_tick = self.now;
        if gap >= self.options.suspect_ms / 2 {
            self.members.reset_timeouts(self.now);
            self.log(format!("event=resumed gap_ms={gap}"));
        }
    }

    /// Whether nothing is left to finish or to hand over.
    fn is_drained(&self) -> bool {
        let idle = self.requests() == (0, 0) && !self.has_recent_unacked();
        let alone = self.reachable_peers().is_empty();
        let held = |s: &Slot| s.role() != vanetally_claim::Role::Other || s.is_handing_over();
        let steward = |g: &GroupLeadership| g.role() != vanetally_member::Role::Other;
        idle && (alone || !(self.slots.iter().any(held) || self.groups.iter().any(steward)))
    }
}

/// Between two rounds of everything that is not about requests, in milliseconds.
const UPKEEP_INTERVAL_MS: u64 = 250;
/// Least time between two writes of a slot, in milliseconds.
const SLOT_WRITE_INTERVAL_MS: u64 = 100;
/// How long an attempt waits for its id to be written, in milliseconds.
const SLOT_WAIT_LIMIT_MS: u64 = 5_000;
/// Most ids in a slot, so that its record stays below a megabyte.
const MAX_SLOT_IDS: usize = 15_000;
