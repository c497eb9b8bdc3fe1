//! In which order hosts pass on what lies in the store.

use std::{cmp::Reverse, collections::BTreeMap};
use vanetally_types::{Name, hash64, rendezvous_rank};

/// A host that may pass on what lies in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its share of a processor, in percent.
    pub capacity: u32,
}

/// From whom a host should hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Parent {
    /// From the store itself.
    Store,
    /// From another host.
    Host(Name),
}

/// Up to this many hosts, each one reads the store and is an aggregator of its own.
pub const MAX_DIRECT_READERS: usize = 12;

/// Whether hosts are a fleet, in which some read the store for the others.
///
/// A fleet stays one until few of its hosts are left: when the store drops the keys of half of its hosts at
/// once, the rest would otherwise all turn to it in the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fleet {
    pub is_fleet: bool,
}

impl Fleet {
    /// So many hosts live.
    pub(crate) fn review(&mut self, hosts: usize) {
        if hosts > MAX_DIRECT_READERS {
            self.is_fleet = true;
        } else if hosts <= MAX_DIRECT_READERS / 2 {
            self.is_fleet = false;
        }
    }
}

/// Key of the choice among the aggregators of all failure domains.
const ROOT_KEY: &[u8] = b"root";

/// The aggregators among `candidates`: all where they are few, otherwise the first in the order of each
/// failure domain.
pub fn aggregators<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> Vec<&'a Name> {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    if candidates.len() <= MAX_DIRECT_READERS {
        return candidates.into_iter().map(|candidate| &candidate.host).collect();
    }
    firsts(candidates)
}

/// The first host in the order of each failure domain.
pub(crate) fn firsts<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> Vec<&'a Name> {
    let mut domains: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    domains.into_iter().filter_map(|(domain, hosts)| first(domain.as_bytes(), &hosts)).collect()
}

/// The first host of each failure domain that reads the store for all of them.
pub fn root<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> Option<&'a Name> {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    let aggregators = firsts(candidates.iter().copied());
    let is_aggregator = |candidate: &&&Candidate| aggregators.contains(&&candidate.host);
    let hosts: Vec<&Candidate> = candidates.iter().filter(is_aggregator).copied().collect();
    first(ROOT_KEY, &hosts)
}

/// From whom `me` in `domain`, a host of a fleet, should hear, if only `candidates` may be asked.
pub(crate) fn parent<'a>(
    me: &Name,
    domain: &Name,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Parent {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    let near = candidates.iter().copied().filter(|candidate| candidate.domain == *domain);
    let near: Vec<&Candidate> = near.collect();
    match first(domain.as_bytes(), &near) {
        Some(host) if host != me => Parent::Host(host.clone()),
        _ => match root(candidates) {
            Some(root) if root != me => Parent::Host(root.clone()),
            _ => Parent::Store,
        },
    }
}

/// How many of `candidates` in `domain` come before `me`, as a share of all of them.
pub(crate) fn place<'a>(
    me: &Name,
    domain: &Name,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> f64 {
    let near: Vec<&Candidate> =
        candidates.into_iter().filter(|candidate| candidate.domain == *domain).collect();
    let order = order(domain.as_bytes(), &near);
    let before = order.iter().position(|host| *host == me).unwrap_or(order.len());
    before as f64 / order.len().max(1) as f64
}

fn first<'a>(key: &[u8], hosts: &[&'a Candidate]) -> Option<&'a Name> {
    let most = hosts.iter().map(|host| host.capacity).max()?;
    let strong = hosts.iter().filter(|host| host.capacity == most).map(|host| &host.host);
    rendezvous_rank(hash64(key), strong).first().copied()
}

/// The hosts with the largest capacity first; among equals their names decide.
fn order<'a>(key: &[u8], hosts: &[&'a Candidate]) -> Vec<&'a Name> {
    let capacity: BTreeMap<&Name, u32> =
        hosts.iter().map(|host| (&host.host, host.capacity)).collect();
    let mut order = rendezvous_rank(hash64(key), hosts.iter().map(|host| &host.host));
    order.sort_by_key(|host| Reverse(capacity[host]));
    order
}
