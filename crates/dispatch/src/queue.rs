//! Queue of requests that wait for an upstream, ordered by priority, then by deadline.

use crate::{RequestId, request::Request};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: (u8, u8),
    deadline: Tick,
    id: RequestId,
}

impl Rank {
    fn of(id: RequestId, request: &Request) -> Self {
        Self { priority: request.rank(), deadline: request.deadline, id }
    }
}

/// The waiting requests of each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    services: BTreeMap<Name, BTreeSet<Rank>>,
}

impl Queue {
    pub(crate) fn insert(&mut self, id: RequestId, request: &Request) {
        let ranks = self.services.entry(request.service.clone()).or_default();
        ranks.insert(Rank::of(id, request));
    }

    pub(crate) fn remove(&mut self, id: RequestId, request: &Request) {
        if let Some(ranks) = self.services.get_mut(&request.service) {
            ranks.remove(&Rank::of(id, request));
        }
    }

    /// Returns the requests that wait for `service`, in order.
    pub(crate) fn waiting(&self, service: &Name) -> Vec<RequestId> {
        let ranks = self.services.get(service).into_iter().flatten();
        ranks.map(|rank| rank.id).collect()
    }

    /// Returns the services for which requests wait.
    pub(crate) fn services(&self) -> Vec<Name> {
        let busy = self.services.iter().filter(|(_, ranks)| !ranks.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.services.values().map(BTreeSet::len).sum()
    }
}
