//! Stable hashes: all hosts compute the same values, whatever version they run.

use crate::Name;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Returns a stable 64-bit hash of `bytes`.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns [`hash64`] of the concatenation of `parts`.
pub fn hash64_of(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.digest()
}

/// Returns a stable 128-bit hash of `bytes`, for identifiers where a 64-bit hash could collide by chance.
pub fn hash128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the weight of `name` for `key` in rendezvous (highest-random-weight) hashing: the name
/// with the highest weight comes first, and of two with the same weight the greater name.
pub fn rendezvous_weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Picks one of `names` for `key` by rendezvous hashing; `None` when there are no names.
///
/// Removing a name reassigns only the keys that were mapped to it.
pub fn rendezvous<'a>(key: u64, names: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    names.into_iter().max_by_key(|name| (rendezvous_weight(key, name), *name))
}

/// Orders `names` for `key` from the most to the least preferred.
pub fn rendezvous_rank<'a>(key: u64, names: impl IntoIterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut ranked: Vec<_> = names.into_iter().collect();
    ranked.sort_by_cached_key(|name| std::cmp::Reverse((rendezvous_weight(key, name), *name)));
    ranked
}
