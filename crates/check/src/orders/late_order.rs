//! Orders that have not arrived.

use super::STEP_MS;
use vanetally_ports::FencingToken;
use vanetally_types::Tick;

/// Less than this is a packet in the network after its sender has stopped to send it.
pub(super) const TRANSIT_MS: u64 = STEP_MS;

/// An order that has not arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct LateOrder {
    pub host: usize,
    pub incarnation: u8,
    pub token: FencingToken,
    /// When its sender gives it up.
    pub until: Option<Tick>,
    /// When it was revoked or given up: from then on it is in the network only.
    pub ended_at: Option<Tick>,
}

impl LateOrder {
    /// Whether it may arrive at `now` or later.
    pub fn may_arrive(&self, now: Tick) -> bool {
        self.ended_at.is_none_or(|ended_at| now.since(ended_at) < TRANSIT_MS)
    }
}
