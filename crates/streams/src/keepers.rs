//! The hosts that keep the beginning of a stream.

use crate::StreamKey;
use std::collections::HashSet;
use vanetally_types::{Name, rendezvous_weight};

/// Returns the first `count` of `hosts`, each with its failure domain, in the order in which they keep the stream `key`:
/// by the hash of the key, and one of each failure domain before the second of any.
pub fn keepers<'a>(
    key: StreamKey,
    hosts: impl Iterator<Item = (&'a Name, &'a Name)>,
    count: usize,
) -> Vec<&'a Name> {
    let weighted = hosts.map(|(host, domain)| (rendezvous_weight(key.hash(), host), host, domain));
    let mut ranked: Vec<_> = weighted.collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut domains = HashSet::new();
    let (first, others): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(_, _, domain)| domains.insert(*domain));
    first.into_iter().chain(others).map(|(_, host, _)| host).take(count).collect()
}
