//! The evidence against contents, at the hosts that keep it.

use crate::{ContentHash, Quarantine};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick};

/// What a host found when it looked at an upstream after an attempt there had broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSign {
    /// Somebody took the connection, or the way is cut, and nobody answered: it has probably ended.
    Silent,
    /// Nobody listens there, or another life does: it has ended.
    Ended,
}

impl CrashSign {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Ended => "ended",
        }
    }

    fn weight(self) -> u32 {
        match self {
            Self::Silent => 2,
            Self::Ended => 3,
        }
    }
}

/// An upstream showed a sign of its end after an attempt of a content had broken off there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The content.
    pub content: ContentHash,
    /// The upstream's incarnation.
    pub upstream: Incarnation,
    /// What was found there.
    pub sign: CrashSign,
    /// Whether many callers send this content: it is under way wherever an upstream crashes.
    pub is_common: bool,
}

/// What speaks against one content.
#[derive(Clone, Debug)]
struct Case {
    ended: Vec<(Incarnation, CrashSign)>,
    first: Tick,
    last: Tick,
    is_common: bool,
    /// Quarantines so far.
    count: u32,
}

impl Case {
    fn new(now: Tick) -> Self {
        Self { ended: Vec::new(), first: now, last: now, is_common: false, count: 0 }
    }

    /// Adds a sign; tells whether it says more than what was known.
    fn add(&mut self, upstream: Incarnation, sign: CrashSign) -> bool {
        if let Some((_, known)) = self.ended.iter_mut().find(|(known, _)| *known == upstream) {
            return std::mem::replace(known, sign.max(*known)) < sign;
        }
        let has_room = self.ended.len() < MOST_ENDED;
        if has_room {
            self.ended.push((upstream, sign));
        }
        has_room
    }

    fn weight(&self) -> u32 {
        self.ended.iter().map(|(_, sign)| sign.weight()).sum()
    }

    fn is_enough(&self) -> bool {
        self.weight() >= if self.is_common { ENOUGH_COMMON } else { ENOUGH }
    }

    fn is_forgotten(&self, now: Tick) -> bool {
        let limit = if self.count == 0 { MEMORY_MS } else { QUARANTINED_MS };
        now.since(self.last) >= limit
    }
}

/// CrashEvidence that one host keeps.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    cases: HashMap<ContentHash, Case>,
}

/// The weight from which a content is quarantined: two upstreams that have ended, one that has and one that is silent,
/// or three that are silent. One is a crash with bystanders; that the same content is under way at a second one that
/// ends, and has been answered by none, is hardly ever chance.
const ENOUGH: u32 = 5;
/// The same for contents that many callers send.
const ENOUGH_COMMON: u32 = 12;
/// The first quarantine, in milliseconds: longer than callers come back for an answer. Later ones double.
const QUARANTINE_MS: u64 = 60_000;
/// The same for contents that many callers send: all of them wait for the end of it.
const QUARANTINE_COMMON_MS: u64 = 15_000;
/// Most doublings: an hour.
const MOST_DOUBLINGS: u32 = 6;
/// CrashEvidence against a content that was not quarantined is forgotten after this long, in milliseconds: two crashes that
/// are further apart have nothing to do with each other.
const MEMORY_MS: u64 = 600_000;
/// The same for one that was: twice the longest quarantine.
const QUARANTINED_MS: u64 = 2 * (QUARANTINE_MS << MOST_DOUBLINGS);
/// Contents that are remembered; callers may send any number of them.
const MOST_CONTENTS: usize = 8_192;
/// Upstreams that are remembered for each.
const MOST_ENDED: usize = 32;

impl CrashEvidence {
    /// Weighs a suspicion; gives back a quarantine if there is enough evidence.
    pub fn add(&mut self, now: Tick, suspicion: CrashReport) -> Option<Quarantine> {
        let CrashReport { content, upstream, sign, is_common } = suspicion;
        self.make_room(now, content);
        if self.cases.get(&content).is_some_and(|known| known.is_forgotten(now)) {
            self.cases.remove(&content);
        }
        let case = self.cases.entry(content).or_insert_with(|| Case::new(now));
        case.last = now;
        case.is_common |= is_common;
        if !case.add(upstream, sign) || !case.is_enough() {
            return None;
        }
        let first_ms = if case.is_common { QUARANTINE_COMMON_MS } else { QUARANTINE_MS };
        let doublings = case.count.min(MOST_DOUBLINGS);
        case.count += 1;
        Some(Quarantine {
            content,
            for_ms: first_ms << doublings,
            ended: case.ended.len() as u32,
            age_ms: Some(now.since(case.first)),
        })
    }

    /// A request of this content was answered whole after the first end: it ends no upstream. Tells whether it was
    /// quarantined.
    pub fn clear(&mut self, content: ContentHash) -> bool {
        self.cases.remove(&content).is_some_and(|case| case.count > 0)
    }

    /// Contents with evidence against them.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    fn make_room(&mut self, now: Tick, content: ContentHash) {
        if self.cases.len() < MOST_CONTENTS || self.cases.contains_key(&content) {
            return;
        }
        self.cases.retain(|_, case| !case.is_forgotten(now));
        // Single ends are what bystanders leave behind: they go first.
        let least = self.cases.iter().min_by_key(|(_, case)| (case.weight(), case.last));
        if let Some(least) = least.map(|(content, _)| *content)
            && self.cases.len() >= MOST_CONTENTS
        {
            self.cases.remove(&least);
        }
    }
}
