//! From whom a host hears what lies in the store: from the store itself or from another host.
//!
//! Hosts form a tree: in each failure domain the aggregator passes on to the others, one of the
//! aggregators, the root, reads the store for the rest. When the host before it fails, a host turns to
//! the next one in the order that all of them work out alike, and tells it what it knows, so that only
//! the difference is sent. It goes on with what it has until the new source has answered. So a failure
//! costs a few readings of the store, whatever the number of hosts; only a host that finds nobody in
//! time reads for itself, the first in the order first.

use crate::{
    Action, Candidate, Event, Reason, Source,
    candidate::{Fleet, Parent, firsts, parent, place},
};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick};

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// A host is looked for.
    Starting(Search),
    /// The store is read since then; when it last confirmed what is known, if it did.
    Store {
        since: Tick,
        confirmed: Option<Tick>,
    },
    Host(Heard),
}

/// The search of a host that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Search {
    since: Tick,
    /// Until then all hosts may be starting: the list may lack most of them.
    settled: Tick,
    /// When the list of hosts was last asked for.
    surveyed: Option<Tick>,
}

/// The host that this one hears from.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Heard {
    host: Name,
    /// When it last said something.
    at: Tick,
    /// How old its word was then.
    age_ms: Option<u64>,
    /// Since when it is silent.
    lost: Option<Tick>,
    is_leaving: bool,
}

impl Heard {
    fn is_stale(&self, now: Tick) -> bool {
        self.age_ms.is_none_or(|age| age + now.since(self.at) > STALE_MS)
    }
}

/// A subscription that was asked for.
#[derive(Clone, Debug)]
struct Asked {
    host: Name,
    at: Tick,
    /// How often it was repeated.
    repeats: u32,
    /// Whether the host has said something since: its answer may be on its way.
    is_alive: bool,
    /// Whether what it told was too old to be taken.
    is_refused: bool,
}

impl Asked {
    fn new(now: Tick, host: Name) -> Self {
        Self { host, at: now, repeats: 0, is_alive: false, is_refused: false }
    }

    /// Whether the host should have answered.
    fn is_silent(&self, now: Tick) -> bool {
        let limit = if self.is_alive { ANSWER_MS } else { WORD_MS };
        now.since(self.at) >= limit
    }
}

/// The choice of one host.
#[derive(Clone, Debug)]
pub struct Follow {
    me: Name,
    domain: Name,
    candidates: Vec<Candidate>,
    fleet: Fleet,
    /// Hosts that failed, and until when they are left alone.
    suspects: BTreeMap<Name, Tick>,
    state: State,
    subscribers: BTreeSet<Name>,
    /// The subscription that was asked for and has brought nothing.
    asked: Option<Asked>,
    probed: Option<Tick>,
    /// The parents worked out last, by the host that was left out.
    parents: BTreeMap<Option<Name>, Parent>,
    /// Until then no source is doubted, since this host did not run.
    respite: Tick,
}

/// A source that says nothing for this long is suspected, in milliseconds.
const SILENT_MS: u64 = 600;
/// What the store confirmed longer ago than this is stale, in milliseconds: readers ask it twice in this
/// time.
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
/// While there is no source, a host that says nothing for this long is passed over, in milliseconds: its
/// first word takes a few, of a busy host a tenth of a second.
const WORD_MS: u64 = 250;
/// The same for one that has said something: all that it knows takes a tenth of a second on a slow link,
/// and many may ask at once.
const ANSWER_MS: u64 = 1_500;
/// Without a source for this long the first hosts in the order read the store, in milliseconds.
const FIRST_ALONE_MS: u64 = 450;
/// Share of the hosts of a failure domain that count as first.
const FIRST_SHARE: f64 = 0.05;
/// The same for the others, and how much longer the last one looks: by then they have found one of those
/// that read it. Together with `SILENT_MS` this stays below two seconds, the shortest time that deployments
/// allow for a change to be followed.
const ALONE_MS: u64 = 900;
const SPREAD_MS: f64 = 400.0;
/// At the first start of a deployment hosts start within 0.3 s of each other, by the platform's word; before that
/// and the time to write a key has passed, a short list does not mean that hosts are few, in milliseconds.
const SETTLE_MS: u64 = 400;
/// Between two readings of the list of hosts, in milliseconds.
const SURVEY_MS: u64 = 200;
/// After a stall of its own a host doubts no source for this long, in milliseconds: what was told meanwhile lies in
/// its sockets, and words come every tenth of a second. Without it a stall of 0.7 s of a whole machine made the
/// hosts there take each other for silent, and three read the store where one does.
const RESPITE_MS: u64 = 300;
/// Between two probes of the store, in milliseconds.
const PROBE_MS: u64 = 500;

impl Follow {
    /// The host `me` of the failure domain `domain`, which starts at `now` and knows nothing; at a first start
    /// all others start as well.
    pub fn new(now: Tick, me: Name, domain: Name, is_first_start: bool) -> Self {
        let settled = if is_first_start { now + SETTLE_MS } else { now };
        Self {
            me,
            domain,
            candidates: Vec::new(),
            fleet: Fleet::default(),
            suspects: BTreeMap::new(),
            state: State::Starting(Search { since: now, settled, surveyed: None }),
            subscribers: BTreeSet::new(),
            asked: None,
            probed: None,
            parents: BTreeMap::new(),
            respite: now,
        }
    }

    /// Where this host reads now.
    pub fn source(&self) -> Source {
        match &self.state {
            State::Starting(_) => Source::Nobody,
            State::Store { .. } => Source::Store,
            State::Host(heard) => Source::Host(heard.host.clone()),
        }
    }

    /// The hosts that this one takes for aggregators.
    pub fn aggregators(&self) -> Vec<Name> {
        if !self.is_fleet() {
            return self.usable(None).map(|candidate| candidate.host.clone()).collect();
        }
        firsts(self.usable(None)).into_iter().cloned().collect()
    }

    /// Whether the hosts are so many that some read the store for the others.
    pub fn is_fleet(&self) -> bool {
        self.fleet.is_fleet
    }

    /// The hosts that hear from this one.
    pub fn subscribers(&self) -> &BTreeSet<Name> {
        &self.subscribers
    }

    /// Whether this host gathers loads for others: it reads the store, is the first of its failure
    /// domain, or somebody hears from it.
    pub fn is_aggregator(&mut self) -> bool {
        if matches!(self.state, State::Store { .. }) || !self.subscribers.is_empty() {
            return true;
        }
        match self.parent(None) {
            Parent::Store => !matches!(self.state, State::Starting(_)),
            Parent::Host(host) => !self.is_near(&host),
        }
    }

    fn is_near(&self, host: &Name) -> bool {
        let near = |candidate: &&Candidate| candidate.domain == self.domain;
        self.candidates.iter().filter(near).any(|candidate| candidate.host == *host)
    }

    /// The candidates that are not suspected, without `but`.
    fn usable<'a>(&'a self, but: Option<&'a Name>) -> impl Iterator<Item = &'a Candidate> {
        let is_usable = move |candidate: &&Candidate| {
            !self.suspects.contains_key(&candidate.host) && Some(&candidate.host) != but
        };
        self.candidates.iter().filter(is_usable)
    }

    /// From whom this host should hear, if `but` can't be.
    fn parent(&mut self, but: Option<&Name>) -> Parent {
        if let Some(known) = self.parents.get(&but.cloned()) {
            return known.clone();
        }
        let found = match self.is_fleet() {
            true => parent(&self.me, &self.domain, self.usable(but)),
            false => Parent::Store,
        };
        self.parents.insert(but.cloned(), found.clone());
        found
    }

    fn suspect(&mut self, host: Name, until: Tick) {
        self.suspects.insert(host, until);
        self.parents.clear();
    }

    /// Takes in what happened; tells what has to be done.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Candidates(candidates) => {
                self.fleet.review(candidates.len());
                self.candidates = candidates;
                self.parents.clear();
            }
            Event::Told { from, age_ms, is_leaving } => {
                self.told(now, from, age_ms, is_leaving, &mut actions);
            }
            Event::Synced { from, age_ms } => self.synced(now, from, age_ms, &mut actions),
            Event::Missed => self.missed(now, &mut actions),
            Event::Confirmed(age_ms) => {
                if let State::Store { confirmed, .. } = &mut self.state {
                    *confirmed = age_ms.map(|age| now - age);
                }
            }
            Event::Probed(is_answered) => self.probed(now, is_answered, &mut actions),
            Event::Subscribers(hosts) => self.subscribers = hosts,
            Event::Stalled => self.stalled(now),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// A host that stalls again and again must not rest on a dead source for ever.
    fn stalled(&mut self, now: Tick) {
        if now >= self.respite + SILENT_MS {
            self.respite = now + RESPITE_MS;
        }
    }

    fn told(
        &mut self,
        now: Tick,
        from: Name,
        age_ms: Option<u64>,
        is_leaving: bool,
        actions: &mut Vec<Action>,
    ) {
        if is_leaving {
            self.suspect(from.clone(), now + LEAVING_MS);
            self.asked.take_if(|asked| asked.host == from);
        }
        if let State::Host(heard) = &mut self.state
            && heard.host == from
        {
            *heard = Heard { host: from, at: now, age_ms, lost: None, is_leaving };
            return;
        }
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.host == from) else {
            return;
        };
        asked.is_alive = true;
        // What it told was too old, and it has heard from the store since.
        if asked.is_refused && !is_old(age_ms) {
            *asked = Asked::new(now, from.clone());
            actions.push(Action::Subscribe(from));
        }
    }

    fn synced(&mut self, now: Tick, from: Name, age_ms: Option<u64>, actions: &mut Vec<Action>) {
        let has_source = match &self.state {
            State::Starting(_) => false,
            State::Store { .. } => true,
            State::Host(heard) => heard.lost.is_none() && heard.host != from,
        };
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.host == from) else {
            return;
        };
        if has_source && is_old(age_ms) {
            asked.is_refused = true;
            return;
        }
        self.asked = None;
        let heard = Heard { host: from.clone(), at: now, age_ms, lost: None, is_leaving: false };
        let reason = self.reason(now);
        match std::mem::replace(&mut self.state, State::Host(heard)) {
            State::Host(old) if old.host == from => return,
            State::Host(old) => {
                if old.is_stale(now) {
                    self.suspect(old.host.clone(), now + SUSPECT_MS);
                }
                actions.push(Action::Unsubscribe(old.host));
            }
            State::Starting(_) | State::Store { .. } => {}
        }
        actions.push(Action::Switch { to: Source::Host(from), reason });
    }

    /// Why the present source is left now.
    fn reason(&self, now: Tick) -> Reason {
        match &self.state {
            State::Host(heard) if heard.lost.is_some() => Reason::Silent,
            State::Host(heard) if heard.is_leaving => Reason::Leaving,
            State::Host(heard) if heard.is_stale(now) => Reason::Stale,
            State::Store { since, confirmed } if is_unconfirmed(now, *since, *confirmed) => {
                Reason::Stale
            }
            _ => Reason::Order,
        }
    }

    /// The difference is asked for; until it comes what is known stays.
    fn missed(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if let State::Host(heard) = &self.state {
            let host = heard.host.clone();
            self.ask(now, host, actions);
        }
    }

    fn probed(&mut self, now: Tick, is_answered: bool, actions: &mut Vec<Action>) {
        let Some(but) = self.doubted(now) else {
            return;
        };
        let is_next = match self.parent(but.as_ref()) {
            Parent::Store => true,
            Parent::Host(host) => self.subscribers.contains(&host),
        };
        if is_answered && is_next {
            let reason = self.reason(now);
            if let (Reason::Stale, Some(host)) = (reason, but) {
                self.suspect(host, now + SUSPECT_MS);
            }
            self.read_store(now, reason, actions);
        }
    }

    /// The present source where it is a host, for which another is looked for; `Some(None)` if only the
    /// order speaks against it.
    fn doubted(&self, now: Tick) -> Option<Option<Name>> {
        let State::Host(heard) = &self.state else {
            return None;
        };
        Some(heard.is_stale(now).then(|| heard.host.clone()))
    }

    fn read_store(&mut self, now: Tick, reason: Reason, actions: &mut Vec<Action>) {
        self.asked = None;
        let store = State::Store { since: now, confirmed: None };
        let old = std::mem::replace(&mut self.state, store);
        if let State::Host(heard) = old {
            actions.push(Action::Unsubscribe(heard.host));
        }
        actions.push(Action::Switch { to: Source::Store, reason });
    }

    fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let suspects = self.suspects.len();
        self.suspects.retain(|_, until| now < *until);
        if self.suspects.len() < suspects {
            self.parents.clear();
        }
        match self.state.clone() {
            State::Starting(search) => self.start(now, search, actions),
            _ if now < self.respite => {}
            State::Store { since, confirmed } => {
                let is_stale = is_unconfirmed(now, since, confirmed);
                self.review_store(now, is_stale, actions);
            }
            State::Host(heard) => self.review_host(now, heard, actions),
        }
    }

    fn start(&mut self, now: Tick, search: Search, actions: &mut Vec<Action>) {
        let is_list_whole = self.is_fleet() || now >= search.settled;
        if !self.candidates.is_empty() && is_list_whole {
            match self.parent(None) {
                Parent::Store => return self.read_store(now, Reason::Order, actions),
                Parent::Host(host) => self.ask_next(now, host, actions),
            }
        }
        if now.since(search.since) > self.alone_ms() {
            return self.read_store(now, Reason::Nobody, actions);
        }
        if search.surveyed.is_none_or(|at| now.since(at) >= SURVEY_MS) {
            self.state = State::Starting(Search { surveyed: Some(now), ..search });
            actions.push(Action::Survey);
        }
    }

    /// How long this host looks for another one before it reads the store, in milliseconds.
    fn alone_ms(&self) -> u64 {
        let place = place(&self.me, &self.domain, self.usable(None));
        if place < FIRST_SHARE { FIRST_ALONE_MS } else { ALONE_MS + (place * SPREAD_MS) as u64 }
    }

    fn review_store(&mut self, now: Tick, is_stale: bool, actions: &mut Vec<Action>) {
        // Whoever can't read the store hears from one that can, if there is one.
        let me = self.me.clone();
        let but = is_stale.then_some(&me);
        if let Parent::Host(host) = self.parent(but)
            && !self.subscribers.contains(&host)
        {
            self.ask(now, host, actions);
        }
    }

    fn review_host(&mut self, now: Tick, heard: Heard, actions: &mut Vec<Action>) {
        if heard.lost.is_none() && now.since(heard.at) > SILENT_MS {
            self.suspect(heard.host.clone(), now + SUSPECT_MS);
            self.asked.take_if(|asked| asked.host == heard.host);
            self.state = State::Host(Heard { lost: Some(now), ..heard });
            return self.tick(now, actions);
        }
        if let Some(lost) = heard.lost {
            return self.replace_lost(now, lost, actions);
        }
        let but = heard.is_stale(now).then_some(&heard.host);
        match self.parent(but) {
            Parent::Host(host) if host == heard.host => {}
            Parent::Host(host) if !self.subscribers.contains(&host) => {
                self.ask(now, host, actions);
            }
            // Before it is read, the store has to show that it answers this host.
            Parent::Host(_) | Parent::Store => self.probe(now, actions),
        }
    }

    fn replace_lost(&mut self, now: Tick, lost: Tick, actions: &mut Vec<Action>) {
        match self.parent(None) {
            Parent::Store => self.read_store(now, Reason::Silent, actions),
            Parent::Host(host) if self.subscribers.contains(&host) => {
                self.read_store(now, Reason::Silent, actions);
            }
            _ if now.since(lost) > self.alone_ms() => self.read_store(now, Reason::Nobody, actions),
            Parent::Host(host) => self.ask_next(now, host, actions),
        }
    }

    fn probe(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if self.probed.is_none_or(|at| now.since(at) >= PROBE_MS) {
            self.probed = Some(now);
            actions.push(Action::Probe);
        }
    }

    /// Asks `host`, and the next one if it did not answer: there is no source to wait with.
    fn ask_next(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        let silent = self.asked.take_if(|asked| asked.is_silent(now));
        let Some(silent) = silent else {
            return self.ask(now, host, actions);
        };
        // Where all start at once, it may not have listened yet.
        let is_starting = matches!(self.state, State::Starting(_));
        if is_starting && silent.repeats == 0 && silent.host == host {
            self.asked = Some(Asked { repeats: 1, ..Asked::new(now, host.clone()) });
            return actions.push(Action::Subscribe(host));
        }
        self.suspect(silent.host, now + SUSPECT_MS);
        if let Parent::Host(next) = self.parent(None) {
            self.ask(now, next, actions);
        }
    }

    fn ask(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        let earlier = self.asked.as_ref().filter(|asked| asked.host == host);
        let is_recent =
            |asked: &&Asked| now.since(asked.at) < ASK_MS << asked.repeats.min(MOST_DOUBLINGS);
        if earlier.filter(is_recent).is_some() {
            return;
        }
        let repeats = earlier.map_or(0, |asked| asked.repeats + 1);
        self.asked = Some(Asked { repeats, ..Asked::new(now, host.clone()) });
        actions.push(Action::Subscribe(host));
    }
}

/// Whether a word is too old to rest on.
fn is_old(age_ms: Option<u64>) -> bool {
    age_ms.is_none_or(|age| age > STALE_MS)
}

/// Whether the store, read since then, has not confirmed for long what is known.
fn is_unconfirmed(now: Tick, since: Tick, confirmed: Option<Tick>) -> bool {
    now.since(confirmed.unwrap_or(since)) > STALE_MS
}
