//! Model of the memory of one runner under two leaders.
//!
//! Orders, their answers, polls and writes are messages that arrive at any later time, in any
//! order, or never. A leader may pause at any point, which is to take no step. The runner may
//! restart, and a leader may crash and restart as a new incarnation.

use crate::{State, Steps};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ledger::{
    Action, DesiredEntries, DesiredEntry, Epoch, Event, Guards, HeldEntry, Ledger, Order, Phase,
    Record, Refusal, Report, RunnerSpec,
};
use vanetally_types::{HostId, Name, Tick};

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether the ledgers assume that the runner rejects stale fences and orders.
    pub assumes_fence: bool,
    /// Whether the runner does reject them.
    pub enforces_fence: bool,
    /// Guards of the ledgers; each can be switched off.
    pub guards: Guards,
    /// Whether a plan may ask for more entries than fit.
    pub exceeds_capacity: bool,
    /// Maximum number of times that a host becomes the leader.
    pub takeovers: u8,
    /// Maximum number of changes of the plan.
    pub plan_changes: u8,
    /// Maximum number of polls of the runner.
    pub polls: u8,
    /// Maximum number of restarts of the runner.
    pub restarts: u8,
    /// Maximum number of crashes of a host.
    pub crashes: u8,
    /// Maximum number of answers that are lost or no longer waited for.
    pub lost_answers: u8,
}

/// A message in flight to the runner or the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Fence {
        host: usize,
        epoch: u64,
    },
    /// `bound_to` is the incarnation of the runner that the order's connection leads to. It is set
    /// once the sender no longer waits for the answer.
    Order {
        host: usize,
        seq: u64,
        epoch: u64,
        entry: u8,
        is_load: bool,
        bound_to: Option<u64>,
    },
    Write {
        host: usize,
        base: u64,
        seq: u64,
        awaited: bool,
    },
}

/// An answer in flight to a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Answer {
    Fenced { host: usize, epoch: u64, report: Report },
    StaleEpoch { host: usize, sent: u64, current: u64 },
    Ordered { host: usize, seq: u64, result: Result<(), Refusal>, report: Report },
    Report { host: usize, polled_at: u64, report: Report },
}

/// A host that can become the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    ledger: Ledger,
    id: HostId,
    /// Version of the record as this host last saw it.
    version: u64,
    /// Record that this host wrote last; answers to earlier writes are ignored.
    record: Option<Record>,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Runner {
    options: Options,
    report: Report,
    hosts: Vec<Host>,
    messages: BTreeSet<Message>,
    answers: BTreeSet<Answer>,
    /// Version and record at the platform.
    stored: Option<(u64, Record)>,
    /// Version of the last write.
    version: u64,
    /// Records of the writes in flight, by host and sequence number.
    pending_writes: BTreeMap<(usize, u64), Record>,
    /// Number of the last term of leadership.
    term: u64,
    /// Time, which advances with each poll and each answer.
    clock: u64,
}

const ENTRY_NAMES: [&str; 2] = ["x", "y"];
const ENTRY_BYTES: u64 = 2;
const CAPACITY_BYTES: u64 = 3;

/// Returns a plan of these entries.
fn desired(entries: &[&str]) -> DesiredEntries {
    let desired_entry =
        |name: &&str| (Name::from(*name), DesiredEntry { bytes: ENTRY_BYTES, base: None });
    entries.iter().map(desired_entry).collect()
}

impl Runner {
    /// An empty runner and two hosts, neither of which is the leader yet.
    pub fn new(options: Options) -> Self {
        let host = |at: u64| {
            let id = HostId::new(["a", "b"][at as usize], 1);
            Host { ledger: ledger(&id, options), id, version: 0, record: None }
        };
        Self {
            options,
            report: Report { incarnation: 1, ..Report::default() },
            hosts: vec![host(0), host(1)],
            messages: BTreeSet::new(),
            answers: BTreeSet::new(),
            stored: None,
            version: 0,
            pending_writes: BTreeMap::new(),
            term: 0,
            clock: 1,
        }
    }

    fn used_bytes(&self) -> u64 {
        self.report.entries.values().map(|held| held.bytes).sum()
    }

    /// Passes an event to the ledger of a host and carries out the actions that it returns.
    fn handle_event(&mut self, host: usize, event: Event) {
        let now = Tick(self.clock);
        let actions = self.hosts[host].ledger.handle(now, event);
        for action in actions {
            match action {
                Action::Fence(epoch) => {
                    self.messages.insert(Message::Fence { host, epoch: epoch.0 });
                }
                Action::Write(record) => {
                    let (base, seq) = (self.hosts[host].version, record.seq);
                    self.pending_writes.insert((host, seq), record.clone());
                    self.hosts[host].record = Some(record);
                    self.messages.insert(Message::Write { host, base, seq, awaited: true });
                }
                Action::Send(order) => self.send(host, &order),
                Action::RaiseTerm(_) | Action::StepDown => {}
            }
        }
    }

    fn send(&mut self, host: usize, order: &Order) {
        let entry =
            ENTRY_NAMES.iter().position(|name| **name == **order.op.entry()).unwrap_or(0) as u8;
        let is_load = order.op.bytes() > 0;
        let (seq, epoch) = (order.seq, order.epoch.0);
        self.messages.insert(Message::Order { host, seq, epoch, entry, is_load, bound_to: None });
    }

    fn deliver(&mut self, message: &Message) {
        self.messages.remove(message);
        match message {
            Message::Fence { host, epoch } => self.handle_fence(*host, *epoch),
            Message::Order { host, seq, epoch, entry, is_load, bound_to } => {
                if bound_to.is_none_or(|incarnation| incarnation == self.report.incarnation)
                    || self.options.assumes_fence
                {
                    self.handle_order(*host, *seq, *epoch, *entry, *is_load, bound_to.is_none());
                }
            }
            Message::Write { host, base, seq, awaited } => self.write(*host, *base, *seq, *awaited),
        }
    }

    fn handle_fence(&mut self, host: usize, epoch: u64) {
        if self.options.enforces_fence && epoch < self.report.epoch {
            let (sent, current) = (epoch, self.report.epoch);
            self.answers.insert(Answer::StaleEpoch { host, sent, current });
            return;
        }
        if epoch > self.report.epoch {
            self.report.epoch = epoch;
            self.report.seq = 0;
        }
        let report = self.report.clone();
        self.answers.insert(Answer::Fenced { host, epoch, report });
    }

    fn handle_order(
        &mut self,
        host: usize,
        seq: u64,
        epoch: u64,
        entry: u8,
        is_load: bool,
        awaited: bool,
    ) {
        let is_stale = epoch != self.report.epoch || seq <= self.report.seq;
        if self.options.enforces_fence && is_stale {
            if awaited {
                let (sent, current) = (epoch, self.report.epoch);
                self.answers.insert(Answer::StaleEpoch { host, sent, current });
            }
            return;
        }
        self.report.seq = seq;
        let name: Name = ENTRY_NAMES[usize::from(entry)].into();
        if is_load {
            let held =
                HeldEntry { phase: Phase::Resident, bytes: ENTRY_BYTES, in_flight: 0, base: None };
            self.report.entries.insert(name, held);
        } else {
            self.report.entries.remove(&name);
        }
        if awaited {
            let report = self.report.clone();
            self.answers.insert(Answer::Ordered { host, seq, result: Ok(()), report });
        }
    }

    /// The platform handles a write. Its answer arrives at once, or is lost if nobody waits for it.
    fn write(&mut self, host: usize, base: u64, seq: u64, awaited: bool) {
        let Some(record) = self.pending_writes.remove(&(host, seq)) else {
            return;
        };
        let current = self.stored.as_ref().map_or(0, |stored| stored.0);
        let is_applied = current == base;
        if is_applied {
            self.version += 1;
            self.stored = Some((self.version, record));
        }
        let awaited = awaited && self.hosts[host].record.as_ref().is_some_and(|r| r.seq == seq);
        if !awaited {
            return;
        }
        self.hosts[host].version = self.stored.as_ref().map_or(0, |stored| stored.0);
        match is_applied {
            true => self.handle_event(host, Event::Written { seq }),
            false => {
                let record = self.stored.as_ref().map(|stored| stored.1.clone());
                self.handle_event(host, Event::WriteConflict(record));
            }
        }
    }

    /// The sender of a message stops waiting for the answer; the message may still arrive. Returns
    /// whether the sender was waiting.
    fn give_up(&mut self, message: &Message) -> bool {
        match message {
            Message::Fence { host, epoch } => {
                self.handle_event(*host, Event::FenceUnanswered { epoch: Epoch(*epoch) });
                true
            }
            Message::Order { host, seq, epoch, entry, is_load, bound_to: None } => {
                self.messages.remove(message);
                let bound_to = Some(self.report.incarnation);
                let (host, seq) = (*host, *seq);
                let late = Message::Order {
                    host,
                    seq,
                    epoch: *epoch,
                    entry: *entry,
                    is_load: *is_load,
                    bound_to,
                };
                self.messages.insert(late);
                self.handle_event(host, Event::OrderUnanswered { seq });
                true
            }
            Message::Write { host, base, seq, awaited: true } => {
                self.messages.remove(message);
                let (host, seq) = (*host, *seq);
                self.messages.insert(Message::Write { host, base: *base, seq, awaited: false });
                self.handle_event(host, Event::WriteUnconfirmed);
                true
            }
            _ => false,
        }
    }

    fn receive(&mut self, answer: &Answer) {
        self.answers.remove(answer);
        self.clock += 1;
        match answer.clone() {
            Answer::Fenced { host, epoch, report } => {
                self.handle_event(host, Event::Fenced { epoch: Epoch(epoch), report });
            }
            Answer::StaleEpoch { host, sent, current } => {
                let (sent, current) = (Epoch(sent), Epoch(current));
                self.handle_event(host, Event::StaleEpoch { sent, current });
            }
            Answer::Ordered { host, seq, result, report } => {
                self.handle_event(host, Event::Answered { seq, result, report });
            }
            Answer::Report { host, polled_at, report } => {
                self.handle_event(host, Event::Reported { polled_at: Tick(polled_at), report });
            }
        }
    }

    /// The answer is lost on its way to the host.
    fn lose_answer(&mut self, answer: &Answer) {
        self.answers.remove(answer);
        match answer.clone() {
            Answer::Ordered { host, seq, .. } => {
                self.handle_event(host, Event::OrderUnanswered { seq })
            }
            Answer::Fenced { host, epoch, .. } => {
                self.handle_event(host, Event::FenceUnanswered { epoch: Epoch(epoch) });
            }
            Answer::StaleEpoch { .. } | Answer::Report { .. } => {}
        }
    }

    fn take_over(&mut self, host: usize) {
        self.options.takeovers -= 1;
        self.term += 1;
        self.hosts[host].version = self.stored.as_ref().map_or(0, |stored| stored.0);
        let record = self
            .stored
            .as_ref()
            .map(|stored| stored.1.clone())
            .filter(|_| !self.options.assumes_fence);
        self.handle_event(host, Event::LeadershipAcquired { term: self.term, record });
    }

    fn poll(&mut self, host: usize) {
        self.options.polls -= 1;
        self.clock += 1;
        let (polled_at, report) = (self.clock, self.report.clone());
        self.answers.insert(Answer::Report { host, polled_at, report });
    }

    fn restart(&mut self) {
        self.options.restarts -= 1;
        let incarnation = self.report.incarnation + 1;
        self.report = Report { incarnation, ..Report::default() };
        // Connections to the previous incarnation are closed.
        if !self.options.assumes_fence {
            self.messages.retain(|m| !matches!(m, Message::Order { bound_to: Some(_), .. }));
        }
    }

    fn crash(&mut self, host: usize) {
        self.options.crashes -= 1;
        let old = self.hosts[host].id.clone();
        let id = HostId::new(old.name.clone(), old.incarnation + 1);
        let ledger = ledger(&id, self.options);
        self.hosts[host] = Host { ledger, id, version: 0, record: None };
        self.answers.retain(|a| answer_host(a) != host);
        let sent: Vec<Message> = self.messages.iter().cloned().collect();
        for message in sent {
            if let Message::Order { host: h, seq, epoch, entry, is_load, bound_to: None } = message
                && h == host
            {
                self.messages.remove(&message);
                let bound_to = Some(self.report.incarnation);
                self.messages.insert(Message::Order {
                    host: h,
                    seq,
                    epoch,
                    entry,
                    is_load,
                    bound_to,
                });
            }
        }
        for other in 0..self.hosts.len() {
            self.handle_event(other, Event::Ended(old.clone()));
        }
    }

    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        let mut add = |step: &dyn Fn() -> String, change: &dyn Fn(&mut Self)| {
            let mut next = self.clone();
            change(&mut next);
            steps.add(step, next);
        };
        let name = ["a", "b"][host];
        // Hosts and entries are interchangeable, so the first to be used is always the first one.
        let is_redundant = self.term == 0 && host > 0;
        if self.options.takeovers > 0 && !is_redundant {
            add(&|| format!("{name} becomes the leader"), &|next| next.take_over(host));
        }
        if self.options.plan_changes > 0 {
            let is_first_plan = self.hosts.iter().all(|host| host.ledger.desired().is_none());
            let choices = if is_first_plan { 1 } else { ENTRY_NAMES.len() };
            for (entry, entry_name) in ENTRY_NAMES.iter().enumerate().take(choices) {
                add(&|| format!("{name} gets a plan of {entry_name}"), &|next| {
                    next.options.plan_changes -= 1;
                    next.handle_event(host, Event::Desired(desired(&ENTRY_NAMES[entry..=entry])));
                });
            }
            if self.options.exceeds_capacity {
                add(&|| format!("{name} gets a plan of both entries"), &|next| {
                    next.options.plan_changes -= 1;
                    next.handle_event(host, Event::Desired(desired(&ENTRY_NAMES)));
                });
            }
        }
        if self.options.polls > 0 {
            add(&|| format!("{name} polls"), &|next| next.poll(host));
        }
        if self.options.crashes > 0 {
            add(&|| format!("{name} crashes"), &|next| next.crash(host));
        }
        add(&|| format!("{name} ticks"), &|next| next.handle_event(host, Event::Tick));
    }
}

fn ledger(id: &HostId, options: Options) -> Ledger {
    let spec = RunnerSpec {
        capacity: CAPACITY_BYTES,
        fenced: options.assumes_fence,
        order_ttl_ms: None,
        drain_ms: 0,
    };
    Ledger::new(id.clone(), spec, options.guards)
}

fn answer_host(answer: &Answer) -> usize {
    match answer {
        Answer::Fenced { host, .. }
        | Answer::StaleEpoch { host, .. }
        | Answer::Ordered { host, .. }
        | Answer::Report { host, .. } => *host,
    }
}

impl State for Runner {
    fn successors(&self, steps: &mut Steps<Self>) {
        for host in 0..self.hosts.len() {
            self.host_steps(host, steps);
        }
        for message in &self.messages {
            let mut next = self.clone();
            next.deliver(message);
            steps.add(|| format!("arrives: {message:?}"), next);
            if self.options.lost_answers > 0 {
                let mut next = self.clone();
                next.options.lost_answers -= 1;
                if next.give_up(message) {
                    steps.add(|| format!("the sender gives up on {message:?}"), next);
                }
            }
        }
        for answer in &self.answers {
            let mut next = self.clone();
            next.receive(answer);
            steps.add(|| format!("answer arrives: {answer:?}"), next);
            if self.options.lost_answers > 0 {
                let mut next = self.clone();
                next.options.lost_answers -= 1;
                next.lose_answer(answer);
                steps.add(|| format!("answer is lost: {answer:?}"), next);
            }
        }
        if self.options.restarts > 0 {
            let mut next = self.clone();
            next.restart();
            steps.add(|| "the runner restarts".into(), next);
        }
    }

    fn normalize(&mut self) {
        let version = self.stored.as_ref().map_or(0, |stored| stored.0);
        self.messages.retain(|message| match message {
            Message::Write { base, awaited, .. } => *awaited || *base == version,
            _ => true,
        });
        let messages = &self.messages;
        self.pending_writes.retain(|(host, seq), _| {
            messages.iter().any(
                |m| matches!(m, Message::Write { host: h, seq: s, .. } if (h, s) == (host, seq)),
            )
        });
    }

    fn violation(&self) -> Option<String> {
        let used_bytes = self.used_bytes();
        (used_bytes > CAPACITY_BYTES)
            .then(|| format!("memory overcommitted: {used_bytes} of {CAPACITY_BYTES}"))
    }
}
