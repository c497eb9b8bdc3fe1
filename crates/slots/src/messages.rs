//! What hosts and owners tell each other.

use serde::{Deserialize, Serialize};
use vanetally_types::{Incarnation, Rank};

/// A request for a slot of a plain upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The upstream's incarnation.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// Slots that the upstream announces.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Urgency.
    #[serde(rename = "r")]
    pub rank: Rank,
    /// Milliseconds that the request may wait for the slot; 0 if it goes elsewhere instead.
    #[serde(rename = "w", default)]
    pub wait_ms: u32,
    /// Whether its answer will be later than its target latency.
    #[serde(rename = "l", default)]
    pub is_late: bool,
    /// Milliseconds after which the request has ended at the latest.
    #[serde(rename = "h")]
    pub hold_ms: u32,
    /// Rejections in a second that the upstream survives, if it is brittle.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub brittle: Option<u32>,
}

/// An owner's answer to a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The request may be sent now.
    Granted,
    /// The request waits; another answer follows.
    Queued {
        /// Milliseconds until the slot is expected.
        expected_ms: u32,
    },
    /// No slot is available within the time that the request may wait.
    Busy {
        /// Milliseconds until a request like this one would get a slot.
        retry_ms: u32,
    },
}

impl SlotAnswer {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Queued { .. } => "queued",
            Self::Busy { .. } => "busy",
        }
    }
}

/// How the use of a slot ended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum SlotEnd {
    /// The upstream had the request.
    #[default]
    Used,
    /// The upstream rejected the request as full.
    Full,
    /// The request was not sent, or no longer waits for the slot.
    Unused,
    /// The path to the upstream was lost, so the request may still run there. Owners are not told; the
    /// next reminder ends the grant.
    Lost,
}

impl SlotEnd {
    /// Whether this is the usual end, which messages omit.
    pub fn is_used(&self) -> bool {
        *self == Self::Used
    }
}
