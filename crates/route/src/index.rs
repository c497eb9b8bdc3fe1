//! The upstreams of a router, found by name or by what they serve.

use crate::{Phase, Replica, Upstream, UpstreamStatus};
use std::collections::{BTreeMap, HashMap};
use vanetally_types::{Name, Tick};

/// Replicas by name, and names by the entry that they are ready to serve.
#[derive(Clone, Debug, Default)]
pub struct Index {
    replicas: BTreeMap<Name, Replica>,
    ready: HashMap<Name, Vec<Name>>,
}

impl Index {
    /// All replicas.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// The replica called `name`.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Replica> {
        self.replicas.get_mut(name)
    }

    /// Replicas to which work for `entry` may be sent.
    pub fn serving(&self, entry: &Name) -> impl Iterator<Item = &Replica> {
        let names = self.ready.get(entry).map(Vec::as_slice).unwrap_or_default();
        names.iter().filter_map(|name| self.replicas.get(name)).filter(|r| r.takes_work())
    }

    /// Takes the declared upstreams; what is known of those that stay is kept.
    pub fn declare(&mut self, now: Tick, upstreams: Vec<Upstream>) {
        let mut old = std::mem::take(&mut self.replicas);
        for upstream in upstreams {
            let name = upstream.name.clone();
            let replica = match old.remove(&name) {
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
            enlist(&mut self.ready, replica);
        }
    }

    /// Takes a report on the replica `name`.
    pub fn report(&mut self, now: Tick, name: &Name, status: UpstreamStatus) {
        let Some(replica) = self.replicas.get_mut(name) else { return };
        if replica.status.entries == status.entries {
            return replica.report(now, status);
        }
        for entry in replica.status.entries.keys() {
            if let Some(names) = self.ready.get_mut(entry) {
                names.retain(|n| n != name);
            }
        }
        replica.report(now, status);
        enlist(&mut self.ready, replica);
    }
}

fn enlist(ready: &mut HashMap<Name, Vec<Name>>, replica: &Replica) {
    for (entry, phase) in &replica.status.entries {
        if *phase == Phase::Ready {
            ready.entry(entry.clone()).or_default().push(replica.upstream.name.clone());
        }
    }
}
