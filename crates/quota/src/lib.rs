//! Quotas of organisations over all hosts.
//!
//! One host, the holder of the order lease, keeps a token bucket for each organisation; the others
//! ask it for every request with a quota. If it can't be reached, each host spends from a small
//! share of its own; all shares together are what the operators allow in excess of the quota. The
//! crate contains state machines only, without clock or socket.
#![deny(missing_docs, unsafe_code)]

mod account;
mod bucket;
mod client;
mod contact;
mod grantor;
mod queries;
mod queue;

pub use account::{QueueCounts, SERVE_INTERVAL_MS};
pub use client::{Authority, Decision, QuotaClient};
pub use contact::GrantorContact;
pub use grantor::{Grantor, QuotaAnswer, SpendRequest};
pub use queries::{GRANTOR_ANSWER_MS, Received, Return, SpendQueries, SpendQuery};
pub use queue::{Asker, Reply};
pub use vanetally_types::Rank;

/// Guards of the exchange between hosts and grantors; each can be switched off to show that the
/// specification needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A grantor takes the cost of a repeated request once.
    pub remembers_grants: bool,
    /// A grantor takes the return of a grant once.
    pub returns_once: bool,
    /// A host returns a grant that it no longer waits for.
    pub returns_late: bool,
    /// A host tells the grantor that it no longer waits.
    pub cancels: bool,
    /// A host uses a grant only within the time for which the request waits.
    pub checks_time: bool,
    /// A grantor does not grant a request that arrives after its cancellation.
    pub remembers_cancels: bool,
}

impl Guards {
    /// No guards.
    pub const OFF: Self = Self {
        remembers_grants: false,
        returns_once: false,
        returns_late: false,
        cancels: false,
        checks_time: false,
        remembers_cancels: false,
    };

    /// All guards.
    pub const ON: Self = Self {
        remembers_grants: true,
        returns_once: true,
        returns_late: true,
        cancels: true,
        checks_time: true,
        remembers_cancels: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ON
    }
}

/// Allowed excess over a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window in which requests are counted.
    pub window_ms: u64,
    /// Allowed excess as a share of the quota of one window.
    pub excess: f64,
    /// Allowed excess in addition, in units.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { window_ms: 10_000, excess: 0.0, slack: 0.0 }
    }
}

pub(crate) const MILLIS_PER_SECOND: f64 = 1_000.0;
