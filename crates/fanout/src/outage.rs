//! Whether the store was away lately: what it lists just after says little of what lives.

use vanetally_types::Tick;

/// Answers of the store, and their absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    answered: Option<Tick>,
    /// The first failure since the last answer.
    failing: Option<Tick>,
    /// When the store last came back after an outage.
    ended: Option<Tick>,
}

/// Failures for this long are an outage, in milliseconds; shorter ones are single calls.
const FAILING_MS: u64 = 1_000;
/// No answer for this long is an outage, in milliseconds: a host calls more often than that.
const SILENT_MS: u64 = 4_500;
/// Who lives writes its key again within this time after the store's return, in milliseconds.
const RETURN_MS: u64 = 2_200;

impl Outage {
    /// The store answered a call.
    pub fn answered(&mut self, now: Tick) {
        if self.is_away(now) {
            self.ended = Some(now);
        }
        self.answered = Some(now);
        self.failing = None;
    }

    /// A call was refused or not answered.
    pub fn failed(&mut self, now: Tick) {
        self.failing.get_or_insert(now);
    }

    fn is_away(&self, now: Tick) -> bool {
        let is_failing = self.failing.is_some_and(|since| now.since(since) >= FAILING_MS);
        let is_silent = self.answered.is_some_and(|at| now.since(at) >= SILENT_MS);
        is_failing || is_silent
    }

    /// Whether keys may be missing of those that live: the store is away, or came back just now.
    pub fn is_recent(&self, now: Tick) -> bool {
        self.is_away(now) || self.ended.is_some_and(|at| now.since(at) < RETURN_MS)
    }

    /// How long a key that is missing is waited for, in milliseconds: until all that live have had
    /// the time to write theirs.
    pub fn wait_ms(&self, now: Tick) -> u64 {
        match self.ended {
            Some(ended) if !self.is_away(now) => RETURN_MS.saturating_sub(now.since(ended)),
            _ => RETURN_MS,
        }
    }
}
