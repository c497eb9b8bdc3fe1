//! Which host paces an engine.

use std::collections::BTreeMap;
use vanetally_types::{Name, Tick, hash64, rendezvous_rank};

/// The hosts that may be pacers, as one of them sees it.
///
/// Where some hosts are much stronger than the rest, only they pace: a question costs a link to the pacer, and
/// links of each host to each other one cost more than the questions.
#[derive(Clone, Debug)]
pub struct Pacers {
    me: Name,
    hosts: Vec<Name>,
    /// Hosts that did not answer, and until when they are passed over.
    silent: BTreeMap<Name, Tick>,
}

/// A host that is this many times weaker than the strongest paces nothing.
const WEAKER: u32 = 2;
/// Strong hosts are enough if each has at most this many hosts to answer, itself included.
const MOST_ASKERS: usize = 25;
/// A host that did not answer is passed over for this long, in milliseconds.
const SILENT_MS: u64 = 1_000;

impl Pacers {
    /// Only this host is known.
    pub fn new(me: Name) -> Self {
        Self { me, hosts: Vec::new(), silent: BTreeMap::new() }
    }

    /// The hosts that live, with their capacities; this one counts if it is among them.
    pub fn set_hosts(&mut self, hosts: Vec<(Name, u32)>) {
        let most = hosts.iter().map(|(_, capacity)| *capacity).max().unwrap_or(0);
        let is_strong = |capacity: u32| capacity * WEAKER > most;
        let strong = hosts.iter().filter(|(_, capacity)| is_strong(*capacity)).count();
        let are_enough = strong * MOST_ASKERS >= hosts.len();
        let chosen = hosts.into_iter().filter(|(_, capacity)| !are_enough || is_strong(*capacity));
        self.hosts = chosen.map(|(host, _)| host).collect();
    }

    /// A host did not answer in time.
    pub fn mark_silent(&mut self, now: Tick, host: &Name) {
        self.silent.insert(host.clone(), now + SILENT_MS);
    }

    /// The host that paces the upstream `id`, in all its lives; this one if no other does.
    pub fn pacer_of(&mut self, now: Tick, id: &Name) -> &Name {
        self.silent.retain(|_, until| now < *until);
        let silent = &self.silent;
        let hosts = self.hosts.iter().filter(|host| !silent.contains_key(*host));
        let ranked = rendezvous_rank(hash64(id.as_bytes()), hosts);
        ranked.first().copied().unwrap_or(&self.me)
    }
}
