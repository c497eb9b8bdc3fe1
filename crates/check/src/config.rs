//! Configuration: two operators publish through a platform, two hosts follow it and each other.
//!
//! Writes are late or lost, answers are lost, what a host read may be old when it arrives, and
//! the platform may once be restored to an older state.

use crate::{Steps, World};
use std::{collections::BTreeSet, sync::Arc};
use vanetally_config::{
    Catalog, Revision, RevisionTracker,
    check::check,
    publish::{Event, Head, Publication, Step},
    tracker::{Guards, Source},
};

/// Bounds and switches of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the hosts.
    pub guards: Guards,
    /// Whether the platform compares before it writes.
    pub compares: bool,
    /// Whether a writer that heard nothing looks whether its change took effect.
    pub looks: bool,
    /// Whether the second change is unsound, as by a tool that does not check.
    pub unsound: bool,
    /// Answers to writes that are lost.
    pub losses: u8,
    /// How often hosts look at the platform.
    pub watches: u8,
    /// How often a host hears of another one's revision.
    pub gossip: u8,
    /// Restorations of the platform to an older state.
    pub restores: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    publish: Publication,
    step: Step,
}

/// A revision on its way, as an index into all that were ever written or tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Flight {
    Seen { host: usize, at: usize, peer: bool },
    Put { base: u64, at: usize },
}

/// The world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    options: Options,
    operators: Vec<Operator>,
    hosts: Vec<RevisionTracker>,
    /// The highest number that each host ever followed.
    highest: Vec<u64>,
    revisions: Vec<Arc<Revision>>,
    flights: BTreeSet<Flight>,
    cell: Option<(u64, usize)>,
    first: Option<usize>,
    version: u64,
    restored: bool,
}

const CHANGES: [&str; 2] = ["one", "two"];

impl Config {
    /// No configuration yet; each operator wants to publish one change.
    pub fn new(options: Options) -> Self {
        let operator = |(at, change): (usize, &&str)| {
            let mut catalog = Catalog { move_price: 1 + at as u32, ..Catalog::default() };
            if options.unsound && at == 1 {
                catalog.store.slots = 0;
            }
            let publish = Publication::new((*change).into(), catalog, None, 0);
            Operator { step: publish.start(), publish }
        };
        Self {
            options,
            operators: CHANGES.iter().enumerate().map(operator).collect(),
            hosts: vec![RevisionTracker::with_guards(options.guards); 2],
            highest: vec![0; 2],
            revisions: Vec::new(),
            flights: BTreeSet::new(),
            cell: None,
            first: None,
            version: 0,
            restored: false,
        }
    }

    fn head(&self) -> Head {
        match self.cell {
            None => Head { version: 0, revision: Arc::default() },
            Some((version, at)) => Head { version, revision: self.revisions[at].clone() },
        }
    }

    fn index(&mut self, revision: &Arc<Revision>) -> usize {
        if let Some(at) = self.revisions.iter().position(|r| r == revision) {
            return at;
        }
        self.revisions.push(revision.clone());
        self.revisions.len() - 1
    }

    fn put(&mut self, base: u64, at: usize) -> bool {
        let current = self.cell.map_or(0, |c| c.0);
        if current != base && self.options.compares {
            return false;
        }
        self.version += 1;
        self.cell = Some((self.version, at));
        self.first.get_or_insert(at);
        true
    }

    fn next_step(&mut self, operator: usize, event: Event) {
        let writer = &mut self.operators[operator];
        writer.step = writer.publish.next(event);
    }

    fn operator_steps(&self, at: usize, out: &mut Steps<Self>) {
        let name = CHANGES[at];
        match &self.operators[at].step {
            Step::Read | Step::Wait => {
                let mut world = self.clone();
                let head = world.head();
                world.next_step(at, Event::Read(head));
                out.add(|| format!("{name} reads the head"), world);
            }
            Step::Write { base, revision } => self.write_steps(at, *base, revision, out),
            Step::Applied(_) | Step::Unchanged(_) | Step::Conflict(_) => {}
        }
    }

    fn write_steps(&self, op: usize, base: u64, revision: &Arc<Revision>, out: &mut Steps<Self>) {
        let name = CHANGES[op];
        let mut heard = self.clone();
        let at = heard.index(revision);
        let unwritten = heard.clone();
        let done = heard.put(base, at);
        let mut unheard = heard.clone();
        heard.next_step(op, if done { Event::Written } else { Event::Conflict });
        out.add(|| format!("{name}'s write is answered, done {done}"), heard);
        if self.options.losses == 0 {
            return;
        }
        let lost = if self.options.looks { Event::NoAnswer } else { Event::Written };
        unheard.options.losses -= 1;
        unheard.next_step(op, lost.clone());
        out.add(|| format!("{name}'s write is unanswered, done {done}"), unheard);
        let mut late = unwritten;
        late.options.losses -= 1;
        late.flights.insert(Flight::Put { base, at });
        late.next_step(op, lost);
        out.add(|| format!("{name}'s write is unanswered and late"), late);
    }

    fn host_steps(&self, host: usize, out: &mut Steps<Self>) {
        if let Some((_, at)) = self.cell
            && self.options.watches > 0
        {
            let mut world = self.clone();
            world.options.watches -= 1;
            world.flights.insert(Flight::Seen { host, at, peer: false });
            out.add(|| format!("host {host} reads the head"), world);
        }
        let other = self.hosts[1 - host].current();
        if self.options.gossip > 0 && other.number > 0 {
            let mut world = self.clone();
            world.options.gossip -= 1;
            let at = world.index(&other.clone());
            world.flights.insert(Flight::Seen { host, at, peer: true });
            out.add(|| format!("host {} tells host {host}", 1 - host), world);
        }
    }

    fn arrive(&mut self, flight: Flight) {
        self.flights.remove(&flight);
        match flight {
            Flight::Put { base, at } => {
                self.put(base, at);
            }
            Flight::Seen { host, at, peer } => {
                let source = if peer { Source::Peer } else { Source::Platform };
                let revision = self.revisions[at].clone();
                self.hosts[host].offer(revision, source);
                let number = self.hosts[host].current().number;
                self.highest[host] = self.highest[host].max(number);
            }
        }
    }

    /// What an operator was told and what is true.
    fn wrong_answer(&self) -> Option<String> {
        let head = self.head().revision;
        for (operator, change) in self.operators.iter().zip(CHANGES) {
            let there = *head.change == *change || head.earlier.iter().any(|c| **c == *change);
            let pending = self.flights.iter().any(|f| match f {
                Flight::Put { base, at } => {
                    *base == self.cell.map_or(0, |c| c.0) && *self.revisions[*at].change == *change
                }
                Flight::Seen { .. } => false,
            });
            match &operator.step {
                Step::Applied(_) if !there => return Some(format!("`{change}` is not applied")),
                Step::Conflict(_) if there || pending => {
                    return Some(format!("`{change}` is or will be applied after all"));
                }
                _ => {}
            }
        }
        None
    }
}

impl World for Config {
    fn next(&self, out: &mut Steps<Self>) {
        for at in 0..self.operators.len() {
            self.operator_steps(at, out);
        }
        for host in 0..self.hosts.len() {
            self.host_steps(host, out);
        }
        for flight in &self.flights {
            let mut world = self.clone();
            world.arrive(*flight);
            out.add(|| format!("arrives: {flight:?}"), world);
        }
        if let Some(first) = self.first
            && self.options.restores > 0
        {
            let mut world = self.clone();
            world.options.restores -= 1;
            world.version += 1;
            world.cell = Some((world.version, first));
            world.restored = true;
            out.add(|| "the platform is restored to its first state".into(), world);
        }
    }

    fn broken(&self) -> Option<String> {
        for (host, keeper) in self.hosts.iter().enumerate() {
            let (now, highest) = (keeper.current().number, self.highest[host]);
            if !check(&keeper.current().catalog).is_empty() {
                return Some(format!("host {host} follows an unsound revision"));
            }
            if now < highest {
                return Some(format!("host {host} went back from revision {highest} to {now}"));
            }
        }
        let (a, b) = (self.hosts[0].current(), self.hosts[1].current());
        if a.number == b.number && a.change != b.change && !self.restored {
            return Some(format!("two changes are in force as revision {}", a.number));
        }
        // A restored platform has truly lost what was applied.
        if self.restored { None } else { self.wrong_answer() }
    }
}
