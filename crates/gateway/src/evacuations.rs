//! Failure domains that operators evacuate.

use crate::{
    hub::Hub, log_limit::LogLimit, odd_entries::Escaped, store::Snapshot, telemetry,
    watch::FeedHandler,
};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc};
use vanetally_dispatch as dispatch;
use vanetally_placement as placement;
use vanetally_ports::Change;
use vanetally_types::Name;

/// Handles changes of the evacuation keys.
pub(crate) struct EvacuationFeedHandler {
    hub: Rc<Hub>,
    domains: RefCell<BTreeSet<Name>>,
    lines: LogLimit,
}

impl EvacuationFeedHandler {
    pub(crate) fn new(hub: Rc<Hub>) -> Self {
        let lines = LogLimit::new(hub.clock);
        Self { hub, domains: RefCell::default(), lines }
    }

    fn domain(&self, key: &str) -> Option<Name> {
        key.strip_prefix(self.hub.ports.evacuations.prefix()).map(Name::from)
    }

    fn set(&self, domains: BTreeSet<Name>) {
        let old = self.domains.replace(domains.clone());
        if old == domains {
            return;
        }
        domains.difference(&old).for_each(|domain| self.log("domain_evacuated", domain));
        old.difference(&domains).for_each(|domain| self.log("domain_returned", domain));
        telemetry::evacuated_domains(domains.len());
        let domains = Rc::new(domains);
        self.hub.placement_event(placement::Event::Evacuated(domains.clone()));
        self.hub.request_event(dispatch::Event::Evacuated(domains));
    }

    fn log(&self, event: &'static str, domain: &Name) {
        if let Some(passed_over) = self.lines.admit(event) {
            log::log!(
                self.hub.relayed_log_level(),
                "event={event} domain={} passed_over={passed_over}",
                Escaped(domain)
            );
        }
    }
}

impl FeedHandler for EvacuationFeedHandler {
    fn replaced(&self, snapshot: Snapshot) {
        self.set(snapshot.items.iter().filter_map(|item| self.domain(&item.key)).collect());
    }

    fn changed(&self, changes: Vec<Change>) {
        let mut domains = self.domains.borrow().clone();
        for change in changes {
            let Some(domain) = self.domain(change.key()) else {
                continue;
            };
            match change {
                Change::Put(_) => domains.insert(domain),
                Change::Deleted { .. } => domains.remove(&domain),
            };
        }
        self.set(domains);
    }

    fn lost(&self) {}
}
