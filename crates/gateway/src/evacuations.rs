//! Failure domains that operators evacuate.

use crate::{hub::Hub, store::Snapshot, telemetry, watch::FeedHandler};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc};
use vanetally_dispatch as dispatch;
use vanetally_placement as placement;
use vanetally_ports::Change;
use vanetally_types::Name;

/// Handles changes of the evacuation keys.
pub(crate) struct EvacuationFeedHandler {
    hub: Rc<Hub>,
    domains: RefCell<BTreeSet<Name>>,
}

impl EvacuationFeedHandler {
    pub(crate) fn new(hub: Rc<Hub>) -> Self {
        Self { hub, domains: RefCell::default() }
    }

    fn domain(&self, key: &str) -> Option<Name> {
        key.strip_prefix(self.hub.ports.evacuations.prefix()).map(Name::from)
    }

    fn set(&self, domains: BTreeSet<Name>) {
        let old = self.domains.replace(domains.clone());
        if old == domains {
            return;
        }
        let level = self.hub.relayed_log_level();
        for domain in domains.difference(&old) {
            log::log!(level, "event=domain_evacuated domain={domain}");
        }
        for domain in old.difference(&domains) {
            log::log!(level, "event=domain_returned domain={domain}");
        }
        telemetry::evacuated_domains(domains.len());
        let domains = Rc::new(domains);
        self.hub.placement_event(placement::Event::Evacuated(domains.clone()));
        self.hub.request_event(dispatch::Event::Evacuated(domains));
    }
}

impl FeedHandler for EvacuationFeedHandler {
    fn replaced(&self, snapshot: Snapshot) {
        self.set(snapshot.items.iter().filter_map(|item| self.domain(&item.key)).collect());
    }

    fn changed(&self, change: Change) {
        let Some(domain) = self.domain(change.key()) else {
            return;
        };
        let mut domains = self.domains.borrow().clone();
        match change {
            Change::Put(_) => domains.insert(domain),
            Change::Deleted { .. } => domains.remove(&domain),
        };
        self.set(domains);
    }

    fn lost(&self) {}
}
