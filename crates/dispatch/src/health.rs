//! Recent success rate of an upstream, and its ejection.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// Outcomes of recent attempts, and whether the upstream is ejected because of them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcomes: VecDeque<(Tick, bool)>,
    /// Failures for which the network path may be to blame. Only this host counts them.
    unconfirmed: VecDeque<Tick>,
    ejected_until: Option<Tick>,
    /// Whether unconfirmed failures counted for the ejection.
    is_ejection_unconfirmed: bool,
    /// Whether the upstream was ejected since it did not respond to a probe.
    is_unresponsive: bool,
    ejections: u32,
    is_probing: bool,
}

/// Whose outcomes led to an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Those of this host.
    OwnOutcomes,
    /// Those of all hosts together, as reported.
    ReportedOutcomes,
}

impl EjectionReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnOutcomes => "own",
            Self::ReportedOutcomes => "reported",
        }
    }
}

/// How long an outcome counts.
const WINDOW_MS: u64 = 5_000;
/// Age and number up to which outcomes are reported to other hosts. The reports of all hosts show
/// within a second that an upstream has died; a longer history of earlier successes would hide it
/// for seconds.
const REPORTED_MS: u64 = 1_000;
const MAX_REPORTED: usize = 2;
/// Minimum number of failed attempts before an upstream is ejected.
const MIN_BAD: u32 = 2;
/// Share of failed attempts above which an upstream is ejected.
const EJECT_SHARE: f64 = 0.2;
/// Duration of the first ejection; each later one is twice as long.
const EJECT_MS: u64 = 1_500;
const MAX_DOUBLINGS: u32 = 2;

impl Health {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Tick, good: bool) {
        self.expire(now);
        self.outcomes.push_back((now, good));
        if good && std::mem::take(&mut self.is_unresponsive) {
            // It was silent for a moment only.
            self.ejected_until = None;
            self.ejections = self.ejections.saturating_sub(1);
        }
        if self.is_probing {
            self.is_probing = false;
            if good {
                self.outcomes.retain(|(_, good)| *good);
                self.ejections = 0;
            } else {
                self.eject(now);
            }
        }
    }

    /// Records a failure for which the network path may be to blame.
    pub fn record_unconfirmed(&mut self, now: Tick) {
        self.expire(now);
        self.unconfirmed.push_back(now);
        if std::mem::take(&mut self.is_probing) {
            self.eject(now);
        }
    }

    /// Counts the unconfirmed failures as failures of the upstream; returns their number.
    pub fn confirm(&mut self) -> usize {
        self.is_ejection_unconfirmed = false;
        let confirmed = self.unconfirmed.len();
        let failures = self.unconfirmed.drain(..).map(|at| (at, false));
        self.outcomes.extend(failures);
        confirmed
    }

    /// Forgets the unconfirmed failures, and ends an ejection that may be due to them.
    pub fn dismiss(&mut self) {
        if !self.unconfirmed.is_empty() || self.is_ejection_unconfirmed {
            self.ejected_until = None;
            self.is_ejection_unconfirmed = false;
        }
        self.unconfirmed.clear();
    }

    /// Returns the numbers of good and bad outcomes in the window.
    pub fn counts(&mut self, now: Tick) -> (u32, u32) {
        self.expire(now);
        let (good, bad) = count(self.outcomes.iter());
        (good, bad + self.unconfirmed.len() as u32)
    }

    /// Returns the numbers of good and bad outcomes that are reported to other hosts.
    pub fn recent(&self, now: Tick) -> (u32, u32) {
        let recent = self.outcomes.iter().rev().take(MAX_REPORTED);
        count(recent.filter(|(at, _)| now.since(*at) <= REPORTED_MS))
    }

    /// Ejects the upstream if this host's outcomes in the window are bad, or the recent outcomes of
    /// all hosts together. Returns whose outcomes were the reason if it was ejected now.
    pub fn review(
        &mut self,
        now: Tick,
        others_good: u32,
        others_bad: u32,
    ) -> Option<EjectionReason> {
        let (good, bad) = self.recent(now);
        let all = (good + others_good, bad + others_bad);
        let reason = match (is_bad(self.counts(now)), is_bad(all)) {
            (true, _) => EjectionReason::OwnOutcomes,
            (false, true) => EjectionReason::ReportedOutcomes,
            (false, false) => return None,
        };
        if self.ejected_until.is_some() {
            return None;
        }
        self.eject(now);
        Some(reason)
    }

    /// Ejects an upstream that does not respond, unless it is ejected already.
    pub fn mark_unresponsive(&mut self, now: Tick) {
        if self.ejected_until.is_none() {
            self.eject(now);
            self.is_unresponsive = true;
        }
    }

    fn eject(&mut self, now: Tick) {
        let duration_ms = EJECT_MS << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.ejected_until = Some(now + duration_ms);
        self.is_ejection_unconfirmed = !self.unconfirmed.is_empty();
        self.is_unresponsive = false;
        self.outcomes.clear();
    }

    /// Whether requests may be sent: the upstream is not ejected, or one request may probe it.
    pub fn is_open(&self, now: Tick) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.is_probing,
        }
    }

    /// Whether the upstream is ejected, or was ejected and has had no probe since.
    pub fn is_suspect(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is sent. The first one after an ejection is the probe.
    pub fn record_send(&mut self, now: Tick) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.is_unresponsive = false;
            self.is_probing = true;
        }
    }

    fn expire(&mut self, now: Tick) {
        while self.outcomes.front().is_some_and(|(at, _)| now.since(*at) > WINDOW_MS) {
            self.outcomes.pop_front();
        }
        while self.unconfirmed.front().is_some_and(|at| now.since(*at) > WINDOW_MS) {
            self.unconfirmed.pop_front();
        }
    }
}

/// Whether these counts of good and bad outcomes are a reason to eject an upstream.
fn is_bad((good, bad): (u32, u32)) -> bool {
    bad >= MIN_BAD && f64::from(bad) > EJECT_SHARE * f64::from(good + bad)
}

fn count<'a>(outcomes: impl Iterator<Item = &'a (Tick, bool)>) -> (u32, u32) {
    outcomes.fold((0, 0), |(good, bad), (_, is_good)| match is_good {
        true => (good + 1, bad),
        false => (good, bad + 1),
    })
}
