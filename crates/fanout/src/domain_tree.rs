//! How the hosts of one failure domain forward data among themselves.
//!
//! The cost of a host that forwards data grows with its receivers. In a small domain the first host in the order, the
//! aggregator, serves all others. In a large one it serves relays, and each relay serves its share of the other hosts,
//! so that no host serves many more than a fixed number, whatever the size of the domain.

use crate::{
    Candidate,
    candidate::ranked,
    spacing::{MAX_DIRECT_RECEIVERS, REFERENCE_RECEIVERS},
};
use vanetally_types::{Name, hash64, rendezvous};

/// The forwarding hosts of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DomainTree {
    /// Number of hosts.
    hosts: usize,
    aggregator: Name,
    /// The hosts between the aggregator and the others; empty in a small domain.
    relays: Vec<Name>,
}

impl DomainTree {
    /// Returns the tree of `hosts`, all of the failure domain `domain`; `None` if there are none.
    pub(crate) fn new(domain: &Name, hosts: &[&Candidate]) -> Option<Self> {
        let order = ranked(domain.as_bytes(), hosts);
        let (aggregator, others) = order.split_first()?;
        let relays = others.iter().take(relay_count(hosts.len())).copied().cloned().collect();
        Some(Self { hosts: hosts.len(), aggregator: (*aggregator).clone(), relays })
    }

    /// Returns the source of `host` within the domain; `None` for the aggregator.
    ///
    /// A relay that fails leaves its own receivers only: they spread over the remaining relays.
    pub(crate) fn parent(&self, host: &Name) -> Option<&Name> {
        if *host == self.aggregator {
            return None;
        }
        if self.relays.contains(host) {
            return Some(&self.aggregator);
        }
        let relay = rendezvous(hash64(host.as_bytes()), &self.relays);
        Some(relay.unwrap_or(&self.aggregator))
    }

    /// Returns the expected number of hosts of the domain that `host` serves directly.
    pub(crate) fn receivers(&self, host: &Name) -> usize {
        match self.relays.len() {
            0 => self.hosts,
            relays if *host == self.aggregator => relays,
            relays => self.hosts.div_ceil(relays),
        }
    }
}

/// Returns the number of relays in a failure domain of `hosts` hosts.
fn relay_count(hosts: usize) -> usize {
    if hosts > MAX_DIRECT_RECEIVERS { hosts.div_ceil(REFERENCE_RECEIVERS) } else { 0 }
}
