//! Which hosts should be aggregators.

use std::collections::BTreeMap;
use vanetally_types::{Name, hash64, rendezvous_rank};

/// A host that may be an aggregator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its share of a processor, in percent.
    pub capacity: u32,
}

/// Up to this many hosts, each one is an aggregator of its own.
pub const FEW_HOSTS: usize = 12;

/// The aggregators among `candidates`: all where they are few, otherwise the one of each failure
/// domain with the largest capacity; among equals their names decide.
pub fn aggregators<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> Vec<&'a Name> {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    if candidates.len() <= FEW_HOSTS {
        return candidates.into_iter().map(|candidate| &candidate.host).collect();
    }
    let mut domains: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    domains.into_iter().filter_map(|(domain, hosts)| strongest(domain, &hosts)).collect()
}

fn strongest<'a>(domain: &Name, hosts: &[&'a Candidate]) -> Option<&'a Name> {
    let most = hosts.iter().map(|host| host.capacity).max()?;
    let strong = hosts.iter().filter(|host| host.capacity == most).map(|host| &host.host);
    rendezvous_rank(hash64(domain.as_bytes()), strong).first().copied()
}
