//! Grants permits for rate-limited upstreams, on one host for all.

use crate::schedule::{Schedule, interval_ms};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick};

/// Asks for a permit to send a request to a rate-limited upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// Stated rate limit as known to the asking host, in requests per second over all hosts.
    #[serde(rename = "n")]
    pub rate: f64,
    /// Longest time that the request would wait; 0 if another upstream may take it.
    #[serde(rename = "w")]
    pub max_wait_ms: u32,
}

/// The grantor's answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may be sent, at a time that no other request has.
    Granted {
        /// Milliseconds until the send time.
        delay_ms: u32,
    },
    /// Too many other requests come first.
    Busy {
        /// Milliseconds after which to ask again.
        retry_ms: u32,
    },
    /// This host does not grant now.
    NotGranting,
}

impl PermitAnswer {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted { delay_ms: 0 } => "granted",
            Self::Granted { .. } => "delayed",
            Self::Busy { .. } => "busy",
            Self::NotGranting => "not_granting",
        }
    }
}

/// How far ahead send times are granted. A new grantor waits for this long, after which the send
/// times that its predecessor granted have passed.
pub(crate) const MAX_AHEAD_MS: u64 = 1_500;
/// Maximum `Retry-After`, up to which refused callers get successive times. Few callers can wait
/// longer.
const MAX_RETRY_MS: f64 = 30_000.0;
/// Maximum number of hosts that get different times to ask again.
const MAX_ASKS: u32 = 16;
/// Hosts that ask again per interval between two send times. More would only be refused; fewer
/// might leave a send time unused.
const RETRIES_PER_INTERVAL: f64 = 2.0;

/// Spaces the requests of all hosts to rate-limited upstreams.
///
/// No state is kept from one period of granting to the next: the send times that a predecessor
/// granted have passed when this grantor grants its first one.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    /// When this host began to grant; `None` while it does not.
    granting_since: Option<Tick>,
    upstreams: HashMap<Incarnation, UpstreamSchedule>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamSchedule {
    schedule: Schedule,
    /// Time at which the last refused caller may retry, as a tick in milliseconds.
    last_retry: f64,
    /// Number of hosts given a time to ask again since the last grant, up to `MAX_ASKS`.
    asks: u32,
}

impl Grantor {
    /// Sets whether this host may grant now, by its lease.
    pub fn set_granting(&mut self, now: Tick, is_granting: bool) {
        if is_granting && self.granting_since.is_none() {
            self.granting_since = Some(now);
            self.upstreams.clear();
        }
        if !is_granting {
            self.granting_since = None;
        }
    }

    /// Decides whether and when a request may be sent.
    pub fn decide(&mut self, now: Tick, request: &PermitRequest) -> PermitAnswer {
        let Some(granting_since) = self.granting_since else {
            return PermitAnswer::NotGranting;
        };
        let first = (granting_since + MAX_AHEAD_MS).max(now);
        let entry = self.upstreams.entry(request.upstream.clone());
        entry.or_insert_with(|| UpstreamSchedule::new(first)).decide(now, request)
    }

    /// Returns a permit that was not used.
    pub fn return_permit(&mut self, upstream: &Incarnation, rate: f64) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.schedule.return_slot(interval_ms(rate));
        }
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &Incarnation) {
        self.upstreams.remove(upstream);
    }
}

impl UpstreamSchedule {
    fn new(first: Tick) -> Self {
        Self { schedule: Schedule::new(first), last_retry: 0.0, asks: 0 }
    }

    fn decide(&mut self, now: Tick, request: &PermitRequest) -> PermitAnswer {
        let interval_ms = interval_ms(request.rate);
        let wait_ms = self.schedule.wait_ms(now);
        if wait_ms <= f64::from(request.max_wait_ms).min(MAX_AHEAD_MS as f64) {
            self.schedule.reserve(now, interval_ms);
            self.asks = 0;
            return PermitAnswer::Granted { delay_ms: wait_ms.ceil() as u32 };
        }
        let retry_ms = match request.max_wait_ms {
            0 => self.next_ask(wait_ms, interval_ms),
            _ => self.next_retry(now, wait_ms, interval_ms),
        };
        PermitAnswer::Busy { retry_ms: retry_ms.ceil() as u32 }
    }

    /// Returns when a host that uses another upstream for its request may ask again.
    fn next_ask(&mut self, wait_ms: f64, interval_ms: f64) -> f64 {
        let offset_ms = f64::from(self.asks) * interval_ms / RETRIES_PER_INTERVAL;
        self.asks = (self.asks + 1).min(MAX_ASKS);
        wait_ms + offset_ms
    }

    /// Returns when a refused caller may retry: after those that were refused before it.
    fn next_retry(&mut self, now: Tick, wait_ms: f64, interval_ms: f64) -> f64 {
        let now = now.0 as f64;
        let retry = (self.last_retry + interval_ms).max(now + wait_ms);
        self.last_retry = retry.min(now + MAX_RETRY_MS);
        self.last_retry - now
    }
}
