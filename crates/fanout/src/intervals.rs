//! Intervals of a host's messages, and how long it tolerates the silence of its source.

use crate::{
    SourceSelector,
    source_state::SourceState,
    spacing::{MAX_INTERVAL_MS, silence_ms, status_interval_ms},
};
use vanetally_types::{Name, Tick};

/// Minimum time without a status after which a source is suspected.
pub(crate) const MIN_SILENCE_MS: u64 = silence_ms(MAX_INTERVAL_MS);

impl SourceSelector {
    /// Returns the milliseconds between two load messages of this host, whose share of a processor is `capacity`
    /// percent: between two status messages to its subscribers, or between two reports to its source.
    pub fn interval_ms(&self, capacity: u32) -> u64 {
        match &self.state {
            SourceState::Host(current) if self.subscribers.is_empty() => {
                self.source_interval_ms(&current.host)
            }
            _ => {
                let expected_ms = status_interval_ms(self.expected_receivers(&self.me), capacity);
                let ms = status_interval_ms(self.subscribers.len(), capacity);
                ms.min(expected_ms.max(MAX_INTERVAL_MS))
            }
        }
    }

    /// Returns the expected interval between two status messages of another host.
    fn source_interval_ms(&self, host: &Name) -> u64 {
        let known = self.candidates.iter().find(|candidate| candidate.host == *host);
        let capacity = known.map_or(0, |candidate| candidate.capacity);
        status_interval_ms(self.expected_receivers(host), capacity)
    }

    fn expected_receivers(&self, host: &Name) -> usize {
        self.tree.as_ref().map_or(0, |tree| tree.receivers(host))
    }

    /// Whether the source, which last sent its status at `last_status`, is silent.
    pub(crate) fn is_silent(&self, now: Tick, host: &Name, last_status: Tick) -> bool {
        let ms = now.since(last_status);
        ms > MIN_SILENCE_MS && ms > silence_ms(self.source_interval_ms(host))
    }
}
