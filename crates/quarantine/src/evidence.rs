//! Evidence that contents crash upstreams, kept by a few hosts for each content.

use crate::{ContentHash, CrashSign, Quarantine, Suspicion, record::EvidenceRecord, tries::Tries};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Name, Tick, hash64};

/// Reports that an upstream showed a crash sign while it ran a request with the content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The content.
    pub content: ContentHash,
    /// The upstream's incarnation.
    pub upstream: Incarnation,
    /// The result of the probe.
    pub sign: CrashSign,
    /// Whether the host answered the content shortly before, or repeats it itself, so that it is being processed wherever
    /// an upstream crashes.
    pub is_common: bool,
    /// Milliseconds since the last such request was sent to the upstream.
    pub sent_ms: u64,
}

/// What all hosts are told of a content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It is suspected.
    Suspected(Suspicion),
    /// It is quarantined, since these upstreams crashed under it.
    Quarantined(Quarantine, Vec<Incarnation>),
    /// It is neither any more.
    Released(ContentHash),
}

/// The evidence that one host keeps.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    records: HashMap<ContentHash, EvidenceRecord>,
    /// Contents that are suspected and not quarantined.
    suspected: Vec<ContentHash>,
    tries: Tries,
    /// Random number of this host and the number of announcements so far, from which their ids are made.
    seed: u64,
    announcements: u64,
}

/// Duration of the first quarantine, longer than callers keep retrying a request.
const QUARANTINE_MS: u64 = 60_000;
/// Factor by which each further quarantine is longer: a content that crashes upstreams for hours is tried a few times.
const QUARANTINE_FACTOR: u64 = 6;
/// Longest quarantine.
const MAX_QUARANTINE_MS: u64 = 4 * 3_600_000;
/// Time between the announcements of a suspicion and of a strong one, in which hosts that answered the content since the
/// crashes say so.
const STRONG_DELAY_MS: u64 = 60;
/// Number of crashes from which on all hosts are told: a single one has no bearing on what a request contains.
const ANNOUNCED_CRASHES: usize = 2;
/// Time after an announcement in which a further crash is not announced: hosts remember it for longer.
const ANNOUNCED_MS: u64 = 5_000;
/// Number of crashes from which on the suspicion is strong at once.
const STRONG_CRASHES: usize = 4;
/// Maximum number of contents with evidence; callers may send any number of different ones.
const MAX_CONTENTS: usize = 8_192;
/// Share of the records that is dropped if there are too many.
const DROPPED_SHARE: usize = 8;

impl CrashEvidence {
    /// Creates an empty state. `seed` differs between hosts and starts.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Returns the id of the next announcement.
    fn next_id(&mut self) -> u64 {
        self.announcements += 1;
        hash64([self.seed.to_le_bytes(), self.announcements.to_le_bytes()].as_flattened())
    }

    /// Whether there is evidence on a content.
    pub fn has(&self, content: ContentHash) -> bool {
        self.records.contains_key(&content)
    }

    /// Adds a crash report; returns what the hosts are told if it changes that.
    pub fn add(&mut self, now: Tick, report: CrashReport) -> Option<Finding> {
        let CrashReport { content, upstream, sign, is_common, sent_ms } = report;
        self.make_room(now, content);
        if self.records.get(&content).is_some_and(|known| known.is_expired(now)) {
            self.records.remove(&content);
        }
        let record = self.records.entry(content).or_insert_with(|| EvidenceRecord::new(now));
        if record.is_held(now) {
            // It was sent before its host heard of the quarantine.
            return None;
        }
        record.last = now;
        record.is_common |= is_common;
        if !record.add(now, upstream, sign, now - sent_ms) {
            return None;
        }
        let is_alone = self.tries.settle(content, now - sent_ms);
        let is_sure = record.sufficient_since.is_some() && is_alone == Some(true);
        if record.quarantines > 0 || is_sure {
            return Some(self.quarantine(now, content));
        }
        record.is_tried |= record.sufficient_since.is_some() && is_alone.is_some();
        if record.sufficient_since.is_none() && record.is_sufficient() {
            record.sufficient_since = Some(now);
        }
        let is_strong = record.count() >= STRONG_CRASHES;
        let is_told = record
            .announced
            .is_some_and(|(at, told)| told >= is_strong && now.since(at) < ANNOUNCED_MS);
        if record.count() < ANNOUNCED_CRASHES || is_told {
            return None;
        }
        if record.announced.replace((now, is_strong)).is_none() {
            self.suspected.push(content);
        }
        let age_ms = record.age_ms(now);
        let id = self.next_id();
        Some(Finding::Suspected(Suspicion { content, age_ms, is_strong, id }))
    }

    /// Returns the suspicions that became strong, and the quarantines of contents that were not answered in time after the
    /// evidence sufficed.
    pub fn tick(&mut self, now: Tick) -> Vec<Finding> {
        let records = &self.records;
        self.suspected
            .retain(|content| records.get(content).is_some_and(|record| !record.is_expired(now)));
        let mut findings = Vec::new();
        for content in self.suspected.clone() {
            let Some(record) = self.records.get_mut(&content) else {
                continue;
            };
            if record.is_due(now) && !self.tries.is_open(now, content) {
                findings.push(self.quarantine(now, content));
            } else if record.is_strong()
                && record
                    .announced
                    .is_some_and(|(at, is_strong)| !is_strong && now.since(at) >= STRONG_DELAY_MS)
            {
                record.announced = Some((now, true));
                let age_ms = record.age_ms(now);
                let suspicion = Suspicion { content, age_ms, is_strong: true, id: self.next_id() };
                findings.push(Finding::Suspected(suspicion));
            }
        }
        findings
    }

    fn quarantine(&mut self, now: Tick, content: ContentHash) -> Finding {
        self.suspected.retain(|known| *known != content);
        let id = self.next_id();
        let record = self.records.entry(content).or_insert_with(|| EvidenceRecord::new(now));
        let factor = QUARANTINE_FACTOR.saturating_pow(record.quarantines);
        let for_ms = QUARANTINE_MS.saturating_mul(factor).min(MAX_QUARANTINE_MS);
        record.quarantines += 1;
        record.held_until = now + for_ms;
        record.sufficient_since = None;
        record.announced = Some((now, true));
        let quarantine = Quarantine {
            age_ms: Some(now.since(record.last_crash)),
            times: record.quarantines,
            id,
            ..Quarantine::new(content, for_ms, record.count() as u32)
        };
        Finding::Quarantined(quarantine, record.crashed().cloned().collect())
    }

    /// Takes over a quarantine that other hosts or the store announced.
    pub fn adopt(&mut self, now: Tick, quarantine: &Quarantine) {
        self.make_room(now, quarantine.content);
        let record = self.records.entry(quarantine.content);
        let record = record.or_insert_with(|| EvidenceRecord::new(now));
        record.last = now;
        record.quarantines = record.quarantines.max(quarantine.times.max(1));
        record.held_until = record.held_until.max(now + quarantine.for_ms);
        record.last_crash = record.last_crash.max(now - quarantine.age_ms.unwrap_or(0));
        record.sufficient_since = None;
        self.suspected.retain(|known| *known != quarantine.content);
    }

    /// Drops the crashes before an answer on the content that began `began_ms` ago and that its upstream survived. Returns
    /// the release if hosts were told of the content and what is left does not suffice for that.
    pub fn clear(&mut self, now: Tick, content: ContentHash, began_ms: u64) -> Option<Finding> {
        let record = self.records.get_mut(&content)?;
        let is_cleared = record.clear(now - began_ms);
        if !record.is_sufficient() {
            record.sufficient_since = None;
        }
        let is_weak = record.quarantines == 0 && !record.is_strong();
        if !is_cleared && !is_weak {
            return None;
        }
        let is_told = record.announced.is_some() || record.quarantines > 0;
        if is_cleared || is_told {
            self.release(content);
        }
        is_told.then_some(Finding::Released(content))
    }

    /// Drops all evidence against a content that was released.
    pub fn release(&mut self, content: ContentHash) {
        self.records.remove(&content);
        self.tries.drop(content);
        self.suspected.retain(|known| *known != content);
    }

    /// Grants `host` a try of a content, for a request that has no other suspected one if `is_alone`. One is open at a time,
    /// and none while the content is quarantined or about to be.
    pub fn grant_try(
        &mut self,
        now: Tick,
        content: ContentHash,
        host: &Name,
        is_alone: bool,
    ) -> bool {
        let takes_none = self.records.get(&content).is_some_and(|record| record.takes_no_try(now));
        !takes_none && self.tries.grant(now, content, host, is_alone)
    }

    /// Ends the try of a host that tells nothing of the content.
    pub fn end_try(&mut self, content: ContentHash, host: &Name) {
        self.tries.end(content, host);
    }

    /// Returns the current suspicions, to be sent to a host that starts.
    pub fn suspicions(&self, now: Tick) -> Vec<Suspicion> {
        let suspicion = |(content, record): (&ContentHash, &EvidenceRecord)| {
            let (_, is_strong) = record.announced.filter(|_| !record.is_held(now))?;
            // It goes to one host, which has not heard of it.
            Some(Suspicion { content: *content, age_ms: record.age_ms(now), is_strong, id: 0 })
        };
        self.records.iter().filter_map(suspicion).collect()
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
        if self.records.len() < MAX_CONTENTS {
            return;
        }
        // Unrelated requests on a crashed upstream leave single signs: the weakest evidence is dropped first.
        let strength = |record: &EvidenceRecord| (record.quarantines, record.weight(), record.last);
        let mut all: Vec<_> =
            self.records.iter().map(|(content, record)| (strength(record), *content)).collect();
        all.sort_unstable();
        for (_, content) in all.into_iter().take(MAX_CONTENTS / DROPPED_SHARE) {
            self.records.remove(&content);
        }
        let records = &self.records;
        self.suspected.retain(|content| records.contains_key(content));
    }
}
