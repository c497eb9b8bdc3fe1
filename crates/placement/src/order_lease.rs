//! The lease of the one host that may send orders.
//!
//! The holder writes its key to the store under a lease. Its fencing token is derived from the
//! revision at which the key was written, so that a later holder's token is always higher. A holder
//! sends orders only while its last renewal is valid, counted from when the renewal was sent. It
//! keeps trying to renew after that: if the store was unavailable and kept the lease, the key still
//! belongs to the holder, and orders resume with the first answer rather than with a new lease two
//! seconds later.
//!
//! An order must not arrive after those of a later holder. So it has until the end of the last renewal, as known when it
//! is sent, and whoever leaves the lease first revokes the orders that have no answer ([`OrderLeaseAction::RevokeOrders`])
//! and then ends the lease. What has left the host by then may still be in the network, for as long as the next holder
//! waits before its first order.
//!
//! After the store was restored from a backup, the key may be missing while its holder is still
//! active. Other hosts that write the key wait until the previous holder must have stopped. The
//! holder itself continues at once: with its key if the backup contains it, or with a new key that it
//! wrote while its last renewal was valid.

use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::{Name, Tick};

/// Durations of the order lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderLeaseOptions {
    /// Time for which the store keeps the key after the last renewal.
    pub ttl_ms: u64,
    /// Time that a new holder waits before its first order.
    pub settle_ms: u64,
    /// Time that a host waits before its first order if it may have been the holder before. It must
    /// not alternate with a holder in between.
    pub resettle_ms: u64,
}

/// An input of the order lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderLeaseEvent {
    /// The current holder of the key according to the store.
    HolderSeen(Option<Name>),
    /// The store is unavailable: the known holder may be out of date.
    StoreLost,
    /// The store was restored from a backup: anything read from it before may be lost.
    StoreRestored {
        /// The new era of the store.
        era: Era,
        /// Revision of the key in the backup, if it names this host.
        own_key: Option<Revision>,
    },
    /// A lease was granted.
    Granted {
        /// When the call was sent.
        sent: Tick,
        /// The lease.
        lease: LeaseId,
        /// Its duration.
        ttl_ms: u64,
    },
    /// No lease was granted.
    GrantFailed,
    /// The key was written under the lease, at this revision.
    KeyWritten(Revision),
    /// The key was not written, or the result is unknown.
    KeyNotWritten,
    /// The lease was renewed.
    Renewed {
        /// When the call was sent.
        sent: Tick,
    },
    /// The renewal was not answered.
    RenewFailed,
    /// The lease expired.
    LeaseExpired,
    /// A runner has seen a higher token.
    Fenced,
    /// Whether this host reaches no upstream although other hosts do.
    Separated(bool),
    /// The host is stopping.
    Stop,
    /// Time has passed.
    Tick,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderLeaseAction {
    /// Request a lease.
    Grant {
        /// Its duration.
        ttl_ms: u64,
    },
    /// Write the key under the lease, unless the key exists.
    WriteKey {
        /// The lease.
        lease: LeaseId,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Revoke the orders that have no answer, before any further action: nothing of them may be sent from now on.
    RevokeOrders,
    /// End the lease.
    End {
        /// The lease.
        lease: LeaseId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    Granting,
    WritingKey { lease: LeaseId, valid_until: Tick },
    Holding(Holding),
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holding {
    lease: LeaseId,
    /// Revision at which the key was written.
    key_revision: Revision,
    /// When orders may first be sent.
    orders_from: Tick,
    /// End of the validity of the last answered renewal.
    valid_until: Tick,
    /// When the next renewal is due; `None` while one is in progress.
    renew_at: Option<Tick>,
}

/// The lease that this host held when the store was restored from a backup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PreviousHolding {
    era: Era,
    valid_until: Tick,
}

impl PreviousHolding {
    /// Whether no other host can have sent orders before this one wrote the key in `era`.
    fn can_continue(self, now: Tick, era: Era) -> bool {
        era.follows(self.era) && now < self.valid_until
    }
}

/// Tracks whether this host holds the order lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderLease {
    options: OrderLeaseOptions,
    state: State,
    /// Holder of the key according to the store; the outer `None` while it is unknown.
    holder: Option<Option<Name>>,
    /// When this host may next try to write the key.
    next_try: Tick,
    /// Number of hosts that try before this one.
    rank: u64,
    /// Number of hosts.
    hosts: u64,
    /// End of the wait after a possible previous holding by any incarnation of this host.
    resettled_at: Tick,
    /// Whether this process was the holder before.
    has_held: bool,
    /// Whether this host reaches no upstream although other hosts do.
    is_separated: bool,
    /// The newest known era of the store.
    era: Era,
    /// When this host learned of the last restore of the store.
    restored_at: Option<Tick>,
    /// The holding that the last restore of the store ended.
    previous: Option<PreviousHolding>,
}

/// Number of renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 4;
/// The holder counts its lease as expired one fifth of its duration before its end.
const MARGIN_DIVISOR: u64 = 5;
/// Delay before the next try after a failed one.
const RETRY_DELAY_MS: u64 = 300;
/// Delay between the tries of hosts of consecutive ranks.
const RANK_DELAY_MS: u64 = 40;
/// Minimum time that a separated host leaves to all others before it tries to write the key.
const SEPARATED_DELAY_MS: u64 = 5_000;
/// Time after a restore of the store during which only the previous holder tries to write the key.
const PREVIOUS_HOLDER_MS: u64 = 250;

impl OrderLease {
    /// Creates the state of a process that starts at `now`. A previous incarnation of this host may
    /// have been the holder until then.
    pub fn new(now: Tick, options: OrderLeaseOptions) -> Self {
        Self {
            options,
            state: State::Idle,
            holder: None,
            next_try: Tick(0),
            rank: 0,
            hosts: 1,
            resettled_at: now + options.resettle_ms,
            has_held: false,
            is_separated: false,
            era: Era::default(),
            restored_at: None,
            previous: None,
        }
    }

    /// Sets how many of the `hosts` try before this one.
    pub fn set_rank(&mut self, rank: usize, hosts: usize) {
        self.rank = rank as u64;
        self.hosts = hosts as u64;
    }

    /// Sets the era of the store. A new era means that the store may have been restored by `now`.
    pub fn set_era(&mut self, now: Tick, era: Era) {
        if era > self.era {
            self.era = era;
            self.restored_at = Some(now);
            self.previous = None;
        }
    }

    /// The fencing token under which orders may be sent now, if any.
    pub fn token(&self, now: Tick) -> Option<FencingToken> {
        match &self.state {
            State::Holding(holding) if now >= holding.orders_from && now < holding.valid_until => {
                FencingToken::try_from(holding.key_revision).ok()
            }
            _ => None,
        }
    }

    /// Until when an order under `token` may be on its way if it is sent now; `None` if it may not be sent.
    pub fn orders_until(&self, now: Tick, token: FencingToken) -> Option<Tick> {
        let is_valid = self.token(now) == Some(token);
        match &self.state {
            State::Holding(holding) if is_valid => Some(holding.valid_until),
            _ => None,
        }
    }

    /// Whether this host holds the key, even if it may not send orders yet.
    pub fn is_holding(&self, now: Tick) -> bool {
        matches!(&self.state, State::Holding(holding) if now < holding.valid_until)
    }

    /// Handles an event and returns the calls to make to the store.
    pub fn handle(&mut self, now: Tick, event: OrderLeaseEvent) -> Vec<OrderLeaseAction> {
        match event {
            OrderLeaseEvent::HolderSeen(holder) => self.holder_seen(now, holder),
            OrderLeaseEvent::StoreLost => self.holder = None,
            OrderLeaseEvent::StoreRestored { era, own_key } => {
                return self.store_restored(now, era, own_key);
            }
            OrderLeaseEvent::Granted { sent, lease, ttl_ms } => {
                return self.granted(now, sent, lease, ttl_ms);
            }
            OrderLeaseEvent::GrantFailed => self.retry_later(now),
            OrderLeaseEvent::KeyWritten(revision) => self.key_written(now, revision),
            OrderLeaseEvent::KeyNotWritten
            | OrderLeaseEvent::LeaseExpired
            | OrderLeaseEvent::Fenced => {
                return self.give_up(now);
            }
            OrderLeaseEvent::Renewed { sent } => self.renewed(sent),
            OrderLeaseEvent::RenewFailed => self.retry_renewal(now),
            OrderLeaseEvent::Separated(is_separated) => return self.separated(now, is_separated),
            OrderLeaseEvent::Stop => {
                let actions = self.give_up(now);
                self.state = State::Stopped;
                return actions;
            }
            OrderLeaseEvent::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn holder_seen(&mut self, now: Tick, holder: Option<Name>) {
        let was_not_free = !matches!(self.holder, Some(None));
        if holder.is_none() && was_not_free && self.previous.is_none() {
            self.next_try = self.next_try.max(now + self.rank * RANK_DELAY_MS);
        }
        self.holder = Some(holder);
    }

    /// Keeps the key if the backup contains it and no other host can have held it since.
    fn store_restored(
        &mut self,
        now: Tick,
        era: Era,
        own_key: Option<Revision>,
    ) -> Vec<OrderLeaseAction> {
        let State::Holding(holding) = &mut self.state else {
            self.set_era(now, era);
            self.next_try = self.next_try.max(now + PREVIOUS_HOLDER_MS + self.rank * RANK_DELAY_MS);
            return Vec::new();
        };
        if holding.lease.era >= era {
            return Vec::new();
        }
        let is_valid = now < holding.valid_until;
        let is_in_backup = own_key.is_some_and(|key| key.number == holding.key_revision.number);
        let previous = PreviousHolding { era: holding.lease.era, valid_until: holding.valid_until };
        let lease = LeaseId::new(era, holding.lease.id);
        if is_in_backup && is_valid {
            holding.lease = lease;
            holding.renew_at = Some(now);
            self.set_era(now, era);
            return Vec::new();
        }
        self.state = State::Idle;
        self.set_era(now, era);
        self.next_try = now;
        if is_in_backup {
            return vec![OrderLeaseAction::RevokeOrders, OrderLeaseAction::End { lease }];
        }
        self.previous = Some(previous);
        vec![OrderLeaseAction::RevokeOrders]
    }

    fn granted(
        &mut self,
        now: Tick,
        sent: Tick,
        lease: LeaseId,
        ttl_ms: u64,
    ) -> Vec<OrderLeaseAction> {
        if self.state != State::Granting {
            return vec![OrderLeaseAction::End { lease }];
        }
        if lease.era < self.era {
            self.retry_later(now);
            return Vec::new();
        }
        self.set_era(now, lease.era);
        self.options.ttl_ms = ttl_ms;
        self.state = State::WritingKey { lease, valid_until: self.lease_end(sent) };
        vec![OrderLeaseAction::WriteKey { lease }]
    }

    fn lease_end(&self, sent: Tick) -> Tick {
        let ttl = self.options.ttl_ms;
        sent + (ttl - ttl / MARGIN_DIVISOR)
    }

    fn key_written(&mut self, now: Tick, key_revision: Revision) {
        let State::WritingKey { lease, valid_until } = self.state else {
            return;
        };
        let can_continue =
            self.previous.take().is_some_and(|previous| previous.can_continue(now, lease.era));
        let orders_from = if can_continue { now } else { self.orders_allowed_from(now) };
        self.has_held = true;
        let renew_at = Some(now);
        self.state =
            State::Holding(Holding { lease, key_revision, orders_from, valid_until, renew_at });
    }

    /// Returns when no holder before `now` can be active any more.
    fn orders_allowed_from(&mut self, now: Tick) -> Tick {
        let OrderLeaseOptions { ttl_ms, settle_ms, resettle_ms } = self.options;
        if self.has_held {
            self.resettled_at = now + resettle_ms;
        }
        // The last renewal in the previous era was answered before the restore.
        let previous_end = self.restored_at.map_or(now, |restored_at| restored_at + ttl_ms);
        (now.max(previous_end) + settle_ms).max(self.resettled_at)
    }

    fn renewed(&mut self, sent: Tick) {
        let valid_until = self.lease_end(sent);
        let period = self.options.ttl_ms / RENEWALS_PER_LEASE;
        if let State::Holding(holding) = &mut self.state {
            holding.valid_until = holding.valid_until.max(valid_until);
            holding.renew_at = Some(sent + period);
        }
    }

    fn retry_renewal(&mut self, now: Tick) {
        let period = self.options.ttl_ms / (RENEWALS_PER_LEASE * 2);
        if let State::Holding(holding) = &mut self.state {
            holding.renew_at = Some(now + period);
        }
    }

    fn retry_later(&mut self, now: Tick) {
        if self.state == State::Granting {
            self.state = State::Idle;
        }
        self.next_try = now + RETRY_DELAY_MS;
    }

    /// Leaves the lease to a host that reaches the runners. Only the change counts: where no other host
    /// takes the key, this one takes it again and keeps it.
    fn separated(&mut self, now: Tick, is_separated: bool) -> Vec<OrderLeaseAction> {
        let is_new = is_separated && !self.is_separated;
        self.is_separated = is_separated;
        if is_new { self.give_up(now) } else { Vec::new() }
    }

    /// Returns when this host may try to write a free key.
    fn try_at(&self) -> Tick {
        let separated_ms = SEPARATED_DELAY_MS.max(self.hosts * RANK_DELAY_MS);
        self.next_try + if self.is_separated { separated_ms } else { 0 }
    }

    /// Gives up the lease or the attempt to get it.
    fn give_up(&mut self, now: Tick) -> Vec<OrderLeaseAction> {
        self.next_try = now + RETRY_DELAY_MS + self.rank * RANK_DELAY_MS;
        self.previous = None;
        match std::mem::replace(&mut self.state, State::Idle) {
            State::WritingKey { lease, .. } => vec![OrderLeaseAction::End { lease }],
            State::Holding(Holding { lease, .. }) => {
                vec![OrderLeaseAction::RevokeOrders, OrderLeaseAction::End { lease }]
            }
            State::Stopped => {
                self.state = State::Stopped;
                Vec::new()
            }
            State::Idle | State::Granting => Vec::new(),
        }
    }

    fn tick(&mut self, now: Tick) -> Vec<OrderLeaseAction> {
        let try_at = self.try_at();
        match &mut self.state {
            State::Idle if self.holder == Some(None) && now >= try_at => {
                self.state = State::Granting;
                vec![OrderLeaseAction::Grant { ttl_ms: self.options.ttl_ms }]
            }
            State::Holding(holding) if holding.renew_at.is_some_and(|at| now >= at) => {
                holding.renew_at = None;
                vec![OrderLeaseAction::Renew { lease: holding.lease }]
            }
            _ => Vec::new(),
        }
    }
}
