//! Index of the upstreams by what requests and announcements look them up.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};
use vanetally_ports::UpstreamState;
use vanetally_types::{Incarnation, Name};

/// Upstreams by service, by the model that they may hold, and by address.
///
/// With 4,800 runners of which five hold a model, the choice for a request examines five. Whether
/// an upstream holds the model now is decided by [`crate::upstream::Upstream::holds`]: the index
/// keeps what was announced or reported until the next announcement, so it may list too many
/// holders, but never too few.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    services: HashMap<Name, ServiceIndex>,
    upstreams: HashMap<Incarnation, UpstreamEntry>,
    /// More than one only while an upstream replaces another.
    addresses: HashMap<SocketAddr, Vec<Incarnation>>,
}

/// Where an upstream is listed.
#[derive(Clone, Debug)]
struct UpstreamEntry {
    service: Name,
    address: SocketAddr,
    models: Vec<Name>,
}

#[derive(Clone, Debug, Default)]
struct ServiceIndex {
    upstreams: BTreeSet<Incarnation>,
    holders: HashMap<Name, BTreeSet<Incarnation>>,
}

impl Directory {
    /// Lists an upstream by its announcement. `reported` are the models that it holds by report of
    /// the order holder.
    pub(crate) fn insert<'a>(
        &mut self,
        id: &Incarnation,
        state: &'a UpstreamState,
        reported: impl Iterator<Item = &'a Name>,
    ) {
        self.remove(id);
        let service = self.services.entry(state.service.clone()).or_default();
        service.upstreams.insert(id.clone());
        let entry = UpstreamEntry {
            service: state.service.clone(),
            address: state.address,
            models: Vec::new(),
        };
        self.upstreams.insert(id.clone(), entry);
        self.addresses
            .entry(state.address)
            .or_insert_with(|| Vec::with_capacity(1))
            .push(id.clone());
        for model in state.models.iter().map(|held| &held.name).chain(reported) {
            self.add_holder(id, model);
        }
    }

    /// Lists an upstream as a holder of a model by report of the order holder.
    pub(crate) fn add_holder(&mut self, id: &Incarnation, model: &Name) {
        let Some(entry) = self.upstreams.get_mut(id) else {
            return;
        };
        if !entry.models.contains(model) {
            entry.models.push(model.clone());
        }
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.holders.entry(model.clone()).or_default().insert(id.clone());
        }
    }

    /// Removes an upstream whose announcement is gone.
    pub(crate) fn remove(&mut self, id: &Incarnation) {
        let Some(entry) = self.upstreams.remove(id) else {
            return;
        };
        if let Some(ids) = self.addresses.get_mut(&entry.address) {
            ids.retain(|known| known != id);
            if ids.is_empty() {
                self.addresses.remove(&entry.address);
            }
        }
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

    /// Returns the upstreams that announce `address`.
    pub(crate) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Incarnation> {
        self.addresses.get(&address).into_iter().flatten()
    }

    /// Returns the upstreams of a service, ordered by name.
    pub(crate) fn upstreams_of(&self, service: &Name) -> impl Iterator<Item = &Incarnation> {
        self.services.get(service).into_iter().flat_map(|service| &service.upstreams)
    }

    /// Returns the upstreams that may hold a model, ordered by name.
    pub(crate) fn holders(
        &self,
        service: &Name,
        model: &Name,
    ) -> impl Iterator<Item = &Incarnation> {
        let service = self.services.get(service);
        service.and_then(|service| service.holders.get(model)).into_iter().flatten()
    }
}
