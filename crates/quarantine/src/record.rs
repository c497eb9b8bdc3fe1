//! The evidence against one content.

use serde::{Deserialize, Serialize};
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

/// An upstream that showed a crash sign while it ran requests with the content.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Incarnation,
    sign: CrashSign,
    /// When this was first reported.
    at: Tick,
    /// When the last of these requests was sent.
    sent: Tick,
}

/// The evidence against one content.
#[derive(Clone, Debug)]
pub(crate) struct EvidenceRecord {
    /// In the order in which they were reported.
    crashes: Vec<Crash>,
    /// When the last report arrived.
    pub last: Tick,
    /// When the last upstream crashed, as far as known: other hosts may have more crashes on record.
    pub last_crash: Tick,
    /// Whether hosts answered the content shortly before, or repeat it themselves.
    pub is_common: bool,
    /// Number of quarantines so far.
    pub quarantines: u32,
    /// End of the last quarantine.
    pub held_until: Tick,
    /// Since when the evidence suffices, if it does.
    pub sufficient_since: Option<Tick>,
    /// Whether a request with this and another suspected content was tried since then.
    pub is_tried: bool,
    /// When the hosts were told of the suspicion, and whether it was strong.
    pub announced: Option<(Tick, bool)>,
}

/// Weight at which a content is quarantined: two crashed upstreams, a crashed one and a silent one, or three silent
/// ones.
const THRESHOLD: u32 = 5;
/// Crashes of which each is independent of the earlier ones, at which a content is quarantined. Several upstreams that
/// crash at once may do so for another reason.
const MIN_ROUNDS: usize = 2;
/// Weight at which a content that was answered before is quarantined: four crashed upstreams.
const COMMON_THRESHOLD: u32 = 12;
/// The same as [`MIN_ROUNDS`] for such a content.
const COMMON_MIN_ROUNDS: usize = 3;
/// Time in which an answer may still clear a content against which the evidence suffices, sent before or as a try.
const CONFIRM_MS: u64 = 800;
/// The same for a content that was answered before.
const COMMON_CONFIRM_MS: u64 = 1_500;
/// Part of this time in which no try is granted: what was sent before shows within it whether its upstream survives.
const COMMON_QUIET_MS: u64 = 700;
/// Time after which evidence against a content that was never quarantined expires: crashes further apart are unrelated.
const EXPIRY_MS: u64 = 600_000;
/// Time after which evidence against a content that was quarantined expires.
const QUARANTINED_EXPIRY_MS: u64 = 48 * 3_600_000;
/// Maximum number of crashed upstreams kept for each content, the last ones.
const MAX_CRASHED: usize = 16;

impl EvidenceRecord {
    pub(crate) fn new(now: Tick) -> Self {
        Self {
            crashes: Vec::new(),
            last: now,
            last_crash: Tick(0),
            is_common: false,
            quarantines: 0,
            held_until: Tick(0),
            sufficient_since: None,
            is_tried: false,
            announced: None,
        }
    }

    /// Adds a sign of an upstream to which a request with the content was sent at `sent`; returns whether it adds to the
    /// evidence.
    pub(crate) fn add(
        &mut self,
        now: Tick,
        upstream: Incarnation,
        sign: CrashSign,
        sent: Tick,
    ) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.upstream == upstream) {
            let is_stronger = known.sign < sign || known.sent < sent;
            known.sign = known.sign.max(sign);
            known.sent = known.sent.max(sent);
            return is_stronger;
        }
        if self.crashes.len() >= MAX_CRASHED {
            self.crashes.remove(0);
        }
        self.crashes.push(Crash { upstream, sign, at: now, sent });
        self.last_crash = now;
        true
    }

    /// Drops the crashes before an answer that began at `began`; returns whether none is left.
    pub(crate) fn clear(&mut self, began: Tick) -> bool {
        self.crashes.retain(|crash| crash.at >= began);
        self.last_crash < began
    }

    /// Returns the crashed upstreams.
    pub(crate) fn crashed(&self) -> impl Iterator<Item = &Incarnation> {
        self.crashes.iter().map(|crash| &crash.upstream)
    }

    /// Returns the number of crashed upstreams.
    pub(crate) fn count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the milliseconds since the first crash, or 0 without any.
    pub(crate) fn age_ms(&self, now: Tick) -> u64 {
        self.crashes.first().map_or(0, |crash| now.since(crash.at))
    }

    pub(crate) fn weight(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.sign.weight()).sum()
    }

    /// Returns the number of crashes under requests that were sent after the previous one of them was known.
    pub(crate) fn rounds(&self) -> usize {
        let mut last = None;
        let is_round = |crash: &&Crash| {
            let is_new = last.is_none_or(|at| crash.sent > at);
            if is_new {
                last = Some(crash.at);
            }
            is_new
        };
        self.crashes.iter().filter(is_round).count()
    }

    /// Whether the suspicion is strong, see [`crate::Suspicion::is_strong`].
    pub(crate) fn is_strong(&self) -> bool {
        self.rounds() >= MIN_ROUNDS
    }

    /// Whether the content is quarantined unless it is answered soon.
    pub(crate) fn is_sufficient(&self) -> bool {
        let (weight, rounds) = match self.is_common {
            true => (COMMON_THRESHOLD, COMMON_MIN_ROUNDS),
            false => (THRESHOLD, MIN_ROUNDS),
        };
        self.weight() >= weight && self.rounds() >= rounds
    }

    /// Whether the evidence has sufficed for so long that an answer would have come.
    pub(crate) fn is_due(&self, now: Tick) -> bool {
        let confirm_ms = if self.is_common { COMMON_CONFIRM_MS } else { CONFIRM_MS };
        self.sufficient_since.is_some_and(|since| now.since(since) >= confirm_ms)
    }

    /// Whether no request with the content is tried now.
    pub(crate) fn takes_no_try(&self, now: Tick) -> bool {
        // Requests that were sent before may still clear a content that was answered before.
        let is_awaited = |since| self.is_common && now.since(since) < COMMON_QUIET_MS;
        let is_closed = |since| self.is_tried || is_awaited(since);
        self.is_held(now) || self.sufficient_since.is_some_and(is_closed)
    }

    pub(crate) fn is_held(&self, now: Tick) -> bool {
        self.held_until > now
    }

    pub(crate) fn is_expired(&self, now: Tick) -> bool {
        let limit = if self.quarantines == 0 { EXPIRY_MS } else { QUARANTINED_EXPIRY_MS };
        now.since(self.last) >= limit
    }
}
