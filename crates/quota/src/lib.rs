//! How much organisations may ask for over all hosts.
//!
//! One host, the holder of the orders' lease, keeps a token bucket for each organisation; the others ask it
//! for every request that counts. What it can't be asked for is taken from a small share that each host keeps
//! for itself: all shares together are what the operators allow beyond the quota. State machines only: no
//! clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod bucket;
mod client;
mod contact;
mod grantor;

pub use client::{Authority, Decision, QuotaClient};
pub use contact::GrantorContact;
pub use grantor::{Grantor, QuotaAnswer};

/// What the operators allow beyond a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The sliding window in which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Share of the quota of one window that may be exceeded.
    pub excess: f64,
    /// Units beyond that.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { window_ms: 10_000, excess: 0.0, slack: 0.0 }
    }
}

pub(crate) const MILLIS_PER_SECOND: f64 = 1_000.0;
