//! The lease of orders: two hosts and a store.
//!
//! Answers of the store are lost, calls are done later than their sender gave them up, hosts are
//! paused and restarted, the store comes back from a copy. Promise: no order carries a lower token than one sent before
//! it, two hosts do not take turns within the length of a lease, and what one trusts in is not another's as well.

use crate::{Steps, World};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_placement::{OrderLease, OrderLeaseAction, OrderLeaseEvent, OrderLeaseOptions};
use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::{Name, Tick};

/// Bounds and switches of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether a holder stops when its last renewal covers it no longer.
    pub covered: bool,
    /// Whether a host that may have been the holder before waits longer.
    pub resettles: bool,
    /// Whether tokens rise over eras.
    pub tokens_rise: bool,
    /// Whether hosts know of eras at all.
    pub knows_eras: bool,
    /// Whether a renewal of a lease counts only in its own era.
    pub knows_leases: bool,
    /// Returns of the store from a copy.
    pub returns: u8,
    /// Answers that are lost, and calls that are done late.
    pub losses: u8,
    /// Pauses of a host.
    pub pauses: u8,
    /// Restarts of a host.
    pub restarts: u8,
    /// Whether calls are done before time passes.
    pub is_prompt: bool,
    /// How many steps time may take.
    pub steps: u64,
}

/// One step of time, in milliseconds.
const STEP_MS: u64 = 250;
/// Length of the store's leases.
const TTL_MS: u64 = 500;
/// Within this time two hosts must not take turns.
const TURNS_MS: u64 = 1_500;
/// A holder whose guard is off trusts its lease for this long.
const FOREVER_MS: u64 = 1_000_000;
/// Changes before the start.
const FIRST_NUMBER: u64 = 4;
const START: Tick = Tick(1_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    tenure: OrderLease,
    is_paused: bool,
    /// The key that it saw last and in which era, once it saw.
    seen: Option<(Era, Option<Key>)>,
    /// Lives so far: answers to an earlier one are heard by nobody.
    life: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Call {
    Grant,
    Take(LeaseId),
    Renew(LeaseId),
    End(LeaseId),
}

/// A call on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Flight {
    host: usize,
    life: u8,
    sent: Tick,
    call: Call,
    /// Its sender waits for no answer any more.
    is_given_up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    host: usize,
    token: FencingToken,
    at: Tick,
}

/// The key of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    host: usize,
    /// Number of its lease.
    lease: u64,
    /// Number of the change that wrote it.
    number: u64,
}

/// What lies in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Kept {
    leases: BTreeMap<u64, Tick>,
    key: Option<Key>,
    /// Number of the last change.
    number: u64,
}

impl Kept {
    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        if self.key.is_some_and(|key| key.lease == lease) {
            self.remove();
        }
    }

    fn remove(&mut self) {
        self.key = None;
        self.number += 1;
    }
}

/// The world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Orders {
    options: Options,
    now: Tick,
    hosts: Vec<Host>,
    flights: BTreeSet<Flight>,
    era: Era,
    store: Kept,
    /// From which it may come back; at first one from before.
    copy: Kept,
    copies: u8,
    /// Numbers of leases are not given out again.
    next_lease: u64,
    returns: u8,
    sent: Vec<Sent>,
    losses: u8,
    pauses: u8,
    restarts: u8,
}

impl Orders {
    /// Nobody holds the key.
    pub fn new(options: Options) -> Self {
        let host =
            |_| Host { tenure: tenure(options, Tick(0)), is_paused: false, seen: None, life: 0 };
        Self {
            options,
            now: START,
            hosts: (0..2).map(host).collect(),
            flights: BTreeSet::new(),
            era: Era::default(),
            store: Kept { number: FIRST_NUMBER, ..Kept::default() },
            copy: Kept::default(),
            copies: 0,
            next_lease: 1,
            returns: 0,
            sent: Vec::new(),
            losses: 0,
            pauses: 0,
            restarts: 0,
        }
    }

    fn tell(&mut self, host: usize, event: OrderLeaseEvent) {
        let now = self.now;
        let actions = self.hosts[host].tenure.handle(now, event);
        for action in actions {
            let call = match action {
                OrderLeaseAction::Grant { .. } => Call::Grant,
                OrderLeaseAction::WriteKey { lease } => Call::Take(lease),
                OrderLeaseAction::Renew { lease } => Call::Renew(lease),
                OrderLeaseAction::End { lease } => Call::End(lease),
            };
            let life = self.hosts[host].life;
            self.flights.insert(Flight { host, life, sent: now, call, is_given_up: false });
        }
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        let over: Vec<u64> = self
            .store
            .leases
            .iter()
            .filter(|(_, until)| **until <= self.now)
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|lease| self.store.end(lease));
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_paused {
                self.tell(host, OrderLeaseEvent::Tick);
            }
        }
    }

    /// The store carries the call out; what it answers.
    fn carry_out(&mut self, flight: Flight) -> Option<OrderLeaseEvent> {
        let until = self.now + TTL_MS;
        match flight.call {
            Call::Grant => {
                let lease = LeaseId::new(self.told_era(), self.next_lease);
                self.next_lease += 1;
                self.store.leases.insert(lease.id, until);
                let ttl_ms = if self.options.covered { TTL_MS } else { FOREVER_MS };
                Some(OrderLeaseEvent::Granted { sent: flight.sent, lease, ttl_ms })
            }
            Call::Take(lease) => Some(self.take(flight.host, lease)),
            Call::Renew(lease) => {
                let end = self.store.leases.get_mut(&lease.id);
                let is_there = end.map(|end| *end = until).is_some();
                Some(match is_there {
                    _ if self.options.knows_leases && lease.era != self.told_era() => {
                        OrderLeaseEvent::RenewFailed
                    }
                    true => OrderLeaseEvent::Renewed { sent: flight.sent },
                    false => OrderLeaseEvent::LeaseExpired,
                })
            }
            Call::End(lease) => {
                self.store.end(lease.id);
                None
            }
        }
    }

    /// A key that was written under a lease of an era that is over is removed.
    fn take(&mut self, host: usize, lease: LeaseId) -> OrderLeaseEvent {
        if self.store.key.is_some() || !self.store.leases.contains_key(&lease.id) {
            return OrderLeaseEvent::KeyNotWritten;
        }
        self.store.number += 1;
        if lease.era != self.told_era() {
            self.store.remove();
            return OrderLeaseEvent::KeyNotWritten;
        }
        let number = self.store.number;
        self.store.key = Some(Key { host, lease: lease.id, number });
        let era = if self.options.tokens_rise { self.told_era() } else { Era(0) };
        OrderLeaseEvent::KeyWritten(Revision::new(era, number))
    }

    /// The era that hosts are told.
    fn told_era(&self) -> Era {
        if self.options.knows_eras { self.era } else { Era::default() }
    }

    /// The store comes back from its copy, with the leases there or without.
    fn come_back(&self, keeps_leases: bool) -> Self {
        let mut next = self.clone();
        next.store.clone_from(&next.copy);
        next.era = Era(self.era.0 + 1);
        next.returns += 1;
        let until = self.now + TTL_MS;
        next.store.leases.values_mut().for_each(|end| *end = until);
        if !keeps_leases {
            next.store.leases.clear();
            next.store.key = None;
        }
        next
    }

    /// A paused host hears no answer.
    fn may_be_done(&self, flight: &Flight) -> bool {
        !self.hosts[flight.host].is_paused || flight.is_given_up
    }

    fn answered(&self, flight: Flight) -> Self {
        let mut next = self.clone();
        next.flights.remove(&flight);
        let event = next.carry_out(flight);
        let is_heard = !flight.is_given_up && next.hosts[flight.host].life == flight.life;
        if let Some(event) = event.filter(|_| is_heard) {
            next.tell(flight.host, event);
        }
        next
    }

    /// The sender hears nothing; the call is still to be done.
    fn given_up(&self, flight: Flight) -> Option<Self> {
        let event = match flight.call {
            Call::Grant => OrderLeaseEvent::GrantFailed,
            Call::Take(_) => OrderLeaseEvent::KeyNotWritten,
            Call::Renew(_) => OrderLeaseEvent::RenewFailed,
            Call::End(_) => return None,
        };
        let mut next = self.clone();
        next.losses += 1;
        next.flights.remove(&flight);
        next.flights.insert(Flight { is_given_up: true, ..flight });
        next.tell(flight.host, event);
        Some(next)
    }
}

fn tenure(options: Options, now: Tick) -> OrderLease {
    let resettle_ms = if options.resettles { TURNS_MS } else { 0 };
    OrderLease::new(now, OrderLeaseOptions { ttl_ms: TTL_MS, settle_ms: 0, resettle_ms })
}

fn name(host: usize) -> Name {
    format!("host-{host}").into()
}

impl World for Orders {
    fn next(&self, steps: &mut Steps<Self>) {
        let end = START + self.options.steps * STEP_MS;
        let waits = self.options.is_prompt && self.flights.iter().any(|f| self.may_be_done(f));
        if self.now < end && !waits {
            let mut next = self.clone();
            next.pass_time();
            steps.add(|| "time passes".into(), next);
        }
        for flight in &self.flights {
            if !self.may_be_done(flight) {
                continue;
            }
            steps.add(|| format!("store does {flight:?}"), self.answered(*flight));
            if !flight.is_given_up && self.losses < self.options.losses {
                let lost = self.given_up(*flight);
                lost.into_iter()
                    .for_each(|next| steps.add(|| format!("given up {flight:?}"), next));
            }
        }
        for host in 0..self.hosts.len() {
            self.host_steps(host, steps);
        }
        if self.returns < self.options.returns {
            if self.copies < self.options.returns {
                let copy = self.store.clone();
                let next = Self { copy, copies: self.copies + 1, ..self.clone() };
                steps.add(|| "a copy is made".into(), next);
            }
            for keeps_leases in [true, false] {
                let next = self.come_back(keeps_leases);
                steps.add(|| format!("comes back, leases={keeps_leases}"), next);
            }
        }
    }

    fn tidy(&mut self) {
        let now = self.now;
        let last = self.sent.last().copied();
        self.sent.retain(|sent| now.since(sent.at) < TURNS_MS || Some(*sent) == last);
    }

    fn broken(&self) -> Option<String> {
        let (last, earlier) = self.sent.split_last()?;
        if earlier.iter().any(|sent| sent.token > last.token) {
            return Some(format!("a lower token after a higher one: {:?}", self.sent));
        }
        let holders = self.hosts.iter().filter(|host| host.tenure.token(self.now).is_some());
        if holders.count() > 1 {
            return Some(format!("two holders at once: {:?}", self.sent));
        }
        let own = earlier.iter().position(|sent| sent.host == last.host)?;
        let is_turn = earlier[own..].iter().any(|sent| sent.host != last.host);
        is_turn.then(|| format!("two holders take turns: {:?}", self.sent))
    }
}

impl Orders {
    /// The host reads the key.
    fn see(&mut self, host: usize) {
        let (era, key) = (self.told_era(), self.store.key);
        let before = self.hosts[host].seen.replace((era, key));
        let is_return = before.is_some_and(|(before, _)| before < era);
        if is_return {
            let own = key.filter(|key| key.host == host);
            let own = own.map(|key| Revision::new(era, key.number));
            self.tell(host, OrderLeaseEvent::StoreRestored { era, own_key: own });
        } else {
            let now = self.now;
            self.hosts[host].tenure.set_era(now, era);
        }
        self.tell(host, OrderLeaseEvent::HolderSeen(key.map(|key| name(key.host))));
    }

    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        let state = &self.hosts[host];
        if state.is_paused {
            let mut next = self.clone();
            next.hosts[host].is_paused = false;
            steps.add(|| format!("{} wakes", name(host)), next);
            return;
        }
        if state.seen != Some((self.told_era(), self.store.key)) {
            let mut seen = self.clone();
            seen.see(host);
            steps.add(|| format!("{} sees the holder", name(host)), seen);
        }
        if let Some(token) = state.tenure.token(self.now) {
            let mut next = self.clone();
            next.sent.push(Sent { host, token, at: self.now });
            next.sent.dedup();
            steps.add(|| format!("{} orders", name(host)), next);
        }
        if self.pauses < self.options.pauses {
            let mut next = self.clone();
            next.pauses += 1;
            next.hosts[host].is_paused = true;
            steps.add(|| format!("{} is paused", name(host)), next);
        }
        // The restart of a host that holds nothing changes nothing.
        if self.restarts < self.options.restarts && state.tenure.is_holding(self.now) {
            let mut next = self.clone();
            next.restarts += 1;
            next.hosts[host] = Host {
                tenure: tenure(self.options, self.now),
                is_paused: false,
                seen: None,
                life: state.life + 1,
            };
            steps.add(|| format!("{} is restarted", name(host)), next);
        }
    }
}
