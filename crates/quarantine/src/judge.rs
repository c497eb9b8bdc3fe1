//! The evidence against contents, at the host that judges them.

use crate::Content;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick};

/// A content that must not be sent for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sentence {
    /// The content.
    pub content: Content,
    /// For so long, in milliseconds.
    pub for_ms: u64,
    /// Upstreams that ended under it.
    pub ended: u32,
}

/// What speaks against one content.
#[derive(Clone, Debug)]
struct Evidence {
    ended: Vec<Incarnation>,
    /// The last end.
    at: Tick,
}

impl Evidence {
    fn is_forgotten(&self, now: Tick) -> bool {
        let limit = if self.ended.len() < ENOUGH { MEMORY_MS } else { SENTENCED_MS };
        now.since(self.at) >= limit
    }
}

/// Evidence of one host.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    evidence: HashMap<Content, Evidence>,
}

/// Upstreams that end under a content before it is kept back. One is a crash with bystanders; that the same
/// content is under way at a second one that ends, and has been answered by none, is hardly ever chance.
const ENOUGH: usize = 2;
/// The first sentence, in milliseconds: longer than callers come back for an answer. Later ones double.
const SENTENCE_MS: u64 = 60_000;
/// Most doublings: an hour.
const MOST_DOUBLINGS: u32 = 6;
/// Evidence against a content without a sentence is forgotten after this long, in milliseconds: two crashes that are
/// further apart have nothing to do with each other.
const MEMORY_MS: u64 = 600_000;
/// The same for one that was sentenced: twice the longest sentence.
const SENTENCED_MS: u64 = 2 * (SENTENCE_MS << MOST_DOUBLINGS);
/// Contents that are remembered; callers may send any number of them.
const MOST_CONTENTS: usize = 8_192;
/// Upstreams that are remembered for each.
const MOST_ENDED: usize = 32;

impl Judge {
    /// `upstream` ended under a request of this content; gives back a sentence if there is enough evidence.
    pub fn ended(
        &mut self,
        now: Tick,
        content: Content,
        upstream: Incarnation,
    ) -> Option<Sentence> {
        self.make_room(now, content);
        if self.evidence.get(&content).is_some_and(|known| known.is_forgotten(now)) {
            self.evidence.remove(&content);
        }
        let evidence =
            self.evidence.entry(content).or_insert_with(|| Evidence { ended: vec![], at: now });
        evidence.at = now;
        if evidence.ended.contains(&upstream) || evidence.ended.len() >= MOST_ENDED {
            return None;
        }
        evidence.ended.push(upstream);
        let beyond = evidence.ended.len().checked_sub(ENOUGH)?;
        let doublings = (beyond as u32).min(MOST_DOUBLINGS);
        Some(Sentence {
            content,
            for_ms: SENTENCE_MS << doublings,
            ended: evidence.ended.len() as u32,
        })
    }

    /// A request of this content was answered whole: it ends no upstream. Gives back what frees it, if it was
    /// sentenced.
    pub fn acquit(&mut self, content: Content) -> Option<Sentence> {
        let evidence = self.evidence.remove(&content)?;
        let ended = evidence.ended.len();
        (ended >= ENOUGH).then_some(Sentence { content, for_ms: 0, ended: ended as u32 })
    }

    /// Contents with evidence against them.
    pub fn len(&self) -> usize {
        self.evidence.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    fn make_room(&mut self, now: Tick, content: Content) {
        if self.evidence.len() < MOST_CONTENTS || self.evidence.contains_key(&content) {
            return;
        }
        self.evidence.retain(|_, evidence| !evidence.is_forgotten(now));
        // Single ends are what bystanders leave behind: they go first.
        let weight = |evidence: &Evidence| (evidence.ended.len(), evidence.at);
        let least = self.evidence.iter().min_by_key(|(_, evidence)| weight(evidence));
        if let Some(least) = least.map(|(content, _)| *content)
            && self.evidence.len() >= MOST_CONTENTS
        {
            self.evidence.remove(&least);
        }
    }
}
