//! From whom a host hears what lies in the store: from the store itself or from an aggregator.

use crate::{Candidate, FEW_HOSTS, aggregators};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// Where a host reads what lies in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// It watches the store.
    Store,
    /// An aggregator passes on what it reads.
    Aggregator(Name),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The hosts that live, this one included.
    Candidates(Vec<Candidate>),
    /// An aggregator told its sums.
    Told {
        /// The aggregator.
        from: Name,
        /// Milliseconds since the store last confirmed what it passes on; none if it never did.
        age_ms: Option<u64>,
        /// Whether it is about to stop.
        is_leaving: bool,
    },
    /// All that an aggregator knows was taken over.
    Synced {
        /// The aggregator.
        from: Name,
    },
    /// Something that the aggregator passed on is missing.
    Missed,
    /// The store answered a probe, or did not.
    Probed(bool),
    /// So many hosts hear from this one.
    Subscribers(usize),
    /// Time passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a host for all that it knows, and for changes from then on.
    Subscribe(Name),
    /// Tell a host that its messages are needed no more.
    Unsubscribe(Name),
    /// Read something small from the store, to see whether it answers.
    Probe,
    /// From now on this is the source.
    Switch(Source),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Store,
    Aggregator { host: Name, heard: Tick, is_stale: bool },
}

/// A subscription that was asked for.
#[derive(Clone, Debug)]
struct Asked {
    host: Name,
    at: Tick,
    /// How often it was repeated.
    repeats: u32,
}

/// The choice of one host.
#[derive(Clone, Debug)]
pub struct Follow {
    me: Name,
    domain: Name,
    candidates: Vec<Candidate>,
    /// Hosts that fell silent, and until when they are left alone.
    suspects: BTreeMap<Name, Tick>,
    state: State,
    subscribers: usize,
    /// The subscription that was asked for and has brought nothing.
    asked: Option<Asked>,
    probed: Option<Tick>,
}

/// An aggregator that says nothing for this long is suspected, in milliseconds.
const SILENT_MS: u64 = 600;
/// What the store confirmed longer ago than this is stale, in milliseconds.
const STALE_MS: u64 = 1_100;
/// A suspected host is left alone for this long, in milliseconds.
const SUSPECT_MS: u64 = 3_000;
/// A host that leaves is left alone for this long, in milliseconds.
const LEAVING_MS: u64 = 15_000;
/// A subscription that brought nothing is asked for again after this long, in milliseconds, and after
/// twice as long each time: its answer is large, and may be on its way on a slow link.
const ASK_MS: u64 = 500;
/// Most doublings.
const MOST_DOUBLINGS: u32 = 4;
/// Between two probes of the store, in milliseconds.
const PROBE_MS: u64 = 900;

impl Follow {
    /// The host `me` of the failure domain `domain`, which reads the store itself so far.
    pub fn new(me: Name, domain: Name) -> Self {
        Self {
            me,
            domain,
            candidates: Vec::new(),
            suspects: BTreeMap::new(),
            state: State::Store,
            subscribers: 0,
            asked: None,
            probed: None,
        }
    }

    /// Where this host reads now.
    pub fn source(&self) -> Source {
        match &self.state {
            State::Store => Source::Store,
            State::Aggregator { host, .. } => Source::Aggregator(host.clone()),
        }
    }

    /// The hosts that this one takes for aggregators.
    pub fn aggregators(&self) -> Vec<Name> {
        aggregators(self.usable()).into_iter().cloned().collect()
    }

    /// The candidates that are not suspected.
    fn usable(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter().filter(|c| !self.suspects.contains_key(&c.host))
    }

    /// Takes in what happened; tells what has to be done.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Candidates(candidates) => self.candidates = candidates,
            Event::Told { from, age_ms, is_leaving } => {
                self.told(now, &from, age_ms, is_leaving, &mut actions);
            }
            Event::Synced { from } => self.synced(now, from, &mut actions),
            Event::Missed => self.read_store(&mut actions),
            Event::Probed(is_answered) => {
                if is_answered && self.is_stale() {
                    self.leave_aggregator(now, SUSPECT_MS, &mut actions);
                }
            }
            Event::Subscribers(count) => self.subscribers = count,
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn told(
        &mut self,
        now: Tick,
        from: &Name,
        age_ms: Option<u64>,
        is_leaving: bool,
        actions: &mut Vec<Action>,
    ) {
        if is_leaving {
            self.suspects.insert(from.clone(), now + LEAVING_MS);
        }
        let State::Aggregator { host, heard, is_stale } = &mut self.state else {
            return;
        };
        if host != from {
            return;
        }
        *heard = now;
        *is_stale = age_ms.is_none_or(|age| age > STALE_MS);
        if is_leaving {
            self.read_store(actions);
        }
    }

    fn synced(&mut self, now: Tick, from: Name, actions: &mut Vec<Action>) {
        let is_asked = self.asked.as_ref().is_some_and(|asked| asked.host == from);
        if !is_asked || self.subscribers > 0 {
            return;
        }
        self.asked = None;
        if let State::Aggregator { host, .. } = &self.state
            && *host != from
        {
            actions.push(Action::Unsubscribe(host.clone()));
        }
        self.state = State::Aggregator { host: from.clone(), heard: now, is_stale: false };
        actions.push(Action::Switch(Source::Aggregator(from)));
    }

    fn is_stale(&self) -> bool {
        matches!(&self.state, State::Aggregator { is_stale: true, .. })
    }

    fn read_store(&mut self, actions: &mut Vec<Action>) {
        self.asked = None;
        if let State::Aggregator { host, .. } = std::mem::replace(&mut self.state, State::Store) {
            actions.push(Action::Unsubscribe(host));
            actions.push(Action::Switch(Source::Store));
        }
    }

    /// Suspects the present aggregator for `suspect_ms`, and reads the store.
    fn leave_aggregator(&mut self, now: Tick, suspect_ms: u64, actions: &mut Vec<Action>) {
        if let State::Aggregator { host, .. } = &self.state {
            self.suspects.insert(host.clone(), now + suspect_ms);
        }
        self.read_store(actions);
    }

    fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.suspects.retain(|_, until| now < *until);
        if let State::Aggregator { heard, .. } = &self.state
            && now.since(*heard) > SILENT_MS
        {
            return self.leave_aggregator(now, SUSPECT_MS, actions);
        }
        let best = self.best();
        if self.subscribers > 0 || best.as_ref().is_none_or(|best| *best == self.me) {
            return self.read_store(actions);
        }
        if self.is_stale() && self.probed.is_none_or(|at| now.since(at) >= PROBE_MS) {
            self.probed = Some(now);
            actions.push(Action::Probe);
        }
        let is_there =
            matches!(&self.state, State::Aggregator { host, .. } if Some(host) == best.as_ref());
        if let Some(best) = best.filter(|_| !is_there) {
            self.ask(now, best, actions);
        }
    }

    /// The aggregator that this host should hear from.
    fn best(&self) -> Option<Name> {
        let usable: Vec<&Candidate> = self.usable().collect();
        if usable.len() <= FEW_HOSTS {
            return Some(self.me.clone());
        }
        let is_near = |host: &Name| {
            usable
                .iter()
                .any(|candidate| candidate.host == *host && candidate.domain == self.domain)
        };
        let all = aggregators(usable.iter().copied());
        all.into_iter().find(|host| is_near(host)).cloned()
    }

    fn ask(&mut self, now: Tick, best: Name, actions: &mut Vec<Action>) {
        let earlier = self.asked.as_ref().filter(|asked| asked.host == best);
        let is_recent =
            |asked: &&Asked| now.since(asked.at) < ASK_MS << asked.repeats.min(MOST_DOUBLINGS);
        if earlier.filter(is_recent).is_some() {
            return;
        }
        let repeats = earlier.map_or(0, |asked| asked.repeats + 1);
        self.asked = Some(Asked { host: best.clone(), at: now, repeats });
        actions.push(Action::Subscribe(best));
    }
}
