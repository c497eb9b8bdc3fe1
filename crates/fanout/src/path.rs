//! The chain of hosts through which store data reaches a host.
//!
//! Hosts that subscribe to each other in a cycle receive nothing new, yet consider each other fresh until all of them
//! are stale. So each host announces the path of its data, and no host subscribes to one whose path contains itself.

use vanetally_types::{Name, hash64};

/// Short id of a host on a path: a 32-bit hash of its name, since every status message carries a path.
///
/// With 400 hosts the chance that any two share an id is about 1 in 50,000. Such hosts never use each other as source.
pub type Hop = u32;

/// The hosts on a path, starting with the one that reads the store.
pub type Path = Vec<Hop>;

/// Maximum number of hosts on an accepted path.
pub(crate) const MAX_HOPS: usize = 8;

/// Returns the id of `host` on a path.
pub fn hop(host: &Name) -> Hop {
    hash64(host.as_bytes()) as Hop
}
