//! Announcements of upstreams: runners and plain services.

use std::net::SocketAddr;
use vanetally_types::{Incarnation, Name};

/// A model loaded on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub name: Name,
    /// Loaded adapters of the model.
    pub adapters: Vec<Name>,
}

/// Software of which the upstreams of a service are instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Software {
    /// The service.
    pub service: Name,
    /// Version of the software. Versions have no order.
    pub version: Name,
}

impl std::fmt::Display for Software {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.service, self.version)
    }
}

/// State that an upstream announces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// Service that the upstream belongs to.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Version of its software.
    pub software_version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the upstream is leaving.
    pub draining: bool,
    /// Milliseconds until the upstream terminates, if announced.
    pub remaining_ms: Option<u64>,
    /// Milliseconds for which the upstream stays cold.
    pub cold_ms: u64,
    /// Number of orders taken.
    pub orders_taken: u64,
    /// Loaded models.
    pub models: Vec<HeldModel>,
    /// Models with a local copy in the upstream's memory or on its disk.
    pub at_hand: Vec<Name>,
}

/// Announcement of an upstream in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Incarnation that announces itself.
    pub incarnation: Incarnation,
    /// Announced state.
    pub state: UpstreamState,
}

/// Why an announcement is invalid; its upstream is not used.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum AnnouncementError {
    /// The id can't be one of an upstream.
    #[error("no id of an upstream")]
    Id,
    /// The value is not of the expected format.
    #[error("malformed: {0}")]
    Malformed(String),
    /// A field is missing, has the wrong type or is out of range.
    #[error("invalid field: {0}")]
    Field(String),
    /// The state is unknown.
    #[error("unknown state {0:?}")]
    State(String),
    /// The start time is missing, though an earlier announcement of the same id had one.
    #[error("start time missing, although it was announced before")]
    StartMissing,
}

impl AnnouncementError {
    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Id => "id",
            Self::Malformed(_) => "malformed",
            Self::Field(_) => "field",
            Self::State(_) => "state",
            Self::StartMissing => "unborn",
        }
    }
}

/// Format of the announcements of upstreams in the store.
pub trait UpstreamFormat {
    /// Returns the prefix of the keys; the rest of a key is the upstream's id.
    fn prefix(&self) -> &str;

    /// Parses the announcement of the upstream `id`.
    ///
    /// # Errors
    /// If `bytes` is not a valid and complete announcement.
    fn read(&self, id: Name, bytes: &[u8]) -> Result<Announcement, AnnouncementError>;
}
