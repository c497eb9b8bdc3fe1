//! Requests that arrive at a host before it has its configuration.

use crate::{Dispatch, ending::is_configuration_expected};
use vanetally_types::Tick;

/// Maximum wait of a request for the configuration.
const MAX_CONFIGURATION_WAIT_MS: u64 = 300;
/// The wait is at most the deadline divided by this, so that enough time is left to serve the request.
const DEADLINE_DIVISOR: u64 = 4;

impl Dispatch {
    /// Whether requests can be admitted: there is a configuration, and its keys may be used.
    pub fn is_configured(&self, now: Tick) -> bool {
        self.configuration.is_some() && self.serves_keys(now)
    }

    /// Returns for how many milliseconds a request with this deadline waits for the configuration; `None` if the host has
    /// one, or does not expect one soon.
    pub fn configuration_wait_ms(&self, now: Tick, deadline_ms: Option<u64>) -> Option<u64> {
        let is_expected = || is_configuration_expected(now.since(self.started_at), self.has_store);
        if self.is_configured(now) || !is_expected() {
            return None;
        }
        let max_ms = deadline_ms.map_or(MAX_CONFIGURATION_WAIT_MS, |ms| ms / DEADLINE_DIVISOR);
        Some(max_ms.min(MAX_CONFIGURATION_WAIT_MS))
    }
}
