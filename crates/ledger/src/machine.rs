//! The state machine of one runner's steward.

use crate::{
    Action, DesiredEntries, Epoch, Event, Guards, Intent, LeaderState, Op, Record, Refusal, Report,
    RunnerSpec,
};
use std::collections::BTreeMap;
use vanetally_types::{Bytes, HostId, Name, Tick};

/// Most unsettled orders about one entry of a runner that does not check orders.
pub(crate) const MOST_OPEN: usize = 2;

/// A written order that was sent or is about to be.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Sent {
    pub seq: u64,
    pub op: Op,
}

/// Why an intent is believed to be sent no more, and since when.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Quiet {
    since: Tick,
    /// The runner's incarnation in the first report asked for after `since`.
    incarnation: Option<u64>,
}

/// The steward's knowledge of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) me: HostId,
    pub(crate) spec: RunnerSpec,
    pub(crate) guards: Guards,
    pub(crate) state: LeaderState,
    pub(crate) term: u64,
    pub(crate) epoch: Epoch,
    pub(crate) seq: u64,
    pub(crate) report: Option<Report>,
    /// When the last answer came; reports asked for before it are stale.
    pub(crate) settled: Tick,
    pub(crate) pending: Option<Sent>,
    /// What the plan wants; nothing is ordered before the first plan.
    pub(crate) desired: Option<DesiredEntries>,
    /// Entries that get no new requests, and since when.
    pub(crate) closing: BTreeMap<Name, Tick>,
    pub(crate) open: BTreeMap<u64, Intent>,
    quiet: BTreeMap<u64, Quiet>,
    pub(crate) writing: Option<Record>,
    /// An intent was settled and the record does not say so yet.
    pub(crate) stale: bool,
    /// The runner's epoch has to be raised before the next order.
    pub(crate) fence_due: bool,
    /// A fence or a write failed: the next one waits for the next tick.
    pub(crate) held_back: bool,
}

impl Ledger {
    /// The ledger of a runner that nobody has taken yet.
    pub fn new(me: HostId, spec: RunnerSpec, guards: Guards) -> Self {
        Self {
            me,
            spec,
            guards,
            state: LeaderState::Idle,
            term: 0,
            epoch: Epoch::default(),
            seq: 0,
            report: None,
            settled: Tick::default(),
            pending: None,
            desired: None,
            closing: BTreeMap::new(),
            open: BTreeMap::new(),
            quiet: BTreeMap::new(),
            writing: None,
            stale: false,
            fence_due: false,
            held_back: false,
        }
    }

    /// The runner's state as last believed.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// How far the stewardship has come.
    pub fn state(&self) -> LeaderState {
        self.state
    }

    /// What the plan last wanted.
    pub fn desired(&self) -> Option<&DesiredEntries> {
        self.desired.as_ref()
    }

    /// Memory that entries outside of the report may take.
    pub fn reserved_bytes(&self) -> Bytes {
        let reported = self.report.iter().flat_map(|r| r.entries.values());
        self.held_bytes() - reported.map(|h| h.bytes).sum::<Bytes>()
    }

    /// Orders that may be under way to a runner that does not check.
    pub fn open_intents(&self) -> usize {
        self.open.len()
    }

    /// The processes that sent them.
    pub fn issuers(&self) -> Vec<HostId> {
        self.open.values().map(|intent| intent.issuer.clone()).collect()
    }

    /// The sequence of the record that is being written.
    pub fn pending_write(&self) -> Option<u64> {
        self.writing.as_ref().map(|record| record.seq)
    }

    /// Entries that routers must send nothing to.
    pub fn closing(&self) -> impl Iterator<Item = &Name> {
        self.closing.keys()
    }

    /// Changes what the catalog says of the runner.
    pub fn set_spec(&mut self, spec: RunnerSpec) {
        self.spec = spec;
    }

    /// Memory that is or may become taken, each entry counted once.
    pub fn held_bytes(&self) -> Bytes {
        let mut held: BTreeMap<&Name, Bytes> = BTreeMap::new();
        for (name, entry) in self.report.iter().flat_map(|r| &r.entries) {
            held.insert(name, entry.bytes);
        }
        if let Some(sent) = &self.pending {
            count(&mut held, &sent.op);
        }
        if self.guards.hold_open {
            self.open.values().for_each(|intent| count(&mut held, &intent.op));
        }
        held.values().sum()
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply(now, event, &mut actions);
        self.settle(now);
        self.step(now, &mut actions);
        actions
    }

    fn apply(&mut self, now: Tick, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LeadershipAcquired { term, record } => self.take(term, record, actions),
            Event::LeadershipLost => self.drop_all(),
            Event::Fenced { epoch, report } => self.fenced(now, epoch, report),
            Event::StaleEpoch { sent, current } => self.outranked(sent, current, actions),
            Event::FenceUnanswered { epoch } => self.fence_lost(epoch),
            Event::Reported { polled_at, report } => self.reported(polled_at, report),
            Event::Desired(desired) => self.want(desired),
            Event::Written { seq } => self.written(now, seq, actions),
            Event::WriteUnconfirmed => self.write_lost(),
            Event::WriteConflict(record) => self.write_refused(now, record, actions),
            Event::Answered { seq, result, report } => self.answered(now, seq, result, report),
            Event::OrderUnanswered { seq } => self.order_lost(now, seq),
            Event::Ended(host) => self.ended(now, &host),
            Event::Tick => self.held_back = false,
        }
    }

    fn take(&mut self, term: u64, record: Option<Record>, actions: &mut Vec<Action>) {
        if self.state != LeaderState::Idle && term <= self.term {
            return;
        }
        self.drop_all();
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
        self.open = record.map(|r| r.open).unwrap_or_default();
        self.write(actions);
    }

    pub(crate) fn drop_all(&mut self) {
        self.state = LeaderState::Idle;
        self.pending = None;
        self.closing.clear();
        self.open.clear();
        self.quiet.clear();
        self.writing = None;
        self.stale = false;
        self.fence_due = false;
        self.report = None;
    }

    fn fenced(&mut self, now: Tick, epoch: Epoch, report: Report) {
        if self.state != LeaderState::Opening || epoch != self.epoch {
            return;
        }
        self.state = LeaderState::Open;
        self.seq = report.seq;
        self.pending = None;
        self.settled = now;
        self.report = Some(report);
    }

    fn refence(&mut self) {
        if self.state == LeaderState::Idle || !self.spec.fenced {
            return;
        }
        self.state = LeaderState::Opening;
        self.epoch = self.epoch.next();
        self.fence_due = true;
    }

    fn fence_lost(&mut self, epoch: Epoch) {
        if self.state == LeaderState::Opening && epoch == self.epoch {
            self.held_back = true;
            self.refence();
        }
    }

    /// An answer to an earlier fence or order is late and says nothing of the present one.
    fn outranked(&mut self, of: Epoch, epoch: Epoch, actions: &mut Vec<Action>) {
        if self.state == LeaderState::Idle || of != self.epoch {
            return;
        }
        if epoch.term() > self.term {
            self.drop_all();
            actions.push(Action::RaiseTerm(epoch.term()));
            return;
        }
        self.epoch = self.epoch.max(epoch);
        self.refence();
    }

    fn reported(&mut self, polled_at: Tick, report: Report) {
        if self.guards.report_order && polled_at <= self.settled {
            return;
        }
        let restarted = self.report.as_ref().is_some_and(|r| r.incarnation != report.incarnation);
        let forgot = self.state == LeaderState::Open && report.epoch != self.epoch.0;
        self.observe(polled_at, report.incarnation);
        if self.spec.fenced && (restarted || forgot) && self.state == LeaderState::Open {
            self.report = Some(report);
            return self.refence();
        }
        if self.spec.fenced && self.pending.as_ref().is_some_and(|s| report.seq < s.seq) {
            return;
        }
        self.report = Some(report);
    }

    /// Notes the runner's incarnation for intents whose sender is quiet.
    fn observe(&mut self, polled_at: Tick, incarnation: u64) {
        let open = &mut self.open;
        self.quiet.retain(|seq, quiet| match quiet.incarnation {
            None if polled_at > quiet.since => {
                quiet.incarnation = Some(incarnation);
                true
            }
            Some(first) if incarnation > first => {
                open.remove(seq);
                self.stale = true;
                false
            }
            _ => true,
        });
    }

    fn want(&mut self, desired: DesiredEntries) {
        self.closing.retain(|name, _| !desired.contains_key(name));
        self.desired = Some(desired);
    }

    fn answered(&mut self, now: Tick, seq: u64, result: Result<(), Refusal>, report: Report) {
        if self.pending.as_ref().is_none_or(|s| s.seq != seq) {
            return;
        }
        let sent = self.pending.take();
        if self.open.remove(&seq).is_some() {
            self.stale = true;
        }
        if let (Some(Sent { op: Op::Unload { entry }, .. }), Ok(())) = (&sent, result) {
            self.closing.remove(entry);
        }
        self.held_back |= result.is_err();
        self.settled = now;
        self.report = Some(report);
    }

    fn order_lost(&mut self, now: Tick, seq: u64) {
        if self.pending.as_ref().is_none_or(|s| s.seq != seq) {
            return;
        }
        if self.spec.fenced && self.guards.refence {
            return self.refence();
        }
        self.pending = None;
        if self.open.contains_key(&seq) {
            self.quiet.insert(seq, Quiet { since: now, incarnation: None });
        }
    }

    fn ended(&mut self, now: Tick, host: &HostId) {
        for (seq, intent) in &self.open {
            if intent.issuer == *host && !self.quiet.contains_key(seq) {
                self.quiet.insert(*seq, Quiet { since: now, incarnation: None });
            }
        }
    }

    /// Settles intents that can be under way no more by the operator's bound.
    fn settle(&mut self, now: Tick) {
        if !self.guards.issuer_quiet {
            let others = self.open.iter().filter(|(_, i)| i.issuer != self.me);
            let seqs: Vec<u64> = others.map(|(seq, _)| *seq).collect();
            for seq in seqs {
                self.open.remove(&seq);
            }
        }
        let Some(life) = self.spec.order_ttl_ms else {
            return;
        };
        let over: Vec<u64> = self
            .quiet
            .iter()
            .filter(|(_, quiet)| now.since(quiet.since) > life)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in over {
            self.quiet.remove(&seq);
            self.open.remove(&seq);
            self.stale = true;
        }
    }
}

/// Counts the memory that `op` may take, once for each entry.
fn count<'a>(held: &mut BTreeMap<&'a Name, Bytes>, op: &'a Op) {
    if let Op::Load { entry, bytes, .. } = op {
        let counted = held.entry(entry).or_insert(0);
        *counted = (*counted).max(*bytes);
    }
}
