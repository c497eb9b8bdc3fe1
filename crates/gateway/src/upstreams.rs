//! Following the upstreams' announcements in the store.

use crate::{hub::Hub, store::Snapshot, watch::Follower};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;
use vanetally_ports::{Change, Item};
use vanetally_types::{Name, Tick};

/// Follows the keys of all upstreams.
pub(crate) struct UpstreamFollower {
    hub: Rc<Hub>,
    known: Rc<RefCell<BTreeSet<Name>>>,
    /// Those whose keys went while the store was away, and until when they are waited for: most
    /// write them again soon.
    lapsed: Rc<RefCell<BTreeMap<Name, Tick>>>,
}

impl UpstreamFollower {
    pub(crate) fn new(hub: Rc<Hub>) -> Self {
        Self { hub, known: Rc::default(), lapsed: Rc::default() }
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
                if self.lapsed.borrow_mut().remove(&id).is_some() {
                    log::log!(self.hub.hearsay(), "event=upstream_returned upstream={id}");
                }
                let is_new = self.known.borrow_mut().insert(id.clone());
                if is_new || state.draining {
                    log::log!(
                        self.hub.hearsay(),
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

    /// The key of an upstream is gone; the upstream is too, unless the store has lost keys.
    fn gone(&self, id: &Name) {
        let contact = self.hub.store.contact();
        let now = self.hub.clock.now();
        if !contact.is_recent(now) {
            return forget(&self.hub, &self.known, id);
        }
        if !self.known.borrow().contains(id) || self.lapsed.borrow().contains_key(id) {
            return;
        }
        let wait_ms = contact.wait_ms(now);
        log::log!(self.hub.hearsay(), "event=upstream_lapsed upstream={id} wait_ms={wait_ms}");
        self.lapsed.borrow_mut().insert(id.clone(), now + wait_ms);
        tokio::task::spawn_local(self.wait_for_return(id.clone(), wait_ms));
    }

    fn wait_for_return(&self, id: Name, wait_ms: u64) -> impl Future<Output = ()> + use<> {
        let (hub, known, lapsed) = (self.hub.clone(), self.known.clone(), self.lapsed.clone());
        async move {
            sleep(Duration::from_millis(wait_ms)).await;
            let now = hub.clock.now();
            // It may have returned and lapsed once more: then another wait goes on.
            let is_over = lapsed.borrow().get(&id).is_some_and(|until| now >= *until);
            if is_over {
                lapsed.borrow_mut().remove(&id);
                forget(&hub, &known, &id);
            }
        }
    }
}

fn forget(hub: &Rc<Hub>, known: &RefCell<BTreeSet<Name>>, id: &Name) {
    if known.borrow_mut().remove(id) {
        log::log!(hub.hearsay(), "event=upstream_gone upstream={id}");
        hub.upstream_gone(id.clone());
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
