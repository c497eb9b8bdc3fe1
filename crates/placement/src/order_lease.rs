//! The lease of the one host that gives orders.
//!
//! The holder's key lies in the store under a lease. Its fencing token is made of the revision at which
//! the key was written, so that a later holder's token is always higher. A holder acts only while its
//! last renewal, counted from when it was sent, still covers the moment. It goes on asking for the next renewal
//! after that: where the store was away and has kept its lease, the key is its own still, and orders go on with
//! the first answer and not when the lease has run out, two seconds later.
//!
//! Where the store came back from a copy of itself, the key may be gone while its holder still acts. Others that take it
//! wait until that can't be so any more. The holder goes on at once: with its key, if the copy has it, else with the
//! next one, if it got that while the last renewal covered it.

use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::{Name, Tick};

/// Lengths of a order_lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderLeaseOptions {
    /// How long the store keeps the key after the last renewal, in milliseconds.
    pub ttl_ms: u64,
    /// How long a holder waits before its first order, in milliseconds.
    pub settle_ms: u64,
    /// How long a host that may have been the holder before waits, in milliseconds: it must not
    /// take turns with the one between.
    pub resettle_ms: u64,
}

/// Something that happened to the order_lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderLeaseEvent {
    /// The store tells who holds the key now.
    HolderSeen(Option<Name>),
    /// The store can't be asked: what it told before may be old.
    StoreLost,
    /// The store came back from a copy: all that it told before may be gone.
    StoreRestored {
        /// The era that began.
        era: Era,
        /// Where the key that the copy has was written, if it names this host.
        own_key: Option<Revision>,
    },
    /// A lease was granted; the call was sent at `sent`.
    Granted {
        /// When the call was sent.
        sent: Tick,
        /// The lease.
        lease: LeaseId,
        /// How long it lasts, in milliseconds.
        ttl_ms: u64,
    },
    /// No lease was granted.
    GrantFailed,
    /// The key was written under the lease.
    KeyWritten(Revision),
    /// The key was not written, or it is not known.
    KeyNotWritten,
    /// The lease was renewed; the call was sent at `sent`.
    Renewed {
        /// When the call was sent.
        sent: Tick,
    },
    /// The renewal was not answered.
    RenewFailed,
    /// The lease is over.
    LeaseExpired,
    /// A runner has seen a higher token.
    Fenced,
    /// The host stops.
    Stop,
    /// Time passed.
    Tick,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderLeaseAction {
    /// Ask for a lease.
    Grant {
        /// Its length in milliseconds.
        ttl_ms: u64,
    },
    /// Write the key under the lease, if nobody holds it.
    WriteKey {
        /// The lease.
        lease: LeaseId,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// End the lease.
    End {
        /// The lease.
        lease: LeaseId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Following,
    Granting,
    Taking { lease: LeaseId, covered: Tick },
    Holding(Holding),
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holding {
    lease: LeaseId,
    /// Where the key was written.
    taken: Revision,
    /// From when on orders may be given.
    settled: Tick,
    /// Until when the last answered renewal covers.
    covered: Tick,
    /// When the next renewal is due; none while one is under way.
    renew_at: Option<Tick>,
}

/// What this host held until the store came back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Former {
    era: Era,
    covered: Tick,
}

impl Former {
    /// Whether nobody else can have given orders before this host took the key in `era`.
    fn goes_on(self, now: Tick, era: Era) -> bool {
        era.follows(self.era) && now < self.covered
    }
}

/// Whether this host is the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderLease {
    options: OrderLeaseOptions,
    state: State,
    /// Who holds the key, as far as the store told; `None` until it did.
    holder: Option<Option<Name>>,
    next_try: Tick,
    /// Order among the hosts that may try; the first tries at once.
    rank: u64,
    /// Since when this host, in this life or an earlier one, can't have been the holder.
    clear_from: Tick,
    /// Whether this process was the holder before.
    has_held: bool,
    /// The newest era that this host has heard of.
    era: Era,
    /// When it heard that the store had last come back from a copy.
    returned: Option<Tick>,
    former: Option<Former>,
}

/// Renewals in one length of a lease.
const RENEWALS: u64 = 4;
/// Part of a lease's length that is kept back from its end.
const MARGIN: u64 = 5;
/// After a failed try, the next one waits this long, in milliseconds.
const RETRY_MS: u64 = 300;
/// Between the tries of two hosts, in milliseconds.
const RANK_MS: u64 = 40;
/// After the store's return the one that held the key tries first, for this long, in milliseconds.
const FORMER_MS: u64 = 250;

impl OrderLease {
    /// A process that starts at `now` and knows nothing yet: an earlier life of this host may have
    /// been the holder until just before.
    pub fn new(now: Tick, options: OrderLeaseOptions) -> Self {
        Self {
            options,
            state: State::Following,
            holder: None,
            next_try: Tick(0),
            rank: 0,
            clear_from: now + options.resettle_ms,
            has_held: false,
            era: Era::default(),
            returned: None,
            former: None,
        }
    }

    /// Sets how many other hosts try before this one.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank as u64;
    }

    /// The store is in `era`. Where that is a new one it came back from a copy by `now`, or may have.
    pub fn set_era(&mut self, now: Tick, era: Era) {
        if era > self.era {
            self.era = era;
            self.returned = Some(now);
            self.former = None;
        }
    }

    /// The token under which orders may be given now.
    pub fn token(&self, now: Tick) -> Option<FencingToken> {
        match &self.state {
            State::Holding(holding) if now >= holding.settled && now < holding.covered => {
                FencingToken::try_from(holding.taken).ok()
            }
            _ => None,
        }
    }

    /// Whether the key is held, settled or not.
    pub fn is_holding(&self, now: Tick) -> bool {
        matches!(&self.state, State::Holding(holding) if now < holding.covered)
    }

    /// Takes in what happened; tells which calls to make.
    pub fn handle(&mut self, now: Tick, event: OrderLeaseEvent) -> Vec<OrderLeaseAction> {
        match event {
            OrderLeaseEvent::HolderSeen(holder) => self.holder_seen(now, holder),
            OrderLeaseEvent::StoreLost => self.holder = None,
            OrderLeaseEvent::StoreRestored { era, own_key } => {
                return self.store_returned(now, era, own_key);
            }
            OrderLeaseEvent::Granted { sent, lease, ttl_ms } => {
                return self.granted(now, sent, lease, ttl_ms);
            }
            OrderLeaseEvent::GrantFailed => self.retry_later(now),
            OrderLeaseEvent::KeyWritten(revision) => self.taken(now, revision),
            OrderLeaseEvent::KeyNotWritten
            | OrderLeaseEvent::LeaseExpired
            | OrderLeaseEvent::Fenced => {
                return self.leave(now);
            }
            OrderLeaseEvent::Renewed { sent } => self.renewed(sent),
            OrderLeaseEvent::RenewFailed => self.renew_again(now),
            OrderLeaseEvent::Stop => {
                let actions = self.leave(now);
                self.state = State::Stopped;
                return actions;
            }
            OrderLeaseEvent::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn holder_seen(&mut self, now: Tick, holder: Option<Name>) {
        let was_held = !matches!(self.holder, Some(None));
        if holder.is_none() && was_held && self.former.is_none() {
            self.next_try = self.next_try.max(now + self.rank * RANK_MS);
        }
        self.holder = Some(holder);
    }

    /// The key, if it is still there, is this host's own only if nobody else can have had it since.
    fn store_returned(
        &mut self,
        now: Tick,
        era: Era,
        own_key: Option<Revision>,
    ) -> Vec<OrderLeaseAction> {
        let State::Holding(holding) = &mut self.state else {
            self.set_era(now, era);
            self.next_try = self.next_try.max(now + FORMER_MS + self.rank * RANK_MS);
            return Vec::new();
        };
        if holding.lease.era >= era {
            return Vec::new();
        }
        let is_covered = now < holding.covered;
        let is_there = own_key.is_some_and(|key| key.number == holding.taken.number);
        let former = Former { era: holding.lease.era, covered: holding.covered };
        let lease = LeaseId::new(era, holding.lease.id);
        if is_there && is_covered {
            holding.lease = lease;
            holding.renew_at = Some(now);
            self.set_era(now, era);
            return Vec::new();
        }
        self.state = State::Following;
        self.set_era(now, era);
        self.next_try = now;
        if is_there {
            return vec![OrderLeaseAction::End { lease }];
        }
        self.former = Some(former);
        Vec::new()
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
        self.state = State::Taking { lease, covered: self.covered_from(sent) };
        vec![OrderLeaseAction::WriteKey { lease }]
    }

    fn covered_from(&self, sent: Tick) -> Tick {
        let ttl = self.options.ttl_ms;
        sent + (ttl - ttl / MARGIN)
    }

    fn taken(&mut self, now: Tick, taken: Revision) {
        let State::Taking { lease, covered } = self.state else {
            return;
        };
        let goes_on = self.former.take().is_some_and(|former| former.goes_on(now, lease.era));
        let settled = if goes_on { now } else { self.settled_from(now) };
        self.has_held = true;
        let renew_at = Some(now);
        self.state = State::Holding(Holding { lease, taken, settled, covered, renew_at });
    }

    /// When nobody that held the key before `now` can act any more.
    fn settled_from(&mut self, now: Tick) -> Tick {
        let OrderLeaseOptions { ttl_ms, settle_ms, resettle_ms } = self.options;
        if self.has_held {
            self.clear_from = now + resettle_ms;
        }
        // The last renewal of the era before was answered before the store went away.
        let former_ends = self.returned.map_or(now, |returned| returned + ttl_ms);
        (now.max(former_ends) + settle_ms).max(self.clear_from)
    }

    fn renewed(&mut self, sent: Tick) {
        let covered = self.covered_from(sent);
        let period = self.options.ttl_ms / RENEWALS;
        if let State::Holding(holding) = &mut self.state {
            holding.covered = holding.covered.max(covered);
            holding.renew_at = Some(sent + period);
        }
    }

    fn renew_again(&mut self, now: Tick) {
        let period = self.options.ttl_ms / (RENEWALS * 2);
        if let State::Holding(holding) = &mut self.state {
            holding.renew_at = Some(now + period);
        }
    }

    fn retry_later(&mut self, now: Tick) {
        if self.state == State::Granting {
            self.state = State::Following;
        }
        self.next_try = now + RETRY_MS;
    }

    /// Gives up what is held or tried.
    fn leave(&mut self, now: Tick) -> Vec<OrderLeaseAction> {
        self.next_try = now + RETRY_MS + self.rank * RANK_MS;
        self.former = None;
        match std::mem::replace(&mut self.state, State::Following) {
            State::Taking { lease, .. } | State::Holding(Holding { lease, .. }) => {
                vec![OrderLeaseAction::End { lease }]
            }
            State::Stopped => {
                self.state = State::Stopped;
                Vec::new()
            }
            State::Following | State::Granting => Vec::new(),
        }
    }

    fn tick(&mut self, now: Tick) -> Vec<OrderLeaseAction> {
        match &mut self.state {
            State::Following if self.holder == Some(None) && now >= self.next_try => {
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
