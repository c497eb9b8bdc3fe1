//! Model of the order lease: two hosts and a store.
//!
//! Answers of the store are lost, calls are processed after their sender gave up on them, hosts are
//! paused and restarted, and the store is restored from a backup. Orders are sent, and arrive at any later time: at once,
//! or as long as their sender's system goes on sending them, and a while after that in the network. Invariant: no order
//! carries a lower token than an order sent before it, or arrives after one with a higher token; two hosts don't alternate
//! as holders within `MIN_TURN_MS`, and at most one host at a time holds a valid lease.
//!
//! That orders arrive in turn rests on these assumptions: the holder's clock gains less on the store's than the margin that
//! it leaves before the end of its lease; a packet is in the network for less than `OrderLeaseOptions::settle_ms`; and a
//! host that stands still does so before it has checked its lease for a write, or after the write.

mod late_order;
mod options;
mod store;

use crate::{State, Steps};
use late_order::{LateOrder, TRANSIT_MS};
use std::collections::BTreeSet;
use store::{Key, StoreState};

pub use options::Options;
use vanetally_placement::{OrderLease, OrderLeaseAction, OrderLeaseEvent, OrderLeaseOptions};
use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::{Name, Tick};

/// Length of a step of time.
const STEP_MS: u64 = 250;
/// Time to live of the store's leases.
const TTL_MS: u64 = 500;
/// Minimum time between two orders of a host if another host sent an order in between.
const MIN_TURN_MS: u64 = 1_500;
/// Time to live of a lease as the holder sees it when [`Options::stops_at_expiry`] is off.
const UNLIMITED_MS: u64 = 1_000_000;
/// Number of changes of the store before the start.
const INITIAL_CHANGES: u64 = 4;
const START: Tick = Tick(1_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    order_lease: OrderLease,
    is_paused: bool,
    /// Last key that the host read, and the era in which it read it; none before the first read.
    last_seen: Option<(Era, Option<Key>)>,
    /// Number of earlier incarnations. Answers to calls of an earlier one are dropped.
    incarnation: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Call {
    Grant,
    WriteKey(LeaseId),
    Renew(LeaseId),
    End(LeaseId),
}

/// A call in flight to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct PendingCall {
    host: usize,
    incarnation: u8,
    sent_at: Tick,
    call: Call,
    /// Whether the sender no longer waits for the answer.
    is_given_up: bool,
}

/// An order that a host sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentOrder {
    host: usize,
    token: FencingToken,
    sent_at: Tick,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Orders {
    options: Options,
    now: Tick,
    hosts: Vec<Host>,
    pending_calls: BTreeSet<PendingCall>,
    era: Era,
    store: StoreState,
    /// State to which the store may be restored; at first that from before all changes.
    backup: StoreState,
    /// Number of backups taken.
    backups: u8,
    /// Number of the next lease; numbers are not reused, also not after a restore.
    next_lease: u64,
    restores: u8,
    sent_orders: Vec<SentOrder>,
    late_orders: BTreeSet<LateOrder>,
    /// Highest token that a runner has seen.
    highest_seen: Option<FencingToken>,
    /// An order that arrived after one with a higher token.
    overtaken: Option<LateOrder>,
    delayed: u8,
    resignations: u8,
    lost_answers: u8,
    pauses: u8,
    restarts: u8,
}

impl Orders {
    /// No host holds the key.
    pub fn new(options: Options) -> Self {
        let host = |_| Host {
            order_lease: order_lease(options, Tick(0)),
            is_paused: false,
            last_seen: None,
            incarnation: 0,
        };
        Self {
            options,
            now: START,
            hosts: (0..2).map(host).collect(),
            pending_calls: BTreeSet::new(),
            era: Era::default(),
            store: StoreState { number: INITIAL_CHANGES, ..StoreState::default() },
            backup: StoreState::default(),
            backups: 0,
            next_lease: 1,
            restores: 0,
            sent_orders: Vec::new(),
            late_orders: BTreeSet::new(),
            highest_seen: None,
            overtaken: None,
            delayed: 0,
            resignations: 0,
            lost_answers: 0,
            pauses: 0,
            restarts: 0,
        }
    }

    fn handle_event(&mut self, host: usize, event: OrderLeaseEvent) {
        let now = self.now;
        let actions = self.hosts[host].order_lease.handle(now, event);
        for action in actions {
            let call = match action {
                OrderLeaseAction::Grant { .. } => Call::Grant,
                OrderLeaseAction::WriteKey { lease } => Call::WriteKey(lease),
                OrderLeaseAction::Renew { lease } => Call::Renew(lease),
                OrderLeaseAction::End { lease } => Call::End(lease),
                OrderLeaseAction::RevokeOrders => {
                    if self.options.revokes_orders {
                        self.end_orders(|order| order.host == host);
                    }
                    continue;
                }
            };
            let incarnation = self.hosts[host].incarnation;
            self.pending_calls.insert(PendingCall {
                host,
                incarnation,
                sent_at: now,
                call,
                is_given_up: false,
            });
        }
    }

    /// Ends the orders that `is_ended` names, unless they have ended before.
    fn end_orders(&mut self, is_ended: impl Fn(&LateOrder) -> bool) {
        let now = self.now;
        let end = |order: LateOrder| match order.ended_at {
            None if is_ended(&order) => LateOrder { ended_at: Some(now), ..order },
            _ => order,
        };
        self.late_orders = std::mem::take(&mut self.late_orders).into_iter().map(end).collect();
    }

    /// Gives up the orders whose time is over: those of a process that is paused or gone by the system alone.
    fn give_up_orders(&mut self) {
        let (now, by_system) = (self.now, self.options.ends_in_system);
        let hosts = &self.hosts;
        let by_process = |order: &LateOrder| {
            let host = &hosts[order.host];
            !host.is_paused && host.incarnation == order.incarnation
        };
        let end = |order: LateOrder| match order.until {
            Some(until) if until <= now && (by_system || by_process(&order)) => {
                LateOrder { ended_at: Some(order.ended_at.unwrap_or(until)), ..order }
            }
            _ => order,
        };
        self.late_orders = std::mem::take(&mut self.late_orders).into_iter().map(end).collect();
    }

    /// Lets an order arrive at its runner. Where none is late, orders arrive as they are sent.
    fn arrive(&mut self, order: LateOrder) {
        if self.options.late_orders == 0 {
            return;
        }
        if self.highest_seen.is_some_and(|highest| order.token < highest) {
            self.overtaken = Some(order);
        }
        self.highest_seen = self.highest_seen.max(Some(order.token));
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        self.give_up_orders();
        let expired: Vec<u64> = self
            .store
            .leases
            .iter()
            .filter(|(_, expires_at)| **expires_at <= self.now)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|lease| self.store.end_lease(lease));
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_paused {
                self.handle_event(host, OrderLeaseEvent::Tick);
            }
        }
    }

    /// Lets the store process the call. Returns its answer.
    fn process(&mut self, pending: PendingCall) -> Option<OrderLeaseEvent> {
        let expires_at = self.now + TTL_MS;
        match pending.call {
            Call::Grant => {
                let lease = LeaseId::new(self.known_era(), self.next_lease);
                self.next_lease += 1;
                self.store.leases.insert(lease.id, expires_at);
                let ttl_ms = if self.options.stops_at_expiry { TTL_MS } else { UNLIMITED_MS };
                Some(OrderLeaseEvent::Granted { sent: pending.sent_at, lease, ttl_ms })
            }
            Call::WriteKey(lease) => Some(self.write_key(pending.host, lease)),
            Call::Renew(lease) => {
                let expiry = self.store.leases.get_mut(&lease.id);
                let is_alive = expiry.map(|expiry| *expiry = expires_at).is_some();
                Some(match is_alive {
                    _ if self.options.checks_lease_era && lease.era != self.known_era() => {
                        OrderLeaseEvent::RenewFailed
                    }
                    true => OrderLeaseEvent::Renewed { sent: pending.sent_at },
                    false => OrderLeaseEvent::LeaseExpired,
                })
            }
            Call::End(lease) => {
                self.store.end_lease(lease.id);
                None
            }
        }
    }

    /// Writes the key under the lease. A key written under a lease of an earlier era is removed
    /// again.
    fn write_key(&mut self, host: usize, lease: LeaseId) -> OrderLeaseEvent {
        if self.store.key.is_some() || !self.store.leases.contains_key(&lease.id) {
            return OrderLeaseEvent::KeyNotWritten;
        }
        self.store.number += 1;
        if lease.era != self.known_era() {
            self.store.remove_key();
            return OrderLeaseEvent::KeyNotWritten;
        }
        let number = self.store.number;
        self.store.key = Some(Key { host, lease: lease.id, number });
        let era = if self.options.era_in_token { self.known_era() } else { Era(0) };
        OrderLeaseEvent::KeyWritten(Revision::new(era, number))
    }

    /// Returns the era as hosts know it.
    fn known_era(&self) -> Era {
        if self.options.tracks_eras { self.era } else { Era::default() }
    }

    /// Restores the store from its backup, with the leases in it or without.
    fn restore(&self, keeps_leases: bool) -> Self {
        let mut next = self.clone();
        next.store.clone_from(&next.backup);
        next.era = Era(self.era.0 + 1);
        next.restores += 1;
        let expires_at = self.now + TTL_MS;
        next.store.leases.values_mut().for_each(|expiry| *expiry = expires_at);
        if !keeps_leases {
            next.store.leases.clear();
            next.store.key = None;
        }
        next
    }

    /// Whether the call may be processed now. A paused host receives no answer.
    fn may_process(&self, pending: &PendingCall) -> bool {
        !self.hosts[pending.host].is_paused || pending.is_given_up
    }

    fn after_processing(&self, pending: PendingCall) -> Self {
        let mut next = self.clone();
        next.pending_calls.remove(&pending);
        let event = next.process(pending);
        let is_received =
            !pending.is_given_up && next.hosts[pending.host].incarnation == pending.incarnation;
        if let Some(event) = event.filter(|_| is_received) {
            next.handle_event(pending.host, event);
        }
        next
    }

    /// Lets the sender give up on the call, which is still to be processed.
    fn after_give_up(&self, pending: PendingCall) -> Option<Self> {
        let event = match pending.call {
            Call::Grant => OrderLeaseEvent::GrantFailed,
            Call::WriteKey(_) => OrderLeaseEvent::KeyNotWritten,
            Call::Renew(_) => OrderLeaseEvent::RenewFailed,
            Call::End(_) => return None,
        };
        let mut next = self.clone();
        next.lost_answers += 1;
        next.pending_calls.remove(&pending);
        next.pending_calls.insert(PendingCall { is_given_up: true, ..pending });
        next.handle_event(pending.host, event);
        Some(next)
    }
}

fn order_lease(options: Options, now: Tick) -> OrderLease {
    let resettle_ms = if options.resettles { MIN_TURN_MS } else { 0 };
    let settle_ms = if options.settles { TRANSIT_MS } else { 0 };
    OrderLease::new(now, OrderLeaseOptions { ttl_ms: TTL_MS, settle_ms, resettle_ms })
}

fn host_name(host: usize) -> Name {
    format!("host-{host}").into()
}

impl State for Orders {
    fn successors(&self, steps: &mut Steps<Self>) {
        let end = START + self.options.time_steps * STEP_MS;
        let is_blocked =
            self.options.is_prompt && self.pending_calls.iter().any(|call| self.may_process(call));
        if self.now < end && !is_blocked {
            let mut next = self.clone();
            next.pass_time();
            steps.add(|| "time passes".into(), next);
        }
        for pending in &self.pending_calls {
            if !self.may_process(pending) {
                continue;
            }
            steps.add(
                || format!("the store processes {pending:?}"),
                self.after_processing(*pending),
            );
            if !pending.is_given_up && self.lost_answers < self.options.lost_answers {
                let given_up = self.after_give_up(*pending);
                given_up.into_iter().for_each(|next| {
                    steps.add(|| format!("the sender gives up on {pending:?}"), next)
                });
            }
        }
        for order in self.late_orders.iter().filter(|order| order.may_arrive(self.now)) {
            let mut next = self.clone();
            next.late_orders.remove(order);
            next.arrive(*order);
            steps.add(|| format!("a runner takes {order:?}"), next);
        }
        for host in 0..self.hosts.len() {
            self.host_steps(host, steps);
        }
        if self.restores < self.options.restores {
            if self.backups < self.options.restores {
                let backup = self.store.clone();
                let next = Self { backup, backups: self.backups + 1, ..self.clone() };
                steps.add(|| "a backup is taken".into(), next);
            }
            for keeps_leases in [true, false] {
                let next = self.restore(keeps_leases);
                steps.add(|| format!("the store is restored, leases={keeps_leases}"), next);
            }
        }
    }

    fn normalize(&mut self) {
        let now = self.now;
        let last = self.sent_orders.last().copied();
        self.sent_orders
            .retain(|sent| now.since(sent.sent_at) < MIN_TURN_MS || Some(*sent) == last);
        self.late_orders.retain(|order| order.may_arrive(now));
    }

    fn violation(&self) -> Option<String> {
        if let Some(order) = self.overtaken {
            return Some(format!("overtaken by an order under a higher token: {order:?}"));
        }
        let (last, earlier) = self.sent_orders.split_last()?;
        if earlier.iter().any(|sent| sent.token > last.token) {
            return Some(format!("a lower token after a higher one: {:?}", self.sent_orders));
        }
        let holders = self.hosts.iter().filter(|host| host.order_lease.token(self.now).is_some());
        if holders.count() > 1 {
            return Some(format!("two holders at once: {:?}", self.sent_orders));
        }
        let own_first = earlier.iter().position(|sent| sent.host == last.host)?;
        let is_alternating = earlier[own_first..].iter().any(|sent| sent.host != last.host);
        is_alternating.then(|| format!("two holders alternate: {:?}", self.sent_orders))
    }
}

impl Orders {
    /// Lets the host read the key.
    fn read_key(&mut self, host: usize) {
        let (era, key) = (self.known_era(), self.store.key);
        let previous = self.hosts[host].last_seen.replace((era, key));
        let is_restored = previous.is_some_and(|(previous, _)| previous < era);
        if is_restored {
            let own_key = key.filter(|key| key.host == host);
            let own_key = own_key.map(|key| Revision::new(era, key.number));
            self.handle_event(host, OrderLeaseEvent::StoreRestored { era, own_key });
        } else {
            let now = self.now;
            self.hosts[host].order_lease.set_era(now, era);
        }
        self.handle_event(host, OrderLeaseEvent::HolderSeen(key.map(|key| host_name(key.host))));
    }

    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        let state = &self.hosts[host];
        if state.is_paused {
            let mut next = self.clone();
            next.hosts[host].is_paused = false;
            next.give_up_orders();
            steps.add(|| format!("{} resumes", host_name(host)), next);
            return;
        }
        if state.last_seen != Some((self.known_era(), self.store.key)) {
            let mut next = self.clone();
            next.read_key(host);
            steps.add(|| format!("{} reads the holder", host_name(host)), next);
        }
        if let Some(token) = state.order_lease.token(self.now) {
            let mut next = self.clone();
            next.sent_orders.push(SentOrder { host, token, sent_at: self.now });
            next.sent_orders.dedup();
            let ends = state.order_lease.orders_until(self.now, token);
            let until = ends.filter(|_| self.options.ends_with_lease);
            let incarnation = state.incarnation;
            let order = LateOrder { host, incarnation, token, until, ended_at: None };
            if self.delayed < self.options.late_orders {
                let mut late = next.clone();
                late.delayed += 1;
                late.late_orders.insert(order);
                steps.add(|| format!("{} sends an order that is late", host_name(host)), late);
            }
            next.arrive(order);
            steps.add(|| format!("{} sends an order", host_name(host)), next);
        }
        if self.resignations < self.options.resignations && state.order_lease.is_holding(self.now) {
            let mut next = self.clone();
            next.resignations += 1;
            next.handle_event(host, OrderLeaseEvent::Fenced);
            steps.add(|| format!("{} leaves the lease", host_name(host)), next);
        }
        if self.pauses < self.options.pauses {
            let mut next = self.clone();
            next.pauses += 1;
            next.hosts[host].is_paused = true;
            steps.add(|| format!("{} is paused", host_name(host)), next);
        }
        // Restarting a host that does not hold the lease has no effect.
        if self.restarts < self.options.restarts && state.order_lease.is_holding(self.now) {
            let mut next = self.clone();
            next.restarts += 1;
            if self.options.resets_at_exit {
                next.end_orders(|order| order.host == host);
            }
            next.hosts[host] = Host {
                order_lease: order_lease(self.options, self.now),
                is_paused: false,
                last_seen: None,
                incarnation: state.incarnation + 1,
            };
            steps.add(|| format!("{} is restarted", host_name(host)), next);
        }
    }
}
