//! Which host may send a request with a suspected content.

use crate::ContentHash;
use std::collections::HashMap;
use vanetally_types::{Name, Tick};

/// The open tries, one for each content.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tries(HashMap<ContentHash, Try>);

#[derive(Clone, Debug)]
struct Try {
    host: Name,
    since: Tick,
    until: Tick,
    is_alone: bool,
}

/// Time after which a try is over whose host does not tell how it ended.
const MAX_TRY_MS: u64 = 5_000;
/// Maximum number of open tries.
const MAX_TRIES: usize = 4_096;

impl Tries {
    /// Grants `host` a try of the content, unless one is open. `is_alone` tells whether the request has no other suspected
    /// content.
    pub(crate) fn grant(
        &mut self,
        now: Tick,
        content: ContentHash,
        host: &Name,
        is_alone: bool,
    ) -> bool {
        if self.is_open(now, content) {
            return false;
        }
        if self.0.len() >= MAX_TRIES {
            self.0.retain(|_, open| open.until > now);
        }
        if self.0.len() >= MAX_TRIES {
            return false;
        }
        let until = now + MAX_TRY_MS;
        self.0.insert(content, Try { host: host.clone(), since: now, until, is_alone });
        true
    }

    /// Ends the try of a host.
    pub(crate) fn end(&mut self, content: ContentHash, host: &Name) {
        if self.0.get(&content).is_some_and(|open| open.host == *host) {
            self.0.remove(&content);
        }
    }

    /// Whether a try of the content is open.
    pub(crate) fn is_open(&self, now: Tick, content: ContentHash) -> bool {
        self.0.get(&content).is_some_and(|open| open.until > now)
    }

    /// Ends the try of any host, whatever becomes of it.
    pub(crate) fn drop(&mut self, content: ContentHash) {
        self.0.remove(&content);
    }

    /// Ends the try under which an upstream crashed, if the request there was sent at `sent`, after the try was granted. Returns
    /// whether it had no other suspected content.
    pub(crate) fn settle(&mut self, content: ContentHash, sent: Tick) -> Option<bool> {
        self.0.get(&content).filter(|open| open.since <= sent)?;
        self.0.remove(&content).map(|open| open.is_alone)
    }
}
