//! Selection of the host that paces an engine.

use std::collections::BTreeMap;
use vanetally_types::{Name, Tick, hash64, rendezvous};

/// The hosts that may be pacers, as known to one of them.
///
/// If some hosts are much stronger than the rest, only these are pacers: each host keeps a link to
/// the pacers that it asks, and links between all pairs of hosts would cost more than the requests
/// themselves.
#[derive(Clone, Debug)]
pub struct Pacers {
    me: Name,
    hosts: Vec<Name>,
    /// Hosts that did not answer, and until when they are skipped.
    silent: BTreeMap<Name, Tick>,
}

/// A host whose capacity is lower than the maximum by this factor or more is no pacer if the
/// stronger ones suffice.
const WEAK_FACTOR: u32 = 2;
/// Maximum number of hosts per strong host, itself included, for which the strong hosts suffice.
const MAX_HOSTS_PER_PACER: usize = 25;
/// Time for which a host that did not answer is skipped.
const SILENCE_MS: u64 = 1_000;

impl Pacers {
    /// Creates the selection with no other host known.
    pub fn new(me: Name) -> Self {
        Self { me, hosts: Vec::new(), silent: BTreeMap::new() }
    }

    /// Sets the live hosts and their capacities; this host may be a pacer only if it is among them.
    pub fn set_hosts(&mut self, hosts: Vec<(Name, u32)>) {
        let max_capacity = hosts.iter().map(|(_, capacity)| *capacity).max().unwrap_or(0);
        let is_strong = |capacity: u32| capacity * WEAK_FACTOR > max_capacity;
        let strong = hosts.iter().filter(|(_, capacity)| is_strong(*capacity)).count();
        let is_sufficient = strong * MAX_HOSTS_PER_PACER >= hosts.len();
        let chosen =
            hosts.into_iter().filter(|(_, capacity)| !is_sufficient || is_strong(*capacity));
        self.hosts = chosen.map(|(host, _)| host).collect();
    }

    /// Records that a host did not answer in time.
    pub fn mark_silent(&mut self, now: Tick, host: &Name) {
        self.silent.insert(host.clone(), now + SILENCE_MS);
    }

    /// Returns the host that paces all incarnations of the upstream `id`; this host if no other is
    /// available.
    pub fn pacer_of(&mut self, now: Tick, id: &Name) -> &Name {
        self.silent.retain(|_, until| now < *until);
        let silent = &self.silent;
        let hosts = self.hosts.iter().filter(|host| !silent.contains_key(*host));
        rendezvous(hash64(id.as_bytes()), hosts).unwrap_or(&self.me)
    }
}
