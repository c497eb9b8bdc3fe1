//! Index of a router's upstreams by name and by the entries that they serve.

use crate::{Phase, Replica, Upstream, UpstreamStatus};
use std::collections::{BTreeMap, HashMap};
use vanetally_types::{Name, Tick};

/// Replicas by name, and names of replicas by the entry that they are ready to serve.
#[derive(Clone, Debug, Default)]
pub struct Index {
    replicas: BTreeMap<Name, Replica>,
    ready: HashMap<Name, Vec<Name>>,
}

impl Index {
    /// Iterates over all replicas.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Returns the replica `name`.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Replica> {
        self.replicas.get_mut(name)
    }

    /// Iterates over the replicas to which requests for `entry` may be sent.
    pub fn serving(&self, entry: &Name) -> impl Iterator<Item = &Replica> {
        let names = self.ready.get(entry).map(Vec::as_slice).unwrap_or_default();
        names.iter().filter_map(|name| self.replicas.get(name)).filter(|r| r.accepts_requests())
    }

    /// Replaces the declared upstreams; the state of those with an unchanged address is kept.
    pub fn declare(&mut self, now: Tick, upstreams: Vec<Upstream>) {
        let mut previous = std::mem::take(&mut self.replicas);
        for upstream in upstreams {
            let name = upstream.name.clone();
            let replica = match previous.remove(&name) {
                Some(mut replica) if replica.upstream.url == upstream.url => {
                    replica.upstream = upstream;
                    replica
                }
                _ => Replica::new(now, upstream),
            };
            self.replicas.insert(name, replica);
        }
        self.ready.clear();
        for replica in self.replicas.values() {
            index_ready(&mut self.ready, replica);
        }
    }

    /// Applies a status of the replica `name`.
    pub fn update_status(&mut self, now: Tick, name: &Name, status: UpstreamStatus) {
        let Some(replica) = self.replicas.get_mut(name) else { return };
        if replica.status.entries == status.entries {
            return replica.update_status(now, status);
        }
        for entry in replica.status.entries.keys() {
            if let Some(names) = self.ready.get_mut(entry) {
                names.retain(|n| n != name);
            }
        }
        replica.update_status(now, status);
        index_ready(&mut self.ready, replica);
    }
}

/// Adds a replica to the lists of the entries that it is ready to serve.
fn index_ready(ready: &mut HashMap<Name, Vec<Name>>, replica: &Replica) {
    for (entry, phase) in &replica.status.entries {
        if *phase == Phase::Ready {
            ready.entry(entry.clone()).or_default().push(replica.upstream.name.clone());
        }
    }
}
