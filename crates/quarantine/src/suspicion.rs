//! The announcement that a content is suspected.

use crate::ContentHash;
use serde::{Deserialize, Serialize};

/// Upstreams crashed under a content that no upstream is known to have answered since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The content.
    #[serde(rename = "c")]
    pub content: ContentHash,
    /// Random id of the announcement: hosts pass on each once, in whatever order it and a release arrive.
    #[serde(rename = "i")]
    pub id: u64,
    /// Milliseconds since the first of these upstreams crashed.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether many upstreams crashed, or one under a request that was sent after an earlier crash was known, so that also
    /// hosts that answered the content before send one such request at a time.
    #[serde(rename = "s")]
    pub is_strong: bool,
}
