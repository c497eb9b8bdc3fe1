//! One slot of once-only ids on three hosts.
//!
//! Messages and writes arrive at any later time, in any order, once more, or never; reads may be
//! old when they arrive. The platform goes out and comes back. A host may be paused at any point:
//! it just takes no step. One host may crash and come back as a new incarnation.

use crate::{Steps, World};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_claim::{
    Action, ClaimRequest, Event, Guards, Id, Message, Outcome, Record, Reply, Role, Slot, Ticket,
    VersionedRecord,
};
use vanetally_types::{HostId, Tick};

/// Bounds and switches of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the slots.
    pub guards: Guards,
    /// Hosts.
    pub hosts: usize,
    /// Different ids.
    pub keys: u8,
    /// Attempts at them.
    pub asks: u8,
    /// Takeovers.
    pub takes: u8,
    /// How often the platform goes out or comes back.
    pub outages: u8,
    /// Writes whose answers are lost, or that are late.
    pub losses: u8,
    /// Messages that are delivered once more.
    pub doubles: u8,
    /// Crashes of a host.
    pub crashes: u8,
    /// Reads of the record besides those before a takeover.
    pub reads: u8,
    /// Attempts that certainly did not run.
    pub not_run: u8,
    /// Ticks that a host may take.
    pub ticks: u8,
}

/// Between processes or to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Flight {
    Message { to: HostId, from: HostId, message: Message },
    Put { host: usize, from: HostId, base: u64, record: Record, waits: bool },
    Got { host: usize, from: HostId, stored: Option<VersionedRecord>, take: bool },
    Finished { host: usize, key: u8, ticket: Ticket, outcome: Outcome },
}

/// The world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claims {
    options: Options,
    slots: Vec<Slot>,
    ids: Vec<HostId>,
    flights: BTreeSet<Flight>,
    cell: Option<VersionedRecord>,
    version: u64,
    up: bool,
    /// Attempts that were granted and may run or have run: id, attempt, granting host.
    granted: BTreeMap<(u8, u64), usize>,
    /// Attempts that were granted and certainly did not run.
    freed: BTreeSet<u64>,
    next_ticket: u64,
}

const NAMES: [&str; 3] = ["a", "b", "c"];
const DEADLINE: u64 = 10;
const HORIZON: u64 = 1_000;
const NOW: Tick = Tick(1);

impl Claims {
    /// Host a holds the slot, host b is its deputy.
    pub fn new(options: Options) -> Self {
        let ids: Vec<HostId> = NAMES[..options.hosts].iter().map(|n| HostId::new(*n, 1)).collect();
        let record = Record {
            epoch: 1,
            holder: ids[0].clone(),
            backup: ids.get(1).cloned(),
            seq: 1,
            claims: BTreeMap::new(),
            expired_until: 0,
            unresolved: BTreeMap::new(),
        };
        let cell = Some(VersionedRecord { version: 1, record });
        let mut slots: Vec<Slot> = ids.iter().map(|id| slot(id, options)).collect();
        for slot in &mut slots {
            slot.handle(NOW, Event::Read(cell.clone()));
        }
        Self {
            options,
            slots,
            ids,
            flights: BTreeSet::new(),
            cell,
            version: 1,
            up: true,
            granted: BTreeMap::new(),
            freed: BTreeSet::new(),
            next_ticket: 0,
        }
    }

    fn event(&mut self, host: usize, event: Event) {
        let actions = self.slots[host].handle(NOW, event);
        for action in actions {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        let from = self.ids[host].clone();
        match action {
            Action::Write { base, record } => {
                self.fly(Flight::Put { host, from, base, record, waits: true });
            }
            Action::Reply { ticket, id, reply: Reply::Grant } => {
                if !self.freed.contains(&ticket.number) {
                    self.granted.insert((id.0 as u8, ticket.number), host);
                }
            }
            Action::Reply { .. } | Action::Forward { .. } => {}
            Action::Send { to, message } => self.fly(Flight::Message { to, from, message }),
        }
    }

    /// Equal flights count once; they may be doubled when they arrive.
    fn fly(&mut self, flight: Flight) {
        self.flights.insert(flight);
    }

    /// Drops flights that can change nothing any more.
    fn sweep(&mut self) {
        let version = self.cell.as_ref().map_or(0, |c| c.version);
        let ids = &self.ids;
        self.flights.retain(|flight| match flight {
            Flight::Message { to, .. } => ids.contains(to),
            Flight::Put { host, from, base, waits, .. } => {
                *base == version || (*waits && ids[*host] == *from)
            }
            Flight::Got { host, from, .. } => ids[*host] == *from,
            Flight::Finished { .. } => true,
        });
    }

    fn arrive(&mut self, flight: &Flight, keep: bool) {
        if !keep {
            self.flights.remove(flight);
        }
        match flight.clone() {
            Flight::Message { to, from, message } => {
                if let Some(host) = self.ids.iter().position(|id| *id == to) {
                    self.event(host, Event::Message { from, message });
                }
            }
            Flight::Put { host, from, base, record, waits } => {
                self.put(host, &from, base, record, waits);
            }
            Flight::Got { host, from, stored, take } => {
                if self.ids[host] != from {
                    return;
                }
                self.event(host, Event::Read(stored));
                if take && self.slots[host].role() == Role::Other {
                    let backup = (host + 1) % self.ids.len();
                    let backup = Some(self.ids[backup].clone());
                    self.event(host, Event::TakeOver { backup });
                }
            }
            Flight::Finished { host, key, ticket, outcome } => {
                let id = Id(u128::from(key));
                self.event(host, Event::Finished { id, ticket, outcome });
            }
        }
    }

    fn put(&mut self, host: usize, from: &HostId, base: u64, record: Record, waits: bool) {
        let current = self.cell.as_ref().map_or(0, |c| c.version);
        let done = current == base;
        if done {
            self.version += 1;
            self.cell = Some(VersionedRecord { version: self.version, record });
        }
        if !waits || self.ids[host] != *from {
            return;
        }
        let event = match done {
            true => Event::Written { version: self.version },
            false => Event::WriteConflict(self.cell.clone()),
        };
        self.event(host, event);
    }

    /// The writer hears nothing; the write may have taken effect, may do so later, or never.
    fn lose_put(&self, flight: &Flight) -> Vec<(&'static str, Self)> {
        let Flight::Put { host, from, base, record, waits: true } = flight else {
            return Vec::new();
        };
        let (host, base) = (*host, *base);
        if self.ids[host] != *from {
            return Vec::new();
        }
        let mut worlds = Vec::new();
        let mut late = self.clone();
        late.flights.remove(flight);
        let (from, record) = (from.clone(), record.clone());
        late.fly(Flight::Put { host, from, base, record, waits: false });
        late.event(host, Event::WriteUnconfirmed);
        worlds.push(("is late", late));
        if self.up && self.options.losses > 0 {
            let mut lost = self.clone();
            lost.options.losses -= 1;
            lost.arrive_silently(flight);
            lost.event(host, Event::WriteUnconfirmed);
            worlds.push(("takes effect unheard", lost));
        }
        worlds
    }

    fn arrive_silently(&mut self, flight: &Flight) {
        self.flights.remove(flight);
        if let Flight::Put { host, from, base, record, .. } = flight.clone() {
            self.put(host, &from, base, record, false);
        }
    }

    fn ask(&mut self, host: usize, key: u8) {
        self.options.asks -= 1;
        self.next_ticket += 1;
        let ticket = Ticket { entry: HostId::new("entry", 1), number: self.next_ticket };
        self.event(
            host,
            Event::Request(ClaimRequest { id: Id(u128::from(key)), deadline: DEADLINE, ticket }),
        );
    }

    /// A granted attempt turns out not to have run; its entry host tells the granting host.
    fn free(&mut self, key: u8, number: u64, host: usize) {
        self.options.not_run -= 1;
        self.granted.remove(&(key, number));
        self.freed.insert(number);
        let ticket = Ticket { entry: HostId::new("entry", 1), number };
        self.fly(Flight::Finished { host, key, ticket, outcome: Outcome::NotRun });
    }

    fn crash(&mut self, host: usize) {
        self.options.crashes -= 1;
        let old = self.ids[host].clone();
        let id = HostId::new(old.name.clone(), old.incarnation + 1);
        self.slots[host] = slot(&id, self.options);
        self.ids[host] = id;
        for other in 0..self.ids.len() {
            self.event(other, Event::Ended(old.clone()));
        }
    }

    fn host_steps(&self, host: usize, out: &mut Steps<Self>) {
        let name = NAMES[host];
        let mut add = |step: &dyn Fn() -> String, change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            out.add(step, world);
        };
        let holds = matches!(self.slots[host].role(), Role::Holder);
        if self.options.asks > 0 && holds {
            for key in 0..self.options.keys {
                add(&|| format!("{name} is asked for id {key}"), &|w| w.ask(host, key));
            }
        }
        let read = |w: &mut Self, take: bool| {
            let (from, stored) = (w.ids[host].clone(), w.cell.clone());
            w.fly(Flight::Got { host, from, stored, take });
        };
        if self.up && self.options.takes > 0 && !holds {
            add(&|| format!("{name} reads to take over"), &|w| {
                w.options.takes -= 1;
                read(w, true);
            });
        }
        if self.up && self.options.reads > 0 {
            add(&|| format!("{name} reads"), &|w| {
                w.options.reads -= 1;
                read(w, false);
            });
        }
        if self.options.crashes > 0 {
            add(&|| format!("{name} crashes"), &|w| w.crash(host));
        }
        if self.options.ticks > 0 {
            add(&|| format!("{name} ticks"), &|w| {
                w.options.ticks -= 1;
                w.event(host, Event::Tick);
            });
        }
        if let Some(epoch) = self.cell.as_ref().map(|c| c.record.epoch)
            && self.slots[host].record().is_some_and(|r| r.epoch < epoch)
        {
            let holder = self.cell.as_ref().map(|c| c.record.holder.clone());
            add(&|| format!("{name} hears of epoch {epoch}"), &|w| {
                if let Some(holder) = holder.clone() {
                    w.event(host, Event::EpochAnnounced { epoch, holder });
                }
            });
        }
    }
}

fn slot(id: &HostId, options: Options) -> Slot {
    let options = vanetally_claim::Options {
        retention_ms: HORIZON,
        write_interval_ms: 0,
        wait_limit_ms: HORIZON,
        max_ids: 10,
        guards: options.guards,
    };
    Slot::new(id.clone(), options)
}

impl World for Claims {
    fn next(&self, out: &mut Steps<Self>) {
        for host in 0..self.slots.len() {
            self.host_steps(host, out);
        }
        for flight in &self.flights {
            let put = matches!(flight, Flight::Put { .. });
            if self.up || !put {
                let mut world = self.clone();
                world.arrive(flight, false);
                out.add(|| format!("arrives: {flight:?}"), world);
            }
            if self.options.doubles > 0 && matches!(flight, Flight::Finished { .. }) {
                let mut world = self.clone();
                world.options.doubles -= 1;
                world.arrive(flight, true);
                out.add(|| format!("arrives, and will again: {flight:?}"), world);
            }
            for (what, world) in self.lose_put(flight) {
                out.add(|| format!("a write {what}: {flight:?}"), world);
            }
        }
        if self.options.outages > 0 {
            let mut world = self.clone();
            world.options.outages -= 1;
            world.up = !self.up;
            let what = if world.up { "back" } else { "out" };
            out.add(|| format!("the platform is {what}"), world);
        }
        if self.options.not_run > 0 {
            for ((key, number), host) in &self.granted {
                let mut world = self.clone();
                world.free(*key, *number, *host);
                out.add(|| format!("attempt {number} did not run"), world);
            }
        }
    }

    fn tidy(&mut self) {
        self.sweep();
    }

    fn broken(&self) -> Option<String> {
        let same = |a: &(u8, u64), b: &(u8, u64)| a.0 == b.0 && a.1 < b.1;
        let mut pairs = self.granted.keys().flat_map(|a| self.granted.keys().map(move |b| (a, b)));
        let twice = pairs.find(|(a, b)| same(a, b))?;
        Some(format!("attempts {} and {} of id {} may run", twice.0.1, twice.1.1, twice.0.0))
    }
}
