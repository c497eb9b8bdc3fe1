//! The order in which hosts are preferred as sources of store data.

use crate::domain_tree::DomainTree;
use std::{cmp::Reverse, collections::BTreeMap};
use vanetally_types::{Name, hash64, rendezvous, rendezvous_rank};

/// A host that may forward store data to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The host's share of a processor, in percent.
    pub capacity: u32,
}

/// The source that the order of hosts assigns to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Parent {
    /// The store itself.
    Store,
    /// Another host.
    Host(Name),
}

/// Maximum number of hosts of which each one reads the store itself and acts as an aggregator.
pub const MAX_DIRECT_READERS: usize = 12;

/// Whether the hosts form a fleet, in which some read the store for the others.
///
/// A fleet remains one until only half of [`MAX_DIRECT_READERS`] are left. Otherwise, when the store drops the keys of
/// half of the hosts at once, all the others would start to read it at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fleet {
    pub is_fleet: bool,
}

impl Fleet {
    /// Updates the state for `hosts` live hosts.
    pub(crate) fn update(&mut self, hosts: usize) {
        if hosts > MAX_DIRECT_READERS {
            self.is_fleet = true;
        } else if hosts <= MAX_DIRECT_READERS / 2 {
            self.is_fleet = false;
        }
    }
}

/// Hash key for the choice of the root among the aggregators of all failure domains.
const ROOT_KEY: &[u8] = b"root";

/// Returns the aggregators among `candidates`: all of them if they are few, otherwise the first host of each failure
/// domain.
pub fn aggregators<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> Vec<&'a Name> {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    if candidates.len() <= MAX_DIRECT_READERS {
        return candidates.into_iter().map(|candidate| &candidate.host).collect();
    }
    domain_firsts(candidates)
}

/// Returns the first host in the order of each failure domain.
pub(crate) fn domain_firsts<'a>(
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Vec<&'a Name> {
    let mut domains: BTreeMap<&Name, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    domains.into_iter().filter_map(|(domain, hosts)| first(domain.as_bytes(), &hosts)).collect()
}

/// Returns the root: the one among the first hosts of the failure domains that reads the store for all.
pub fn root<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> Option<&'a Name> {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    let aggregators = domain_firsts(candidates.iter().copied());
    let is_aggregator = |candidate: &&&Candidate| aggregators.contains(&&candidate.host);
    let hosts: Vec<&Candidate> = candidates.iter().filter(is_aggregator).copied().collect();
    first(ROOT_KEY, &hosts)
}

/// Returns the rank of `me` among the hosts that may hold a fleet-wide duty; `key` names the duty.
///
/// Aggregators know the total demand, so they come first. The root comes last among them, so that losing one host does
/// not lose both roles. Strong hosts come before weak ones, since the work of the duty grows with the fleet.
pub fn holder_rank(key: &[u8], me: &Name, candidates: &[Candidate], aggregators: &[Name]) -> usize {
    let root = root(candidates);
    let hosts: Vec<&Candidate> = candidates.iter().collect();
    let mut order = ranked(key, &hosts);
    order.sort_by_key(|host| (!aggregators.contains(*host), root == Some(*host)));
    order.iter().position(|host| *host == me).unwrap_or(order.len())
}

/// Returns the source of `me` in `domain`, a host of a fleet, if only `candidates` are available.
pub(crate) fn parent<'a>(
    me: &Name,
    domain: &Name,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Parent {
    let candidates: Vec<&Candidate> = candidates.into_iter().collect();
    let same_domain = candidates.iter().copied().filter(|candidate| candidate.domain == *domain);
    let same_domain: Vec<&Candidate> = same_domain.collect();
    let tree = DomainTree::new(domain, &same_domain);
    match tree.as_ref().and_then(|tree| tree.parent(me)) {
        Some(host) => Parent::Host(host.clone()),
        None => match root(candidates) {
            Some(root) if root != me => Parent::Host(root.clone()),
            _ => Parent::Store,
        },
    }
}

/// Returns the share of `candidates` in `domain` that come before `me` in the order: all of them if `me` is not listed.
pub(crate) fn relative_rank<'a>(
    me: &Name,
    domain: &Name,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> f64 {
    let same_domain: Vec<&Candidate> =
        candidates.into_iter().filter(|candidate| candidate.domain == *domain).collect();
    let order = ranked(domain.as_bytes(), &same_domain);
    let before = order.iter().position(|host| *host == me);
    let unlisted = if order.is_empty() { 0.0 } else { 1.0 };
    before.map_or(unlisted, |before| before as f64 / order.len() as f64)
}

/// Returns the first of `hosts` in the order for `key`.
fn first<'a>(key: &[u8], hosts: &[&'a Candidate]) -> Option<&'a Name> {
    let max_capacity = hosts.iter().map(|host| host.capacity).max()?;
    let strongest =
        hosts.iter().filter(|host| host.capacity == max_capacity).map(|host| &host.host);
    rendezvous(hash64(key), strongest)
}

/// Returns `hosts` by descending capacity, those of equal capacity in the order of a hash of their names and `key`.
pub(crate) fn ranked<'a>(key: &[u8], hosts: &[&'a Candidate]) -> Vec<&'a Name> {
    let capacity: BTreeMap<&Name, u32> =
        hosts.iter().map(|host| (&host.host, host.capacity)).collect();
    let mut order = rendezvous_rank(hash64(key), hosts.iter().map(|host| &host.host));
    order.sort_by_key(|host| Reverse(capacity[host]));
    order
}
