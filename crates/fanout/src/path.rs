//! By way of whom a host hears from the store.
//!
//! Hosts that hear from each other in a circle know nothing new and take each other for fresh until all is stale. So
//! each one tells the way that its knowledge takes, and none turns to a host whose way leads through itself.

use vanetally_types::{Name, hash64};

/// Stands for a host: a name in four bytes, since each word of each host carries some. Two of 400 hosts share one in
/// 1 of 50,000 deployments, and then pass each other over.
pub type Hop = u32;

/// The marks of the hosts on the way, the reader of the store first.
pub type Path = Vec<Hop>;

/// Hosts on a way, at most: longer ones are not taken.
pub(crate) const MOST_HOSTS: usize = 8;

/// The mark of a host.
pub fn hop(host: &Name) -> Hop {
    hash64(host.as_bytes()) as Hop
}
