//! How well an upstream has answered lately.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// Ends of attempts in the last seconds, and whether the upstream is ejected for them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcomes: VecDeque<(Tick, bool)>,
    ejected_until: Option<Tick>,
    ejections: u32,
    is_probing: bool,
}

/// How long an end counts, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// How long an end counts that other hosts are told of, in milliseconds, and how many of them at most: what
/// all hosts tell is enough to see within a second that an upstream has died, while a longer memory of what
/// it served before hides it for seconds.
const REPORTED_MS: u64 = 1_000;
const MAX_REPORTED: usize = 2;
/// Bad ends below which nothing is concluded.
const MIN_BAD: u32 = 2;
/// Share of bad ends from which an upstream is ejected.
const EJECT_SHARE: f64 = 0.2;
/// Length of a first ejection, in milliseconds; later ones double.
const EJECT_MS: u64 = 1_500;
/// Most doublings.
const MAX_DOUBLINGS: u32 = 2;

impl Health {
    /// An attempt ended.
    pub fn record(&mut self, now: Tick, good: bool) {
        self.expire(now);
        self.outcomes.push_back((now, good));
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

    /// Good and bad ends of the last seconds.
    pub fn counts(&mut self, now: Tick) -> (u32, u32) {
        self.expire(now);
        count(self.outcomes.iter())
    }

    /// The last good and bad ends, for other hosts.
    pub fn recent(&self, now: Tick) -> (u32, u32) {
        let recent = self.outcomes.iter().rev().take(MAX_REPORTED);
        count(recent.filter(|(at, _)| now.since(*at) <= REPORTED_MS))
    }

    /// Ejects the upstream if what this host saw in the last seconds speaks against it, or what all hosts saw
    /// just now; tells whether it was.
    pub fn review(&mut self, now: Tick, others_good: u32, others_bad: u32) -> bool {
        let (good, bad) = self.recent(now);
        let all = (good + others_good, bad + others_bad);
        let is_bad = is_bad(self.counts(now)) || is_bad(all);
        if self.ejected_until.is_some() || !is_bad {
            return false;
        }
        self.eject(now);
        true
    }

    /// It shows no life: it is ejected, if it is not yet.
    pub fn mark_unresponsive(&mut self, now: Tick) {
        if self.ejected_until.is_none() {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Tick) {
        let duration_ms = EJECT_MS << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.ejected_until = Some(now + duration_ms);
        self.outcomes.clear();
    }

    /// Whether requests may go there: it is not ejected, or a single one may probe it.
    pub fn is_open(&self, now: Tick) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.is_probing,
        }
    }

    /// Whether it is ejected, or was and has not proved itself.
    pub fn is_suspect(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// A request goes there: the first one after an ejection is the probe.
    pub fn record_send(&mut self, now: Tick) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.is_probing = true;
        }
    }

    fn expire(&mut self, now: Tick) {
        while self.outcomes.front().is_some_and(|(at, _)| now.since(*at) > WINDOW_MS) {
            self.outcomes.pop_front();
        }
    }
}

/// Whether so many good and bad ends speak against an upstream.
fn is_bad((good, bad): (u32, u32)) -> bool {
    bad >= MIN_BAD && f64::from(bad) > EJECT_SHARE * f64::from(good + bad)
}

fn count<'a>(outcomes: impl Iterator<Item = &'a (Tick, bool)>) -> (u32, u32) {
    outcomes.fold((0, 0), |(good, bad), (_, is_good)| match is_good {
        true => (good + 1, bad),
        false => (good, bad + 1),
    })
}
