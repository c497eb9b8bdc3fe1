//! Messages between hosts: load, demand and store data.

use crate::{
    host_entry::HostEntry,
    hub::Hub,
    peers::{LoadTotal, PeerMessage},
};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_dispatch::{self as dispatch, Digest};
use vanetally_fanout::{Event as SourceEvent, Source};
use vanetally_placement::{self as placement, DemandSample};
use vanetally_ports::{Era, FencingToken, ModelRef, Revision};
use vanetally_quota::{Asker, SpendRequest};
use vanetally_types::Name;

/// Interval of load messages in deployments without aggregators.
const DIGEST_INTERVAL_MS: u64 = 50;
/// Share of the interval after which a host that forwards data no longer waits for its own time when
/// its source's status arrives.
const FORWARD_SHARE: f64 = 0.9;

impl Hub {
    /// Handles a message from another host.
    pub(crate) fn handle_peer_message(self: &Rc<Self>, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::Digest { version, digest } => self.peer_digest(from, version, digest),
            PeerMessage::Report { number, version, digest } => {
                self.peer_report(from, number, version, digest);
            }
            PeerMessage::Total(total) => self.peer_total(from, total),
            PeerMessage::Status(status) => self.receive_status(from, &status),
            PeerMessage::Subscribe { entry, have, era, is_aggregator } => {
                let have = revisions_in_era(have, Era(era));
                self.subscribed(from, entry, &have, is_aggregator);
            }
            PeerMessage::KeepSubscription => {
                self.totals.borrow_mut().add_listener(self.clock.now(), from.clone());
                self.update_subscribers();
            }
            PeerMessage::Unsubscribe => {
                self.totals.borrow_mut().unsubscribe(from);
                self.peer_left(from.clone());
            }
            PeerMessage::Sync { store, age_ms, path, prefixes } => {
                self.store.state_reported(store);
                self.source_event(SourceEvent::Path { from: from.clone(), path });
                self.receive_sync(from, age_ms, prefixes);
            }
            PeerMessage::Changes { store, changes } => self.receive_changes(from, store, changes),
            PeerMessage::Reserve { number, prompt } => self.reserve_for_peer(from, number, &prompt),
            PeerMessage::Reserved { number, slot } => self.reserved(number, slot),
            PeerMessage::Ended { upstream, is_good } => self.record_end(from, &upstream, is_good),
            PeerMessage::RequestModel { service, model, adapter, is_saturated } => {
                let subject = ModelRef { model, adapter };
                self.placement_event(placement::Event::Requested {
                    service,
                    subject,
                    is_saturated,
                });
            }
            PeerMessage::Placed { ref runner, ref model, ref adapter, is_present, token } => {
                if !self.admits_announcement(token.map(FencingToken)) {
                    return;
                }
                self.relay_placed(from, &message);
                let subject = ModelRef { model: model.clone(), adapter: adapter.clone() };
                self.placed(runner.clone(), subject, is_present);
            }
            PeerMessage::AskClock { asked } => self.send_clock(from, asked),
            PeerMessage::Clock { asked, status } => self.receive_clock(from, asked, status),
            PeerMessage::Spend { number, organisation, cost, rank, wait_ms } => {
                let asker = Asker { host: from.clone(), number };
                self.spend_for_peer(SpendRequest { asker, organisation, cost, rank, wait_ms });
            }
            PeerMessage::Spent { number, answer } => self.spent(from, number, answer),
            PeerMessage::CancelSpend { number } => self.cancel_spend(from, number),
            PeerMessage::GiveBack { organisation, cost } => {
                self.quotas.borrow_mut().grantor.refund(&organisation, cost);
            }
            PeerMessage::Permit { number, request } => self.permit_for_peer(from, number, &request),
            PeerMessage::Permitted { number, request, answer } => {
                self.permitted(number, &request, answer);
            }
            PeerMessage::ReturnPermit { upstream, rate } => {
                self.limits.borrow_mut().grantor.return_permit(&upstream, rate);
            }
            PeerMessage::AcquireSlot { number, request } => {
                self.grant_slot(from, number, &request);
            }
            PeerMessage::SlotAnswered { number, upstream, answer } => {
                self.slot_answered(from, number, upstream, answer);
            }
            PeerMessage::ReleaseSlot { number, upstream, end } => {
                self.slot_released(from, number, &upstream, end);
            }
            PeerMessage::FollowsGrantor => self.record_client(from),
            PeerMessage::Crashed(crashed) => self.add_crash(from, crashed),
            PeerMessage::Answered(answers) => self.contents_answered(from, &answers),
            PeerMessage::Suspected(suspicions) => self.apply_suspicions(from, suspicions),
            PeerMessage::AskTry { number, content, is_alone } => {
                self.answer_try(from, number, content, is_alone);
            }
            PeerMessage::TryAnswered { number, content, is_granted } => {
                self.try_answered(from, number, content, is_granted);
            }
            PeerMessage::EndTries(contents) => self.tries_ended(from, &contents),
            PeerMessage::Quarantined(quarantines) => self.apply_quarantines(from, quarantines),
            PeerMessage::Leaving(upstreams) => self.upstreams_leaving(Some(from), upstreams),
            PeerMessage::Brittle(services) => self.brittle_reported(from, services),
            PeerMessage::KeepBeginning(beginning) => self.keep_beginning(beginning),
            PeerMessage::AskBeginning { number, key, service } => {
                self.answer_beginning(from, number, key, service);
            }
            PeerMessage::BeginningAnswered { number, answer } => {
                self.beginning_answered(number, answer)
            }
            PeerMessage::AskConfiguration { have } => self.send_configuration(from, have),
            PeerMessage::Configuration(patch) => self.apply_patch(from, &patch),
        }
    }

    pub(crate) fn reads_store(&self) -> bool {
        *self.source.borrow() == Source::Store
    }

    /// Whether this host aggregates the load reports of other hosts.
    pub(crate) fn is_aggregator(&self) -> bool {
        self.source_selector.borrow_mut().is_aggregator()
    }

    /// Discards all loads when the aggregator changes: those of the previous aggregator can't be
    /// combined with those of the new one.
    pub(crate) fn update_load_aggregator(self: &Rc<Self>) {
        let aggregator = match &*self.source.borrow() {
            Source::Host(host) if !self.is_aggregator() => Some(host.clone()),
            _ => None,
        };
        if *self.load_aggregator.borrow() == aggregator {
            return;
        }
        *self.load_aggregator.borrow_mut() = aggregator;
        self.totals.borrow_mut().discard_outer();
        let hosts: Vec<Name> = self.peers.borrow().keys().cloned().collect();
        for host in hosts {
            self.request_event(dispatch::Event::PeerGone { host });
        }
    }

    /// Handles the load sum of another aggregator.
    fn peer_digest(self: &Rc<Self>, host: &Name, version: u64, digest: Digest) {
        self.check_version(host, version);
        self.placement_event(placement::Event::Demand(demand_samples(&digest)));
        let now = self.clock.now();
        self.totals.borrow_mut().record_sum(now, host.clone(), digest.clone());
        if !self.is_aggregator() {
            return;
        }
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// Handles the load report of a subscriber.
    fn peer_report(self: &Rc<Self>, host: &Name, number: u64, version: u64, digest: Digest) {
        self.check_version(host, version);
        let now = self.clock.now();
        self.totals.borrow_mut().record_report(now, host.clone(), number, digest.clone());
        self.update_subscribers();
        self.request_event(dispatch::Event::PeerDigest { host: host.clone(), digest });
    }

    /// Handles the total load sent by an aggregator.
    fn peer_total(self: &Rc<Self>, from: &Name, total: LoadTotal) {
        let LoadTotal { status, reported, loads, waiting } = total;
        if self.load_aggregator.borrow().as_ref() == Some(from) {
            let own = reported.iter().find(|(host, _)| *host == self.settings.host);
            if let Some((_, number)) = own {
                let total = Digest { loads, demand: Vec::new(), waiting };
                let digest = self.totals.borrow_mut().without_own(*number, total);
                if !self.source_selector.borrow().subscribers().is_empty() {
                    let now = self.clock.now();
                    self.totals.borrow_mut().record_outer(now, digest.clone());
                }
                self.request_event(dispatch::Event::PeerDigest { host: from.clone(), digest });
            }
        }
        self.receive_status(from, &status);
    }

    /// Handles a subscription. The status sent first shows that the subscription was accepted.
    fn subscribed(
        self: &Rc<Self>,
        from: &Name,
        entry: HostEntry,
        have: &[(Name, Revision)],
        is_aggregator: bool,
    ) {
        self.peer_introduced(from, entry);
        self.send(from, &PeerMessage::Status(self.host_status()));
        self.send_known_state(from);
        if self.is_leaving() {
            return;
        }
        let now = self.clock.now();
        if is_aggregator {
            self.totals.borrow_mut().add_listener(now, from.clone());
        } else {
            self.totals.borrow_mut().subscribe(now, from.clone());
        }
        self.update_subscribers();
        if let Some(message) = self.sync(have) {
            self.send(from, &message);
            // With the data this host becomes the source, whose status tells of the configuration.
            self.send(from, &PeerMessage::Status(self.host_status()));
        }
    }

    /// Informs the source selection of the current subscribers, if they changed.
    fn update_subscribers(self: &Rc<Self>) {
        let hosts = {
            let totals = self.totals.borrow();
            let count = totals.subscribers().count() + totals.listeners().count();
            let selector = self.source_selector.borrow();
            let is_unchanged = count == selector.subscribers().len()
                && totals
                    .subscribers()
                    .chain(totals.listeners())
                    .all(|host| selector.subscribers().contains(host));
            if is_unchanged {
                return;
            }
            totals.subscribers().chain(totals.listeners()).cloned().collect()
        };
        self.source_event(SourceEvent::Subscribers(hosts));
        self.update_load_aggregator();
    }

    fn peer_left(self: &Rc<Self>, host: Name) {
        self.update_subscribers();
        self.request_event(dispatch::Event::PeerGone { host });
    }

    /// Returns the interval of this host's load messages.
    pub(crate) fn digest_interval_ms(&self) -> u64 {
        if !self.uses_aggregators() {
            return DIGEST_INTERVAL_MS;
        }
        self.source_selector.borrow().interval_ms(self.settings.capacity)
    }

    /// Brings this host's next load messages forward when its source's status has arrived: data then
    /// passes a host that forwards it within a tick instead of half an interval on average.
    pub(crate) fn follow_source(&self) {
        if self.source_selector.borrow().subscribers().is_empty() {
            return;
        }
        let wait_ms = (self.digest_interval_ms() as f64 * FORWARD_SHARE) as u64;
        let earliest = self.last_load.get() + wait_ms;
        self.next_load.set(self.next_load.get().min(earliest.max(self.clock.now())));
    }

    /// Sends this host's load to the hosts that need it.
    pub(crate) fn send_load(self: &Rc<Self>) {
        let now = self.clock.now();
        self.last_load.set(now);
        self.next_load.set(now + self.digest_interval_ms());
        let digest = self.dispatch.borrow_mut().digest(now);
        let source = self.source.borrow().clone();
        self.update_load_aggregator();
        match source {
            Source::Host(host) if self.is_aggregator() => {
                self.send(&host, &PeerMessage::KeepSubscription);
                self.send_sums(digest);
            }
            Source::Host(host) => self.send_report(&host, digest),
            Source::Store | Source::Searching => self.send_sums(digest),
        }
        let silent = self.totals.borrow_mut().forget_silent(now);
        silent.into_iter().for_each(|host| self.peer_left(host));
        self.update_subscribers();
    }

    /// Reports the load of this host and its subscribers to the source, and sends the total to the
    /// subscribers.
    fn send_report(self: &Rc<Self>, source: &Name, own: Digest) {
        let now = self.clock.now();
        let digest = self.take_local_sum(own);
        let number = self.totals.borrow_mut().number_report(now, &digest);
        self.send_totals(&digest);
        let version = self.version();
        self.send(source, &PeerMessage::Report { number, version, digest });
    }

    /// Returns the load of this host and its subscribers.
    fn take_local_sum(&self, mut own: Digest) -> Digest {
        let mut totals = self.totals.borrow_mut();
        totals.add_demand(std::mem::take(&mut own.demand));
        totals.take_local_sum(&own)
    }

    /// Sends the sum of this host and its subscribers to the other aggregators, and the total to
    /// the subscribers.
    fn send_sums(self: &Rc<Self>, own: Digest) {
        let sum = self.take_local_sum(own);
        self.placement_event(placement::Event::Demand(demand_samples(&sum)));
        self.send_totals(&sum);
        let is_new = *self.last_digest.borrow() != sum;
        if is_new || !sum.loads.is_empty() || !sum.waiting.is_empty() {
            let version = self.version();
            let message = PeerMessage::Digest { version, digest: sum.clone() };
            self.send_all(self.sum_receivers().iter(), &message);
            *self.last_digest.borrow_mut() = sum;
        }
    }

    /// Sends the total load to the subscribers, and this host's status to the listeners.
    fn send_totals(&self, sum: &Digest) {
        let (reported, Digest { loads, waiting, .. }) = self.totals.borrow().total(sum);
        let now = self.clock.now();
        let mut listeners: Vec<Name> = self.totals.borrow().listeners().cloned().collect();
        if !reported.is_empty() {
            let subscribers: Vec<Name> = self.totals.borrow().subscribers().cloned().collect();
            if self.sum_spacing.borrow().is_due(now) {
                let reported = reported.into_iter().map(|one| (one.host, one.number)).collect();
                let status = self.host_status();
                let total = PeerMessage::Total(LoadTotal { status, reported, loads, waiting });
                let bytes = self.send_all(subscribers.iter(), &total);
                self.sum_spacing.borrow_mut().record_sent(now, bytes);
            } else {
                // The status shows that the source is alive and how old its keys are, without the
                // loads.
                listeners.extend(subscribers);
            }
        }
        if !listeners.is_empty() {
            self.send_all(listeners.iter(), &PeerMessage::Status(self.host_status()));
        }
    }

    /// Sends the result of `message` to all subscribers; it is only called if there are any.
    pub(crate) fn send_to_subscribers(&self, message: impl FnOnce() -> Option<PeerMessage>) {
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

    /// The hosts that need this host's load sum: the other aggregators and the holder of the order
    /// lease.
    pub(crate) fn sum_receivers(&self) -> BTreeSet<Name> {
        let mut hosts: BTreeSet<Name> =
            self.source_selector.borrow().aggregators().into_iter().collect();
        hosts.extend(self.totals.borrow().peer_aggregators().cloned());
        hosts.extend(self.holder.borrow().clone());
        hosts.remove(&self.settings.host);
        hosts
    }
}

/// Converts the demand rows of a digest.
fn demand_samples(digest: &Digest) -> Vec<DemandSample> {
    let samples = digest.demand.iter().map(|row| DemandSample {
        service: row.service.clone(),
        subject: ModelRef { model: row.model.clone(), adapter: row.adapter.clone() },
        arrived: row.arrived,
        work_ms: row.work_ms,
    });
    samples.collect()
}

/// Converts revision numbers per prefix to revisions of `era`.
fn revisions_in_era(have: Vec<(Name, u64)>, era: Era) -> Vec<(Name, Revision)> {
    have.into_iter().map(|(prefix, number)| (prefix, Revision::new(era, number))).collect()
}
