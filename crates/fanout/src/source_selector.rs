//! Where a host reads store data from: the store itself or another host.
//!
//! Hosts form a tree: in each failure domain the aggregator forwards data to the other hosts, in a large domain through
//! relays, and one of the aggregators, the root, reads the store for all. When its source fails, a host subscribes to
//! the next one in an order that all hosts compute alike, and states what it already has, so that only the difference
//! is sent. It keeps its data until the new source has answered. So a failure costs a few reads of the store, whatever
//! the number of hosts. A host reads the store itself only if it finds no other host in time; the first hosts in the
//! order do so earlier than the rest.

use crate::{
    Action, Candidate, Event, Reason, Source,
    candidate::{Fleet, Parent, domain_firsts, parent, relative_rank, root},
    domain_tree::DomainTree,
    intervals::MIN_SILENCE_MS,
    path::{MAX_HOPS, Path, hop},
    source_state::{
        FallbackProbes, HostSource, PendingSubscription, STALE_MS, Search, SourceState, is_too_old,
        is_unconfirmed,
    },
};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick};

/// Selects the source of one host.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    pub(crate) me: Name,
    pub(crate) domain: Name,
    pub(crate) candidates: Vec<Candidate>,
    fleet: Fleet,
    /// Hosts that failed, and until when they are not used.
    pub(crate) suspects: BTreeMap<Name, Tick>,
    pub(crate) state: SourceState,
    pub(crate) subscribers: BTreeSet<Name>,
    /// The subscription that was requested and has not brought the data yet.
    pub(crate) pending: Option<PendingSubscription>,
    /// When this host last probed the store as the next one in the order.
    pub(crate) last_probe: Option<Tick>,
    /// Computed parents by the host that was excluded.
    pub(crate) parent_cache: BTreeMap<Option<Name>, Parent>,
    /// Computed rank of this host among the usable ones of its domain.
    rank_cache: Option<f64>,
    /// The tree of this host's domain if no host failed.
    pub(crate) tree: Option<DomainTree>,
    /// Until then no source is checked, since this host did not run for a while.
    pub(crate) grace_until: Tick,
    /// The paths that other hosts last announced.
    pub(crate) paths: BTreeMap<Name, Path>,
    /// The fallback probes since the source became stale.
    pub(crate) fallback_probes: FallbackProbes,
    /// A host that announced fresh data while this host's data was stale, and when.
    pub(crate) offer: Option<(Name, Tick)>,
    /// Whether this host has to announce to all others that it reads the store, once it has.
    pub(crate) must_announce: bool,
    /// At the first start of a deployment, until its list of hosts is complete: when the list last grew.
    pub(crate) growing_since: Option<Tick>,
    /// Since when the next source in the order has been a subscriber of this host.
    pub(crate) blocked_since: Option<Tick>,
}

/// Time for which a suspected host is not used.
pub(crate) const SUSPECT_MS: u64 = 3_000;
/// Validity of a host's announcement that it has fresh data; the response to a subscription arrives within a tenth of a
/// second.
pub(crate) const OFFER_MS: u64 = 300;
/// Time for which a host that is stopping is not used.
const LEAVING_MS: u64 = 15_000;
/// Time after a stall of its own during which a host checks no source. Messages sent meanwhile wait in its sockets, and
/// a status arrives every tenth of a second.
const STALL_GRACE_MS: u64 = 300;

impl SourceSelector {
    /// Creates the selector of the host `me` in the failure domain `domain`, which starts at `now` without data.
    ///
    /// At the first start of a deployment (`is_first_start`) all other hosts start as well.
    pub fn new(now: Tick, me: Name, domain: Name, is_first_start: bool) -> Self {
        Self {
            me,
            domain,
            candidates: Vec::new(),
            fleet: Fleet::default(),
            suspects: BTreeMap::new(),
            state: SourceState::Searching(Search { since: now, last_attempt: None }),
            subscribers: BTreeSet::new(),
            pending: None,
            last_probe: None,
            parent_cache: BTreeMap::new(),
            rank_cache: None,
            tree: None,
            grace_until: now,
            paths: BTreeMap::new(),
            fallback_probes: FallbackProbes::default(),
            offer: None,
            must_announce: false,
            growing_since: is_first_start.then_some(now),
            blocked_since: None,
        }
    }

    /// Returns the name of this host.
    pub fn me(&self) -> &Name {
        &self.me
    }

    /// Returns the current source.
    pub fn source(&self) -> Source {
        match &self.state {
            SourceState::Searching(_) => Source::Searching,
            SourceState::Store { .. } => Source::Store,
            SourceState::Host(current) => Source::Host(current.host.clone()),
        }
    }

    /// Returns the aggregators as far as this host knows.
    pub fn aggregators(&self) -> Vec<Name> {
        if !self.is_fleet() {
            return self.usable(None).map(|candidate| candidate.host.clone()).collect();
        }
        domain_firsts(self.usable(None)).into_iter().cloned().collect()
    }

    /// Whether there are so many hosts that some read the store for the others.
    pub fn is_fleet(&self) -> bool {
        self.fleet.is_fleet
    }

    /// Returns the hosts that subscribe to this one.
    pub fn subscribers(&self) -> &BTreeSet<Name> {
        &self.subscribers
    }

    /// Whether this host sums up the loads of its failure domain: it reads the store or a host of another domain.
    ///
    /// A host whose source is in its own domain reports to that source, together with its own subscribers.
    pub fn is_aggregator(&mut self) -> bool {
        match &self.state {
            SourceState::Store { .. } => true,
            SourceState::Host(current) => !self.is_same_domain(&current.host),
            SourceState::Searching(_) if !self.subscribers.is_empty() => true,
            SourceState::Searching(_) => match self.parent(None) {
                Parent::Store => false,
                Parent::Host(host) => !self.is_same_domain(&host),
            },
        }
    }

    fn is_same_domain(&self, host: &Name) -> bool {
        let same_domain = |candidate: &&Candidate| candidate.domain == self.domain;
        self.candidates.iter().filter(same_domain).any(|candidate| candidate.host == *host)
    }

    /// Returns the candidates that are not suspected, without `excluded`.
    pub(crate) fn usable<'a>(
        &'a self,
        excluded: Option<&'a Name>,
    ) -> impl Iterator<Item = &'a Candidate> {
        let is_usable = move |candidate: &&Candidate| {
            !self.suspects.contains_key(&candidate.host) && Some(&candidate.host) != excluded
        };
        self.candidates.iter().filter(is_usable)
    }

    /// Returns the source that the order assigns to this host, without `excluded`.
    pub(crate) fn parent(&mut self, excluded: Option<&Name>) -> Parent {
        if let Some(known) = self.parent_cache.get(&excluded.cloned()) {
            return known.clone();
        }
        let found = match self.is_fleet() {
            true => parent(&self.me, &self.domain, self.usable(excluded)),
            false => Parent::Store,
        };
        self.parent_cache.insert(excluded.cloned(), found.clone());
        found
    }

    pub(crate) fn suspect(&mut self, host: Name, until: Tick) {
        self.suspects.insert(host, until);
        self.clear_caches();
    }

    /// Discards what was computed from the usable hosts.
    pub(crate) fn clear_caches(&mut self) {
        self.parent_cache.clear();
        self.rank_cache = None;
    }

    /// Returns the share of the usable hosts of the domain that come before this one in the order.
    pub(crate) fn rank(&mut self) -> f64 {
        if let Some(rank) = self.rank_cache {
            return rank;
        }
        let rank = relative_rank(&self.me, &self.domain, self.usable(None));
        self.rank_cache = Some(rank);
        rank
    }

    fn build_tree(&self) -> Option<DomainTree> {
        let same_domain = |candidate: &&Candidate| candidate.domain == self.domain;
        let hosts: Vec<&Candidate> = self.candidates.iter().filter(same_domain).collect();
        DomainTree::new(&self.domain, &hosts)
    }

    /// Returns the path of this host's data, to be sent to its subscribers.
    pub fn path(&self) -> Path {
        let mut path = match &self.state {
            SourceState::Searching(_) => return Path::new(),
            SourceState::Store { .. } => Path::new(),
            SourceState::Host(current) => {
                self.paths.get(&current.host).cloned().unwrap_or_default()
            }
        };
        path.push(hop(&self.me));
        path
    }

    /// Whether the path of `from` does not contain this host. A host that states no path is accepted unless it
    /// subscribes to this host.
    ///
    /// A host that reads the store itself accepts only data from the root or from a reader with a lower [`hop`] id:
    /// two readers would otherwise switch to each other.
    fn accepts(&self, now: Tick, from: &Name) -> bool {
        let Some(path) = self.paths.get(from).filter(|path| !path.is_empty()) else {
            return !self.subscribers.contains(from);
        };
        let me = hop(&self.me);
        if path.contains(&me) || path.len() >= MAX_HOPS {
            return false;
        }
        let reads_store =
            matches!(self.state, SourceState::Store { .. }) && self.stale_ms(now).is_none();
        let root_hop = || root(self.usable(None)).map(hop);
        !reads_store || path[0] < me || root_hop() == Some(path[0])
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Candidates(candidates) => {
                self.fleet.update(candidates.len());
                self.paths.retain(|host, _| candidates.iter().any(|one| one.host == *host));
                if candidates.len() > self.candidates.len() {
                    self.growing_since = self.growing_since.map(|_| now);
                }
                self.candidates = candidates;
                self.tree = self.build_tree();
                self.clear_caches();
            }
            Event::Status { from, age_ms, is_leaving } => {
                self.on_status(now, from, age_ms, is_leaving, &mut actions);
            }
            Event::Path { from, path } => {
                self.paths.insert(from, path);
            }
            Event::Synced { from, age_ms } => self.on_synced(now, from, age_ms, &mut actions),
            Event::EntryFound(host) => self.on_entry_found(now, host, &mut actions),
            Event::EntryClaimed => self.on_entry_claimed(now, &mut actions),
            Event::Unreachable(host) => self.on_unreachable(host, &mut actions),
            Event::ChangesMissed => self.on_missed(now, &mut actions),
            Event::StoreConfirmed(age_ms) => self.on_confirmed(now, age_ms, &mut actions),
            Event::Probed(is_answered) => self.on_probed(now, is_answered, &mut actions),
            Event::Subscribers(hosts) => self.subscribers = hosts,
            Event::Stalled => self.on_stalled(now),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Handles the store's confirmation of what this host reads there.
    fn on_confirmed(&mut self, now: Tick, age_ms: Option<u64>, actions: &mut Vec<Action>) {
        let SourceState::Store { confirmed, .. } = &mut self.state else {
            return;
        };
        *confirmed = age_ms.map(|age| now - age);
        if !is_too_old(age_ms) && std::mem::take(&mut self.must_announce) {
            actions.push(Action::Announce);
        }
    }

    /// Starts a grace period, unless one has just ended: a host that stalls repeatedly must still replace a dead
    /// source.
    fn on_stalled(&mut self, now: Tick) {
        if now >= self.grace_until + MIN_SILENCE_MS {
            self.grace_until = now + STALL_GRACE_MS;
        }
    }

    fn on_status(
        &mut self,
        now: Tick,
        from: Name,
        age_ms: Option<u64>,
        is_leaving: bool,
        actions: &mut Vec<Action>,
    ) {
        if is_leaving {
            self.suspect(from.clone(), now + LEAVING_MS);
            self.pending.take_if(|pending| pending.host == from);
        }
        if let SourceState::Host(current) = &mut self.state
            && current.host == from
        {
            *current =
                HostSource { host: from, last_status: now, age_ms, silent_since: None, is_leaving };
            return;
        }
        let has_valid_path = self.accepts(now, &from);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.host == from) else {
            return self.on_other_status(now, from, age_ms, actions);
        };
        pending.has_status = true;
        // Its data was too old, and it has received newer data since.
        if pending.is_rejected && !is_too_old(age_ms) && has_valid_path {
            *pending = PendingSubscription::new(now, from.clone());
            actions.push(Action::Subscribe(from));
        }
    }

    /// Handles the status of a host other than the source: if this host's data is stale and the other's is fresh,
    /// records it as an offer.
    ///
    /// A host of the same failure domain is subscribed to at once. One of another domain is used only if no other is
    /// found, since all hosts would subscribe to it.
    fn on_other_status(
        &mut self,
        now: Tick,
        from: Name,
        age_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let is_fresh = !is_too_old(age_ms) && self.accepts(now, &from);
        if !is_fresh || self.stale_ms(now).is_none() {
            return;
        }
        if self.suspects.remove(&from).is_some() {
            self.clear_caches();
        }
        // The response to the first offer may still be in transit.
        if self.offer.as_ref().is_some_and(|(_, at)| now.since(*at) <= OFFER_MS) {
            return;
        }
        self.offer = Some((from.clone(), now));
        if self.is_same_domain(&from) {
            self.pending = Some(PendingSubscription::new(now, from.clone()));
            actions.push(Action::Subscribe(from));
        }
    }

    /// Returns for how many milliseconds this host's data has been stale, if it is.
    pub(crate) fn stale_ms(&self, now: Tick) -> Option<u64> {
        let ms = match &self.state {
            SourceState::Searching(_) => return None,
            SourceState::Store { since, confirmed } => now.since(confirmed.unwrap_or(*since)),
            SourceState::Host(current) => {
                now.since(current.last_status) + current.age_ms.unwrap_or(STALE_MS)
            }
        };
        (ms > STALE_MS).then(|| ms - STALE_MS)
    }

    fn on_synced(&mut self, now: Tick, from: Name, age_ms: Option<u64>, actions: &mut Vec<Action>) {
        let has_source = match &self.state {
            SourceState::Searching(_) => false,
            SourceState::Store { .. } => true,
            SourceState::Host(current) => current.silent_since.is_none() && current.host != from,
        };
        let has_valid_path = self.accepts(now, &from);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.host == from) else {
            return;
        };
        if has_source && (is_too_old(age_ms) || !has_valid_path) {
            pending.is_rejected = true;
            return;
        }
        self.pending = None;
        let current = HostSource {
            host: from.clone(),
            last_status: now,
            age_ms,
            silent_since: None,
            is_leaving: false,
        };
        let reason = self.reason(now);
        match std::mem::replace(&mut self.state, SourceState::Host(current)) {
            SourceState::Host(old) if old.host == from => return,
            SourceState::Host(old) => {
                if old.is_stale(now) {
                    self.suspect(old.host.clone(), now + SUSPECT_MS);
                }
                actions.push(Action::Unsubscribe(old.host));
            }
            SourceState::Searching(_) | SourceState::Store { .. } => {}
        }
        actions.push(Action::Switch { to: Source::Host(from), reason });
    }

    /// Returns why the current source would be left now.
    fn reason(&self, now: Tick) -> Reason {
        match &self.state {
            SourceState::Host(current) if current.silent_since.is_some() => Reason::Silent,
            SourceState::Host(current) if current.is_leaving => Reason::Leaving,
            SourceState::Host(current) if current.is_stale(now) => Reason::Stale,
            SourceState::Store { since, confirmed } if is_unconfirmed(now, *since, *confirmed) => {
                Reason::Stale
            }
            _ => Reason::Order,
        }
    }

    /// Subscribes to a host that was found while this one has no source.
    fn on_entry_found(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        if matches!(self.state, SourceState::Searching(_)) {
            self.subscribe(now, host, actions);
        }
    }

    /// Subscribes again to a host that may be starting as well.
    fn on_unreachable(&mut self, host: Name, actions: &mut Vec<Action>) {
        let is_searching = matches!(self.state, SourceState::Searching(_));
        let is_awaited =
            |pending: &PendingSubscription| pending.host == host && !pending.has_status;
        if is_searching && self.pending.as_ref().is_some_and(is_awaited) {
            actions.push(Action::Subscribe(host));
        }
    }

    /// Reads the store, since the other hosts that start turn to this one.
    fn on_entry_claimed(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if matches!(self.state, SourceState::Searching(_)) {
            self.switch_to_store(now, Reason::Order, actions);
        }
    }

    /// Requests the missing changes again; the known data is kept until they arrive.
    fn on_missed(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if let SourceState::Host(current) = &self.state {
            let host = current.host.clone();
            self.subscribe(now, host, actions);
        }
    }

    fn on_probed(&mut self, now: Tick, is_answered: bool, actions: &mut Vec<Action>) {
        let Some(excluded) = self.excluded_source(now) else {
            return;
        };
        let is_next = match self.parent(excluded.as_ref()) {
            Parent::Store => true,
            Parent::Host(host) => self.subscribers.contains(&host),
        };
        let is_wait_over = self.is_wait_over(now);
        if is_answered && is_wait_over && !is_next && self.fallback_probes.count > 1 {
            // After a longer outage the store may have returned for all hosts, and the source reports it shortly.
            self.fallback_probes.answered.get_or_insert(now);
            return;
        }
        if is_answered && (is_next || is_wait_over) {
            self.must_announce = !is_next;
            self.replace_by_store(now, excluded, actions);
        }
    }

    /// Switches to the store in place of a source that has no fresh data.
    pub(crate) fn replace_by_store(
        &mut self,
        now: Tick,
        excluded: Option<Name>,
        actions: &mut Vec<Action>,
    ) {
        let reason = self.reason(now);
        if let (Reason::Stale, Some(host)) = (reason, excluded) {
            self.suspect(host, now + SUSPECT_MS);
        }
        self.switch_to_store(now, reason, actions);
    }

    /// Returns the host to exclude from the choice if the source is a host: the source itself if it is stale,
    /// `Some(None)` if it is not. Returns `None` if the source is not a host.
    fn excluded_source(&self, now: Tick) -> Option<Option<Name>> {
        let SourceState::Host(current) = &self.state else {
            return None;
        };
        Some(current.is_stale(now).then(|| current.host.clone()))
    }

    pub(crate) fn switch_to_store(&mut self, now: Tick, reason: Reason, actions: &mut Vec<Action>) {
        self.pending = None;
        self.fallback_probes = FallbackProbes::default();
        let store = SourceState::Store { since: now, confirmed: None };
        let old = std::mem::replace(&mut self.state, store);
        if let SourceState::Host(current) = old {
            actions.push(Action::Unsubscribe(current.host));
        }
        actions.push(Action::Switch { to: Source::Store, reason });
    }
}
