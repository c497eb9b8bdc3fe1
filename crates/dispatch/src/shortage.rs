//! Why a request can't go anywhere now, and what is told of one that is refused.

use crate::request::Request;
use vanetally_ports::ModelRef;
use vanetally_types::Name;

/// What a request lacks, the nearest to being sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShortageKind {
    /// No upstream of the service takes new requests.
    Upstream,
    /// No upstream holds the model.
    Model,
    /// The model is held, the adapter is not.
    Adapter,
    /// It was sent to as many upstreams as are allowed to it.
    Attempt,
    /// The upstream asked this host for rest.
    Cooldown,
    /// The upstream turned requests away, or could not be reached, just before.
    TurnedAway,
    /// The upstream is in need and takes no more now.
    Limit,
    /// The engine's pacer has no moment for its prompt.
    SendTime,
    /// All places of the upstream are taken.
    Slot,
    /// The engine's memory is taken.
    Memory,
    /// The engine has too much to read.
    Reading,
}

impl ShortageKind {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Attempt => "attempt",
            Self::Cooldown => "rest",
            Self::TurnedAway => "turned_away",
            Self::Limit => "limit",
            Self::SendTime => "moment",
            Self::Slot => "slot",
            Self::Memory => "memory",
            Self::Reading => "reading",
        }
    }

    /// Whether those that hold what is asked for have no room.
    pub(crate) fn is_saturation(self) -> bool {
        matches!(self, Self::Limit | Self::SendTime | Self::Slot | Self::Memory | Self::Reading)
    }

    /// Whether nobody holds what is asked for.
    pub(crate) fn is_missing(self) -> bool {
        matches!(self, Self::Upstream | Self::Model | Self::Adapter)
    }
}

/// What was lacking when a request last looked for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// What the upstream that came nearest lacked.
    pub kind: ShortageKind,
    /// Upstreams that hold what is asked for.
    pub holders: u32,
}

/// A request that is refused, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalContext {
    /// The route that took it; empty if none did.
    pub route: Name,
    /// The model or adapter that it asked for.
    pub subject: Option<ModelRef>,
    /// Sendings so far.
    pub attempts: u32,
    /// What it lacked when it last looked for an upstream, if it did in vain.
    pub shortage: Option<Shortage>,
}

impl From<&Request> for RefusalContext {
    fn from(request: &Request) -> Self {
        Self {
            route: request.route.name.clone(),
            subject: request.head.model.clone(),
            attempts: request.attempts,
            shortage: request.shortage,
        }
    }
}
