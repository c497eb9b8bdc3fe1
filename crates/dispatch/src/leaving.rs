//! Upstreams that have said themselves that they leave.
//!
//! Their announcements may say so later, or never: the store may be away, and some write nothing of it. What they have
//! said holds until another life begins, whatever is announced of this one.

use std::collections::BTreeMap;
use vanetally_types::{Incarnation, Tick};

/// Those that have said so, and when it was first heard.
#[derive(Clone, Debug, Default)]
pub struct LeavingUpstreams {
    since: BTreeMap<Incarnation, Tick>,
}

/// One that has left long since is forgotten after this long, in milliseconds.
const MEMORY_MS: u64 = 1_800_000;
/// Upstreams that are remembered: as many as a large fleet replaces within that time.
const MAX_UPSTREAMS: usize = 8_192;
/// One in so many of them goes where there is no room, the oldest first.
const EVICTED_FRACTION: usize = 8;

impl LeavingUpstreams {
    /// An upstream has said that it leaves; tells whether that is news.
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

    /// Whether it has said so.
    pub fn contains(&self, upstream: &Incarnation) -> bool {
        self.since.contains_key(upstream)
    }

    /// Another life has begun under its id.
    pub fn remove(&mut self, upstream: &Incarnation) {
        self.since.remove(upstream);
    }

    /// All of them, for a host that starts.
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
        let oldest = times[times.len() / EVICTED_FRACTION];
        self.since.retain(|_, at| *at > oldest);
    }
}
