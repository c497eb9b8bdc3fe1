//! Upstreams and their state on this host.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// The catalog's properties of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Unique name.
    pub name: Name,
    /// Base URL.
    pub url: Name,
    /// Failure domain.
    pub domain: Name,
    /// Number of concurrent requests that it runs at full speed.
    pub slots: u32,
    /// Whether it must get no new requests because it is being removed.
    pub leaving: bool,
}

/// Whether an upstream can take requests for an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The entry is being loaded.
    Loading,
    /// The entry takes requests.
    Ready,
    /// The entry is about to be unloaded and takes no more requests.
    Closing,
}

/// The status of an upstream at its last poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Entries in its memory.
    pub entries: BTreeMap<Name, Phase>,
    /// Number of requests that it runs or has queued.
    pub running: u32,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Whether it answered recent polls.
    pub reachable: bool,
    /// Memory in bytes that entries missing from `entries` may take.
    pub reserved: u64,
}

/// One upstream and this host's state of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// The catalog's properties.
    pub upstream: Upstream,
    /// The last known status.
    pub status: UpstreamStatus,
    /// When that status arrived.
    pub status_at: Tick,
    /// Number of this host's requests in flight when that status arrived.
    own_at_status: u32,
    /// Number of this host's requests in flight.
    pub own_in_flight: u32,
    /// Number of failures in a row.
    failures: u32,
    /// No requests are sent before this time, unless no other replica serves the entry.
    pub ejected_until: Tick,
    /// Start of slow start: when the replica was declared, or returns from ejection.
    ramp_start: Tick,
    /// No requests are sent before this time, because the upstream refused one as overloaded.
    pub busy_until: Tick,
}

/// Age at which a status no longer counts for the estimate of other hosts' requests.
const MAX_STATUS_AGE_MS: u64 = 5_000;
/// Number of failures in a row that ejects a replica.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each further failure.
const EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection.
const MAX_EJECTION_MS: u64 = 30_000;
/// Duration over which a new or returning replica gets a growing share of requests.
const SLOW_START_MS: u64 = 3_000;
/// Requests sent to a replica relative to its slots. More than 1, so that it has queued requests to
/// start between two status updates.
const WINDOW_FACTOR: f64 = 1.25;

impl Replica {
    /// Creates a replica of unknown status.
    pub fn new(now: Tick, upstream: Upstream) -> Self {
        Self {
            upstream,
            status: UpstreamStatus::default(),
            status_at: Tick::default(),
            own_at_status: 0,
            own_in_flight: 0,
            failures: 0,
            ejected_until: Tick::default(),
            ramp_start: now,
            busy_until: Tick::default(),
        }
    }

    /// Applies a status.
    pub fn update_status(&mut self, now: Tick, status: UpstreamStatus) {
        self.own_at_status = self.own_in_flight;
        self.status = status;
        self.status_at = now;
    }

    /// Estimated number of requests at the upstream: this host's own, and those of others from the
    /// last status, discounted by its age.
    pub fn estimated_load(&self, now: Tick) -> f64 {
        let others = f64::from(self.status.running.saturating_sub(self.own_at_status));
        let age_ms = now.since(self.status_at).min(MAX_STATUS_AGE_MS) as f64;
        f64::from(self.own_in_flight) + others * (1.0 - age_ms / MAX_STATUS_AGE_MS as f64)
    }

    /// Estimated load relative to its slots, with a penalty during slow start.
    pub fn pressure(&self, now: Tick) -> f64 {
        let penalty =
            SLOW_START_MS.saturating_sub(now.since(self.ramp_start)) as f64 / SLOW_START_MS as f64;
        (self.estimated_load(now) + penalty) / f64::from(self.upstream.slots.max(1))
    }

    /// Whether the window allows another request.
    pub fn has_capacity(&self, now: Tick) -> bool {
        let window = f64::from(self.upstream.slots) * WINDOW_FACTOR;
        now >= self.busy_until && self.estimated_load(now) + 1.0 <= window.max(1.0)
    }

    /// Whether new requests may be sent at all.
    pub fn accepts_requests(&self) -> bool {
        !self.upstream.leaving && !self.status.leaving
    }

    /// Whether requests for `entry` may be sent.
    pub fn serves(&self, entry: &Name) -> bool {
        self.accepts_requests() && self.status.entries.get(entry) == Some(&Phase::Ready)
    }

    /// Records a completed request.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failed request. An unreachable upstream is ejected at the first failure.
    pub fn failed(&mut self, now: Tick, unreachable: bool) {
        self.failures += 1;
        let ejections = if unreachable {
            self.failures
        } else {
            (self.failures + 1).saturating_sub(MAX_FAILURES)
        };
        if ejections > 0 {
            let duration_ms = EJECTION_MS << (ejections - 1).min(5);
            self.ejected_until = now + duration_ms.min(MAX_EJECTION_MS);
            self.ramp_start = self.ejected_until;
        }
    }

    /// Records a refusal for load; it does not count as a failure.
    pub fn refused(&mut self, now: Tick, delay_ms: u64) {
        self.busy_until = now + delay_ms;
    }
}
