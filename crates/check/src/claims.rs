//! Model of the at-most-once execution of ids: one slot on three hosts.
//!
//! Messages and writes arrive at any later time, in any order, twice, or never; the result of a
//! read may be stale when it arrives. The platform becomes unavailable and available again. A host
//! may pause at any point, which is to take no step. A host may crash and restart as a new
//! incarnation.

use crate::{State, Steps};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_claim::{
    Action, ClaimRequest, Event, Guards, Id, Message, Outcome, Record, Reply, Role, Slot, Ticket,
    VersionedRecord,
};
use vanetally_types::{HostId, Tick};

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the slots; each can be switched off.
    pub guards: Guards,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of different ids.
    pub ids: u8,
    /// Maximum number of requests; each is an attempt to run an id.
    pub requests: u8,
    /// Maximum number of takeovers of the slot.
    pub takeovers: u8,
    /// Maximum number of times that the platform becomes unavailable or available again.
    pub outages: u8,
    /// Maximum number of writes that take effect although their answer is lost.
    pub lost_answers: u8,
    /// Maximum number of messages that are delivered twice.
    pub duplicates: u8,
    /// Maximum number of host crashes.
    pub crashes: u8,
    /// Maximum number of reads of the record, not counting those before a takeover.
    pub reads: u8,
    /// Maximum number of attempts that certainly did not run.
    pub not_run: u8,
    /// Maximum number of ticks handled by hosts.
    pub ticks: u8,
}

/// A message between processes, or a call or an answer of the platform, that is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Message { to: HostId, from: HostId, message: Message },
    Write { host: usize, from: HostId, base: u64, record: Record, awaited: bool },
    ReadAnswer { host: usize, from: HostId, stored: Option<VersionedRecord>, takes_over: bool },
    Finished { host: usize, id: u8, ticket: Ticket, outcome: Outcome },
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claims {
    options: Options,
    slots: Vec<Slot>,
    host_ids: Vec<HostId>,
    in_flight: BTreeSet<InFlight>,
    stored: Option<VersionedRecord>,
    /// Version of the last write.
    version: u64,
    is_available: bool,
    /// Granted attempts that may run or have run, by id and attempt, with the granting host.
    granted: BTreeMap<(u8, u64), usize>,
    /// Granted attempts that certainly did not run.
    not_run: BTreeSet<u64>,
    next_ticket: u64,
}

const HOST_NAMES: [&str; 3] = ["a", "b", "c"];
/// Deadline of each request; later than [`NOW`], so that no id expires.
const DEADLINE_MS: u64 = 10;
/// Retention of ids, and how long a request waits.
const RETENTION_MS: u64 = 1_000;
/// Time of every event: the clock of the model does not advance.
const NOW: Tick = Tick(1);

impl Claims {
    /// Host a holds the slot, host b is its backup.
    pub fn new(options: Options) -> Self {
        let host_ids: Vec<HostId> =
            HOST_NAMES[..options.hosts].iter().map(|n| HostId::new(*n, 1)).collect();
        let record = Record {
            epoch: 1,
            holder: host_ids[0].clone(),
            backup: host_ids.get(1).cloned(),
            seq: 1,
            claims: BTreeMap::new(),
            expired_until: 0,
            unresolved: BTreeMap::new(),
        };
        let stored = Some(VersionedRecord { version: 1, record });
        let mut slots: Vec<Slot> = host_ids.iter().map(|id| slot(id, options)).collect();
        for slot in &mut slots {
            slot.handle(NOW, Event::Read(stored.clone()));
        }
        Self {
            options,
            slots,
            host_ids,
            in_flight: BTreeSet::new(),
            stored,
            version: 1,
            is_available: true,
            granted: BTreeMap::new(),
            not_run: BTreeSet::new(),
            next_ticket: 0,
        }
    }

    fn handle_event(&mut self, host: usize, event: Event) {
        let actions = self.slots[host].handle(NOW, event);
        for action in actions {
            self.apply_action(host, action);
        }
    }

    fn apply_action(&mut self, host: usize, action: Action) {
        let from = self.host_ids[host].clone();
        match action {
            Action::Write { base, record } => {
                self.send(InFlight::Write { host, from, base, record, awaited: true });
            }
            Action::Reply { ticket, id, reply: Reply::Grant } => {
                if !self.not_run.contains(&ticket.number) {
                    self.granted.insert((id.0 as u8, ticket.number), host);
                }
            }
            Action::Reply { .. } | Action::Forward { .. } => {}
            Action::Send { to, message } => self.send(InFlight::Message { to, from, message }),
        }
    }

    /// Puts a message in flight. Equal ones are kept once; delivery may duplicate them.
    fn send(&mut self, in_flight: InFlight) {
        self.in_flight.insert(in_flight);
    }

    /// Drops messages in flight that can no longer change anything.
    fn drop_ineffective(&mut self) {
        let version = self.stored.as_ref().map_or(0, |stored| stored.version);
        let host_ids = &self.host_ids;
        self.in_flight.retain(|in_flight| match in_flight {
            InFlight::Message { to, .. } => host_ids.contains(to),
            InFlight::Write { host, from, base, awaited, .. } => {
                *base == version || (*awaited && host_ids[*host] == *from)
            }
            InFlight::ReadAnswer { host, from, .. } => host_ids[*host] == *from,
            InFlight::Finished { .. } => true,
        });
    }

    fn deliver(&mut self, in_flight: &InFlight, is_duplicated: bool) {
        if !is_duplicated {
            self.in_flight.remove(in_flight);
        }
        match in_flight.clone() {
            InFlight::Message { to, from, message } => {
                if let Some(host) = self.host_ids.iter().position(|id| *id == to) {
                    self.handle_event(host, Event::Message { from, message });
                }
            }
            InFlight::Write { host, from, base, record, awaited } => {
                self.write(host, &from, base, record, awaited);
            }
            InFlight::ReadAnswer { host, from, stored, takes_over } => {
                if self.host_ids[host] != from {
                    return;
                }
                self.handle_event(host, Event::Read(stored));
                if takes_over && self.slots[host].role() == Role::Other {
                    let backup = (host + 1) % self.host_ids.len();
                    let backup = Some(self.host_ids[backup].clone());
                    self.handle_event(host, Event::TakeOver { backup });
                }
            }
            InFlight::Finished { host, id, ticket, outcome } => {
                let id = Id(u128::from(id));
                self.handle_event(host, Event::Finished { id, ticket, outcome });
            }
        }
    }

    fn write(&mut self, host: usize, from: &HostId, base: u64, record: Record, awaited: bool) {
        let current = self.stored.as_ref().map_or(0, |stored| stored.version);
        let is_applied = current == base;
        if is_applied {
            self.version += 1;
            self.stored = Some(VersionedRecord { version: self.version, record });
        }
        if !awaited || self.host_ids[host] != *from {
            return;
        }
        let event = match is_applied {
            true => Event::Written { version: self.version },
            false => Event::WriteConflict(self.stored.clone()),
        };
        self.handle_event(host, event);
    }

    /// The writer gets no answer: the write has taken effect, takes effect later, or never does.
    fn lose_answer(&self, in_flight: &InFlight) -> Vec<(&'static str, Self)> {
        let InFlight::Write { host, from, base, record, awaited: true } = in_flight else {
            return Vec::new();
        };
        let (host, base) = (*host, *base);
        if self.host_ids[host] != *from {
            return Vec::new();
        }
        let mut next_states = Vec::new();
        let mut late = self.clone();
        late.in_flight.remove(in_flight);
        let (from, record) = (from.clone(), record.clone());
        late.send(InFlight::Write { host, from, base, record, awaited: false });
        late.handle_event(host, Event::WriteUnconfirmed);
        next_states.push(("is late", late));
        if self.is_available && self.options.lost_answers > 0 {
            let mut lost = self.clone();
            lost.options.lost_answers -= 1;
            lost.deliver_unanswered(in_flight);
            lost.handle_event(host, Event::WriteUnconfirmed);
            next_states.push(("takes effect unanswered", lost));
        }
        next_states
    }

    fn deliver_unanswered(&mut self, in_flight: &InFlight) {
        self.in_flight.remove(in_flight);
        if let InFlight::Write { host, from, base, record, .. } = in_flight.clone() {
            self.write(host, &from, base, record, false);
        }
    }

    fn request(&mut self, host: usize, id: u8) {
        self.options.requests -= 1;
        self.next_ticket += 1;
        let ticket = Ticket { entry: HostId::new("entry", 1), number: self.next_ticket };
        self.handle_event(
            host,
            Event::Request(ClaimRequest { id: Id(u128::from(id)), deadline: DEADLINE_MS, ticket }),
        );
    }

    /// A granted attempt turns out not to have run; its entry host reports this to the granting
    /// host.
    fn report_not_run(&mut self, id: u8, number: u64, host: usize) {
        self.options.not_run -= 1;
        self.granted.remove(&(id, number));
        self.not_run.insert(number);
        let ticket = Ticket { entry: HostId::new("entry", 1), number };
        self.send(InFlight::Finished { host, id, ticket, outcome: Outcome::NotRun });
    }

    fn crash(&mut self, host: usize) {
        self.options.crashes -= 1;
        let old = self.host_ids[host].clone();
        let id = HostId::new(old.name.clone(), old.incarnation + 1);
        self.slots[host] = slot(&id, self.options);
        self.host_ids[host] = id;
        for other in 0..self.host_ids.len() {
            self.handle_event(other, Event::Ended(old.clone()));
        }
    }

    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        let name = HOST_NAMES[host];
        let mut add = |step: &dyn Fn() -> String, change: &dyn Fn(&mut Self)| {
            let mut next = self.clone();
            change(&mut next);
            steps.add(step, next);
        };
        let is_holder = matches!(self.slots[host].role(), Role::Holder);
        if self.options.requests > 0 && is_holder {
            for id in 0..self.options.ids {
                add(&|| format!("{name} gets a request for id {id}"), &|next| {
                    next.request(host, id)
                });
            }
        }
        let read = |next: &mut Self, takes_over: bool| {
            let (from, stored) = (next.host_ids[host].clone(), next.stored.clone());
            next.send(InFlight::ReadAnswer { host, from, stored, takes_over });
        };
        if self.is_available && self.options.takeovers > 0 && !is_holder {
            add(&|| format!("{name} reads to take over"), &|next| {
                next.options.takeovers -= 1;
                read(next, true);
            });
        }
        if self.is_available && self.options.reads > 0 {
            add(&|| format!("{name} reads"), &|next| {
                next.options.reads -= 1;
                read(next, false);
            });
        }
        if self.options.crashes > 0 {
            add(&|| format!("{name} crashes"), &|next| next.crash(host));
        }
        if self.options.ticks > 0 {
            add(&|| format!("{name} ticks"), &|next| {
                next.options.ticks -= 1;
                next.handle_event(host, Event::Tick);
            });
        }
        if let Some(epoch) = self.stored.as_ref().map(|stored| stored.record.epoch)
            && self.slots[host].record().is_some_and(|r| r.epoch < epoch)
        {
            let holder = self.stored.as_ref().map(|stored| stored.record.holder.clone());
            add(&|| format!("{name} learns of epoch {epoch}"), &|next| {
                if let Some(holder) = holder.clone() {
                    next.handle_event(host, Event::EpochAnnounced { epoch, holder });
                }
            });
        }
    }
}

fn slot(id: &HostId, options: Options) -> Slot {
    let options = vanetally_claim::Options {
        retention_ms: RETENTION_MS,
        write_interval_ms: 0,
        wait_limit_ms: RETENTION_MS,
        max_ids: 10,
        guards: options.guards,
    };
    Slot::new(id.clone(), options)
}

impl State for Claims {
    fn successors(&self, steps: &mut Steps<Self>) {
        for host in 0..self.slots.len() {
            self.host_steps(host, steps);
        }
        for in_flight in &self.in_flight {
            let is_write = matches!(in_flight, InFlight::Write { .. });
            if self.is_available || !is_write {
                let mut next = self.clone();
                next.deliver(in_flight, false);
                steps.add(|| format!("arrives: {in_flight:?}"), next);
            }
            if self.options.duplicates > 0 && matches!(in_flight, InFlight::Finished { .. }) {
                let mut next = self.clone();
                next.options.duplicates -= 1;
                next.deliver(in_flight, true);
                steps.add(|| format!("arrives the first of two times: {in_flight:?}"), next);
            }
            for (effect, next) in self.lose_answer(in_flight) {
                steps.add(|| format!("a write {effect}: {in_flight:?}"), next);
            }
        }
        if self.options.outages > 0 {
            let mut next = self.clone();
            next.options.outages -= 1;
            next.is_available = !self.is_available;
            let change = if next.is_available { "available again" } else { "unavailable" };
            steps.add(|| format!("the platform is {change}"), next);
        }
        if self.options.not_run > 0 {
            for ((id, number), host) in &self.granted {
                let mut next = self.clone();
                next.report_not_run(*id, *number, *host);
                steps.add(|| format!("attempt {number} did not run"), next);
            }
        }
    }

    fn normalize(&mut self) {
        self.drop_ineffective();
    }

    fn violation(&self) -> Option<String> {
        let is_repeat = |a: &(u8, u64), b: &(u8, u64)| a.0 == b.0 && a.1 < b.1;
        let mut pairs = self.granted.keys().flat_map(|a| self.granted.keys().map(move |b| (a, b)));
        let repeated = pairs.find(|(a, b)| is_repeat(a, b))?;
        Some(format!(
            "attempts {} and {} of id {} may run",
            repeated.0.1, repeated.1.1, repeated.0.0
        ))
    }
}
