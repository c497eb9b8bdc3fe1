//! The streams whose beginning a host keeps.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use vanetally_ports::Software;
use vanetally_types::{Tick, hash128};

/// Identifies a stream by the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64, u64);

impl StreamKey {
    /// Returns the key of the stream that the request `id` began.
    pub fn of(id: &str) -> Self {
        let hash = hash128(id.as_bytes());
        Self((hash >> u64::BITS) as u64, hash as u64)
    }

    /// Returns the hash by which the hosts are chosen that keep the stream.
    pub fn hash(self) -> u64 {
        self.1
    }
}

#[derive(Clone, Debug)]
struct Beginning {
    /// `None` if several streams have the same id and began at different versions.
    software: Option<Software>,
    until: Tick,
}

/// The beginnings of streams, by key. The ones that expire first give way when there are too many.
#[derive(Clone, Debug, Default)]
pub struct Beginnings {
    streams: HashMap<StreamKey, Beginning>,
    by_expiry: BTreeSet<(Tick, StreamKey)>,
    /// The software of all streams, once.
    software: BTreeSet<Software>,
}

/// Maximum number of streams.
const MAX_STREAMS: usize = 32_768;
/// Maximum time for which a stream is kept.
const MAX_KEPT_MS: u64 = 3_600_000;

impl Beginnings {
    /// Keeps for `kept_ms` that the stream `key` was begun by `software`.
    pub fn record(&mut self, now: Tick, key: StreamKey, software: &Software, kept_ms: u64) {
        self.expire(now);
        let software = self.share(software);
        let known = self.streams.get(&key).filter(|known| known.until > now);
        let until = now + kept_ms.min(MAX_KEPT_MS);
        let beginning = match known {
            Some(known) => Beginning {
                software: known.software.clone().filter(|known| *known == software),
                until: known.until.max(until),
            },
            None => Beginning { software: Some(software), until },
        };
        if let Some(old) = self.streams.get(&key) {
            self.by_expiry.remove(&(old.until, key));
        }
        self.by_expiry.insert((beginning.until, key));
        self.streams.insert(key, beginning);
        while self.streams.len() > MAX_STREAMS {
            self.remove_first();
        }
    }

    /// Returns the software that began the stream `key`, if that is known.
    pub fn get(&self, now: Tick, key: StreamKey) -> Option<&Software> {
        self.streams.get(&key).filter(|known| known.until > now)?.software.as_ref()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Removes the streams that have expired.
    pub fn expire(&mut self, now: Tick) {
        while self.by_expiry.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
        if self.streams.is_empty() {
            self.software.clear();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.streams.remove(&key);
        }
    }

    /// Returns an equal value that shares its names with earlier ones.
    fn share(&mut self, software: &Software) -> Software {
        if let Some(known) = self.software.get(software) {
            return known.clone();
        }
        if self.software.len() >= MAX_STREAMS {
            self.software.clear();
        }
        self.software.insert(software.clone());
        software.clone()
    }
}
