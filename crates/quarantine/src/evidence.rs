//! Evidence that contents crash upstreams, kept by a few hosts for each content.

use crate::{ContentHash, Quarantine};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick};

/// The result of a host's probe of an upstream after an attempt there broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSign {
    /// The upstream did not answer, although the connection may have been accepted: it has probably crashed, but it may
    /// also be unreachable.
    Silent,
    /// No process listens there, or another incarnation does: the upstream has crashed.
    Ended,
}

impl CrashSign {
    /// Returns the name used in logs and metrics.
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

/// Reports that an upstream showed a crash sign after an attempt with the content broke off there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The content.
    pub content: ContentHash,
    /// The upstream's incarnation.
    pub upstream: Incarnation,
    /// The result of the probe.
    pub sign: CrashSign,
    /// Whether many callers send this content, so that it is being processed wherever an upstream crashes.
    pub is_common: bool,
}

/// The evidence against one content.
#[derive(Clone, Debug)]
struct EvidenceRecord {
    /// Upstreams that showed a crash sign under the content, each with its strongest one.
    crashed: Vec<(Incarnation, CrashSign)>,
    /// When the first report arrived.
    first: Tick,
    /// When the last report arrived.
    last: Tick,
    is_common: bool,
    /// Number of quarantines so far.
    quarantines: u32,
}

impl EvidenceRecord {
    fn new(now: Tick) -> Self {
        Self { crashed: Vec::new(), first: now, last: now, is_common: false, quarantines: 0 }
    }

    /// Adds a sign; returns whether it adds to the evidence.
    fn add(&mut self, upstream: Incarnation, sign: CrashSign) -> bool {
        if let Some((_, known)) = self.crashed.iter_mut().find(|(known, _)| *known == upstream) {
            return std::mem::replace(known, sign.max(*known)) < sign;
        }
        let has_room = self.crashed.len() < MAX_CRASHED;
        if has_room {
            self.crashed.push((upstream, sign));
        }
        has_room
    }

    fn weight(&self) -> u32 {
        self.crashed.iter().map(|(_, sign)| sign.weight()).sum()
    }

    fn is_sufficient(&self) -> bool {
        self.weight() >= if self.is_common { COMMON_THRESHOLD } else { THRESHOLD }
    }

    fn is_expired(&self, now: Tick) -> bool {
        let limit = if self.quarantines == 0 { EXPIRY_MS } else { QUARANTINED_EXPIRY_MS };
        now.since(self.last) >= limit
    }
}

/// The evidence that one host keeps.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    records: HashMap<ContentHash, EvidenceRecord>,
}

/// Weight at which a content is quarantined: two crashed upstreams, a crashed one and a silent one, or three silent
/// ones. A single upstream crashes under many unrelated requests. That a second one crashes under the same content,
/// which no upstream has answered, is hardly ever a coincidence.
const THRESHOLD: u32 = 5;
/// Weight at which a content that many callers send is quarantined: four crashed upstreams.
const COMMON_THRESHOLD: u32 = 12;
/// Duration of the first quarantine, longer than callers keep retrying a request; it doubles with each further one.
const QUARANTINE_MS: u64 = 60_000;
/// Duration of the first quarantine of a content that many callers send; it is shorter since all of them wait for its
/// end.
const COMMON_QUARANTINE_MS: u64 = 15_000;
/// Maximum number of times that the duration is doubled: to about an hour.
const MAX_DOUBLINGS: u32 = 6;
/// Time after which evidence against a content that was never quarantined expires: crashes further apart are unrelated.
const EXPIRY_MS: u64 = 600_000;
/// Time after which evidence against a content that was quarantined expires: twice the longest quarantine.
const QUARANTINED_EXPIRY_MS: u64 = 2 * (QUARANTINE_MS << MAX_DOUBLINGS);
/// Maximum number of contents with evidence; callers may send any number of different ones.
const MAX_CONTENTS: usize = 8_192;
/// Maximum number of crashed upstreams kept for each content.
const MAX_CRASHED: usize = 32;

impl CrashEvidence {
    /// Adds a crash report; returns a quarantine if the evidence now suffices.
    pub fn add(&mut self, now: Tick, report: CrashReport) -> Option<Quarantine> {
        let CrashReport { content, upstream, sign, is_common } = report;
        self.make_room(now, content);
        if self.records.get(&content).is_some_and(|known| known.is_expired(now)) {
            self.records.remove(&content);
        }
        let record = self.records.entry(content).or_insert_with(|| EvidenceRecord::new(now));
        record.last = now;
        record.is_common |= is_common;
        if !record.add(upstream, sign) || !record.is_sufficient() {
            return None;
        }
        let first_ms = if record.is_common { COMMON_QUARANTINE_MS } else { QUARANTINE_MS };
        let doublings = record.quarantines.min(MAX_DOUBLINGS);
        record.quarantines += 1;
        Some(Quarantine {
            content,
            for_ms: first_ms << doublings,
            ended: record.crashed.len() as u32,
            age_ms: Some(now.since(record.first)),
        })
    }

    /// Drops the evidence against a content that was answered completely after the first crash, so that it cannot be
    /// the cause. Returns whether the content was quarantined.
    pub fn clear(&mut self, content: ContentHash) -> bool {
        self.records.remove(&content).is_some_and(|record| record.quarantines > 0)
    }

    /// Returns the number of contents with evidence against them.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn make_room(&mut self, now: Tick, content: ContentHash) {
        if self.records.len() < MAX_CONTENTS || self.records.contains_key(&content) {
            return;
        }
        self.records.retain(|_, record| !record.is_expired(now));
        // Unrelated requests on a crashed upstream leave single signs: the weakest evidence is dropped first.
        let weakest = self.records.iter().min_by_key(|(_, record)| (record.weight(), record.last));
        if let Some(weakest) = weakest.map(|(content, _)| *content)
            && self.records.len() >= MAX_CONTENTS
        {
            self.records.remove(&weakest);
        }
    }
}
