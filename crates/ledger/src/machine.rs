//! The state machine of one runner's leader.

use crate::{
    Action, DesiredEntries, Epoch, Event, Guards, Intent, LeaderState, Op, Record, Refusal, Report,
    RunnerSpec,
};
use std::collections::BTreeMap;
use vanetally_types::{Bytes, HostId, Name, Tick};

/// Maximum number of open intents for one entry of a runner that does not check orders.
pub(crate) const MAX_OPEN_INTENTS: usize = 2;

/// An order that was sent, or is sent once its intent is written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingOrder {
    pub seq: u64,
    pub op: Op,
}

/// An open intent whose order can't be sent any more but may still arrive at the runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QuiescedIntent {
    /// Since when the order can't be sent any more.
    since: Tick,
    /// The runner's incarnation in the first report polled after `since`. A later incarnation
    /// proves that the order can't arrive any more.
    incarnation: Option<u64>,
}

/// The leader's state of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) host_id: HostId,
    pub(crate) spec: RunnerSpec,
    pub(crate) guards: Guards,
    pub(crate) state: LeaderState,
    pub(crate) term: u64,
    pub(crate) epoch: Epoch,
    pub(crate) seq: u64,
    pub(crate) report: Option<Report>,
    /// Reports of polls sent up to this time are ignored: they may predate the last answer or the
    /// start of the leadership.
    pub(crate) stale_until: Tick,
    pub(crate) pending_order: Option<PendingOrder>,
    /// The plan's entries; nothing is ordered before the first plan.
    pub(crate) desired: Option<DesiredEntries>,
    /// Entries closed for new requests before they are unloaded, and since when.
    pub(crate) closing: BTreeMap<Name, Tick>,
    /// Orders to an unfenced runner that may be in flight, by sequence number.
    pub(crate) open_intents: BTreeMap<u64, Intent>,
    quiesced: BTreeMap<u64, QuiescedIntent>,
    pub(crate) pending_write: Option<Record>,
    /// Whether the stored record must be rewritten: an intent was settled, or a write failed.
    pub(crate) record_stale: bool,
    /// Whether the runner's epoch must be raised before the next order.
    pub(crate) fence_due: bool,
    /// Whether the next action waits for a tick, because a fence, a write or an order failed.
    pub(crate) deferred: bool,
}

impl Ledger {
    /// Creates the ledger of a runner that this process does not lead yet.
    pub fn new(host_id: HostId, spec: RunnerSpec, guards: Guards) -> Self {
        Self {
            host_id,
            spec,
            guards,
            state: LeaderState::Idle,
            term: 0,
            epoch: Epoch::default(),
            seq: 0,
            report: None,
            stale_until: Tick::default(),
            pending_order: None,
            desired: None,
            closing: BTreeMap::new(),
            open_intents: BTreeMap::new(),
            quiesced: BTreeMap::new(),
            pending_write: None,
            record_stale: false,
            fence_due: false,
            deferred: false,
        }
    }

    /// The last accepted report of the runner.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// The state of the leadership.
    pub fn state(&self) -> LeaderState {
        self.state
    }

    /// The entries of the last plan.
    pub fn desired(&self) -> Option<&DesiredEntries> {
        self.desired.as_ref()
    }

    /// Memory that entries missing from the last report may take.
    pub fn reserved_bytes(&self) -> Bytes {
        let reported = self.report.iter().flat_map(|r| r.entries.values());
        self.held_bytes() - reported.map(|h| h.bytes).sum::<Bytes>()
    }

    /// Number of orders that may be in flight to a runner that does not check orders.
    pub fn open_intents(&self) -> usize {
        self.open_intents.len()
    }

    /// The processes that issued the open intents.
    pub fn issuers(&self) -> Vec<HostId> {
        self.open_intents.values().map(|intent| intent.issuer.clone()).collect()
    }

    /// The sequence number of the record that is being written.
    pub fn pending_write(&self) -> Option<u64> {
        self.pending_write.as_ref().map(|record| record.seq)
    }

    /// Entries to which routers must send no requests.
    pub fn closing(&self) -> impl Iterator<Item = &Name> {
        self.closing.keys()
    }

    /// Sets the catalog's properties of the runner.
    pub fn set_spec(&mut self, spec: RunnerSpec) {
        self.spec = spec;
    }

    /// Memory that entries take or may take; each entry counts once.
    pub fn held_bytes(&self) -> Bytes {
        let mut held: BTreeMap<&Name, Bytes> = BTreeMap::new();
        for (name, entry) in self.report.iter().flat_map(|r| &r.entries) {
            held.insert(name, entry.bytes);
        }
        if let Some(sent) = &self.pending_order {
            count_bytes(&mut held, &sent.op);
        }
        if self.guards.hold_open {
            self.open_intents.values().for_each(|intent| count_bytes(&mut held, &intent.op));
        }
        held.values().sum()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply(now, event, &mut actions);
        self.expire_intents(now);
        self.next_action(now, &mut actions);
        actions
    }

    fn apply(&mut self, now: Tick, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LeadershipAcquired { term, record } => self.acquire(term, record, actions),
            Event::LeadershipLost => self.reset(),
            Event::Fenced { epoch, report } => self.fenced(now, epoch, report),
            Event::StaleEpoch { sent, current } => self.stale_epoch(sent, current, actions),
            Event::FenceUnanswered { epoch } => self.fence_unanswered(epoch),
            Event::Reported { polled_at, report } => self.reported(polled_at, report),
            Event::Desired(desired) => self.set_desired(desired),
            Event::Written { seq } => self.written(now, seq, actions),
            Event::WriteUnconfirmed => self.write_unconfirmed(),
            Event::WriteConflict(record) => self.write_conflict(now, record, actions),
            Event::Answered { seq, result, report } => self.answered(now, seq, result, report),
            Event::OrderUnanswered { seq } => self.order_unanswered(now, seq),
            Event::Ended(host) => self.ended(now, &host),
            Event::Tick => self.deferred = false,
        }
    }

    fn acquire(&mut self, term: u64, record: Option<Record>, actions: &mut Vec<Action>) {
        if self.state != LeaderState::Idle && term <= self.term {
            return;
        }
        self.reset();
        self.term = term;
        self.state = LeaderState::Opening;
        if self.spec.fenced {
            self.epoch = Epoch::first(term);
            self.fence_due = true;
            return;
        }
        if record.as_ref().is_some_and(|r| r.term > term) {
            actions.push(Action::RaiseTerm(record.map_or(0, |r| r.term)));
            return;
        }
        self.seq = record.as_ref().map_or(0, |r| r.seq);
        self.open_intents = record.map(|r| r.open).unwrap_or_default();
        self.write_record(actions);
    }

    pub(crate) fn reset(&mut self) {
        self.state = LeaderState::Idle;
        self.pending_order = None;
        self.closing.clear();
        self.open_intents.clear();
        self.quiesced.clear();
        self.pending_write = None;
        self.record_stale = false;
        self.fence_due = false;
        self.report = None;
    }

    fn fenced(&mut self, now: Tick, epoch: Epoch, report: Report) {
        if self.state != LeaderState::Opening || epoch != self.epoch {
            return;
        }
        self.state = LeaderState::Open;
        self.seq = report.seq;
        self.pending_order = None;
        self.stale_until = now;
        self.report = Some(report);
    }

    /// Schedules a fence with a new epoch.
    fn refence(&mut self) {
        if self.state == LeaderState::Idle || !self.spec.fenced {
            return;
        }
        self.state = LeaderState::Opening;
        self.epoch = self.epoch.next();
        self.fence_due = true;
    }

    fn fence_unanswered(&mut self, epoch: Epoch) {
        if self.state == LeaderState::Opening && epoch == self.epoch {
            self.deferred = true;
            self.refence();
        }
    }

    /// Raises the epoch above the runner's; ignores answers to fences and orders of earlier epochs.
    fn stale_epoch(&mut self, sent: Epoch, current: Epoch, actions: &mut Vec<Action>) {
        if self.state == LeaderState::Idle || sent != self.epoch {
            return;
        }
        if current.term() > self.term {
            self.reset();
            actions.push(Action::RaiseTerm(current.term()));
            return;
        }
        self.epoch = self.epoch.max(current);
        self.refence();
    }

    fn reported(&mut self, polled_at: Tick, report: Report) {
        if self.guards.report_order && polled_at <= self.stale_until {
            return;
        }
        let is_restarted =
            self.report.as_ref().is_some_and(|r| r.incarnation != report.incarnation);
        let is_epoch_lost = self.state == LeaderState::Open && report.epoch != self.epoch.0;
        self.observe_incarnation(polled_at, report.incarnation);
        if self.spec.fenced && (is_restarted || is_epoch_lost) && self.state == LeaderState::Open {
            self.report = Some(report);
            return self.refence();
        }
        if self.spec.fenced && self.pending_order.as_ref().is_some_and(|s| report.seq < s.seq) {
            return;
        }
        self.report = Some(report);
    }

    /// Records the runner's incarnation for quiesced intents, and settles those that precede a
    /// restart of the runner.
    fn observe_incarnation(&mut self, polled_at: Tick, incarnation: u64) {
        let open_intents = &mut self.open_intents;
        self.quiesced.retain(|seq, intent| match intent.incarnation {
            None if polled_at > intent.since => {
                intent.incarnation = Some(incarnation);
                true
            }
            Some(first) if incarnation > first => {
                open_intents.remove(seq);
                self.record_stale = true;
                false
            }
            _ => true,
        });
    }

    fn set_desired(&mut self, desired: DesiredEntries) {
        self.closing.retain(|name, _| !desired.contains_key(name));
        self.desired = Some(desired);
    }

    fn answered(&mut self, now: Tick, seq: u64, result: Result<(), Refusal>, report: Report) {
        if self.pending_order.as_ref().is_none_or(|s| s.seq != seq) {
            return;
        }
        let sent = self.pending_order.take();
        if self.open_intents.remove(&seq).is_some() {
            self.record_stale = true;
        }
        if let (Some(PendingOrder { op: Op::Unload { entry }, .. }), Ok(())) = (&sent, result) {
            self.closing.remove(entry);
        }
        self.deferred |= result.is_err();
        self.stale_until = now;
        self.report = Some(report);
    }

    fn order_unanswered(&mut self, now: Tick, seq: u64) {
        if self.pending_order.as_ref().is_none_or(|s| s.seq != seq) {
            return;
        }
        if self.spec.fenced && self.guards.refence {
            return self.refence();
        }
        self.pending_order = None;
        if self.open_intents.contains_key(&seq) {
            self.quiesced.insert(seq, QuiescedIntent { since: now, incarnation: None });
        }
    }

    /// Marks the open intents of an ended process as quiesced.
    fn ended(&mut self, now: Tick, host: &HostId) {
        for (seq, intent) in &self.open_intents {
            if intent.issuer == *host && !self.quiesced.contains_key(seq) {
                self.quiesced.insert(*seq, QuiescedIntent { since: now, incarnation: None });
            }
        }
    }

    /// Settles intents whose orders can't arrive any more by the operator's bound.
    fn expire_intents(&mut self, now: Tick) {
        if !self.guards.issuer_quiet {
            let others = self.open_intents.iter().filter(|(_, i)| i.issuer != self.host_id);
            let seqs: Vec<u64> = others.map(|(seq, _)| *seq).collect();
            for seq in seqs {
                self.open_intents.remove(&seq);
            }
        }
        let Some(ttl_ms) = self.spec.order_ttl_ms else {
            return;
        };
        let expired: Vec<u64> = self
            .quiesced
            .iter()
            .filter(|(_, intent)| now.since(intent.since) > ttl_ms)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in expired {
            self.quiesced.remove(&seq);
            self.open_intents.remove(&seq);
            self.record_stale = true;
        }
    }
}

/// Adds the memory that `op` may take, unless its entry already counts for as much.
fn count_bytes<'a>(held: &mut BTreeMap<&'a Name, Bytes>, op: &'a Op) {
    if let Op::Load { entry, bytes, .. } = op {
        let counted = held.entry(entry).or_insert(0);
        *counted = (*counted).max(*bytes);
    }
}
