//! Which other hosts live, and sending to them.

use crate::{
    hub::Hub,
    peers::{HostEntry, PeerMessage},
    registration::write_again_time,
    tenure,
};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use vanetally_dispatch as dispatch;
use vanetally_fanout::{Candidate, Event as FollowEvent};
use vanetally_types::{Name, rendezvous_rank};

/// Hosts that live hear that the store came back from a copy, and make their calls, within this time beside that over
/// which they spread them, in milliseconds.
const HEAR_MS: u64 = 2_500;

impl Hub {
    /// The hosts that have keys now. Where the store came back from a copy those that it lacks are waited for.
    pub(crate) fn set_peers(
        self: &Rc<Self>,
        mut hosts: BTreeMap<Name, HostEntry>,
        is_return: bool,
    ) {
        self.keep_lapsed(&mut hosts, is_return);
        let old = std::mem::replace(&mut *self.peers.borrow_mut(), hosts.clone());
        hosts.keys().filter(|host| !old.contains_key(*host)).for_each(|host| self.greet(host));
        let gone = old.into_keys().filter(|host| !hosts.contains_key(host));
        gone.for_each(|host| self.request_event(dispatch::Event::PeerGone { host }));
        self.count_peers();
    }

    fn keep_lapsed(&self, hosts: &mut BTreeMap<Name, HostEntry>, is_return: bool) {
        let now = self.clock.now();
        let again = write_again_time(self.peers.borrow().len(), &self.settings.store);
        let wait_ms = HEAR_MS + again.as_millis() as u64;
        let mut lapsed = self.lapsed.borrow_mut();
        lapsed.retain(|host, _| !hosts.contains_key(host));
        for (host, entry) in self.peers.borrow().iter() {
            if hosts.contains_key(host) {
                continue;
            }
            if is_return {
                log::log!(self.hearsay(), "event=host_lapsed host={host} wait_ms={wait_ms}");
                lapsed.entry(host.clone()).or_insert(now + wait_ms);
            }
            if lapsed.contains_key(host) {
                hosts.insert(host.clone(), entry.clone());
            }
        }
    }

    /// Hosts that were waited for in vain are gone.
    pub(crate) fn review_lapsed(self: &Rc<Self>) {
        let now = self.clock.now();
        let over: Vec<Name> = {
            let lapsed = self.lapsed.borrow();
            let over = lapsed.iter().filter(|(_, until)| now >= **until);
            over.map(|(host, _)| host.clone()).collect()
        };
        over.iter().for_each(|host| self.peer_gone(host));
    }

    /// A host wrote its key.
    pub(crate) fn peer_seen(self: &Rc<Self>, host: Name, entry: HostEntry) {
        log::log!(self.hearsay(), "event=host_seen host={host} link={}", entry.link);
        self.lapsed.borrow_mut().remove(&host);
        self.peers.borrow_mut().insert(host.clone(), entry);
        self.greet(&host);
        self.count_peers();
    }

    /// Tells a host that has begun to live what it can't read in the store; where hosts are many, those that it hears
    /// from do so.
    fn greet(&self, host: &Name) {
        if !self.is_fleet() && *host != self.settings.host {
            self.tell_beliefs(host);
        }
    }

    /// Tells a host that starts what is believed of contents and upstreams.
    pub(crate) fn tell_beliefs(&self, host: &Name) {
        self.tell_quarantines(host);
        self.tell_leavers(host);
    }

    /// A host's key is gone.
    pub(crate) fn peer_gone(self: &Rc<Self>, host: &Name) {
        log::log!(self.hearsay(), "event=host_gone host={host}");
        self.lapsed.borrow_mut().remove(host);
        self.peers.borrow_mut().remove(host);
        self.request_event(dispatch::Event::PeerGone { host: host.clone() });
        self.count_peers();
    }

    fn count_peers(self: &Rc<Self>) {
        self.follow_event(FollowEvent::Candidates(self.candidates()));
        let (hosts, rank) = {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let key = vanetally_types::hash64(tenure::HOLDER_KEY.as_bytes());
            let others = peers.keys().filter(|host| *host != own);
            let mut ranked = rendezvous_rank(key, others.chain([own]));
            // Aggregators know the demand of all: they try first, the one that reads the store for the
            // others last of them, so that the loss of one host is not the loss of both.
            let aggregators = self.follow.borrow().aggregators();
            let candidates = self.candidates();
            let root = vanetally_fanout::root(&candidates);
            ranked.sort_by_key(|host| (!aggregators.contains(host), root == Some(*host)));
            let rank = ranked.iter().position(|host| *host == own).unwrap_or(0);
            (ranked.len(), rank)
        };
        self.tenure.borrow_mut().set_rank(rank);
        self.pacing.borrow_mut().set_hosts(self.capacities());
        let now = self.clock.now();
        self.quotas.borrow_mut().client.set_hosts(now, hosts);
        self.limits.borrow_mut().contact.set_hosts(now, hosts);
        self.request_event(dispatch::Event::HostCount(hosts));
    }

    /// The hosts that live, this one included, with their shares of a processor.
    fn capacities(&self) -> Vec<(Name, u32)> {
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|(host, _)| **host != self.settings.host);
        let own = (self.settings.host.clone(), self.settings.capacity);
        others.map(|(host, entry)| (host.clone(), entry.capacity)).chain([own]).collect()
    }

    /// What this host's key says.
    pub(crate) fn own_entry(&self) -> HostEntry {
        let settings = &self.settings;
        HostEntry {
            link: SocketAddr::new(settings.ip, settings.link_port),
            domain: settings.domain.clone(),
            capacity: settings.capacity,
        }
    }

    /// A host that is not known yet said where it is.
    pub(crate) fn introduced(self: &Rc<Self>, host: &Name, entry: HostEntry) {
        let is_new = !self.peers.borrow().contains_key(host);
        if is_new {
            self.peer_seen(host.clone(), entry);
        }
    }

    /// At which level to log what all hosts hear alike: only who reads it first tells all of it.
    pub(crate) fn hearsay(&self) -> log::Level {
        if self.reads_store() { log::Level::Info } else { log::Level::Debug }
    }

    /// The hosts that may be aggregators.
    fn candidates(&self) -> Vec<Candidate> {
        let peers = self.peers.borrow();
        let candidates = peers.iter().map(|(host, entry)| Candidate {
            host: host.clone(),
            domain: entry.domain.clone(),
            capacity: entry.capacity,
        });
        candidates.collect()
    }

    /// Whether the hosts are too many for each one to watch the store and tell all others.
    pub(crate) fn is_fleet(&self) -> bool {
        self.follow.borrow().is_fleet()
    }

    /// Tells all other hosts.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        let peers = self.peers.borrow();
        self.send_all(peers.keys().filter(|host| **host != self.settings.host), message);
    }

    /// Tells `hosts`; the message is encoded once.
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
