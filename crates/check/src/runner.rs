//! Memory of one runner under two stewards.
//!
//! Orders, their answers, polls and writes are messages that arrive at any later time, in any
//! order, or never. A steward may be paused at any point: it just takes no step. The runner may
//! restart, a steward may crash and come back as a new incarnation.

use crate::{Steps, World};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_ledger::{
    Action, DesiredEntries, DesiredEntry, Epoch, Event, Guards, HeldEntry, Ledger, Order, Phase,
    Record, Refusal, Report, RunnerSpec,
};
use vanetally_types::{HostId, Name, Tick};

/// Bounds and switches of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether the ledgers believe that the runner checks orders.
    pub fenced: bool,
    /// Whether the runner really does.
    pub checks: bool,
    /// Guards of the ledgers.
    pub guards: Guards,
    /// Whether a plan may want more than fits.
    pub both: bool,
    /// Changes of steward.
    pub takes: u8,
    /// Changes of plan.
    pub wants: u8,
    /// Polls.
    pub polls: u8,
    /// Restarts of the runner.
    pub restarts: u8,
    /// Crashes of a steward.
    pub crashes: u8,
    /// Answers that are lost.
    pub losses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Fence {
        host: usize,
        epoch: u64,
    },
    /// `bound`: the runner's incarnation that the order's connection leads to, once that is sure.
    Order {
        host: usize,
        seq: u64,
        epoch: u64,
        entry: u8,
        load: bool,
        bound: Option<u64>,
    },
    Put {
        host: usize,
        base: u64,
        seq: u64,
        waits: bool,
    },
}

/// On its way to a steward.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Answer {
    Fenced { host: usize, epoch: u64, report: Report },
    Outranked { host: usize, of: u64, epoch: u64 },
    Ordered { host: usize, seq: u64, result: Result<(), Refusal>, report: Report },
    Report { host: usize, asked: u64, report: Report },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Steward {
    ledger: Ledger,
    id: HostId,
    /// The record's version as this steward last saw it.
    version: u64,
    /// The record that it is writing.
    record: Option<Record>,
}

/// The world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Runner {
    options: Options,
    report: Report,
    stewards: Vec<Steward>,
    messages: BTreeSet<Message>,
    answers: BTreeSet<Answer>,
    cell: Option<(u64, Record)>,
    version: u64,
    /// Records in flight, by host and sequence.
    flights: BTreeMap<(usize, u64), Record>,
    term: u64,
    clock: u64,
}

const ENTRIES: [&str; 2] = ["x", "y"];
const SIZE: u64 = 2;
const CAPACITY: u64 = 3;

/// A plan that wants these entries.
fn wanted(entries: &[&str]) -> DesiredEntries {
    let want = |name: &&str| (Name::from(*name), DesiredEntry { bytes: SIZE, base: None });
    entries.iter().map(want).collect()
}

impl Runner {
    /// An empty runner and two hosts, neither of them its steward yet.
    pub fn new(options: Options) -> Self {
        let steward = |at: u64| {
            let id = HostId::new(["a", "b"][at as usize], 1);
            Steward { ledger: ledger(&id, options), id, version: 0, record: None }
        };
        Self {
            options,
            report: Report { incarnation: 1, ..Report::default() },
            stewards: vec![steward(0), steward(1)],
            messages: BTreeSet::new(),
            answers: BTreeSet::new(),
            cell: None,
            version: 0,
            flights: BTreeMap::new(),
            term: 0,
            clock: 1,
        }
    }

    fn taken(&self) -> u64 {
        self.report.entries.values().map(|h| h.bytes).sum()
    }

    /// Lets a steward's ledger take an event and carries out what it wants.
    fn event(&mut self, host: usize, event: Event) {
        let now = Tick(self.clock);
        let actions = self.stewards[host].ledger.handle(now, event);
        for action in actions {
            match action {
                Action::Fence(epoch) => {
                    self.messages.insert(Message::Fence { host, epoch: epoch.0 });
                }
                Action::Write(record) => {
                    let (base, seq) = (self.stewards[host].version, record.seq);
                    self.flights.insert((host, seq), record.clone());
                    self.stewards[host].record = Some(record);
                    self.messages.insert(Message::Put { host, base, seq, waits: true });
                }
                Action::Send(order) => self.send(host, &order),
                Action::RaiseTerm(_) | Action::StepDown => {}
            }
        }
    }

    fn send(&mut self, host: usize, order: &Order) {
        let entry = ENTRIES.iter().position(|e| **e == **order.op.entry()).unwrap_or(0) as u8;
        let load = order.op.bytes() > 0;
        let (seq, epoch) = (order.seq, order.epoch.0);
        self.messages.insert(Message::Order { host, seq, epoch, entry, load, bound: None });
    }

    fn deliver(&mut self, message: &Message) {
        self.messages.remove(message);
        match message {
            Message::Fence { host, epoch } => self.fence(*host, *epoch),
            Message::Order { host, seq, epoch, entry, load, bound } => {
                if bound.is_none_or(|b| b == self.report.incarnation) || self.options.fenced {
                    self.order(*host, *seq, *epoch, *entry, *load, bound.is_none());
                }
            }
            Message::Put { host, base, seq, waits } => self.put(*host, *base, *seq, *waits),
        }
    }

    fn fence(&mut self, host: usize, epoch: u64) {
        if self.options.checks && epoch < self.report.epoch {
            let (of, epoch) = (epoch, self.report.epoch);
            self.answers.insert(Answer::Outranked { host, of, epoch });
            return;
        }
        if epoch > self.report.epoch {
            self.report.epoch = epoch;
            self.report.seq = 0;
        }
        let report = self.report.clone();
        self.answers.insert(Answer::Fenced { host, epoch, report });
    }

    fn order(&mut self, host: usize, seq: u64, epoch: u64, entry: u8, load: bool, waits: bool) {
        let stale = epoch != self.report.epoch || seq <= self.report.seq;
        if self.options.checks && stale {
            if waits {
                let (of, epoch) = (epoch, self.report.epoch);
                self.answers.insert(Answer::Outranked { host, of, epoch });
            }
            return;
        }
        self.report.seq = seq;
        let name: Name = ENTRIES[usize::from(entry)].into();
        if load {
            let held = HeldEntry { phase: Phase::Resident, bytes: SIZE, in_flight: 0, base: None };
            self.report.entries.insert(name, held);
        } else {
            self.report.entries.remove(&name);
        }
        if waits {
            let report = self.report.clone();
            self.answers.insert(Answer::Ordered { host, seq, result: Ok(()), report });
        }
    }

    /// A write arrives at the platform; its answer is immediate or, if nobody waits, lost.
    fn put(&mut self, host: usize, base: u64, seq: u64, waits: bool) {
        let Some(record) = self.flights.remove(&(host, seq)) else {
            return;
        };
        let current = self.cell.as_ref().map_or(0, |c| c.0);
        let done = current == base;
        if done {
            self.version += 1;
            self.cell = Some((self.version, record));
        }
        let waits = waits && self.stewards[host].record.as_ref().is_some_and(|r| r.seq == seq);
        if !waits {
            return;
        }
        self.stewards[host].version = self.cell.as_ref().map_or(0, |c| c.0);
        match done {
            true => self.event(host, Event::Written { seq }),
            false => {
                let record = self.cell.as_ref().map(|c| c.1.clone());
                self.event(host, Event::WriteConflict(record));
            }
        }
    }

    /// Whoever waits for the answer to a message gives up waiting; the message may still arrive.
    fn lose(&mut self, message: &Message) -> bool {
        match message {
            Message::Fence { host, epoch } => {
                self.event(*host, Event::FenceUnanswered { epoch: Epoch(*epoch) });
                true
            }
            Message::Order { host, seq, epoch, entry, load, bound: None } => {
                self.messages.remove(message);
                let bound = Some(self.report.incarnation);
                let (host, seq) = (*host, *seq);
                let late =
                    Message::Order { host, seq, epoch: *epoch, entry: *entry, load: *load, bound };
                self.messages.insert(late);
                self.event(host, Event::OrderUnanswered { seq });
                true
            }
            Message::Put { host, base, seq, waits: true } => {
                self.messages.remove(message);
                let (host, seq) = (*host, *seq);
                self.messages.insert(Message::Put { host, base: *base, seq, waits: false });
                self.event(host, Event::WriteUnconfirmed);
                true
            }
            _ => false,
        }
    }

    fn hear(&mut self, answer: &Answer) {
        self.answers.remove(answer);
        self.clock += 1;
        match answer.clone() {
            Answer::Fenced { host, epoch, report } => {
                self.event(host, Event::Fenced { epoch: Epoch(epoch), report });
            }
            Answer::Outranked { host, of, epoch } => {
                let (of, epoch) = (Epoch(of), Epoch(epoch));
                self.event(host, Event::StaleEpoch { sent: of, current: epoch });
            }
            Answer::Ordered { host, seq, result, report } => {
                self.event(host, Event::Answered { seq, result, report });
            }
            Answer::Report { host, asked, report } => {
                self.event(host, Event::Reported { polled_at: Tick(asked), report });
            }
        }
    }

    /// The answer is lost.
    fn miss(&mut self, answer: &Answer) {
        self.answers.remove(answer);
        match answer.clone() {
            Answer::Ordered { host, seq, .. } => self.event(host, Event::OrderUnanswered { seq }),
            Answer::Fenced { host, epoch, .. } => {
                self.event(host, Event::FenceUnanswered { epoch: Epoch(epoch) });
            }
            Answer::Outranked { .. } | Answer::Report { .. } => {}
        }
    }

    fn take(&mut self, host: usize) {
        self.options.takes -= 1;
        self.term += 1;
        self.stewards[host].version = self.cell.as_ref().map_or(0, |c| c.0);
        let record = self.cell.as_ref().map(|c| c.1.clone()).filter(|_| !self.options.fenced);
        self.event(host, Event::LeadershipAcquired { term: self.term, record });
    }

    fn poll(&mut self, host: usize) {
        self.options.polls -= 1;
        self.clock += 1;
        let (asked, report) = (self.clock, self.report.clone());
        self.answers.insert(Answer::Report { host, asked, report });
    }

    fn restart(&mut self) {
        self.options.restarts -= 1;
        let incarnation = self.report.incarnation + 1;
        self.report = Report { incarnation, ..Report::default() };
        // Connections to the old incarnation are dead.
        if !self.options.fenced {
            self.messages.retain(|m| !matches!(m, Message::Order { bound: Some(_), .. }));
        }
    }

    fn crash(&mut self, host: usize) {
        self.options.crashes -= 1;
        let old = self.stewards[host].id.clone();
        let id = HostId::new(old.name.clone(), old.incarnation + 1);
        let ledger = ledger(&id, self.options);
        self.stewards[host] = Steward { ledger, id, version: 0, record: None };
        self.answers.retain(|a| answer_host(a) != host);
        let sent: Vec<Message> = self.messages.iter().cloned().collect();
        for message in sent {
            if let Message::Order { host: h, seq, epoch, entry, load, bound: None } = message
                && h == host
            {
                self.messages.remove(&message);
                let bound = Some(self.report.incarnation);
                self.messages.insert(Message::Order { host: h, seq, epoch, entry, load, bound });
            }
        }
        for other in 0..self.stewards.len() {
            self.event(other, Event::Ended(old.clone()));
        }
    }

    fn host_steps(&self, host: usize, out: &mut Steps<Self>) {
        let mut add = |step: &dyn Fn() -> String, change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            out.add(step, world);
        };
        let name = ["a", "b"][host];
        // Hosts and entries are alike: the first of each goes first.
        let first_take = self.term == 0 && host > 0;
        if self.options.takes > 0 && !first_take {
            add(&|| format!("{name} becomes steward"), &|w| w.take(host));
        }
        if self.options.wants > 0 {
            let first_want = self.stewards.iter().all(|s| s.ledger.desired().is_none());
            let kinds = if first_want { 1 } else { ENTRIES.len() };
            for (entry, text) in ENTRIES.iter().enumerate().take(kinds) {
                add(&|| format!("the plan wants {text} of {name}"), &|w| {
                    w.options.wants -= 1;
                    w.event(host, Event::Desired(wanted(&ENTRIES[entry..=entry])));
                });
            }
            if self.options.both {
                add(&|| format!("the plan wants both of {name}"), &|w| {
                    w.options.wants -= 1;
                    w.event(host, Event::Desired(wanted(&ENTRIES)));
                });
            }
        }
        if self.options.polls > 0 {
            add(&|| format!("{name} polls"), &|w| w.poll(host));
        }
        if self.options.crashes > 0 {
            add(&|| format!("{name} crashes"), &|w| w.crash(host));
        }
        add(&|| format!("{name} ticks"), &|w| w.event(host, Event::Tick));
    }
}

fn ledger(id: &HostId, options: Options) -> Ledger {
    let spec =
        RunnerSpec { capacity: CAPACITY, fenced: options.fenced, order_ttl_ms: None, drain_ms: 0 };
    Ledger::new(id.clone(), spec, options.guards)
}

fn answer_host(answer: &Answer) -> usize {
    match answer {
        Answer::Fenced { host, .. }
        | Answer::Outranked { host, .. }
        | Answer::Ordered { host, .. }
        | Answer::Report { host, .. } => *host,
    }
}

impl World for Runner {
    fn next(&self, out: &mut Steps<Self>) {
        for host in 0..self.stewards.len() {
            self.host_steps(host, out);
        }
        for message in &self.messages {
            let mut world = self.clone();
            world.deliver(message);
            out.add(|| format!("arrives: {message:?}"), world);
            if self.options.losses > 0 {
                let mut world = self.clone();
                world.options.losses -= 1;
                if world.lose(message) {
                    out.add(|| format!("given up: {message:?}"), world);
                }
            }
        }
        for answer in &self.answers {
            let mut world = self.clone();
            world.hear(answer);
            out.add(|| format!("answered: {answer:?}"), world);
            if self.options.losses > 0 {
                let mut world = self.clone();
                world.options.losses -= 1;
                world.miss(answer);
                out.add(|| format!("answer lost: {answer:?}"), world);
            }
        }
        if self.options.restarts > 0 {
            let mut world = self.clone();
            world.restart();
            out.add(|| "the runner restarts".into(), world);
        }
    }

    fn tidy(&mut self) {
        let version = self.cell.as_ref().map_or(0, |c| c.0);
        self.messages.retain(|message| match message {
            Message::Put { base, waits, .. } => *waits || *base == version,
            _ => true,
        });
        let puts = &self.messages;
        self.flights.retain(|(host, seq), _| {
            puts.iter()
                .any(|m| matches!(m, Message::Put { host: h, seq: s, .. } if (h, s) == (host, seq)))
        });
    }

    fn broken(&self) -> Option<String> {
        let taken = self.taken();
        (taken > CAPACITY).then(|| format!("memory overcommitted: {taken} of {CAPACITY}"))
    }
}
