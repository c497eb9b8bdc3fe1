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
    /// Milliseconds since the last of them crashed; not stated by values that earlier builds stored.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Number of quarantines of the content so far, this one included.
    #[serde(default)]
    pub times: u32,
    /// Milliseconds after its end in which the content is sent by one request at a time, over all hosts.
    #[serde(default)]
    pub trial_ms: u64,
    /// Random id of the announcement, see [`crate::Suspicion::id`]; 0 if there is none.
    #[serde(default)]
    pub id: u64,
}

impl Quarantine {
    /// Creates the first quarantine of a content under which `ended` upstreams crashed, it is not known when.
    pub const fn new(content: ContentHash, for_ms: u64, ended: u32) -> Self {
        let trial_ms = for_ms.saturating_mul(TRIAL_FACTOR);
        Self { content, for_ms, ended, age_ms: None, times: 1, trial_ms, id: 0 }
    }

    /// Creates the release of a content, which may then be sent again.
    pub fn release(content: ContentHash) -> Self {
        Self { times: 0, ..Self::new(content, 0, 0) }
    }

    /// Whether this releases the content.
    pub fn is_release(&self) -> bool {
        self.for_ms == 0
    }
}

/// Time for trials after a quarantine, as a multiple of its duration.
const TRIAL_FACTOR: u64 = 10;
