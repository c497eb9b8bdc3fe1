//! Which upstreams may take a request, without a look at all of them.

use std::collections::{BTreeSet, HashMap};
use vanetally_ports::UpstreamState;
use vanetally_types::{Incarnation, Name};

/// The upstreams of each service, and of each model those that may hold it.
///
/// With 4,800 runners of which five hold a model, the choice for a request looks at these five. Whether an
/// upstream holds it now is for [`crate::upstream::Upstream::holds`] to say: what was announced or told once
/// stays here until the next announcement, and only what was never announced nor told is missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    services: HashMap<Name, ServiceIndex>,
    upstreams: HashMap<Incarnation, UpstreamEntry>,
}

/// Where an upstream stands.
#[derive(Clone, Debug)]
struct UpstreamEntry {
    service: Name,
    models: BTreeSet<Name>,
}

#[derive(Clone, Debug, Default)]
struct ServiceIndex {
    upstreams: BTreeSet<Incarnation>,
    holders: HashMap<Name, BTreeSet<Incarnation>>,
}

impl Directory {
    /// An upstream announced itself. `told` are the models that it was told to hold beside.
    pub(crate) fn insert<'a>(
        &mut self,
        id: &Incarnation,
        state: &'a UpstreamState,
        reported: impl Iterator<Item = &'a Name>,
    ) {
        self.remove(id);
        let service = self.services.entry(state.service.clone()).or_default();
        service.upstreams.insert(id.clone());
        let entry = UpstreamEntry { service: state.service.clone(), models: BTreeSet::new() };
        self.upstreams.insert(id.clone(), entry);
        for model in state.models.iter().map(|held| &held.name).chain(reported) {
            self.add_holder(id, model);
        }
    }

    /// An upstream that announced itself was told to hold a model.
    pub(crate) fn add_holder(&mut self, id: &Incarnation, model: &Name) {
        let Some(entry) = self.upstreams.get_mut(id) else {
            return;
        };
        entry.models.insert(model.clone());
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.holders.entry(model.clone()).or_default().insert(id.clone());
        }
    }

    /// An upstream's announcement is gone.
    pub(crate) fn remove(&mut self, id: &Incarnation) {
        let Some(entry) = self.upstreams.remove(id) else {
            return;
        };
        let Some(service) = self.services.get_mut(&entry.service) else {
            return;
        };
        service.upstreams.remove(id);
        for model in &entry.models {
            if let Some(holders) = service.holders.get_mut(model) {
                holders.remove(id);
            }
        }
    }

    /// The upstreams of a service, in the order of their names.
    pub(crate) fn upstreams_of(&self, service: &Name) -> impl Iterator<Item = &Incarnation> {
        self.services.get(service).into_iter().flat_map(|service| &service.upstreams)
    }

    /// Those that may hold a model, in the same order.
    pub(crate) fn holders(
        &self,
        service: &Name,
        model: &Name,
    ) -> impl Iterator<Item = &Incarnation> {
        let service = self.services.get(service);
        service.and_then(|service| service.holders.get(model)).into_iter().flatten()
    }
}
