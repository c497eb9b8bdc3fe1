//! Queue of requests that wait for an upstream, ordered by priority, then by deadline.

use crate::{RequestId, request::Request};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Rank, Tick};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    rank: Rank,
    deadline: Tick,
    id: RequestId,
}

impl Position {
    fn of(id: RequestId, request: &Request) -> Self {
        Self { rank: request.rank(), deadline: request.deadline, id }
    }
}

/// The waiting requests of each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    services: BTreeMap<Name, BTreeSet<Position>>,
}

impl Queue {
    pub(crate) fn insert(&mut self, id: RequestId, request: &Request) {
        let positions = self.services.entry(request.service.clone()).or_default();
        positions.insert(Position::of(id, request));
    }

    pub(crate) fn remove(&mut self, id: RequestId, request: &Request) {
        if let Some(positions) = self.services.get_mut(&request.service) {
            positions.remove(&Position::of(id, request));
        }
    }

    /// Returns the requests that wait for `service`, in order.
    pub(crate) fn waiting(&self, service: &Name) -> Vec<RequestId> {
        let positions = self.services.get(service).into_iter().flatten();
        positions.map(|position| position.id).collect()
    }

    /// Returns the services for which requests wait.
    pub(crate) fn services(&self) -> Vec<Name> {
        let busy = self.services.iter().filter(|(_, positions)| !positions.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.services.values().map(BTreeSet::len).sum()
    }
}
