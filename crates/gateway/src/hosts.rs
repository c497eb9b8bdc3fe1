//! What this host hears of other hosts, and tells them.

use crate::{
    hub::Hub,
    peers::{HostEntry, PeerMessage},
    tenure,
};
use std::{collections::BTreeMap, rc::Rc};
use vanetally_dispatch::{self as dispatch, Digest};
use vanetally_placement::{self as placement, DemandSample};
use vanetally_ports::ModelRef;
use vanetally_types::{Name, rendezvous_rank};

impl Hub {
    /// The hosts that have keys now.
    pub(crate) fn set_peers(self: &Rc<Self>, hosts: BTreeMap<Name, HostEntry>) {
        let old = std::mem::replace(&mut *self.peers.borrow_mut(), hosts.clone());
        let gone = old.into_keys().filter(|host| !hosts.contains_key(host));
        gone.for_each(|host| self.request_event(dispatch::Event::PeerGone { host }));
        self.count_peers();
    }

    /// A host wrote its key.
    pub(crate) fn peer_seen(self: &Rc<Self>, host: Name, entry: HostEntry) {
        log::info!("event=host_seen host={host} link={}", entry.link);
        self.peers.borrow_mut().insert(host, entry);
        self.count_peers();
    }

    /// A host's key is gone.
    pub(crate) fn peer_gone(self: &Rc<Self>, host: &Name) {
        log::info!("event=host_gone host={host}");
        self.peers.borrow_mut().remove(host);
        self.request_event(dispatch::Event::PeerGone { host: host.clone() });
        self.count_peers();
    }

    fn count_peers(self: &Rc<Self>) {
        let (hosts, rank) = {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let key = vanetally_types::hash64(tenure::HOLDER_KEY.as_bytes());
            let others = peers.keys().filter(|host| *host != own);
            let ranked = rendezvous_rank(key, others.chain([own]));
            let rank = ranked.iter().position(|host| *host == own).unwrap_or(0);
            (ranked.len(), rank)
        };
        self.tenure.borrow_mut().set_rank(rank);
        self.request_event(dispatch::Event::Hosts(hosts));
    }

    /// Hosts that have keys.
    pub(crate) fn host_count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Tells all other hosts.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        for (host, entry) in &*self.peers.borrow() {
            if *host != self.settings.host {
                self.links.send(host, entry.link, message);
            }
        }
    }

    pub(crate) fn send(&self, host: &Name, message: &PeerMessage) {
        if let Some(entry) = self.peers.borrow().get(host) {
            self.links.send(host, entry.link, message);
        }
    }

    /// Another host told something.
    pub(crate) fn peer_message(self: &Rc<Self>, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::Digest { version, digest } => self.peer_digest(from, version, digest),
            PeerMessage::Want { service, model, adapter } => {
                let subject = ModelRef { model, adapter };
                self.placement_event(placement::Event::Wanted { service, subject });
            }
            PeerMessage::Placed { runner, model, adapter, is_present } => {
                self.placed(runner, ModelRef { model, adapter }, is_present);
            }
            PeerMessage::AskConfiguration => {
                if let Some(bytes) = &*self.raw_configuration.borrow() {
                    self.send(from, &PeerMessage::Configuration(bytes.to_vec()));
                }
            }
            PeerMessage::Configuration(bytes) => self.configuration_seen(&bytes.into(), "peer"),
        }
    }

    fn peer_digest(self: &Rc<Self>, host: &Name, version: u64, digest: Digest) {
        if self.dispatch.borrow().version().unwrap_or(0) < version {
            self.send(host, &PeerMessage::AskConfiguration);
        }
        self.placement_event(placement::Event::Demand(samples(&digest)));
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// Tells all hosts this one's load.
    pub(crate) fn tell_load(self: &Rc<Self>) {
        let now = self.clock.now();
        let digest = self.dispatch.borrow_mut().digest(now);
        let is_new = *self.last_digest.borrow() != digest;
        self.placement_event(placement::Event::Demand(samples(&digest)));
        if is_new || !digest.loads.is_empty() {
            let version = self.dispatch.borrow().version().unwrap_or(0);
            let message = PeerMessage::Digest { version, digest: digest.clone() };
            self.broadcast(&message);
            *self.last_digest.borrow_mut() = digest;
        }
    }
}

/// What a digest tells of the demand.
fn samples(digest: &Digest) -> Vec<DemandSample> {
    let samples = digest.demand.iter().map(|row| DemandSample {
        service: row.service.clone(),
        subject: ModelRef { model: row.model.clone(), adapter: row.adapter.clone() },
        arrived: row.arrived,
        work_ms: row.work_ms,
    });
    samples.collect()
}
