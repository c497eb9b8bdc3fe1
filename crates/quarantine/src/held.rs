//! The contents that one host keeps back.

use crate::{Content, Sentence};
use std::collections::{HashMap, VecDeque};
use vanetally_types::Tick;

/// Contents that must not be sent, and until when; those that were answered lately.
#[derive(Clone, Debug, Default)]
pub struct Held {
    until: HashMap<Content, (Tick, u32)>,
    /// The last contents that were answered whole, oldest first.
    answered: VecDeque<Content>,
}

/// Contents that are kept back at once; beyond that those whose time is over soonest go.
const MOST_HELD: usize = 4_096;
/// Contents that are remembered as answered: those that come again and again are among them.
const MOST_ANSWERED: usize = 256;
/// Upstreams that have to end under a content that was answered here before it is kept back all the same.
const ENOUGH_DESPITE: u32 = 4;

impl Held {
    /// Takes in a sentence; tells whether it is news.
    ///
    /// One for no time frees the content. What was answered here lately was a bystander, unless upstreams go on ending under it.
    pub fn hold(&mut self, now: Tick, sentence: Sentence) -> bool {
        if sentence.for_ms == 0 {
            return self.until.remove(&sentence.content).is_some();
        }
        let known = self.until.get(&sentence.content);
        let is_known = known.is_some_and(|(_, ended)| *ended >= sentence.ended);
        let is_bystander = sentence.ended < ENOUGH_DESPITE && self.was_answered(sentence.content);
        if is_known || is_bystander {
            return false;
        }
        if self.until.len() >= MOST_HELD {
            self.make_room(now);
        }
        self.until.insert(sentence.content, (now + sentence.for_ms, sentence.ended));
        true
    }

    /// A request of this content was answered whole.
    pub fn answered(&mut self, content: Content) {
        if self.was_answered(content) {
            return;
        }
        self.answered.push_back(content);
        if self.answered.len() > MOST_ANSWERED {
            self.answered.pop_front();
        }
    }

    /// Whether a request of this content was answered whole lately.
    pub fn was_answered(&self, content: Content) -> bool {
        self.answered.contains(&content)
    }

    /// Milliseconds for which the content must not be sent.
    pub fn rest_ms(&self, now: Tick, content: Content) -> Option<u64> {
        let (until, _) = self.until.get(&content)?;
        let rest = until.since(now);
        (rest > 0).then_some(rest)
    }

    /// All that is kept back, for a host that starts.
    pub fn sentences(&self, now: Tick) -> Vec<Sentence> {
        let all = self.until.iter().map(|(content, (until, ended))| Sentence {
            content: *content,
            for_ms: until.since(now),
            ended: *ended,
        });
        all.filter(|sentence| sentence.for_ms > 0).collect()
    }

    fn make_room(&mut self, now: Tick) {
        self.until.retain(|_, (until, _)| *until > now);
        let soonest = self.until.iter().min_by_key(|(_, (until, _))| *until);
        if let Some(content) = soonest.map(|(content, _)| *content)
            && self.until.len() >= MOST_HELD
        {
            self.until.remove(&content);
        }
    }
}
