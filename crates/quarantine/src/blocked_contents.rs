//! The contents that one host does not send.

use crate::{ContentHash, Quarantine};
use std::collections::{HashMap, VecDeque};
use vanetally_types::Tick;

/// Quarantined and suspended contents, and those that were answered recently.
#[derive(Clone, Debug, Default)]
pub struct BlockedContents {
    /// Quarantined contents: until when, and the number of upstreams that crashed under them.
    quarantined: HashMap<ContentHash, (Tick, u32)>,
    /// Contents that are not sent while the upstream of a broken attempt is probed, and until when.
    suspended: HashMap<ContentHash, Tick>,
    /// Contents under which an upstream crashed, which are sent by one request at a time.
    on_probation: HashMap<ContentHash, Probation>,
    /// The contents that were last answered completely and when, oldest first.
    answered: VecDeque<(ContentHash, Tick)>,
}

/// A content that is sent by one request at a time.
#[derive(Clone, Copy, Debug)]
struct Probation {
    until: Tick,
    /// The request that was tried last.
    request: Option<u64>,
}

/// Maximum number of quarantined contents; beyond that, the quarantine that ends first is dropped.
const MAX_QUARANTINED: usize = 4_096;
/// Maximum number of suspended contents; beyond that, none is added.
const MAX_SUSPENDED: usize = 1_024;
/// Time after a crash during which its content is sent by one request at a time.
const PROBATION_MS: u64 = 3_000;
/// Maximum number of answered contents kept; contents that are sent often are among them.
const MAX_ANSWERED: usize = 256;
/// Number of crashed upstreams from which a content is quarantined even though it was answered here.
const CRASHES_DESPITE_ANSWER: u32 = 4;
/// Time after an answer during which a content is not suspected of crashing upstreams.
const RECENT_ANSWER_MS: u64 = 3_000;
/// A quarantine that ends later than the known one by more than this is an update. A smaller difference may be due to
/// the path, since the same quarantine arrives over several.
const UPDATE_TOLERANCE_MS: u64 = 5_000;

impl BlockedContents {
    /// Applies a quarantine or a release; returns whether it took effect.
    ///
    /// A content that was answered here is not quarantined, see [`BlockedContents::is_cleared_by_answer`].
    pub fn apply(&mut self, now: Tick, quarantine: Quarantine) -> bool {
        let Quarantine { content, for_ms, ended, .. } = quarantine;
        if quarantine.is_release() {
            self.suspended.remove(&content);
            return self.quarantined.remove(&content).is_some();
        }
        if !self.is_update(now, &quarantine) || self.is_cleared_by_answer(now, &quarantine) {
            return false;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            self.make_room(now);
        }
        let known = self.quarantined.get(&content).filter(|(until, _)| *until > now);
        let (until, crashes) = known.copied().unwrap_or_default();
        self.quarantined.insert(content, (until.max(now + for_ms), crashes.max(ended)));
        true
    }

    /// Whether a quarantine or a release changes the known state. Hosts pass on what does, so it must not
    /// once [`BlockedContents::apply`] has taken effect.
    pub fn is_update(&self, now: Tick, quarantine: &Quarantine) -> bool {
        let Some(remaining_ms) = self.remaining_ms(now, quarantine.content) else {
            return !quarantine.is_release();
        };
        let known = self.quarantined.get(&quarantine.content);
        let is_longer = remaining_ms + UPDATE_TOLERANCE_MS < quarantine.for_ms;
        quarantine.is_release()
            || is_longer
            || known.is_some_and(|(_, ended)| *ended < quarantine.ended)
    }

    /// Whether an answer received here shows that the content does not crash upstreams.
    ///
    /// The answer must be later than the first crash under the content. If the time of the first crash is not known,
    /// any answer counts while few upstreams have crashed.
    pub fn is_cleared_by_answer(&self, now: Tick, quarantine: &Quarantine) -> bool {
        let Some(answered) = self.last_answer(quarantine.content) else {
            return false;
        };
        match quarantine.age_ms {
            Some(age_ms) => now.since(answered) < age_ms,
            None => quarantine.ended < CRASHES_DESPITE_ANSWER,
        }
    }

    /// Records that a request with this content was answered completely.
    pub fn record_answer(&mut self, now: Tick, content: ContentHash) {
        self.suspended.remove(&content);
        self.on_probation.remove(&content);
        if let Some(known) = self.answered.iter_mut().find(|(known, _)| *known == content) {
            known.1 = now;
            return;
        }
        self.answered.push_back((content, now));
        if self.answered.len() > MAX_ANSWERED {
            self.answered.pop_front();
        }
    }

    /// Whether a request with this content was answered completely here, at any time that is still recorded.
    pub fn was_answered(&self, content: ContentHash) -> bool {
        self.last_answer(content).is_some()
    }

    /// Whether a request with this content was answered completely here just before.
    pub fn was_answered_recently(&self, now: Tick, content: ContentHash) -> bool {
        self.last_answer(content).is_some_and(|at| now.since(at) <= RECENT_ANSWER_MS)
    }

    fn last_answer(&self, content: ContentHash) -> Option<Tick> {
        let known = self.answered.iter().find(|(known, _)| *known == content);
        known.map(|(_, at)| *at)
    }

    /// Stops sending the content for `for_ms`. An attempt with it broke off, and further ones could crash more
    /// upstreams before the first crash is detected.
    pub fn suspend(&mut self, now: Tick, content: ContentHash, for_ms: u64) {
        self.suspended.retain(|_, until| *until > now);
        if self.suspended.len() < MAX_SUSPENDED || self.suspended.contains_key(&content) {
            self.suspended.insert(content, now + for_ms);
        }
    }

    /// Ends the suspension of the content.
    pub fn resume(&mut self, content: ContentHash) {
        self.suspended.remove(&content);
    }

    /// Whether sending the content is suspended.
    pub fn is_suspended(&self, now: Tick, content: ContentHash) -> bool {
        self.suspended.get(&content).is_some_and(|until| *until > now)
    }

    /// Has the content sent by one request at a time for a while: an upstream crashed under it, and the requests that
    /// were suspended meanwhile would crash as many more at once.
    pub fn start_probation(&mut self, now: Tick, content: ContentHash) {
        self.on_probation.retain(|_, probation| probation.until > now);
        if self.on_probation.len() < MAX_SUSPENDED || self.on_probation.contains_key(&content) {
            self.on_probation
                .insert(content, Probation { until: now + PROBATION_MS, request: None });
        }
    }

    /// Records that `request` with the content is sent, if it can be.
    pub fn record_try(&mut self, content: ContentHash, request: u64) {
        if let Some(probation) = self.on_probation.get_mut(&content) {
            probation.request = Some(request);
        }
    }

    /// Returns the request with a content on probation that was tried last.
    pub fn tried_by(&self, now: Tick, content: ContentHash) -> Option<u64> {
        self.on_probation.get(&content).filter(|probation| probation.until > now)?.request
    }

    /// Returns the milliseconds for which the content is still quarantined, if it is.
    pub fn remaining_ms(&self, now: Tick, content: ContentHash) -> Option<u64> {
        let (until, _) = self.quarantined.get(&content)?;
        let remaining_ms = until.since(now);
        (remaining_ms > 0).then_some(remaining_ms)
    }

    /// Returns all current quarantines, to be sent to a host that starts.
    pub fn quarantines(&self, now: Tick) -> Vec<Quarantine> {
        let all = self.quarantined.iter().map(|(content, (until, ended))| Quarantine {
            content: *content,
            for_ms: until.since(now),
            ended: *ended,
            age_ms: None,
        });
        all.filter(|quarantine| !quarantine.is_release()).collect()
    }

    fn make_room(&mut self, now: Tick) {
        self.quarantined.retain(|_, (until, _)| *until > now);
        let first_to_end = self.quarantined.iter().min_by_key(|(_, (until, _))| *until);
        if let Some(content) = first_to_end.map(|(content, _)| *content)
            && self.quarantined.len() >= MAX_QUARANTINED
        {
            self.quarantined.remove(&content);
        }
    }
}
