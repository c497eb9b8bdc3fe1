//! Quotas of organisations over all hosts.
//!
//! One host, the holder of the order lease, keeps a token bucket for each organisation; the others
//! ask it for every request with a quota. If it can't be reached, each host spends from a small
//! share of its own; all shares together are what the operators allow in excess of the quota. The
//! crate contains state machines only, without clock or socket.
#![deny(missing_docs, unsafe_code)]

mod bucket;
mod client;
mod contact;
mod grantor;

pub use client::{Authority, Decision, QuotaClient};
pub use contact::GrantorContact;
pub use grantor::{Grantor, QuotaAnswer};

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
