//! What all hosts hear of a content.

use crate::ContentHash;
use serde::{Deserialize, Serialize};

/// A content that must not be sent for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// The content.
    pub content: ContentHash,
    /// For so long, in milliseconds; zero releases it.
    pub for_ms: u64,
    /// Upstreams that ended under it.
    pub ended: u32,
    /// Milliseconds since the first of them ended; hosts of earlier builds and the store say nothing of it.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

impl Quarantine {
    /// The content may be sent again.
    pub fn release(content: ContentHash) -> Self {
        Self { content, for_ms: 0, ended: 0, age_ms: None }
    }

    /// Whether the content may be sent again.
    pub fn is_release(&self) -> bool {
        self.for_ms == 0
    }
}
