//! Upstreams as the router sees them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// What the catalog says of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Base address.
    pub url: Name,
    /// Failure domain.
    pub domain: Name,
    /// Requests at full speed at once.
    pub slots: u32,
    /// Whether it is to get no new work.
    pub leaving: bool,
}

/// Whether requests may be sent for an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Being loaded: soon.
    Loading,
    /// Yes.
    Ready,
    /// No: it is about to be unloaded.
    Closing,
}

/// What the poller of an upstream saw last; it lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Entries in its memory.
    pub entries: BTreeMap<Name, Phase>,
    /// Requests that it runs or has queued.
    pub running: u32,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Whether it answered the last polls.
    pub reachable: bool,
    /// Memory, in bytes, that entries outside of `entries` may take.
    pub reserved: u64,
}

/// One upstream with this host's own knowledge of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// What the catalog says.
    pub upstream: Upstream,
    /// What was last reported.
    pub status: UpstreamStatus,
    /// When that report arrived.
    pub status_at: Tick,
    /// Own requests in flight when that report arrived.
    own_then: u32,
    /// Own requests in flight now.
    pub own: u32,
    /// Failures in a row.
    failures: u32,
    /// No requests before this, unless there is no other replica.
    pub ejected: Tick,
    /// When it came, for slow start.
    since: Tick,
    /// It refused for load: no requests before this.
    pub busy_until: Tick,
}

/// A report older than this says nothing of others' requests.
const REPORT_LIFE: u64 = 5_000;
/// Failures in a row before ejection.
const MOST_FAILURES: u32 = 3;
const EJECT_MILLIS: u64 = 1_000;
const MOST_EJECT_MILLIS: u64 = 30_000;
/// Over this span a new or returning replica gets a growing share.
const SLOW_START: u64 = 3_000;
/// How far beyond its slots a replica is filled, so that it never runs dry between reports.
const WINDOW: f64 = 1.25;

impl Replica {
    /// A replica of which nothing is known yet.
    pub fn new(now: Tick, upstream: Upstream) -> Self {
        Self {
            upstream,
            status: UpstreamStatus::default(),
            status_at: Tick::default(),
            own_then: 0,
            own: 0,
            failures: 0,
            ejected: Tick::default(),
            since: now,
            busy_until: Tick::default(),
        }
    }

    /// Takes a report.
    pub fn report(&mut self, now: Tick, status: UpstreamStatus) {
        self.own_then = self.own;
        self.status = status;
        self.status_at = now;
    }

    /// Requests that are probably there: own ones, and others' by the discounted report.
    pub fn estimate(&self, now: Tick) -> f64 {
        let others = f64::from(self.status.running.saturating_sub(self.own_then));
        let age = now.since(self.status_at).min(REPORT_LIFE) as f64;
        f64::from(self.own) + others * (1.0 - age / REPORT_LIFE as f64)
    }

    /// Load as a share of its slots, with a penalty while it starts slowly.
    pub fn pressure(&self, now: Tick) -> f64 {
        let young = SLOW_START.saturating_sub(now.since(self.since)) as f64 / SLOW_START as f64;
        (self.estimate(now) + young) / f64::from(self.upstream.slots.max(1))
    }

    /// Whether another request fits the window.
    pub fn has_room(&self, now: Tick) -> bool {
        let window = f64::from(self.upstream.slots) * WINDOW;
        now >= self.busy_until && self.estimate(now) + 1.0 <= window.max(1.0)
    }

    /// Whether new work may be sent at all.
    pub fn takes_work(&self) -> bool {
        !self.upstream.leaving && !self.status.leaving
    }

    /// Whether `entry` can be served.
    pub fn serves(&self, entry: &Name) -> bool {
        self.takes_work() && self.status.entries.get(entry) == Some(&Phase::Ready)
    }

    /// A request ended well.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// A request failed; `dead` if nobody answers at the address.
    pub fn failed(&mut self, now: Tick, dead: bool) {
        self.failures += 1;
        let over =
            if dead { self.failures } else { (self.failures + 1).saturating_sub(MOST_FAILURES) };
        if over > 0 {
            let millis = EJECT_MILLIS << (over - 1).min(5);
            self.ejected = now + millis.min(MOST_EJECT_MILLIS);
            self.since = self.ejected;
        }
    }

    /// It refused for load, not for a fault.
    pub fn refused(&mut self, now: Tick, millis: u64) {
        self.busy_until = now + millis;
    }
}
