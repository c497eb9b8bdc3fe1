//! The lease of orders: two hosts and a store.
//!
//! Answers of the store are lost, calls are done later than their sender gave them up, hosts are
//! paused and restarted. Promise: no order carries a lower token than one sent before it, and two
//! hosts do not take turns within the length of a lease.

use crate::{Steps, World};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_placement::{Tenure, TenureAction, TenureEvent, TenureOptions};
use vanetally_ports::{LeaseId, Revision};
use vanetally_types::{Name, Tick};

/// Bounds and switches of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether a holder stops when its last renewal covers it no longer.
    pub covered: bool,
    /// Whether a host that may have been the holder before waits longer.
    pub resettles: bool,
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
const START: Tick = Tick(1_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    tenure: Tenure,
    is_paused: bool,
    /// The holder that it saw last, once it saw.
    seen: Option<Option<usize>>,
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
    token: Revision,
    at: Tick,
}

/// The world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Orders {
    options: Options,
    now: Tick,
    hosts: Vec<Host>,
    flights: BTreeSet<Flight>,
    leases: BTreeMap<LeaseId, Tick>,
    holder: Option<(usize, LeaseId)>,
    revision: u64,
    next_lease: u64,
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
            leases: BTreeMap::new(),
            holder: None,
            revision: 1,
            next_lease: 1,
            sent: Vec::new(),
            losses: 0,
            pauses: 0,
            restarts: 0,
        }
    }

    fn tell(&mut self, host: usize, event: TenureEvent) {
        let now = self.now;
        let actions = self.hosts[host].tenure.handle(now, event);
        for action in actions {
            let call = match action {
                TenureAction::Grant { .. } => Call::Grant,
                TenureAction::Take { lease } => Call::Take(lease),
                TenureAction::Renew { lease } => Call::Renew(lease),
                TenureAction::End { lease } => Call::End(lease),
            };
            let life = self.hosts[host].life;
            self.flights.insert(Flight { host, life, sent: now, call, is_given_up: false });
        }
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        let over: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, until)| **until <= self.now)
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|lease| self.end(lease));
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_paused {
                self.tell(host, TenureEvent::Tick);
            }
        }
    }

    fn end(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        if self.holder.is_some_and(|(_, of)| of == lease) {
            self.holder = None;
            self.revision += 1;
        }
    }

    /// The store carries the call out; what it answers.
    fn carry_out(&mut self, flight: Flight) -> Option<TenureEvent> {
        let until = self.now + TTL_MS;
        match flight.call {
            Call::Grant => {
                let lease = LeaseId(self.next_lease);
                self.next_lease += 1;
                self.leases.insert(lease, until);
                let ttl_ms = if self.options.covered { TTL_MS } else { FOREVER_MS };
                Some(TenureEvent::Granted { sent: flight.sent, lease, ttl_ms })
            }
            Call::Take(lease) if self.holder.is_none() && self.leases.contains_key(&lease) => {
                self.revision += 1;
                self.holder = Some((flight.host, lease));
                Some(TenureEvent::Taken(Revision(self.revision)))
            }
            Call::Take(_) => Some(TenureEvent::NotTaken),
            Call::Renew(lease) => match self.leases.get_mut(&lease) {
                Some(end) => {
                    *end = until;
                    Some(TenureEvent::Renewed { sent: flight.sent })
                }
                None => Some(TenureEvent::LeaseOver),
            },
            Call::End(lease) => {
                self.end(lease);
                None
            }
        }
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
            Call::Grant => TenureEvent::GrantFailed,
            Call::Take(_) => TenureEvent::NotTaken,
            Call::Renew(_) => TenureEvent::RenewFailed,
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

fn tenure(options: Options, now: Tick) -> Tenure {
    let resettle_ms = if options.resettles { TURNS_MS } else { 0 };
    Tenure::new(now, TenureOptions { ttl_ms: TTL_MS, settle_ms: 0, resettle_ms })
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
        let own = earlier.iter().position(|sent| sent.host == last.host)?;
        let is_turn = earlier[own..].iter().any(|sent| sent.host != last.host);
        is_turn.then(|| format!("two holders take turns: {:?}", self.sent))
    }
}

impl Orders {
    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        let state = &self.hosts[host];
        if state.is_paused {
            let mut next = self.clone();
            next.hosts[host].is_paused = false;
            steps.add(|| format!("{} wakes", name(host)), next);
            return;
        }
        let holder = self.holder.map(|(holder, _)| holder);
        if state.seen != Some(holder) {
            let mut seen = self.clone();
            seen.hosts[host].seen = Some(holder);
            seen.tell(host, TenureEvent::HolderSeen(holder.map(name)));
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
