//! Reports of crashed upstreams, as hosts send them to each other.

use serde::{Deserialize, Serialize};
use vanetally_quarantine::{ContentHash, CrashSign};
use vanetally_types::Incarnation;

/// An upstream that showed a crash sign, and what it had under way.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CrashedUpstream {
    /// The upstream's incarnation.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// The sign.
    #[serde(rename = "s")]
    pub sign: CrashSign,
    /// The contents of these requests that the receiver keeps evidence on.
    #[serde(rename = "c")]
    pub contents: Vec<CrashedContent>,
}

/// A content that a crashed upstream had under way.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct CrashedContent {
    /// The content.
    #[serde(rename = "c")]
    pub content: ContentHash,
    /// Whether it was answered shortly before, or is repeated by hosts.
    #[serde(rename = "m")]
    pub is_common: bool,
    /// Milliseconds since the last such request was sent to the upstream.
    #[serde(rename = "s")]
    pub sent_ms: u64,
}
