//! Upstreams that reported themselves that they leave.
//!
//! Their announcements may show it later or never: the store may be unavailable, and some upstreams
//! don't announce it. The report holds until another incarnation begins, whatever this one
//! announces.

use std::collections::BTreeMap;
use vanetally_types::{Incarnation, Tick};

/// Incarnations that are leaving, with the time of the first report.
#[derive(Clone, Debug, Default)]
pub struct LeavingUpstreams {
    since: BTreeMap<Incarnation, Tick>,
}

/// How long an incarnation is kept.
const MEMORY_MS: u64 = 1_800_000;
/// Maximum number of incarnations: as many as a large fleet replaces within [`MEMORY_MS`].
const MAX_UPSTREAMS: usize = 8_192;
/// When the set is full, its oldest part is evicted: one incarnation in this many.
const EVICTION_DIVISOR: usize = 8;

impl LeavingUpstreams {
    /// Adds an upstream that reported that it leaves. Returns whether it was not known before.
    pub fn insert(&mut self, now: Tick, upstream: Incarnation) -> bool {
        if self.since.contains_key(&upstream) {
            return false;
        }
        if self.since.len() >= MAX_UPSTREAMS {
            self.make_room(now);
        }
        self.since.insert(upstream, now);
        true
    }

    /// Whether the upstream reported that it leaves.
    pub fn contains(&self, upstream: &Incarnation) -> bool {
        self.since.contains_key(upstream)
    }

    /// Removes an incarnation that was replaced by another one.
    pub fn remove(&mut self, upstream: &Incarnation) {
        self.since.remove(upstream);
    }

    /// Returns all leaving incarnations, for a host that starts.
    pub fn all(&self) -> Vec<Incarnation> {
        self.since.keys().cloned().collect()
    }

    fn make_room(&mut self, now: Tick) {
        self.since.retain(|_, at| now.since(*at) < MEMORY_MS);
        if self.since.len() < MAX_UPSTREAMS {
            return;
        }
        let mut times: Vec<Tick> = self.since.values().copied().collect();
        times.sort();
        let oldest = times[times.len() / EVICTION_DIVISOR];
        self.since.retain(|_, at| *at > oldest);
    }
}
