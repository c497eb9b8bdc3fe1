//! The configuration revision in force: accepting, applying and passing on revisions.

use crate::{Action, Core, Frame};
use std::sync::Arc;
use vanetally_config::{
    Catalog, Revision,
    catalog::is_leaving,
    tracker::{Outcome, Source},
};
use vanetally_route::{Event as RouteEvent, Phase, Upstream, UpstreamStatus};
use vanetally_types::{HostId, Name};

/// Minimum interval between two requests to peers for a newer revision.
const CONFIG_REQUEST_INTERVAL_MS: u64 = 200;

/// Returns the name of the entry that represents a service; its instances always have it ready.
pub fn service_entry(service: &str) -> Name {
    format!("service:{service}").into()
}

impl Core {
    /// Applies a revision if it is newer and valid.
    pub(crate) fn offer_revision(&mut self, revision: Arc<Revision>, source: Source) {
        let number = revision.number;
        match self.revisions.offer(revision, source) {
            Outcome::Accepted => self.apply_revision(source),
            Outcome::Unchanged => {}
            Outcome::Stale { offered, current } => {
                if source == Source::Platform {
                    self.log(format!("event=config-behind offered={offered} kept={current}"));
                }
            }
            Outcome::Invalid(faults) => {
                let first = faults.first().cloned().unwrap_or_default();
                self.log(format!("event=config-unsound revision={number} fault=\"{first}\""));
            }
        }
    }

    /// Passes the new revision's upstreams and runners to the router and the ledgers.
    fn apply_revision(&mut self, source: Source) {
        let revision = self.revisions.current().clone();
        self.log(format!("event=config-taken revision={} source={source:?}", revision.number));
        let upstreams = upstreams(&revision.catalog);
        let actions = self.router.handle(self.now, RouteEvent::Upstreams(upstreams));
        self.run_route_actions(actions);
        for service in &revision.catalog.services {
            for instance in &service.instances {
                let entry = service_entry(&service.name);
                let status = UpstreamStatus {
                    entries: [(entry, Phase::Ready)].into(),
                    reachable: true,
                    ..UpstreamStatus::default()
                };
                let actions = self.router.handle(
                    self.now,
                    RouteEvent::Status { upstream: instance.name.clone(), status },
                );
                self.run_route_actions(actions);
            }
        }
        for (runner, status) in self.runner_status.clone() {
            let actions =
                self.router.handle(self.now, RouteEvent::Status { upstream: runner, status });
            self.run_route_actions(actions);
        }
        self.declare_runners(&revision.catalog);
        self.actions.push(Action::RevisionApplied(revision));
        // Pings carry the revision's number: peers with an older one request the whole revision.
        self.ping_all();
    }

    /// Sends the revision in force to a peer that requested it.
    pub(crate) fn send_config(&mut self, from: &HostId) {
        if self.revisions.current().number > 0 {
            let revision = self.revisions.current().clone();
            self.send(&from.name, Frame::Config(revision));
        }
    }

    /// Requests the revision of `from`, unless one was requested within the last interval.
    pub(crate) fn request_config(&mut self, from: &HostId) {
        if self.now.since(self.config_requested_at) >= CONFIG_REQUEST_INTERVAL_MS {
            self.config_requested_at = self.now;
            self.send(&from.name, Frame::PullConfig);
        }
    }

    /// Whether the catalog's `gone` label declares this process or its whole host destroyed.
    pub(crate) fn is_declared_gone(&self, host: &HostId) -> bool {
        let hosts = &self.revisions.current().catalog.hosts;
        let gone = |v: &Name| &**v == "yes" || **v == *host.incarnation.to_string();
        hosts.iter().any(|h| h.name == host.name && h.labels.get("gone").is_some_and(gone))
    }
}

/// The runners and service instances of a catalog as the router's upstreams.
fn upstreams(catalog: &Catalog) -> Vec<Upstream> {
    let runners = catalog.runners.iter().map(|r| Upstream {
        name: r.name.clone(),
        url: r.url.clone(),
        domain: r.domain.clone(),
        slots: r.slots,
        leaving: is_leaving(&r.labels),
    });
    let instances = catalog.services.iter().flat_map(|s| &s.instances).map(|i| Upstream {
        name: i.name.clone(),
        url: i.url.clone(),
        domain: i.domain.clone(),
        slots: i.slots,
        leaving: is_leaving(&i.labels),
    });
    runners.chain(instances).collect()
}
