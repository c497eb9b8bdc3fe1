//! Whether the store answers this host: when to ask it, and how long to wait after an outage for
//! keys that are missing.
//!
//! Everything here is counted from the end of the trouble, which no host sees. It lies after the
//! sending of the last call that was lost and before the first answer. So while calls are lost, small
//! ones follow each other quickly, and their first answer is taken for the end: nothing else that
//! hangs or pauses adds to the time that passes until a host knows again what has left.

use serde::{Deserialize, Serialize};
use vanetally_types::Tick;

/// What another host says of its own contact with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// The store has answered all along.
    #[default]
    Steady,
    /// It does not answer.
    Away,
    /// It came back.
    Returned {
        /// So many milliseconds ago.
        ms_ago: u64,
    },
}

/// Answers of the store, and their absence.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    return_ms: u64,
    answered: Option<Tick>,
    /// The sending of the first call that was lost since the last answer, or may be.
    unanswered: Option<Tick>,
    /// When the store last came back after an outage.
    ended: Option<Tick>,
    /// Until when another host's word holds that the store is away.
    told_away: Option<Tick>,
    probed: Option<Tick>,
}

/// Calls without an answer for this long are an outage, in milliseconds; shorter ones are single calls.
const FAILING_MS: u64 = 1_000;
/// No answer for this long is an outage, in milliseconds: a host calls more often than that.
const SILENT_MS: u64 = 4_500;
/// Who lives writes its key again within this time after the store's return, in milliseconds: the
/// platform says about two seconds.
const RETURN_MS: u64 = 2_200;
/// From the store's return to its first answer here, at most, in milliseconds: a probe's interval, its
/// way and a turn of a slow host's loop.
const DETECT_MS: u64 = 550;
/// The store is asked this often while it answers and nothing else shows it, in milliseconds.
const STEADY_PROBE_MS: u64 = 1_000;
/// The same where other hosts rest on the answers: twice within the time after which they look for another
/// source.
const RELIED_PROBE_MS: u64 = 500;
/// The same while calls are lost, in milliseconds.
const DOUBT_PROBE_MS: u64 = 200;
/// A probe without an answer for this long may be lost, in milliseconds; the store answers in a few.
const DOUBT_MS: u64 = 350;
/// Another host tells ten times a second that the store is away; its word holds for this long, in
/// milliseconds.
const TOLD_MS: u64 = 1_000;

impl StoreContact {
    /// After trouble of the store ends, this host has to know within `contact_ms` which upstreams have
    /// left.
    pub fn new(contact_ms: u64) -> Self {
        Self {
            return_ms: RETURN_MS.min(contact_ms.saturating_sub(DETECT_MS)),
            answered: None,
            unanswered: None,
            ended: None,
            told_away: None,
            probed: None,
        }
    }

    /// Time passed; tells whether to send a probe now, and takes it as sent.
    ///
    /// Where other hosts rest on this one, it asks more often, and whatever else is answered: a probe
    /// confirms what they know, the renewal of a lease does not.
    pub fn should_probe(&mut self, now: Tick, is_relied_on: bool) -> bool {
        let steady_ms = if is_relied_on { RELIED_PROBE_MS } else { STEADY_PROBE_MS };
        let is_doubtful = self.is_doubtful(now);
        let counts_alone = is_doubtful || is_relied_on;
        let last = if counts_alone { self.probed } else { self.probed.max(self.answered) };
        let interval = if is_doubtful { DOUBT_PROBE_MS } else { steady_ms };
        if last.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        self.probed = Some(now);
        self.unanswered.get_or_insert(now);
        true
    }

    /// The store answered a call sent at `sent`. Tells whether its way is open again, so that calls
    /// that hang since before that should be given up.
    pub fn record_answer(&mut self, sent: Tick, now: Tick) -> bool {
        let is_quick = now.since(sent) < DOUBT_MS;
        let is_return = is_quick && self.is_doubtful(now);
        if self.is_away(now) {
            self.ended = Some(now);
        }
        self.answered = Some(now);
        self.unanswered = None;
        is_return
    }

    /// The store came back from a copy of itself, however short it was away.
    pub fn record_return(&mut self, now: Tick) {
        self.ended = Some(now);
    }

    /// Whether the store has answered any call of this process.
    pub fn has_answered(&self) -> bool {
        self.answered.is_some()
    }

    /// A call sent at `sent` was refused or not answered.
    pub fn record_failure(&mut self, sent: Tick) {
        // What was answered since says more.
        if self.answered.is_none_or(|at| at <= sent) {
            self.unanswered = Some(self.unanswered.map_or(sent, |first| first.min(sent)));
        }
    }

    /// The host that this one hears from told what it knows of the store.
    pub fn record_peer_state(&mut self, now: Tick, state: StoreState) {
        match state {
            StoreState::Steady => {}
            StoreState::Away => self.told_away = Some(now + TOLD_MS),
            StoreState::Returned { ms_ago } => {
                self.told_away = None;
                self.ended = self.ended.max(Some(now - ms_ago));
            }
        }
    }

    /// What other hosts may rest on.
    pub fn state(&self, now: Tick) -> StoreState {
        if self.is_away(now) {
            return StoreState::Away;
        }
        let ended = self.since_return(now);
        ended.map_or(StoreState::Steady, |ms_ago| StoreState::Returned { ms_ago })
    }

    /// Milliseconds since the first call that was lost, or may be; 0 if none was.
    pub fn unanswered_ms(&self, now: Tick) -> u64 {
        self.unanswered.map_or(0, |since| now.since(since))
    }

    fn is_doubtful(&self, now: Tick) -> bool {
        self.unanswered_ms(now) >= DOUBT_MS
    }

    fn is_away(&self, now: Tick) -> bool {
        let is_failing = self.unanswered_ms(now) >= FAILING_MS;
        let is_silent = self.answered.is_some_and(|at| now.since(at) >= SILENT_MS);
        let is_told = self.told_away.is_some_and(|until| now < until);
        is_failing || is_silent || is_told
    }

    /// Whether keys may be missing of those that live: the store is away, or came back just now.
    pub fn may_miss_keys(&self, now: Tick) -> bool {
        self.is_away(now) || self.since_return(now).is_some()
    }

    /// Milliseconds since the store came back, while missing keys are waited for.
    fn since_return(&self, now: Tick) -> Option<u64> {
        self.ended.map(|at| now.since(at)).filter(|ms_ago| *ms_ago < self.return_ms)
    }

    /// How long a key that is missing is waited for, in milliseconds: until all that live have had
    /// the time to write theirs.
    pub fn missing_key_wait_ms(&self, now: Tick) -> u64 {
        match self.ended {
            Some(ended) if !self.is_away(now) => self.return_ms.saturating_sub(now.since(ended)),
            _ => self.return_ms,
        }
    }
}
