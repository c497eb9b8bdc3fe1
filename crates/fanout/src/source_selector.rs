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
    candidate::{Fleet, Parent, firsts, parent, root},
    path::{MOST_HOSTS, Path, hop},
    source_state::{Asked, Heard, Looks, STALE_MS, Search, State, is_old, is_unconfirmed},
};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick};

/// The choice of one host.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    pub(crate) me: Name,
    pub(crate) domain: Name,
    pub(crate) candidates: Vec<Candidate>,
    fleet: Fleet,
    /// Hosts that failed, and until when they are left alone.
    pub(crate) suspects: BTreeMap<Name, Tick>,
    pub(crate) state: State,
    pub(crate) subscribers: BTreeSet<Name>,
    /// The subscription that was asked for and has brought nothing.
    pub(crate) asked: Option<Asked>,
    pub(crate) probed: Option<Tick>,
    /// The parents worked out last, by the host that was left out.
    pub(crate) parents: BTreeMap<Option<Name>, Parent>,
    /// Until then no source is doubted, since this host did not run.
    pub(crate) respite: Tick,
    /// The ways that other hosts' knowledge takes, as they last said.
    pub(crate) paths: BTreeMap<Name, Path>,
    /// Its looks at the store by itself since its source went stale.
    pub(crate) looks: Looks,
    /// A host that said unasked that it knows what is new, and when.
    pub(crate) offer: Option<(Name, Tick)>,
    /// Whether others have to hear that this host reads the store, once it does.
    pub(crate) must_announce: bool,
}

/// A source that says nothing for this long is suspected, in milliseconds.
pub(crate) const SILENT_MS: u64 = 600;
/// A suspected host is left alone for this long, in milliseconds.
pub(crate) const SUSPECT_MS: u64 = 3_000;
/// A host that said that it knows what is new is taken at its word for this long, in milliseconds: its answer comes
/// within a tenth of a second.
pub(crate) const OFFER_MS: u64 = 300;
/// A host that leaves is left alone for this long, in milliseconds.
const LEAVING_MS: u64 = 15_000;
/// At the first start of a deployment hosts start within 0.3 s of each other, by the platform's word; before that
/// and the time to write a key has passed, a short list does not mean that hosts are few, in milliseconds.
const SETTLE_MS: u64 = 400;
/// After a stall of its own a host doubts no source for this long, in milliseconds: what was told meanwhile lies in
/// its sockets, and words come every tenth of a second.
const RESPITE_MS: u64 = 300;

impl SourceSelector {
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
            paths: BTreeMap::new(),
            looks: Looks::default(),
            offer: None,
            must_announce: false,
        }
    }

    /// This host.
    pub fn me(&self) -> &Name {
        &self.me
    }

    /// Where this host reads now.
    pub fn source(&self) -> Source {
        match &self.state {
            State::Starting(_) => Source::Searching,
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
    pub(crate) fn usable<'a>(
        &'a self,
        but: Option<&'a Name>,
    ) -> impl Iterator<Item = &'a Candidate> {
        let is_usable = move |candidate: &&Candidate| {
            !self.suspects.contains_key(&candidate.host) && Some(&candidate.host) != but
        };
        self.candidates.iter().filter(is_usable)
    }

    /// From whom this host should hear, if `but` can't be.
    pub(crate) fn parent(&mut self, but: Option<&Name>) -> Parent {
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

    pub(crate) fn suspect(&mut self, host: Name, until: Tick) {
        self.suspects.insert(host, until);
        self.parents.clear();
    }

    /// The way that this host's knowledge takes, for those that hear from it.
    pub fn path(&self) -> Path {
        let mut path = match &self.state {
            State::Starting(_) => return Path::new(),
            State::Store { .. } => Path::new(),
            State::Host(heard) => self.paths.get(&heard.host).cloned().unwrap_or_default(),
        };
        path.push(hop(&self.me));
        path
    }

    /// Whether what `from` knows comes to it without this host; one that says nothing of its way is believed
    /// unless it hears from this host.
    ///
    /// A host that reads the store itself gives that up only for the first host in the order, or for a reader with
    /// a lower mark: two readers would otherwise give up for each other.
    fn accepts(&self, now: Tick, from: &Name) -> bool {
        let Some(path) = self.paths.get(from).filter(|path| !path.is_empty()) else {
            return !self.subscribers.contains(from);
        };
        let me = hop(&self.me);
        if path.contains(&me) || path.len() >= MOST_HOSTS {
            return false;
        }
        let reads = matches!(self.state, State::Store { .. }) && self.stale_ms(now).is_none();
        let first = || root(self.usable(None)).map(hop);
        !reads || path[0] < me || first() == Some(path[0])
    }

    /// Takes in what happened; tells what has to be done.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Candidates(candidates) => {
                self.fleet.review(candidates.len());
                self.paths.retain(|host, _| candidates.iter().any(|one| one.host == *host));
                self.candidates = candidates;
                self.parents.clear();
            }
            Event::Status { from, age_ms, is_leaving } => {
                self.told(now, from, age_ms, is_leaving, &mut actions);
            }
            Event::Path { from, path } => {
                self.paths.insert(from, path);
            }
            Event::Synced { from, age_ms } => self.synced(now, from, age_ms, &mut actions),
            Event::ChangesMissed => self.missed(now, &mut actions),
            Event::StoreConfirmed(age_ms) => self.confirmed(now, age_ms, &mut actions),
            Event::Probed(is_answered) => self.probed(now, is_answered, &mut actions),
            Event::Subscribers(hosts) => self.subscribers = hosts,
            Event::Stalled => self.stalled(now),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// The store confirmed what this host reads there.
    fn confirmed(&mut self, now: Tick, age_ms: Option<u64>, actions: &mut Vec<Action>) {
        let State::Store { confirmed, .. } = &mut self.state else {
            return;
        };
        *confirmed = age_ms.map(|age| now - age);
        if !is_old(age_ms) && std::mem::take(&mut self.must_announce) {
            actions.push(Action::Announce);
        }
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
        let is_way = self.accepts(now, &from);
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.host == from) else {
            return self.told_by_another(now, from, age_ms, actions);
        };
        asked.is_alive = true;
        // What it told was too old, and it has heard from the store since.
        if asked.is_refused && !is_old(age_ms) && is_way {
            *asked = Asked::new(now, from.clone());
            actions.push(Action::Subscribe(from));
        }
    }

    /// A host that this one does not hear from knows what is new, which this one's source does not.
    ///
    /// One of the same failure domain is taken at once; one of another only if none is found: all would turn to it.
    fn told_by_another(
        &mut self,
        now: Tick,
        from: Name,
        age_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let is_fresh = !is_old(age_ms) && self.accepts(now, &from);
        if !is_fresh || self.stale_ms(now).is_none() {
            return;
        }
        if self.suspects.remove(&from).is_some() {
            self.parents.clear();
        }
        // The answer of the first one is on its way.
        if self.offer.as_ref().is_some_and(|(_, at)| now.since(*at) <= OFFER_MS) {
            return;
        }
        self.offer = Some((from.clone(), now));
        if self.is_near(&from) {
            self.asked = Some(Asked::new(now, from.clone()));
            actions.push(Action::Subscribe(from));
        }
    }

    /// Milliseconds for which what this host knows has been stale, if it is.
    pub(crate) fn stale_ms(&self, now: Tick) -> Option<u64> {
        let ms = match &self.state {
            State::Starting(_) => return None,
            State::Store { since, confirmed } => now.since(confirmed.unwrap_or(*since)),
            State::Host(heard) => now.since(heard.at) + heard.age_ms.unwrap_or(STALE_MS),
        };
        (ms > STALE_MS).then(|| ms - STALE_MS)
    }

    fn synced(&mut self, now: Tick, from: Name, age_ms: Option<u64>, actions: &mut Vec<Action>) {
        let has_source = match &self.state {
            State::Starting(_) => false,
            State::Store { .. } => true,
            State::Host(heard) => heard.lost.is_none() && heard.host != from,
        };
        let is_way = self.accepts(now, &from);
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.host == from) else {
            return;
        };
        if has_source && (is_old(age_ms) || !is_way) {
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
        let is_alone = self.is_alone(now);
        if is_answered && is_alone && !is_next && self.looks.count > 1 {
            // Long away, the store may have returned for all: then the source says so in a moment.
            self.looks.answered.get_or_insert(now);
            return;
        }
        if is_answered && (is_next || is_alone) {
            self.must_announce = !is_next;
            self.read_instead(now, but, actions);
        }
    }

    /// Reads the store in place of a source that knows nothing new.
    pub(crate) fn read_instead(&mut self, now: Tick, but: Option<Name>, actions: &mut Vec<Action>) {
        let reason = self.reason(now);
        if let (Reason::Stale, Some(host)) = (reason, but) {
            self.suspect(host, now + SUSPECT_MS);
        }
        self.read_store(now, reason, actions);
    }

    /// The present source where it is a host, for which another is looked for; `Some(None)` if only the
    /// order speaks against it.
    fn doubted(&self, now: Tick) -> Option<Option<Name>> {
        let State::Host(heard) = &self.state else {
            return None;
        };
        Some(heard.is_stale(now).then(|| heard.host.clone()))
    }

    pub(crate) fn read_store(&mut self, now: Tick, reason: Reason, actions: &mut Vec<Action>) {
        self.asked = None;
        self.looks = Looks::default();
        let store = State::Store { since: now, confirmed: None };
        let old = std::mem::replace(&mut self.state, store);
        if let State::Host(heard) = old {
            actions.push(Action::Unsubscribe(heard.host));
        }
        actions.push(Action::Switch { to: Source::Store, reason });
    }
}
