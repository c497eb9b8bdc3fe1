//! Runners and plain services that requests are sent to.

use crate::FormatError;
use std::net::SocketAddr;
use vanetally_types::Name;

/// A model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// The model's name.
    pub name: Name,
    /// Its adapters that are there.
    pub adapters: Vec<Name>,
}

/// What an upstream announces of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Milliseconds until it is gone, if it says so.
    pub remaining_ms: Option<u64>,
    /// Orders taken.
    pub orders_taken: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Models of which it has a copy in its own memory or on its disk.
    pub at_hand: Vec<Name>,
}

/// The form in which upstreams announce themselves in the store.
pub trait UpstreamFormat {
    /// The beginning of their keys; the rest is the incarnation's name.
    fn prefix(&self) -> &str;

    /// Reads an announcement.
    ///
    /// # Errors
    /// If the bytes are none.
    fn read(&self, bytes: &[u8]) -> Result<UpstreamState, FormatError>;
}
