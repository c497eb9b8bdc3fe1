//! Tracks the other live hosts and sends messages to them.

use crate::{
    capabilities::Capabilities, host_entry::HostEntry, hub::Hub, order_lease, peers::PeerMessage,
    registration::rewrite_time,
};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use vanetally_dispatch as dispatch;
use vanetally_fanout::{Candidate, Event as SourceEvent, Source};
use vanetally_types::Name;

/// Number of hosts per millisecond between two derivations of what follows from their set: each one
/// costs a host with an eighth of a processor some tens of microseconds per host.
const HOSTS_PER_PAUSE_MS: usize = 10;
/// Time for a live host to notice that the store was restored from a backup and to make its calls,
/// in addition to the period over which the hosts spread them.
const RESTORE_NOTICE_MS: u64 = 2_500;

impl Hub {
    /// Replaces the set of known hosts. After a restore of the store, hosts missing from the backup
    /// are kept for a while.
    pub(crate) fn set_peers(
        self: &Rc<Self>,
        mut hosts: BTreeMap<Name, HostEntry>,
        is_restore: bool,
    ) {
        self.has_host_list.set(true);
        self.retain_introduced(&mut hosts);
        self.retain_lapsed(&mut hosts, is_restore);
        let old = std::mem::replace(&mut *self.peers.borrow_mut(), hosts.clone());
        hosts
            .keys()
            .filter(|host| !old.contains_key(*host))
            .for_each(|host| self.send_state_to_new(host));
        let gone = old.into_keys().filter(|host| !hosts.contains_key(host));
        gone.for_each(|host| {
            self.quotas.borrow_mut().grantor.forget_host(&host);
            self.slot_host_gone(&host);
            self.pool.drop_tunnels(&host);
            self.request_event(dispatch::Event::PeerGone { host });
        });
        // What else was read with the list, such as the holder of the order lease, is judged by it.
        self.derive_from_peers();
    }

    /// Keeps the hosts that this one serves or turns to although the list was read before they wrote their keys.
    fn retain_introduced(&self, hosts: &mut BTreeMap<Name, HostEntry>) {
        let source = self.source.borrow().clone();
        let peers = self.peers.borrow();
        let selector = self.source_selector.borrow();
        let is_needed = |host: &Name| {
            source == Source::Searching
                || source == Source::Host(host.clone())
                || selector.subscribers().contains(host)
        };
        let mut introduced = self.introduced.borrow_mut();
        introduced.retain(|host| !hosts.contains_key(host) && is_needed(host));
        let kept = introduced.iter().filter_map(|host| peers.get_key_value(host));
        hosts.extend(kept.map(|(host, entry)| (host.clone(), entry.clone())));
    }

    fn retain_lapsed(&self, hosts: &mut BTreeMap<Name, HostEntry>, is_restore: bool) {
        let now = self.clock.now();
        let rewrite = rewrite_time(self.peers.borrow().len(), &self.settings.store);
        let wait_ms = RESTORE_NOTICE_MS + rewrite.as_millis() as u64;
        let mut lapsed = self.lapsed.borrow_mut();
        lapsed.retain(|host, _| !hosts.contains_key(host));
        for (host, entry) in self.peers.borrow().iter() {
            if hosts.contains_key(host) {
                continue;
            }
            if is_restore {
                log::log!(
                    self.relayed_log_level(),
                    "event=host_lapsed host={host} wait_ms={wait_ms}"
                );
                lapsed.entry(host.clone()).or_insert(now + wait_ms);
            }
            if lapsed.contains_key(host) {
                hosts.insert(host.clone(), entry.clone());
            }
        }
    }

    /// Removes lapsed hosts that did not write their keys again in time.
    pub(crate) fn expire_lapsed(self: &Rc<Self>) {
        let now = self.clock.now();
        let expired: Vec<Name> = {
            let lapsed = self.lapsed.borrow();
            let expired = lapsed.iter().filter(|(_, until)| now >= **until);
            expired.map(|(host, _)| host.clone()).collect()
        };
        expired.iter().for_each(|host| self.peer_gone(host));
    }

    /// Handles a new or changed host key.
    pub(crate) fn peer_seen(self: &Rc<Self>, host: Name, entry: HostEntry) {
        log::log!(self.relayed_log_level(), "event=host_seen host={host} link={}", entry.link);
        self.lapsed.borrow_mut().remove(&host);
        self.introduced.borrow_mut().remove(&host);
        self.peers.borrow_mut().insert(host.clone(), entry);
        self.send_state_to_new(&host);
        self.peer_updates.borrow_mut().request();
    }

    /// Sends a new host the state that it can't read from the store. Where aggregators are used,
    /// its source does that instead.
    fn send_state_to_new(&self, host: &Name) {
        if !self.uses_aggregators() && *host != self.settings.host {
            self.send_known_state(host);
        }
    }

    /// Sends a starting host the known quarantines and leaving upstreams.
    pub(crate) fn send_known_state(&self, host: &Name) {
        self.send_quarantines(host);
        self.send_leaving(host);
        self.send_brittle(host);
    }

    /// Handles the removal of a host key.
    pub(crate) fn peer_gone(self: &Rc<Self>, host: &Name) {
        self.lapsed.borrow_mut().remove(host);
        self.introduced.borrow_mut().remove(host);
        if self.peers.borrow_mut().remove(host).is_none() {
            return;
        }
        log::log!(self.relayed_log_level(), "event=host_gone host={host}");
        self.quotas.borrow_mut().grantor.forget_host(host);
        self.slot_host_gone(host);
        self.request_event(dispatch::Event::PeerGone { host: host.clone() });
        self.peer_updates.borrow_mut().request();
    }

    /// Derives what follows from the set of hosts, if it has changed and the last time was long enough ago.
    pub(crate) fn update_peers(self: &Rc<Self>) {
        let pause_ms = (self.peers.borrow().len() / HOSTS_PER_PAUSE_MS) as u64;
        if self.peer_updates.borrow_mut().take_due(self.clock.now(), pause_ms) {
            self.derive_from_peers();
        }
    }

    fn derive_from_peers(self: &Rc<Self>) {
        let candidates = self.candidates();
        let hosts = self.peers.borrow().len().max(1);
        // Hosts that introduced themselves to a starting one are no list from which a source could be chosen.
        if self.has_host_list.get() {
            self.source_event(SourceEvent::Candidates(candidates.clone()));
        }
        self.order_lease.borrow_mut().set_rank(self.order_rank(&candidates), hosts);
        self.pacing.borrow_mut().set_hosts(self.capacities(|_| true));
        let grants_slots =
            |entry: &HostEntry| entry.capabilities.includes(Capabilities::SLOT_GRANTS);
        self.slots.borrow_mut().set_hosts(self.capacities(grants_slots));
        let grants_brittle = |entry: &HostEntry| entry.capabilities.includes(Capabilities::BRITTLE);
        self.slots.borrow_mut().set_brittle_hosts(self.capacities(grants_brittle));
        let is_exit = |entry: &HostEntry| entry.capabilities.includes(Capabilities::TUNNELS);
        let exits = self.capacities(is_exit).into_iter().map(|(host, _)| host);
        let exits: Vec<Name> = exits.collect();
        let elsewhere = exits.iter().filter(|host| self.is_elsewhere(host)).cloned().collect();
        self.reach.borrow_mut().exits.set_hosts(exits);
        self.reach.borrow_mut().exits.set_elsewhere(elsewhere);
        let now = self.clock.now();
        self.quotas.borrow_mut().client.set_hosts(now, hosts);
        self.limits.borrow_mut().contact.set_hosts(now, hosts);
        self.request_event(dispatch::Event::HostCount(hosts));
    }

    /// Returns this host's rank among those that may take the order lease.
    fn order_rank(&self, candidates: &[Candidate]) -> usize {
        let aggregators = self.source_selector.borrow().aggregators();
        let key = order_lease::HOLDER_KEY.as_bytes();
        vanetally_fanout::holder_rank(key, &self.settings.host, candidates, &aggregators)
    }

    /// The live hosts for which `is_wanted` holds, and this one, with their CPU shares.
    fn capacities(&self, is_wanted: impl Fn(&HostEntry) -> bool) -> Vec<(Name, u32)> {
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|(host, _)| **host != self.settings.host);
        let others = others.filter(|(_, entry)| is_wanted(entry));
        let own = (self.settings.host.clone(), self.settings.capacity);
        others.map(|(host, entry)| (host.clone(), entry.capacity)).chain([own]).collect()
    }

    /// Whether a host belongs to another failure domain.
    fn is_elsewhere(&self, host: &Name) -> bool {
        let peers = self.peers.borrow();
        peers.get(host).is_some_and(|entry| entry.domain != self.settings.domain)
    }

    /// The value of this host's key.
    pub(crate) fn own_entry(&self) -> HostEntry {
        let settings = &self.settings;
        HostEntry {
            link: SocketAddr::new(settings.ip, settings.link_port),
            domain: settings.domain.clone(),
            capacity: settings.capacity,
            capabilities: Capabilities::of(settings.scheduling),
        }
    }

    /// Adds an unknown host that has sent its entry.
    pub(crate) fn peer_introduced(self: &Rc<Self>, host: &Name, entry: HostEntry) {
        let is_new = !self.peers.borrow().contains_key(host);
        if is_new {
            self.peer_seen(host.clone(), entry);
            self.introduced.borrow_mut().insert(host.clone());
        }
    }

    /// Log level for events that all hosts observe: `Info` on the hosts that read the store,
    /// `Debug` on the others.
    pub(crate) fn relayed_log_level(&self) -> log::Level {
        if self.reads_store() { log::Level::Info } else { log::Level::Debug }
    }

    /// The hosts eligible as aggregators.
    fn candidates(&self) -> Vec<Candidate> {
        let peers = self.peers.borrow();
        let candidates = peers.iter().map(|(host, entry)| Candidate {
            host: host.clone(),
            domain: entry.domain.clone(),
            capacity: entry.capacity,
        });
        candidates.collect()
    }

    /// Whether there are too many hosts for each one to watch the store and message all others
    /// directly.
    pub(crate) fn uses_aggregators(&self) -> bool {
        self.source_selector.borrow().is_fleet()
    }

    /// Sends a message to all other hosts.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        let peers = self.peers.borrow();
        self.send_all(peers.keys().filter(|host| **host != self.settings.host), message);
    }

    /// Sends a message to `hosts`, encoding it once; returns the number of bytes sent.
    pub(crate) fn send_all<'a>(
        &self,
        hosts: impl Iterator<Item = &'a Name>,
        message: &PeerMessage,
    ) -> usize {
        let peers = self.peers.borrow();
        let known = hosts.filter_map(|host| Some((host, peers.get(host)?.link)));
        self.links.send_all(known, message)
    }

    pub(crate) fn send(&self, host: &Name, message: &PeerMessage) {
        if let Some(entry) = self.peers.borrow().get(host) {
            self.links.send(host, entry.link, message);
        }
    }
}
