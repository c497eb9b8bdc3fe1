//! The contents that one host does not send.

use crate::{ContentHash, Quarantine, Suspicion, answers::Answers};
use lru::LruCache;
use std::{collections::HashMap, num::NonZeroUsize};
use vanetally_types::Tick;

/// Quarantined, suspected and suspended contents, and those that were answered recently.
#[derive(Clone, Debug, Default)]
pub struct BlockedContents {
    quarantined: HashMap<ContentHash, Held>,
    /// Contents that are sent by one request at a time over all hosts.
    suspected: HashMap<ContentHash, Suspected>,
    /// Contents that are not sent while the upstream of a broken attempt is probed, and until when.
    suspended: HashMap<ContentHash, Tick>,
    /// Contents under which an upstream crashed, which this host sends by one request at a time.
    on_probation: HashMap<ContentHash, Probation>,
    answers: Answers,
    announcements: Announcements,
}

/// The announcements that took effect lately.
#[derive(Clone, Debug)]
struct Announcements(LruCache<u64, ()>);

/// Maximum number of announcements that are remembered, more than arrive while one is passed on.
const MAX_ANNOUNCEMENTS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

impl Default for Announcements {
    fn default() -> Self {
        let mut known = LruCache::unbounded();
        known.resize(MAX_ANNOUNCEMENTS);
        Self(known)
    }
}

impl Announcements {
    fn is_known(&self, id: u64) -> bool {
        id != 0 && self.0.contains(&id)
    }

    fn record(&mut self, id: u64) {
        self.0.put(id, ());
    }
}

/// A quarantine, and the trials after it.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Tick,
    /// Until when the content is sent by one request at a time over all hosts.
    trial_until: Tick,
    /// When the last upstream crashed.
    crashed: Tick,
    ended: u32,
    times: u32,
    /// The answer that was reported last to the hosts that keep the evidence.
    reported: Option<Tick>,
    /// Id of the announcement.
    id: u64,
}

/// A suspected content.
#[derive(Clone, Copy, Debug)]
struct Suspected {
    /// When the first upstream crashed.
    crashed: Tick,
    is_strong: bool,
    until: Tick,
    /// The answer that was reported last to the hosts that keep the evidence.
    reported: Option<Tick>,
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
/// Maximum number of suspected contents; beyond that, none is added.
const MAX_SUSPECTED: usize = 4_096;
/// Time after its announcement in which a content is suspected, unless it is announced again.
const SUSPECTED_MS: u64 = 10_000;
/// Maximum number of suspended contents; beyond that, none is added.
const MAX_SUSPENDED: usize = 1_024;
/// Time after a crash during which its content is sent by one request at a time.
const PROBATION_MS: u64 = 3_000;
/// Number of crashed upstreams from which a content is quarantined even though it was answered here.
const CRASHES_DESPITE_ANSWER: u32 = 4;
/// Time after an answer during which hosts go on sending a content that is suspected.
const RECENT_ANSWER_MS: u64 = 3_000;
/// Time after an answer during which a content counts as one that is answered.
const ANSWERED_MS: u64 = 60_000;
/// A quarantine that ends later than the known one by more than this is an update. A smaller difference may be due to
/// the path, since the same quarantine arrives over several.
const UPDATE_TOLERANCE_MS: u64 = 5_000;

impl BlockedContents {
    /// Applies a quarantine or a release; returns whether it took effect.
    ///
    /// A content that was answered here is not quarantined, see [`BlockedContents::clearing_answer`].
    pub fn apply(&mut self, now: Tick, quarantine: Quarantine) -> bool {
        let Quarantine { content, for_ms, ended, times, .. } = quarantine;
        if quarantine.is_release() {
            self.suspended.remove(&content);
            self.on_probation.remove(&content);
            let was_suspected = self.suspected.remove(&content).is_some();
            return self.quarantined.remove(&content).is_some() || was_suspected;
        }
        if !self.is_update(now, &quarantine) || self.clearing_answer(now, &quarantine).is_some() {
            return false;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            self.make_room(now);
        }
        self.announcements.record(quarantine.id);
        self.suspected.remove(&content);
        let crashed = now - quarantine.age_ms.unwrap_or(0);
        let until = now + for_ms;
        let trial_until = until + quarantine.trial_ms;
        let id = quarantine.id;
        let held = Held { until, trial_until, crashed, ended, times, reported: None, id };
        let known = self.quarantined.entry(content).or_insert(held);
        *known = Held {
            until: until.max(known.until),
            trial_until: trial_until.max(known.trial_until),
            crashed: crashed.max(known.crashed),
            ended: ended.max(known.ended),
            times: times.max(known.times),
            reported: known.reported,
            id,
        };
        true
    }

    /// Whether a quarantine or a release changes the known state. Hosts pass on what does, so it must not
    /// once [`BlockedContents::apply`] has taken effect.
    pub fn is_update(&self, now: Tick, quarantine: &Quarantine) -> bool {
        let content = quarantine.content;
        if quarantine.is_release() {
            return self.quarantined.contains_key(&content)
                || self.suspected.contains_key(&content);
        }
        if self.announcements.is_known(quarantine.id) {
            return false;
        }
        let Some(held) = self.quarantined.get(&content).filter(|held| held.trial_until > now)
        else {
            return true;
        };
        let is_longer = held.until.since(now) + UPDATE_TOLERANCE_MS < quarantine.for_ms;
        is_longer || held.ended < quarantine.ended
    }

    /// Returns how many milliseconds ago an answer began here that shows that the content does not crash upstreams.
    ///
    /// It must have begun after the last crash under the content. If the time of that is not known, any answer counts while
    /// few upstreams have crashed.
    pub fn clearing_answer(&self, now: Tick, quarantine: &Quarantine) -> Option<u64> {
        let began_ms = now.since(self.answers.last(quarantine.content)?);
        let is_cleared = match quarantine.age_ms {
            Some(age_ms) => began_ms < age_ms,
            None => quarantine.ended < CRASHES_DESPITE_ANSWER,
        };
        is_cleared.then_some(began_ms)
    }

    /// Applies a suspicion, if it is news.
    pub fn suspect(&mut self, now: Tick, suspicion: Suspicion) {
        if !self.is_news(now, &suspicion) {
            return;
        }
        let Suspicion { content, age_ms, is_strong, id } = suspicion;
        self.announcements.record(id);
        self.suspected.retain(|_, known| known.until > now);
        if self.suspected.len() >= MAX_SUSPECTED && !self.suspected.contains_key(&content) {
            return;
        }
        let reported = self.suspected.get(&content).and_then(|known| known.reported);
        let until = now + SUSPECTED_MS;
        let suspected = Suspected { crashed: now - age_ms, is_strong, until, reported };
        self.suspected.insert(content, suspected);
    }

    /// Whether a suspicion changes the known state. Hosts pass on what does, so it must not once
    /// [`BlockedContents::suspect`] has taken effect.
    pub fn is_news(&self, now: Tick, suspicion: &Suspicion) -> bool {
        let known = self.suspected.get(&suspicion.content).filter(|known| known.until > now);
        let has_room = known.is_some() || self.suspected.len() < MAX_SUSPECTED;
        let is_news = known.is_none_or(|known| {
            let is_stronger = suspicion.is_strong && !known.is_strong;
            is_stronger || known.until.since(now) <= SUSPECTED_MS / 2
        });
        let is_known = self.announcements.is_known(suspicion.id);
        !is_known && has_room && is_news && self.remaining_ms(now, suspicion.content).is_none()
    }

    /// Whether the content was suspected or quarantined and not released since.
    pub fn is_blocked(&self, content: ContentHash) -> bool {
        self.suspected.contains_key(&content) || self.quarantined.contains_key(&content)
    }

    /// Whether a request with the content needs a try that the hosts which keep the evidence grant: it is suspected, and
    /// was not answered here shortly before, or its quarantine has just ended.
    pub fn needs_try(&self, now: Tick, content: ContentHash) -> bool {
        if let Some(held) = self.quarantined.get(&content) {
            return held.trial_until > now;
        }
        let suspected = self.suspected.get(&content).filter(|known| known.until > now);
        suspected.is_some_and(|known| known.is_strong || !self.was_answered_recently(now, content))
    }

    /// Returns the suspected or quarantined contents that were answered since the crashes and how many milliseconds ago
    /// these answers began. Each answer is returned once.
    pub fn take_clearing_answers(&mut self, now: Tick) -> Vec<(ContentHash, u64)> {
        let answers = &self.answers;
        let mut cleared = Vec::new();
        let mut check = |content: ContentHash, crashed: Tick, reported: &mut Option<Tick>| {
            let began = answers.last(content).filter(|began| *began > crashed);
            if let Some(began) = began.filter(|began| reported.is_none_or(|old| old < *began)) {
                *reported = Some(began);
                cleared.push((content, now.since(began)));
            }
        };
        for (content, known) in &mut self.suspected {
            check(*content, known.crashed, &mut known.reported);
        }
        for (content, held) in self.quarantined.iter_mut().filter(|(_, held)| held.until <= now) {
            check(*content, held.crashed, &mut held.reported);
        }
        cleared
    }

    /// Records that a request with this content was answered completely, or that its upstream goes on to answer it; the
    /// answer began at `began`.
    pub fn record_answer(&mut self, content: ContentHash, began: Tick) {
        self.suspended.remove(&content);
        self.on_probation.remove(&content);
        self.answers.record(content, began);
    }

    /// Whether requests with this content are answered here.
    pub fn was_answered(&self, now: Tick, content: ContentHash) -> bool {
        self.answers.last(content).is_some_and(|began| now.since(began) <= ANSWERED_MS)
    }

    /// Whether an answer on this content began here just before.
    pub fn was_answered_recently(&self, now: Tick, content: ContentHash) -> bool {
        self.answers.last(content).is_some_and(|began| now.since(began) <= RECENT_ANSWER_MS)
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
        let remaining_ms = self.quarantined.get(&content)?.until.since(now);
        (remaining_ms > 0).then_some(remaining_ms)
    }

    /// Whether the content is quarantined, or tried after a quarantine.
    pub fn is_known(&self, now: Tick, content: ContentHash) -> bool {
        self.quarantined.get(&content).is_some_and(|held| held.trial_until > now)
    }

    /// Returns the number of quarantined contents, and that of suspected ones.
    pub fn counts(&self, now: Tick) -> (usize, usize) {
        let held = self.quarantined.values().filter(|held| held.until > now).count();
        let suspected = self.suspected.values().filter(|known| known.until > now).count();
        (held, suspected)
    }

    /// Returns all current quarantines, to be sent to a host that starts, and those after which trials go on.
    pub fn quarantines(&self, now: Tick) -> Vec<Quarantine> {
        let known = self.quarantined.iter().filter(|(_, held)| held.trial_until > now);
        let all = known.map(|(content, held)| Quarantine {
            content: *content,
            for_ms: held.until.since(now).max(1),
            ended: held.ended,
            age_ms: Some(now.since(held.crashed)),
            times: held.times,
            trial_ms: held.trial_until.since(held.until.max(now)),
            id: held.id,
        });
        all.collect()
    }

    fn make_room(&mut self, now: Tick) {
        self.quarantined.retain(|_, held| held.trial_until > now);
        let first_to_end = self.quarantined.iter().min_by_key(|(_, held)| held.until);
        if let Some(content) = first_to_end.map(|(content, _)| *content)
            && self.quarantined.len() >= MAX_QUARANTINED
        {
            self.quarantined.remove(&content);
        }
    }
}
