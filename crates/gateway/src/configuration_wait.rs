//! Requests that arrive while the host starts wait briefly for the configuration.

use crate::{hub::Hub, telemetry};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use vanetally_ports::CallerRequest;

/// Maximum number of waiting requests.
const MAX_REQUESTS: usize = 256;
/// Maximum size of their bodies together.
const MAX_BYTES: usize = 4 << 20;
/// Interval at which a waiting request checks whether the configuration is still expected.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The requests that wait for the configuration.
#[derive(Default)]
pub(crate) struct ConfigurationWait {
    requests: Cell<usize>,
    bytes: Cell<usize>,
    /// Whether requests can be admitted.
    is_configured: watch::Sender<bool>,
}

/// Place of one waiting request, free again when dropped.
struct Place<'a> {
    wait: &'a ConfigurationWait,
    bytes: usize,
}

impl ConfigurationWait {
    fn try_enter(&self, bytes: usize) -> Option<Place<'_>> {
        let (requests, total) = (self.requests.get() + 1, self.bytes.get() + bytes);
        if requests > MAX_REQUESTS || total > MAX_BYTES {
            return None;
        }
        self.requests.set(requests);
        self.bytes.set(total);
        Some(Place { wait: self, bytes })
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.wait.requests.set(self.wait.requests.get() - 1);
        self.wait.bytes.set(self.wait.bytes.get() - self.bytes);
    }
}

impl Hub {
    /// Wakes the waiting requests once requests can be admitted.
    pub(crate) fn update_configured(&self) {
        let is_configured = self.dispatch.borrow().is_configured(self.clock.now());
        self.configuration_wait
            .is_configured
            .send_if_modified(|known| std::mem::replace(known, is_configured) != is_configured);
    }

    /// Waits until this host has a configuration, if it expects one soon. The time is taken from that of the request.
    pub(crate) async fn await_configuration(
        self: &Rc<Self>,
        head: &mut CallerRequest,
        bytes: usize,
    ) {
        let arrived = self.clock.now();
        let wait_ms = self.dispatch.borrow().configuration_wait_ms(arrived, head.wait_ms);
        let Some(wait_ms) = wait_ms else {
            return;
        };
        let Some(_place) = self.configuration_wait.try_enter(bytes) else {
            return telemetry::configuration_waited("full");
        };
        let mut configured = self.configuration_wait.is_configured.subscribe();
        let wait = tokio::select! {
            // The sender lives as long as the hub.
            _ = configured.wait_for(|is_configured| *is_configured) => "configured",
            outcome = self.end_of_wait(wait_ms) => outcome,
        };
        let waited_ms = self.clock.now().since(arrived);
        head.wait_ms = head.wait_ms.map(|ms| ms.saturating_sub(waited_ms));
        telemetry::configuration_waited(wait);
        log::info!(
            "event=configuration_awaited request={} waited_ms={waited_ms} outcome={wait}",
            head.id
        );
    }

    /// Waits until the time is over or the configuration is no longer expected; returns which.
    async fn end_of_wait(&self, wait_ms: u64) -> &'static str {
        let unexpected = async {
            while self.dispatch.borrow().configuration_wait_ms(self.clock.now(), None).is_some() {
                sleep(CHECK_INTERVAL).await;
            }
        };
        match timeout(Duration::from_millis(wait_ms), unexpected).await {
            Ok(()) => "unexpected",
            Err(_) => "expired",
        }
    }
}
