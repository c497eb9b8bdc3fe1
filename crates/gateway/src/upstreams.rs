//! Following the upstreams' announcements in the store.

use crate::{hub::Hub, store::Snapshot, watch::Follower};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc};
use vanetally_ports::{Change, Item};
use vanetally_types::Name;

/// Follows the keys of all upstreams.
pub(crate) struct UpstreamFollower {
    hub: Rc<Hub>,
    known: RefCell<BTreeSet<Name>>,
}

impl UpstreamFollower {
    pub(crate) fn new(hub: Rc<Hub>) -> Self {
        Self { hub, known: RefCell::new(BTreeSet::new()) }
    }

    fn id(&self, key: &str) -> Option<Name> {
        key.strip_prefix(self.hub.ports.upstreams.prefix()).map(Name::from)
    }

    fn seen(&self, item: &Item) {
        let Some(id) = self.id(&item.key) else {
            return;
        };
        match self.hub.ports.upstreams.read(&item.value) {
            Ok(state) => {
                let is_new = self.known.borrow_mut().insert(id.clone());
                if is_new || state.draining {
                    log::info!(
                        "event=upstream_seen upstream={id} service={} address={} draining={} \
                         remaining_ms={} revision={}",
                        state.service,
                        state.address,
                        state.draining,
                        state.remaining_ms.map_or_else(|| "-".into(), |ms| ms.to_string()),
                        item.revision.0
                    );
                }
                self.hub.upstream_seen(id, state);
            }
            Err(error) => {
                log::error!("event=upstream_unreadable upstream={id} error=\"{error}\"");
            }
        }
    }

    fn gone(&self, id: &Name) {
        if self.known.borrow_mut().remove(id) {
            log::info!("event=upstream_gone upstream={id}");
            self.hub.upstream_gone(id.clone());
        }
    }
}

impl Follower for UpstreamFollower {
    fn replaced(&self, snapshot: Snapshot) {
        let listed: BTreeSet<Name> =
            snapshot.items.iter().filter_map(|item| self.id(&item.key)).collect();
        let missing: Vec<Name> = self.known.borrow().difference(&listed).cloned().collect();
        missing.iter().for_each(|id| self.gone(id));
        snapshot.items.iter().for_each(|item| self.seen(item));
    }

    fn changed(&self, change: Change) {
        match change {
            Change::Put(item) => self.seen(&item),
            Change::Gone { key, .. } => {
                if let Some(id) = self.id(&key) {
                    self.gone(&id);
                }
            }
        }
    }

    fn lost(&self) {}
}
