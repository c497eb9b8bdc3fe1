//! Whether a service has only ever had one software version, by the store as it is now.
//!
//! What this host and others know may be older than the stream in question: they may have been cut off together, or stood
//! still, while upstreams of another version joined. A stream begins only at a version that the store keeps, so that a read
//! of the store that is sent after the stream began tells all versions that may have begun it.

use crate::{feed::MAX_ENTRY_BYTES, hub::Hub, streams::VERSIONS_PREFIX};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::timeout};
use vanetally_ports::Freshness;
use vanetally_streams::{Record, Versions};
use vanetally_types::Name;

/// Time in which the store must answer. The caller may still be served elsewhere.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

type Waiting = Vec<oneshot::Sender<Option<Versions>>>;

/// The services whose versions are being read, and the requests that came since a read was sent. The next read serves
/// these.
#[derive(Default)]
pub(crate) struct VersionChecks(RefCell<HashMap<Name, Waiting>>);

impl VersionChecks {
    /// Adds a request; returns whether no read is under way.
    fn add(&self, service: &Name, sender: oneshot::Sender<Option<Versions>>) -> bool {
        let mut checks = self.0.borrow_mut();
        let is_first = !checks.contains_key(service);
        checks.entry(service.clone()).or_default().push(sender);
        is_first
    }

    /// Takes the requests that the next read serves; without any, no read is under way from now on.
    fn take(&self, service: &Name) -> Option<Waiting> {
        let mut checks = self.0.borrow_mut();
        let waiting = std::mem::take(checks.get_mut(service)?);
        if waiting.is_empty() {
            checks.remove(service);
            return None;
        }
        Some(waiting)
    }
}

impl Hub {
    /// Returns the versions that a service has had, as the store keeps them now; `None` if it keeps none or does not
    /// answer in time.
    pub(crate) async fn stored_versions_now(self: &Rc<Self>, service: &Name) -> Option<Versions> {
        let (sender, answer) = oneshot::channel();
        if self.version_checks.add(service, sender) {
            tokio::task::spawn_local(read_for_all(self.clone(), service.clone()));
        }
        timeout(READ_TIMEOUT, answer).await.ok()?.ok()?
    }

    async fn read_stored_versions(&self, service: &Name) -> Option<Versions> {
        let key: Name = format!("{VERSIONS_PREFIX}{service}").into();
        let read =
            timeout(READ_TIMEOUT, self.store.range(&key, Freshness::Newest, MAX_ENTRY_BYTES)).await;
        let items = read.ok()?.ok()?.items;
        let item = items.into_iter().find(|item| item.key == key)?;
        let record: Record = serde_json::from_slice(&item.value).ok()?;
        Some(record.versions_in(item.revision.era))
    }
}

async fn read_for_all(hub: Rc<Hub>, service: Name) {
    while let Some(waiting) = hub.version_checks.take(&service) {
        let versions = hub.read_stored_versions(&service).await;
        for sender in waiting {
            // Whoever waits no longer has refused its request.
            let _ = sender.send(versions.clone());
        }
    }
}
