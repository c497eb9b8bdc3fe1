//! Which contents were answered recently.

use crate::ContentHash;
use lru::LruCache;
use std::num::NonZeroUsize;
use vanetally_types::Tick;

/// When the last answers on contents began that upstreams survived.
///
/// Contents that were answered more than once are kept apart, so that callers who send ever new ones do not displace them.
#[derive(Clone, Debug)]
pub(crate) struct Answers {
    once: LruCache<ContentHash, Tick>,
    repeated: LruCache<ContentHash, Tick>,
}

/// Maximum number of contents that were answered once.
const MAX_ONCE: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// Maximum number of contents that were answered more than once.
const MAX_REPEATED: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

impl Default for Answers {
    fn default() -> Self {
        // Most hosts serve few contents, so the tables grow as needed.
        let mut answers = Self { once: LruCache::unbounded(), repeated: LruCache::unbounded() };
        answers.once.resize(MAX_ONCE);
        answers.repeated.resize(MAX_REPEATED);
        answers
    }
}

impl Answers {
    /// Records an answer that began at `began`.
    pub(crate) fn record(&mut self, content: ContentHash, began: Tick) {
        if let Some(known) = self.repeated.get_mut(&content) {
            *known = began.max(*known);
        } else if let Some(known) = self.once.pop(&content) {
            self.repeated.put(content, began.max(known));
        } else {
            self.once.put(content, began);
        }
    }

    /// Returns when the last answer began that is still recorded.
    pub(crate) fn last(&self, content: ContentHash) -> Option<Tick> {
        self.repeated.peek(&content).or_else(|| self.once.peek(&content)).copied()
    }
}
