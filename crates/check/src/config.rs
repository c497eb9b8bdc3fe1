//! Model of publishing the configuration: two operators publish through a platform, two hosts
//! follow the platform and each other.
//!
//! Writes are late or lost, answers are lost, the result of a read may be stale when it arrives,
//! and the platform may be restored to its first state.

use crate::{State, Steps};
use std::{collections::BTreeSet, sync::Arc};
use vanetally_config::{
    Catalog, Revision, RevisionTracker,
    check::check,
    publish::{Event, Head, Publication, Step},
    tracker::{Guards, Source},
};

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the hosts; each can be switched off.
    pub guards: Guards,
    /// Whether the platform compares the base version of a write with the stored version.
    pub checks_base: bool,
    /// Whether a writer that got no answer reads back whether its change took effect.
    pub reads_back: bool,
    /// Whether the second change is invalid, as written by a tool that does not check it.
    pub has_invalid_change: bool,
    /// Maximum number of writes without an answer.
    pub lost_answers: u8,
    /// Maximum number of reads of the platform by hosts.
    pub reads: u8,
    /// Maximum number of times that a host sends its revision to the other one.
    pub gossip: u8,
    /// Maximum number of times that the platform is restored to its first state.
    pub restores: u8,
}

/// An operator who publishes one change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    publication: Publication,
    step: Step,
}

/// A revision in flight, offered to a host or to be written, as an index into
/// `Config::revisions`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Offer { host: usize, index: usize, from_peer: bool },
    Write { base: u64, index: usize },
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    options: Options,
    operators: Vec<Operator>,
    hosts: Vec<RevisionTracker>,
    /// Highest revision number that each host ever followed.
    highest: Vec<u64>,
    /// All revisions that operators ever tried to write.
    revisions: Vec<Arc<Revision>>,
    in_flight: BTreeSet<InFlight>,
    /// Version and index of the revision at the platform.
    stored: Option<(u64, usize)>,
    /// Index of the revision that was written first.
    first_written: Option<usize>,
    /// Version of the last write.
    version: u64,
    /// Whether the platform was restored.
    is_restored: bool,
}

const CHANGES: [&str; 2] = ["one", "two"];

impl Config {
    /// No configuration yet; each operator starts to publish one change.
    pub fn new(options: Options) -> Self {
        let operator = |(index, change): (usize, &&str)| {
            let mut catalog = Catalog { move_price: 1 + index as u32, ..Catalog::default() };
            if options.has_invalid_change && index == 1 {
                catalog.store.slots = 0;
            }
            let publication = Publication::new((*change).into(), catalog, None, 0);
            Operator { step: publication.start(), publication }
        };
        Self {
            options,
            operators: CHANGES.iter().enumerate().map(operator).collect(),
            hosts: vec![RevisionTracker::with_guards(options.guards); 2],
            highest: vec![0; 2],
            revisions: Vec::new(),
            in_flight: BTreeSet::new(),
            stored: None,
            first_written: None,
            version: 0,
            is_restored: false,
        }
    }

    fn head(&self) -> Head {
        match self.stored {
            None => Head { version: 0, revision: Arc::default() },
            Some((version, index)) => Head { version, revision: self.revisions[index].clone() },
        }
    }

    fn revision_index(&mut self, revision: &Arc<Revision>) -> usize {
        if let Some(index) = self.revisions.iter().position(|r| r == revision) {
            return index;
        }
        self.revisions.push(revision.clone());
        self.revisions.len() - 1
    }

    fn write(&mut self, base: u64, index: usize) -> bool {
        let current = self.stored.map_or(0, |stored| stored.0);
        if current != base && self.options.checks_base {
            return false;
        }
        self.version += 1;
        self.stored = Some((self.version, index));
        self.first_written.get_or_insert(index);
        true
    }

    fn next_step(&mut self, index: usize, event: Event) {
        let operator = &mut self.operators[index];
        operator.step = operator.publication.next(event);
    }

    fn operator_steps(&self, operator: usize, steps: &mut Steps<Self>) {
        let name = CHANGES[operator];
        match &self.operators[operator].step {
            Step::Read | Step::Wait => {
                let mut next = self.clone();
                let head = next.head();
                next.next_step(operator, Event::Read(head));
                steps.add(|| format!("{name} reads the head"), next);
            }
            Step::Write { base, revision } => self.write_steps(operator, *base, revision, steps),
            Step::Applied(_) | Step::Unchanged(_) | Step::Conflict(_) => {}
        }
    }

    fn write_steps(
        &self,
        operator: usize,
        base: u64,
        revision: &Arc<Revision>,
        steps: &mut Steps<Self>,
    ) {
        let name = CHANGES[operator];
        let mut answered = self.clone();
        let index = answered.revision_index(revision);
        let unwritten = answered.clone();
        let is_applied = answered.write(base, index);
        let mut unanswered = answered.clone();
        answered.next_step(operator, if is_applied { Event::Written } else { Event::Conflict });
        steps.add(|| format!("{name}'s write is answered, applied={is_applied}"), answered);
        if self.options.lost_answers == 0 {
            return;
        }
        let no_answer = if self.options.reads_back { Event::NoAnswer } else { Event::Written };
        unanswered.options.lost_answers -= 1;
        unanswered.next_step(operator, no_answer.clone());
        steps.add(|| format!("{name}'s write is unanswered, applied={is_applied}"), unanswered);
        let mut late = unwritten;
        late.options.lost_answers -= 1;
        late.in_flight.insert(InFlight::Write { base, index });
        late.next_step(operator, no_answer);
        steps.add(|| format!("{name}'s write is unanswered and late"), late);
    }

    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        if let Some((_, index)) = self.stored
            && self.options.reads > 0
        {
            let mut next = self.clone();
            next.options.reads -= 1;
            next.in_flight.insert(InFlight::Offer { host, index, from_peer: false });
            steps.add(|| format!("host {host} reads the head"), next);
        }
        let other_revision = self.hosts[1 - host].current();
        if self.options.gossip > 0 && other_revision.number > 0 {
            let mut next = self.clone();
            next.options.gossip -= 1;
            let index = next.revision_index(&other_revision.clone());
            next.in_flight.insert(InFlight::Offer { host, index, from_peer: true });
            steps.add(|| format!("host {} sends its revision to host {host}", 1 - host), next);
        }
    }

    fn deliver(&mut self, in_flight: InFlight) {
        self.in_flight.remove(&in_flight);
        match in_flight {
            InFlight::Write { base, index } => {
                self.write(base, index);
            }
            InFlight::Offer { host, index, from_peer } => {
                let source = if from_peer { Source::Peer } else { Source::Platform };
                let revision = self.revisions[index].clone();
                self.hosts[host].offer(revision, source);
                let number = self.hosts[host].current().number;
                self.highest[host] = self.highest[host].max(number);
            }
        }
    }

    /// Returns a description of an operator's result that contradicts what is stored.
    fn wrong_result(&self) -> Option<String> {
        let head = self.head().revision;
        for (operator, change) in self.operators.iter().zip(CHANGES) {
            let is_present = *head.change == *change || head.earlier.iter().any(|c| **c == *change);
            let is_pending = self.in_flight.iter().any(|in_flight| match in_flight {
                InFlight::Write { base, index } => {
                    *base == self.stored.map_or(0, |stored| stored.0)
                        && *self.revisions[*index].change == *change
                }
                InFlight::Offer { .. } => false,
            });
            match &operator.step {
                Step::Applied(_) if !is_present => {
                    return Some(format!("`{change}` is not applied"));
                }
                Step::Conflict(_) if is_present || is_pending => {
                    return Some(format!("`{change}` is or will be applied after all"));
                }
                _ => {}
            }
        }
        None
    }
}

impl State for Config {
    fn successors(&self, steps: &mut Steps<Self>) {
        for operator in 0..self.operators.len() {
            self.operator_steps(operator, steps);
        }
        for host in 0..self.hosts.len() {
            self.host_steps(host, steps);
        }
        for in_flight in &self.in_flight {
            let mut next = self.clone();
            next.deliver(*in_flight);
            steps.add(|| format!("arrives: {in_flight:?}"), next);
        }
        if let Some(first_written) = self.first_written
            && self.options.restores > 0
        {
            let mut next = self.clone();
            next.options.restores -= 1;
            next.version += 1;
            next.stored = Some((next.version, first_written));
            next.is_restored = true;
            steps.add(|| "the platform is restored to its first state".into(), next);
        }
    }

    fn violation(&self) -> Option<String> {
        for (host, tracker) in self.hosts.iter().enumerate() {
            let (current, highest) = (tracker.current().number, self.highest[host]);
            if !check(&tracker.current().catalog).is_empty() {
                return Some(format!("host {host} follows an invalid revision"));
            }
            if current < highest {
                return Some(format!("host {host} went back from revision {highest} to {current}"));
            }
        }
        let (a, b) = (self.hosts[0].current(), self.hosts[1].current());
        if a.number == b.number && a.change != b.change && !self.is_restored {
            return Some(format!("two changes are in force as revision {}", a.number));
        }
        // A restored platform has lost changes that were applied.
        if self.is_restored { None } else { self.wrong_result() }
    }
}
