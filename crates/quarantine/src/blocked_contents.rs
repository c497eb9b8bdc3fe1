//! The contents that one host keeps back.

use crate::{ContentHash, Quarantine};
use std::collections::{HashMap, VecDeque};
use vanetally_types::Tick;

/// Contents that must not be sent, and until when; those that were answered lately.
#[derive(Clone, Debug, Default)]
pub struct BlockedContents {
    until: HashMap<ContentHash, (Tick, u32)>,
    /// Contents that are not sent while it is looked at what an attempt of them left behind, and until when.
    doubted: HashMap<ContentHash, Tick>,
    /// The last contents that were answered whole and when, oldest first.
    answered: VecDeque<(ContentHash, Tick)>,
}

/// Contents that are kept back at once; beyond that those whose time is over soonest go.
const MOST_HELD: usize = 4_096;
/// Contents that are doubted at once; beyond that none are added.
const MOST_DOUBTED: usize = 1_024;
/// Contents that are remembered as answered: those that come again and again are among them.
const MOST_ANSWERED: usize = 256;
/// Upstreams that have to end under a content that was answered here before it is kept back all the same.
const ENOUGH_DESPITE: u32 = 4;
/// One that was answered here within this time is no suspect, in milliseconds.
const INNOCENT_MS: u64 = 3_000;
/// A quarantine that ends so much later than the one that is known is another one, in milliseconds: the same one
/// comes by several ways.
const NEWS_MS: u64 = 5_000;

impl BlockedContents {
    /// Takes in a quarantine; tells whether it is in force here.
    ///
    /// One for no time releases the content. What was answered here is a bystander, see [`BlockedContents::is_cleared_by_answer`].
    pub fn apply(&mut self, now: Tick, quarantine: Quarantine) -> bool {
        let Quarantine { content, for_ms, ended, .. } = quarantine;
        if quarantine.is_release() {
            self.doubted.remove(&content);
            return self.until.remove(&content).is_some();
        }
        let known = self.until.get(&content);
        let is_known = known.is_some_and(|(_, known)| *known >= ended);
        if is_known || self.is_cleared_by_answer(now, &quarantine) {
            return false;
        }
        if self.until.len() >= MOST_HELD {
            self.make_room(now);
        }
        self.until.insert(content, (now + for_ms, ended));
        true
    }

    /// Whether a quarantine says more than what is known.
    pub fn is_update(&self, now: Tick, quarantine: &Quarantine) -> bool {
        let known = self.remaining_ms(now, quarantine.content);
        if quarantine.is_release() {
            return known.is_some();
        }
        known.is_none_or(|rest_ms| rest_ms + NEWS_MS < quarantine.for_ms)
    }

    /// Whether what was answered here speaks for the content: it was answered after the first upstream had ended under
    /// it, or, where that is not told, at all, and few have ended.
    pub fn is_cleared_by_answer(&self, now: Tick, quarantine: &Quarantine) -> bool {
        let Some(answered) = self.last_answer(quarantine.content) else {
            return false;
        };
        match quarantine.age_ms {
            Some(age_ms) => now.since(answered) < age_ms,
            None => quarantine.ended < ENOUGH_DESPITE,
        }
    }

    /// A request of this content was answered whole.
    pub fn record_answer(&mut self, now: Tick, content: ContentHash) {
        self.doubted.remove(&content);
        if let Some(known) = self.answered.iter_mut().find(|(known, _)| *known == content) {
            known.1 = now;
            return;
        }
        self.answered.push_back((content, now));
        if self.answered.len() > MOST_ANSWERED {
            self.answered.pop_front();
        }
    }

    /// Whether a request of this content was answered whole here, lately or before.
    pub fn was_answered(&self, content: ContentHash) -> bool {
        self.last_answer(content).is_some()
    }

    /// Whether it was answered just before.
    pub fn was_answered_recently(&self, now: Tick, content: ContentHash) -> bool {
        self.last_answer(content).is_some_and(|at| now.since(at) <= INNOCENT_MS)
    }

    fn last_answer(&self, content: ContentHash) -> Option<Tick> {
        let known = self.answered.iter().find(|(known, _)| *known == content);
        known.map(|(_, at)| *at)
    }

    /// The content is not sent for `for_ms`: an attempt of it broke off, and more of them would end more upstreams
    /// before the first end is known.
    pub fn suspend(&mut self, now: Tick, content: ContentHash, for_ms: u64) {
        self.doubted.retain(|_, until| *until > now);
        if self.doubted.len() < MOST_DOUBTED || self.doubted.contains_key(&content) {
            self.doubted.insert(content, now + for_ms);
        }
    }

    /// The doubt is over.
    pub fn resume(&mut self, content: ContentHash) {
        self.doubted.remove(&content);
    }

    /// Whether the content is not sent just now.
    pub fn is_suspended(&self, now: Tick, content: ContentHash) -> bool {
        self.doubted.get(&content).is_some_and(|until| *until > now)
    }

    /// Milliseconds for which the content must not be sent.
    pub fn remaining_ms(&self, now: Tick, content: ContentHash) -> Option<u64> {
        let (until, _) = self.until.get(&content)?;
        let rest = until.since(now);
        (rest > 0).then_some(rest)
    }

    /// All that is kept back, for a host that starts.
    pub fn quarantines(&self, now: Tick) -> Vec<Quarantine> {
        let all = self.until.iter().map(|(content, (until, ended))| Quarantine {
            content: *content,
            for_ms: until.since(now),
            ended: *ended,
            age_ms: None,
        });
        all.filter(|quarantine| !quarantine.is_release()).collect()
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
