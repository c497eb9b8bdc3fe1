//! Runners and plain services that requests are sent to.

use std::net::SocketAddr;
use vanetally_types::{Incarnation, Name};

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

/// What lies in the store under the id of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The life that speaks.
    pub incarnation: Incarnation,
    /// What it says.
    pub state: UpstreamState,
}

/// Why an announcement can't be read: it names no upstream to use.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum AnnouncementError {
    /// The bytes are no text of the expected form.
    #[error("malformed: {0}")]
    Malformed(String),
    /// A field is missing, of another type or out of range.
    #[error("field: {0}")]
    Field(String),
    /// The state is none that is known.
    #[error("state {0:?}")]
    State(String),
    /// The start is not told, though it was told before under the same id.
    #[error("start not told")]
    StartMissing,
}

impl AnnouncementError {
    /// The word for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::Field(_) => "field",
            Self::State(_) => "state",
            Self::StartMissing => "unborn",
        }
    }
}

/// The form in which upstreams announce themselves in the store.
pub trait UpstreamFormat {
    /// The beginning of their keys; the rest is the upstream's id.
    fn prefix(&self) -> &str;

    /// Reads what lies under `id`.
    ///
    /// # Errors
    /// If the bytes are no announcement, or one that lacks something.
    fn read(&self, id: Name, bytes: &[u8]) -> Result<Announcement, AnnouncementError>;
}
