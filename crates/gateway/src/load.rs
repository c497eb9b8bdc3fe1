//! What hosts tell each other: loads, demand, and what lies in the store.

use crate::{
    hub::{Hub, Stage},
    peers::{PeerMessage, Total},
};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use vanetally_dispatch::{self as dispatch, Digest};
use vanetally_fanout::{Event as FollowEvent, Source};
use vanetally_placement::{self as placement, DemandSample};
use vanetally_ports::ModelRef;
use vanetally_types::Name;

/// Hosts tell each other their load this often, where they are few.
const DIGEST: Duration = Duration::from_millis(50);
/// The same in a large deployment, where two hosts pass it on.
const FLEET_DIGEST: Duration = Duration::from_millis(100);
/// Hosts of one failure domain above which an aggregator tells them less often.
const FULL_FANOUT: f64 = 30.0;

impl Hub {
    /// Another host told something.
    pub(crate) fn peer_message(self: &Rc<Self>, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::Digest { version, digest } => self.peer_digest(from, version, digest),
            PeerMessage::Report { number, version, digest } => {
                self.peer_report(from, number, version, digest);
            }
            PeerMessage::Total(total) => self.peer_total(from, total),
            PeerMessage::Subscribe => self.subscribed(from),
            PeerMessage::Unsubscribe => {
                self.totals.borrow_mut().unsubscribe(from);
                self.peer_left(from.clone());
            }
            PeerMessage::Snapshots { store, prefixes } => {
                self.store.told(store);
                self.take_snapshots(from, prefixes);
            }
            PeerMessage::Changes { store, changes } => self.take_changes(from, store, changes),
            PeerMessage::Reserve { number, prompt } => self.reserve_for(from, number, &prompt),
            PeerMessage::Reserved { number, slot } => self.reserved(number, slot),
            PeerMessage::Want { service, model, adapter, is_crowded } => {
                let subject = ModelRef { model, adapter };
                self.placement_event(placement::Event::Wanted { service, subject, is_crowded });
            }
            PeerMessage::Placed { runner, model, adapter, is_present } => {
                self.placed(runner, ModelRef { model, adapter }, is_present);
            }
            PeerMessage::AskConfiguration { have } => self.tell_configuration(from, have),
            PeerMessage::Configuration(patch) => self.take_configuration(from, &patch),
        }
    }

    pub(crate) fn reads_store(&self) -> bool {
        *self.source.borrow() == Source::Store
    }

    /// Another aggregator told its sum.
    fn peer_digest(self: &Rc<Self>, host: &Name, version: u64, digest: Digest) {
        self.compare_version(host, version);
        self.placement_event(placement::Event::Demand(samples(&digest)));
        if !self.reads_store() {
            return;
        }
        let now = self.clock.now();
        self.totals.borrow_mut().take_sum(now, host.clone(), digest.loads.clone());
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// A subscriber told its load.
    fn peer_report(self: &Rc<Self>, host: &Name, number: u64, version: u64, digest: Digest) {
        self.compare_version(host, version);
        let now = self.clock.now();
        self.totals.borrow_mut().take_report(now, host.clone(), number, digest.clone());
        self.count_subscribers();
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// An aggregator told the load of all.
    fn peer_total(self: &Rc<Self>, from: &Name, total: Total) {
        let Total { reported, version, age_ms, store, told, is_leaving, loads } = total;
        if *self.source.borrow() == Source::Aggregator(from.clone()) {
            self.store.told(store);
            self.check_told(from, &told);
            self.compare_version(from, version);
            let own = reported.iter().find(|(host, _)| *host == self.settings.host);
            if let Some((_, number)) = own {
                let loads = self.totals.borrow_mut().others(*number, loads);
                let digest = Digest { loads, demand: Vec::new() };
                self.request_event(dispatch::Event::PeerDigest { host: from.clone(), digest });
            }
        }
        self.follow_event(FollowEvent::Told { from: from.clone(), age_ms, is_leaving });
    }

    fn subscribed(self: &Rc<Self>, from: &Name) {
        if *self.stage.borrow() != Stage::Serving {
            return self.send(from, &PeerMessage::Total(self.leaving()));
        }
        self.totals.borrow_mut().subscribe(self.clock.now(), from.clone());
        self.count_subscribers();
        if let Some(message) = self.snapshots() {
            self.send(from, &message);
        }
    }

    /// What a host that stops tells whoever would hear from it.
    fn leaving(&self) -> Total {
        Total {
            reported: Vec::new(),
            version: self.version(),
            age_ms: self.age_ms(),
            store: self.store.state(),
            told: Vec::new(),
            is_leaving: true,
            loads: Vec::new(),
        }
    }

    fn count_subscribers(self: &Rc<Self>) {
        let count = self.totals.borrow().subscribers().count();
        self.follow_event(FollowEvent::Subscribers(count));
    }

    fn peer_left(self: &Rc<Self>, host: Name) {
        self.count_subscribers();
        self.request_event(dispatch::Event::PeerGone { host });
    }

    /// How often this host tells its load.
    pub(crate) fn digest_interval(&self) -> Duration {
        if !self.is_fleet() {
            return DIGEST;
        }
        let peers = self.peers.borrow();
        let near = peers.values().filter(|entry| entry.domain == self.settings.domain).count();
        FLEET_DIGEST.mul_f64((near as f64 / FULL_FANOUT).max(1.0))
    }

    /// Tells other hosts this one's load.
    pub(crate) fn tell_load(self: &Rc<Self>) {
        let now = self.clock.now();
        let digest = self.dispatch.borrow_mut().digest(now);
        let source = self.source.borrow().clone();
        match source {
            Source::Store => self.tell_sums(digest),
            Source::Aggregator(host) => {
                let number = self.totals.borrow_mut().number(now, &digest);
                let version = self.version();
                self.send(&host, &PeerMessage::Report { number, version, digest });
            }
        }
        let silent = self.totals.borrow_mut().forget_silent(now);
        silent.into_iter().for_each(|host| self.peer_left(host));
    }

    fn tell_sums(self: &Rc<Self>, mut own: Digest) {
        let (sum, reported, loads) = {
            let mut totals = self.totals.borrow_mut();
            totals.add_demand(std::mem::take(&mut own.demand));
            let sum = totals.take_own_sum(&own);
            let (reported, loads) = totals.total(&sum);
            (sum, reported, loads)
        };
        self.placement_event(placement::Event::Demand(samples(&sum)));
        let version = self.version();
        if !reported.is_empty() {
            let reported = reported.into_iter().map(|one| (one.host, one.number)).collect();
            let is_leaving = *self.stage.borrow() != Stage::Serving;
            let (age_ms, store) = (self.age_ms(), self.store.state());
            let told = self.told();
            let total = Total { reported, version, age_ms, store, told, is_leaving, loads };
            self.tell_subscribers(|| Some(PeerMessage::Total(total)));
        }
        let is_new = *self.last_digest.borrow() != sum;
        if is_new || !sum.loads.is_empty() {
            let message = PeerMessage::Digest { version, digest: sum.clone() };
            self.send_all(self.sum_readers().iter(), &message);
            *self.last_digest.borrow_mut() = sum;
        }
    }

    /// Tells all subscribers what `message` gives; it is made only if there are any.
    pub(crate) fn tell_subscribers(&self, message: impl FnOnce() -> Option<PeerMessage>) {
        let subscribers: Vec<Name> = self.totals.borrow().subscribers().cloned().collect();
        if subscribers.is_empty() {
            return;
        }
        if let Some(message) = message() {
            self.send_all(subscribers.iter(), &message);
        }
    }

    /// The hosts that need this one's sum: the other aggregators, and who gives the orders.
    fn sum_readers(&self) -> BTreeSet<Name> {
        let mut hosts: BTreeSet<Name> = self.follow.borrow().aggregators().into_iter().collect();
        hosts.extend(self.totals.borrow().elsewhere().cloned());
        hosts.extend(self.holder.borrow().clone());
        hosts.remove(&self.settings.host);
        hosts
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
