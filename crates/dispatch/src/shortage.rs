//! Why a request can't be sent now, and the details of a refusal.

use crate::{forecast::Forecast, request::Request};
use vanetally_ports::ModelRef;
use vanetally_types::Name;

/// What prevents a request from being sent. Ordered: the closer the request is to being sent, the
/// greater the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShortageKind {
    /// No upstream of the service accepts new requests.
    Upstream,
    /// No upstream holds the model.
    Model,
    /// An upstream holds the model but not the adapter.
    Adapter,
    /// The request was tried at its maximum number of upstreams.
    Attempt,
    /// The upstream requested a cooldown.
    Cooldown,
    /// The upstream rejected requests or could not be reached a short time ago.
    TurnedAway,
    /// The upstream is rate-limited and takes no more requests now.
    Limit,
    /// The engine's pacer has no send time for the prompt.
    SendTime,
    /// All slots of the upstream are taken.
    Slot,
    /// The engine has not enough memory.
    Memory,
    /// The engine has too many prompt tokens to read.
    Reading,
}

impl ShortageKind {
    /// Returns the name for logs and metrics.
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

    /// Whether the holders of the model or adapter have no capacity.
    pub(crate) fn is_saturation(self) -> bool {
        matches!(self, Self::Limit | Self::SendTime | Self::Slot | Self::Memory | Self::Reading)
    }

    /// Whether no upstream holds the model or adapter.
    pub(crate) fn is_missing(self) -> bool {
        matches!(self, Self::Upstream | Self::Model | Self::Adapter)
    }
}

/// Result of an unsuccessful choice of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// What prevented sending to the upstream that came closest.
    pub kind: ShortageKind,
    /// Number of upstreams that hold the model or adapter.
    pub holders: u32,
}

/// Details of a refused request, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalContext {
    /// The matched route; empty if none matched.
    pub route: Name,
    /// The requested model or adapter.
    pub subject: Option<ModelRef>,
    /// Attempts so far.
    pub attempts: u32,
    /// Result of the last unsuccessful choice of an upstream, if any.
    pub shortage: Option<Shortage>,
    /// The forecast because of which the request was refused.
    pub forecast: Option<Forecast>,
    /// Whether the request was held back for more urgent ones of other hosts.
    pub was_held: bool,
}

impl From<&Request> for RefusalContext {
    fn from(request: &Request) -> Self {
        Self {
            route: request.route.name.clone(),
            subject: request.head.model.clone(),
            attempts: request.attempts,
            shortage: request.shortage,
            forecast: None,
            was_held: request.held_since.is_some(),
        }
    }
}
