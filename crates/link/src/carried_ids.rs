//! The ids of the requests that a connection has carried.

use vanetally_types::hash64;

/// Remembers which ids a connection has carried, so that none is sent on it twice: an answer names its request by id, and
/// only while the id is new to the connection can it not be a copy of an earlier answer.
///
/// Ids are kept as hashes. Two ids with the same hash cost a needless other connection, nothing else.
#[derive(Clone, Debug, Default)]
pub struct CarriedIds(Vec<u32>);

/// Number of ids after which a connection takes no more requests: 16 KiB of memory.
const MAX_IDS: usize = 4_096;

impl CarriedIds {
    /// Whether `id`, or another id with the same hash, was recorded.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains(&hash(id))
    }

    /// Records `id`.
    pub fn record(&mut self, id: &str) {
        self.0.push(hash(id));
    }

    /// Whether no more ids may be recorded.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_IDS
    }
}

/// Returns the lower half of the hash.
fn hash(id: &str) -> u32 {
    hash64(id.as_bytes()) as u32
}
