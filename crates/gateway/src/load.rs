//! What hosts tell each other: loads, demand, and what lies in the store.

use crate::{
    hub::Hub,
    peers::{HostEntry, PeerMessage, Total},
};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_dispatch::{self as dispatch, Digest};
use vanetally_fanout::{Event as FollowEvent, Source, status_interval_ms};
use vanetally_placement::{self as placement, DemandSample};
use vanetally_ports::{Era, ModelRef, Revision};
use vanetally_quarantine::{CrashReport, CrashSign};
use vanetally_types::Name;

/// Hosts tell each other their load this often, where they are few, in milliseconds.
const DIGEST_MS: u64 = 50;

impl Hub {
    /// Another host told something.
    pub(crate) fn peer_message(self: &Rc<Self>, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::Digest { version, digest } => self.peer_digest(from, version, digest),
            PeerMessage::Report { number, version, digest } => {
                self.peer_report(from, number, version, digest);
            }
            PeerMessage::Total(total) => self.peer_total(from, total),
            PeerMessage::Word(word) => self.take_word(from, &word),
            PeerMessage::Subscribe { entry, have, era, is_aggregator } => {
                let have = in_era(have, Era(era));
                self.subscribed(from, entry, &have, is_aggregator);
            }
            PeerMessage::Listening => {
                self.totals.borrow_mut().add_listener(self.clock.now(), from.clone());
                self.review_subscribers();
            }
            PeerMessage::Unsubscribe => {
                self.totals.borrow_mut().unsubscribe(from);
                self.peer_left(from.clone());
            }
            PeerMessage::Sync { store, age_ms, path, prefixes } => {
                self.store.told(store);
                self.follow_event(FollowEvent::Path { from: from.clone(), path });
                self.take_sync(from, age_ms, prefixes);
            }
            PeerMessage::Changes { store, changes } => self.take_changes(from, store, changes),
            PeerMessage::Reserve { number, prompt } => self.reserve_for(from, number, &prompt),
            PeerMessage::Reserved { number, slot } => self.reserved(number, slot),
            PeerMessage::Ended { upstream, is_good } => self.told_end(from, &upstream, is_good),
            PeerMessage::Want { service, model, adapter, is_crowded } => {
                let subject = ModelRef { model, adapter };
                self.placement_event(placement::Event::Requested {
                    service,
                    subject,
                    is_saturated: is_crowded,
                });
            }
            PeerMessage::Placed { ref runner, ref model, ref adapter, is_present } => {
                self.pass_on_placed(from, &message);
                let subject = ModelRef { model: model.clone(), adapter: adapter.clone() };
                self.placed(runner.clone(), subject, is_present);
            }
            PeerMessage::AskClock { asked } => self.tell_clock(from, asked),
            PeerMessage::Clock { asked, word } => self.take_clock(from, asked, word),
            PeerMessage::Spend { number, organisation, cost } => {
                self.spend_for(from, number, &organisation, cost);
            }
            PeerMessage::Spent { number, answer } => self.spent(number, answer),
            PeerMessage::GiveBack { organisation, cost } => {
                self.quotas.borrow_mut().grantor.refund(&organisation, cost);
            }
            PeerMessage::Permit { number, question } => self.permit_for(from, number, &question),
            PeerMessage::Permitted { number, question, answer } => {
                self.permitted(number, &question, answer);
            }
            PeerMessage::ReturnPermit { upstream, rate } => {
                self.limits.borrow_mut().grantor.return_permit(&upstream, rate);
            }
            PeerMessage::Follows => self.followed_by(from),
            PeerMessage::Accuse { content, upstream } => {
                let sign = CrashSign::Ended;
                self.weigh(from, CrashReport { content, upstream, sign, is_common: false });
            }
            PeerMessage::Suspect(suspicion) => self.weigh(from, suspicion),
            PeerMessage::Clear(content) => self.clear(content),
            PeerMessage::Quarantined(quarantines) => self.quarantined(from, quarantines),
            PeerMessage::Leaving(upstreams) => self.leaving(Some(from), upstreams),
            PeerMessage::AskConfiguration { have } => self.tell_configuration(from, have),
            PeerMessage::Configuration(patch) => self.take_configuration(from, &patch),
        }
    }

    pub(crate) fn reads_store(&self) -> bool {
        *self.source.borrow() == Source::Store
    }

    /// Whether this host gathers loads for others.
    pub(crate) fn is_aggregator(&self) -> bool {
        self.follow.borrow_mut().is_aggregator()
    }

    /// The loads of an earlier aggregator are of no use beside those of a new one.
    pub(crate) fn review_loads(self: &Rc<Self>) {
        let gatherer = match &*self.source.borrow() {
            Source::Host(host) if !self.is_aggregator() => Some(host.clone()),
            _ => None,
        };
        if *self.gatherer.borrow() == gatherer {
            return;
        }
        *self.gatherer.borrow_mut() = gatherer;
        let hosts: Vec<Name> = self.peers.borrow().keys().cloned().collect();
        for host in hosts {
            self.request_event(dispatch::Event::PeerGone { host });
        }
    }

    /// Another aggregator told its sum.
    fn peer_digest(self: &Rc<Self>, host: &Name, version: u64, digest: Digest) {
        self.compare_version(host, version);
        self.placement_event(placement::Event::Demand(samples(&digest)));
        let now = self.clock.now();
        self.totals.borrow_mut().record_sum(now, host.clone(), digest.loads.clone());
        if !self.is_aggregator() {
            return;
        }
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// A subscriber told its load.
    fn peer_report(self: &Rc<Self>, host: &Name, number: u64, version: u64, digest: Digest) {
        self.compare_version(host, version);
        let now = self.clock.now();
        self.totals.borrow_mut().record_report(now, host.clone(), number, digest.clone());
        self.review_subscribers();
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// An aggregator told the load of all.
    fn peer_total(self: &Rc<Self>, from: &Name, total: Total) {
        let Total { word, reported, loads } = total;
        if self.gatherer.borrow().as_ref() == Some(from) {
            let own = reported.iter().find(|(host, _)| *host == self.settings.host);
            if let Some((_, number)) = own {
                let loads = self.totals.borrow_mut().without_own(*number, loads);
                let digest = Digest { loads, demand: Vec::new() };
                self.request_event(dispatch::Event::PeerDigest { host: from.clone(), digest });
            }
        }
        self.take_word(from, &word);
    }

    /// A host wants to hear from this one: the first word shows that it will.
    fn subscribed(
        self: &Rc<Self>,
        from: &Name,
        entry: HostEntry,
        have: &[(Name, Revision)],
        is_aggregator: bool,
    ) {
        self.introduced(from, entry);
        self.send(from, &PeerMessage::Word(self.word()));
        self.tell_beliefs(from);
        if self.is_leaving() {
            return;
        }
        let now = self.clock.now();
        if is_aggregator {
            self.totals.borrow_mut().add_listener(now, from.clone());
        } else {
            self.totals.borrow_mut().subscribe(now, from.clone());
        }
        self.review_subscribers();
        if let Some(message) = self.sync(have) {
            self.send(from, &message);
        }
    }

    /// Tells the choice of a source who hears from this host, if that has changed.
    fn review_subscribers(self: &Rc<Self>) {
        let hosts = {
            let totals = self.totals.borrow();
            let count = totals.subscribers().count() + totals.listeners().count();
            let follow = self.follow.borrow();
            let is_same = count == follow.subscribers().len()
                && totals
                    .subscribers()
                    .chain(totals.listeners())
                    .all(|host| follow.subscribers().contains(host));
            if is_same {
                return;
            }
            totals.subscribers().chain(totals.listeners()).cloned().collect()
        };
        self.follow_event(FollowEvent::Subscribers(hosts));
        self.review_loads();
    }

    fn peer_left(self: &Rc<Self>, host: Name) {
        self.review_subscribers();
        self.request_event(dispatch::Event::PeerGone { host });
    }

    /// Milliseconds between two tellings of this host's load.
    pub(crate) fn digest_ms(&self) -> u64 {
        if !self.is_fleet() {
            return DIGEST_MS;
        }
        let peers = self.peers.borrow();
        let near = peers.values().filter(|entry| entry.domain == self.settings.domain).count();
        let gatherer = self.gatherer.borrow();
        let gatherer = gatherer.as_ref().and_then(|host| peers.get(host));
        let capacity = gatherer.map_or(self.settings.capacity, |entry| entry.capacity);
        status_interval_ms(near, capacity)
    }

    /// Tells other hosts this one's load.
    pub(crate) fn tell_load(self: &Rc<Self>) {
        let now = self.clock.now();
        let digest = self.dispatch.borrow_mut().digest(now);
        let source = self.source.borrow().clone();
        self.review_loads();
        match source {
            Source::Host(host) if self.is_aggregator() => {
                self.send(&host, &PeerMessage::Listening);
                self.tell_sums(digest);
            }
            Source::Host(host) => {
                let number = self.totals.borrow_mut().number_report(now, &digest);
                let version = self.version();
                self.send(&host, &PeerMessage::Report { number, version, digest });
            }
            Source::Store | Source::Searching => self.tell_sums(digest),
        }
        let silent = self.totals.borrow_mut().forget_silent(now);
        silent.into_iter().for_each(|host| self.peer_left(host));
        self.review_subscribers();
    }

    fn tell_sums(self: &Rc<Self>, mut own: Digest) {
        let (sum, reported, loads) = {
            let mut totals = self.totals.borrow_mut();
            totals.add_demand(std::mem::take(&mut own.demand));
            let sum = totals.take_local_sum(&own);
            let (reported, loads) = totals.total(&sum);
            (sum, reported, loads)
        };
        self.placement_event(placement::Event::Demand(samples(&sum)));
        let version = self.version();
        let now = self.clock.now();
        let mut listeners: Vec<Name> = self.totals.borrow().listeners().cloned().collect();
        if !reported.is_empty() {
            let subscribers: Vec<Name> = self.totals.borrow().subscribers().cloned().collect();
            if self.sum_spacing.borrow().is_due(now) {
                let reported = reported.into_iter().map(|one| (one.host, one.number)).collect();
                let total = PeerMessage::Total(Total { word: self.word(), reported, loads });
                let bytes = self.send_all(subscribers.iter(), &total);
                self.sum_spacing.borrow_mut().record_sent(now, bytes);
            } else {
                // They hear that their source lives and how old its keys are, without the loads.
                listeners.extend(subscribers);
            }
        }
        if !listeners.is_empty() {
            self.send_all(listeners.iter(), &PeerMessage::Word(self.word()));
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
        let subscribers: Vec<Name> = {
            let totals = self.totals.borrow();
            totals.subscribers().chain(totals.listeners()).cloned().collect()
        };
        if subscribers.is_empty() {
            return;
        }
        if let Some(message) = message() {
            self.send_all(subscribers.iter(), &message);
        }
    }

    /// The hosts that need this one's sum: the other aggregators, and who gives the orders.
    pub(crate) fn sum_readers(&self) -> BTreeSet<Name> {
        let mut hosts: BTreeSet<Name> = self.follow.borrow().aggregators().into_iter().collect();
        hosts.extend(self.totals.borrow().peer_aggregators().cloned());
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

/// Up to where a host knows each prefix.
fn in_era(have: Vec<(Name, u64)>, era: Era) -> Vec<(Name, Revision)> {
    have.into_iter().map(|(prefix, number)| (prefix, Revision::new(era, number))).collect()
}
