//! Requests slots of plain upstreams from their owners, and grants them when this host is the owner.

use crate::{hub::Hub, peers::PeerMessage, telemetry};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_dispatch::{self as dispatch, RequestId};
use vanetally_pacing::Pacers;
use vanetally_slots::{
    Change, Client, Closed, Overdue, Owner, Received, Repeat, Reply, SlotAnswer, SlotEnd,
    SlotRequest,
};
use vanetally_types::{Incarnation, Name, Tick};

/// A request and the number of its reservation.
type Key = (RequestId, u32);

/// This host's state for the slots of plain upstreams, as client and as owner.
pub(crate) struct Slots {
    owner: Owner,
    owners: Pacers,
    /// Owners of brittle upstreams.
    brittle_owners: Pacers,
    client: Client<Key>,
}

/// Numbers between the first ones of two starts of a process.
const NUMBERS_PER_START: u64 = 1 << 20;

impl Slots {
    /// Creates the state with this host as the only owner. `seed` differs between starts.
    pub(crate) fn new(own: Name, seed: u32) -> Self {
        Self {
            owner: Owner::default(),
            owners: Pacers::new(own.clone()),
            brittle_owners: Pacers::new(own),
            client: Client::new(u64::from(seed) * NUMBERS_PER_START),
        }
    }

    /// Sets the live hosts that grant slots, with their capacities.
    pub(crate) fn set_hosts(&mut self, hosts: Vec<(Name, u32)>) {
        self.owners.set_hosts(hosts);
    }

    /// Sets the live hosts that grant slots of brittle upstreams, with their capacities.
    pub(crate) fn set_brittle_hosts(&mut self, hosts: Vec<(Name, u32)>) {
        self.brittle_owners.set_hosts(hosts);
    }

    fn mark_silent(&mut self, now: Tick, host: &Name) {
        self.owners.mark_silent(now, host);
        self.brittle_owners.mark_silent(now, host);
    }
}

impl Hub {
    /// Requests a slot from the owner of its upstream.
    pub(crate) fn acquire_slot(
        self: &Rc<Self>,
        id: RequestId,
        reservation: u32,
        request: SlotRequest,
    ) {
        let now = self.clock.now();
        let (owner, number) = {
            let Slots { owners, brittle_owners, client, .. } = &mut *self.slots.borrow_mut();
            let owners = if request.brittle.is_some() { brittle_owners } else { owners };
            let owner = owners.pacer_of(now, &request.upstream.id).clone();
            let number = client.request(now, (id, reservation), &owner, &request);
            (owner, number)
        };
        self.send_slot_request(&owner, number, request);
    }

    fn send_slot_request(self: &Rc<Self>, owner: &Name, number: u64, request: SlotRequest) {
        if *owner == self.settings.host {
            return self.grant_slot(owner, number, &request);
        }
        self.send(owner, &PeerMessage::AcquireSlot { number, request });
    }

    /// Answers the request of a host for a slot, as the owner.
    pub(crate) fn grant_slot(self: &Rc<Self>, host: &Name, number: u64, request: &SlotRequest) {
        let now = self.clock.now();
        let reported = self.dispatch.borrow().running(now, &request.upstream);
        let replies = {
            let owner = &mut self.slots.borrow_mut().owner;
            owner.acquire(now, (host, number), request, reported)
        };
        self.send_replies(replies);
    }

    /// Releases the slot of a request, or ends the wait for it.
    pub(crate) fn release_slot(self: &Rc<Self>, id: RequestId, reservation: u32, end: SlotEnd) {
        let closed = self.slots.borrow_mut().client.close(self.clock.now(), (id, reservation));
        if let Some(Closed { owner, number, upstream, .. }) = closed
            && end != SlotEnd::Lost
        {
            self.send_release(&owner, number, upstream, end);
        }
    }

    fn send_release(
        self: &Rc<Self>,
        owner: &Name,
        number: u64,
        upstream: Incarnation,
        end: SlotEnd,
    ) {
        if *owner == self.settings.host {
            return self.slot_released(owner, number, &upstream, end);
        }
        self.send(owner, &PeerMessage::ReleaseSlot { number, upstream, end });
    }

    /// Handles the release of a slot, as the owner.
    pub(crate) fn slot_released(
        self: &Rc<Self>,
        host: &Name,
        number: u64,
        upstream: &Incarnation,
        end: SlotEnd,
    ) {
        let now = self.clock.now();
        let replies = self.slots.borrow_mut().owner.release(now, (host, number), upstream, end);
        self.send_replies(replies);
    }

    /// Sends the answers of this host as the owner. Its own requests get them as well.
    fn send_replies(self: &Rc<Self>, replies: Vec<Reply>) {
        self.log_slot_changes();
        for Reply { host, number, upstream, answer } in replies {
            telemetry::slot_answered(answer);
            if host == self.settings.host {
                self.slot_answered(&host, number, upstream, answer);
            } else {
                self.send(&host, &PeerMessage::SlotAnswered { number, upstream, answer });
            }
        }
    }

    /// Handles the answer of an owner.
    pub(crate) fn slot_answered(
        self: &Rc<Self>,
        owner: &Name,
        number: u64,
        upstream: Incarnation,
        answer: SlotAnswer,
    ) {
        let now = self.clock.now();
        let received = self.slots.borrow_mut().client.answered(now, owner, number, answer);
        match received {
            Received::Decided((id, reservation), answer) => {
                let answer = Some(answer);
                self.request_event(dispatch::Event::SlotAnswered { id, reservation, answer });
            }
            Received::Nothing => {}
            Received::Unneeded => self.send_release(owner, number, upstream, SlotEnd::Unused),
        }
    }

    /// Ends what is overdue, as the owner and as a client.
    pub(crate) fn tick_slots(self: &Rc<Self>) {
        let now = self.clock.now();
        let replies = {
            let dispatch = self.dispatch.borrow();
            let reported = |upstream: &Incarnation| dispatch.running(now, upstream);
            self.slots.borrow_mut().owner.tick(now, reported)
        };
        self.send_replies(replies);
        let Overdue { unanswered, repeats } = self.slots.borrow_mut().client.take_overdue(now);
        for Repeat { owner, number, request } in repeats {
            self.send_slot_request(&owner, number, request);
        }
        let mut silent: BTreeSet<Name> = BTreeSet::new();
        for closed in &unanswered {
            if silent.insert(closed.owner.clone()) {
                log::info!(
                    "event=slot_owner_silent host={} upstream={} after_ms={}",
                    closed.owner,
                    closed.upstream,
                    closed.waited_ms
                );
            }
            self.slots.borrow_mut().mark_silent(now, &closed.owner);
        }
        for Closed { key, owner, number, upstream, .. } in unanswered {
            telemetry::slot_owner_silent();
            // The owner may have granted the slot although its answer did not arrive.
            self.send_release(&owner, number, upstream, SlotEnd::Unused);
            self.decide_without_owner(key);
        }
        let owner = &self.slots.borrow().owner;
        telemetry::set_slot_gauges(owner.granted(), owner.waiting());
    }

    /// Ends the grants of a host that is gone, and the requests that wait for its grants.
    pub(crate) fn slot_host_gone(self: &Rc<Self>, host: &Name) {
        let now = self.clock.now();
        let (replies, waiting) = {
            let slots = &mut *self.slots.borrow_mut();
            // The owners are selected anew only later; the requests go to its successor at once.
            slots.mark_silent(now, host);
            let Slots { owner, client, .. } = slots;
            (owner.host_gone(now, host), client.owner_gone(now, host))
        };
        self.send_replies(replies);
        waiting.into_iter().for_each(|closed| self.decide_without_owner(closed.key));
    }

    /// Removes an upstream.
    pub(crate) fn forget_slots(self: &Rc<Self>, upstream: &Incarnation) {
        let replies = self.slots.borrow_mut().owner.forget(upstream);
        self.send_replies(replies);
    }

    fn decide_without_owner(self: &Rc<Self>, (id, reservation): Key) {
        self.request_event(dispatch::Event::SlotAnswered { id, reservation, answer: None });
    }

    fn log_slot_changes(&self) {
        let changes = self.slots.borrow_mut().owner.take_changes();
        for (upstream, change) in changes {
            match change {
                Change::TakenOver { running } => {
                    log::info!("event=slots_taken_over upstream={upstream} running={running}");
                }
                Change::Lowered { limit } => {
                    log::info!("event=slots_lowered upstream={upstream} limit={limit}");
                }
                Change::Raised => log::info!("event=slots_raised upstream={upstream}"),
            }
        }
    }
}
