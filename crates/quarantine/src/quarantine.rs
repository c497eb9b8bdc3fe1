//! The announcement that a content is quarantined or released.

use crate::ContentHash;
use serde::{Deserialize, Serialize};

/// A quarantine of a content for some time, or its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// The content.
    pub content: ContentHash,
    /// Remaining duration; zero releases the content.
    pub for_ms: u64,
    /// Number of upstreams that crashed under it.
    pub ended: u32,
    /// Milliseconds since the first of them crashed; not stated by earlier builds and by the store.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

impl Quarantine {
    /// Creates the release of a content, which may then be sent again.
    pub fn release(content: ContentHash) -> Self {
        Self { content, for_ms: 0, ended: 0, age_ms: None }
    }

    /// Whether this releases the content.
    pub fn is_release(&self) -> bool {
        self.for_ms == 0
    }
}
