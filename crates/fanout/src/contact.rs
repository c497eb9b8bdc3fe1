//! Whether the store answers this host: when to probe it, and how long to wait for missing keys after an outage.
//!
//! All delays count from the end of the outage, which no host observes directly. It is between the
//! sending of the last lost call and the first answer. So while calls are lost, the host sends small
//! probes at short intervals and takes their first answer as the end of the outage. Calls that hang
//! longer then do not delay the detection of upstreams that have left.

use serde::{Deserialize, Serialize};
use vanetally_types::Tick;

/// A host's contact with the store, as it reports it to other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// The store answers and was not unreachable recently.
    #[default]
    Steady,
    /// The store does not answer.
    Away,
    /// The store answers again after an outage.
    Returned {
        /// Milliseconds since its return.
        ms_ago: u64,
    },
}

/// Tracks which calls the store answered and which were lost.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    /// How long missing keys are waited for after the store's return.
    return_ms: u64,
    last_answer: Option<Tick>,
    /// When the first call was sent that has been or may be lost since the last answer.
    unanswered_since: Option<Tick>,
    /// When the store last returned after an outage.
    returned: Option<Tick>,
    /// Until when another host's report that the store is away is valid.
    reported_away_until: Option<Tick>,
    last_probe: Option<Tick>,
}

/// Time without an answer to any call that counts as an outage. A shorter time may be due to single calls.
const OUTAGE_MS: u64 = 1_000;
/// Time since the last answer that counts as an outage, calls or not: a host calls the store more often than this.
const SILENT_MS: u64 = 4_500;
/// Time after the store's return within which live upstreams write their keys again; the platform states about two
/// seconds.
const RETURN_MS: u64 = 2_200;
/// Maximum time from the store's return to its first answer here: a probe interval, a round trip and one iteration of
/// a slow host's event loop.
const DETECT_MS: u64 = 550;
/// Probe interval while the store answers and no other call shows that it does.
const STEADY_PROBE_MS: u64 = 1_000;
/// Probe interval while other hosts depend on this one: two probes within the time after which they look for another
/// source.
const DEPENDENTS_PROBE_MS: u64 = 500;
/// Probe interval while calls are lost.
const LOSS_PROBE_MS: u64 = 200;
/// Time after which an unanswered call may be lost; the store normally answers within a few milliseconds.
const LOSS_MS: u64 = 350;
/// Validity of another host's report that the store is away; such reports arrive ten times a second.
const REPORT_VALIDITY_MS: u64 = 1_000;

impl StoreContact {
    /// Creates the tracker of a host that has to know within `contact_ms` after an outage which upstreams have left.
    pub fn new(contact_ms: u64) -> Self {
        Self {
            return_ms: RETURN_MS.min(contact_ms.saturating_sub(DETECT_MS)),
            last_answer: None,
            unanswered_since: None,
            returned: None,
            reported_away_until: None,
            last_probe: None,
        }
    }

    /// Whether to send a probe now; records it as sent if so.
    ///
    /// If other hosts depend on this one, it probes more often, even while other calls are answered: a probe
    /// confirms the data that they receive, the renewal of a lease does not.
    pub fn should_probe(&mut self, now: Tick, has_dependents: bool) -> bool {
        let steady_ms = if has_dependents { DEPENDENTS_PROBE_MS } else { STEADY_PROBE_MS };
        let is_losing_calls = self.is_losing_calls(now);
        let ignores_other_calls = is_losing_calls || has_dependents;
        let last = if ignores_other_calls {
            self.last_probe
        } else {
            self.last_probe.max(self.last_answer)
        };
        let interval = if is_losing_calls { LOSS_PROBE_MS } else { steady_ms };
        if last.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        self.last_probe = Some(now);
        self.unanswered_since.get_or_insert(now);
        true
    }

    /// Records that the store answered a call sent at `sent`.
    ///
    /// Returns whether the connection works again, so that calls that have hung since before should be abandoned.
    pub fn record_answer(&mut self, sent: Tick, now: Tick) -> bool {
        let is_quick = now.since(sent) < LOSS_MS;
        let is_return = is_quick && self.is_losing_calls(now);
        if self.is_away(now) {
            self.returned = Some(now);
        }
        self.last_answer = Some(now);
        self.unanswered_since = None;
        is_return
    }

    /// Records that the store was restored from a backup, however short the outage was.
    pub fn record_return(&mut self, now: Tick) {
        self.returned = Some(now);
    }

    /// Whether the store has answered any call of this process.
    pub fn has_answered(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Records that a call sent at `sent` was refused or not answered.
    pub fn record_failure(&mut self, sent: Tick) {
        // A later answer supersedes the failure.
        if self.last_answer.is_none_or(|at| at <= sent) {
            self.unanswered_since =
                Some(self.unanswered_since.map_or(sent, |first| first.min(sent)));
        }
    }

    /// Records the store state that this host's source reported.
    pub fn record_peer_state(&mut self, now: Tick, state: StoreState) {
        match state {
            StoreState::Steady => {}
            StoreState::Away => self.reported_away_until = Some(now + REPORT_VALIDITY_MS),
            StoreState::Returned { ms_ago } => {
                self.reported_away_until = None;
                self.returned = self.returned.max(Some(now - ms_ago));
            }
        }
    }

    /// Returns the state that this host reports to others.
    pub fn state(&self, now: Tick) -> StoreState {
        if self.is_away(now) {
            return StoreState::Away;
        }
        let since_return = self.since_return(now);
        since_return.map_or(StoreState::Steady, |ms_ago| StoreState::Returned { ms_ago })
    }

    /// Returns the milliseconds since the first call that has been or may be lost; 0 if there is none.
    pub fn unanswered_ms(&self, now: Tick) -> u64 {
        self.unanswered_since.map_or(0, |since| now.since(since))
    }

    fn is_losing_calls(&self, now: Tick) -> bool {
        self.unanswered_ms(now) >= LOSS_MS
    }

    fn is_away(&self, now: Tick) -> bool {
        let is_failing = self.unanswered_ms(now) >= OUTAGE_MS;
        let is_silent = self.last_answer.is_some_and(|at| now.since(at) >= SILENT_MS);
        let is_reported_away = self.reported_away_until.is_some_and(|until| now < until);
        is_failing || is_silent || is_reported_away
    }

    /// Whether the store may lack keys of live upstreams: it is away or has just returned.
    pub fn may_miss_keys(&self, now: Tick) -> bool {
        self.is_away(now) || self.since_return(now).is_some()
    }

    /// Returns the milliseconds since the store's return while missing keys are still waited for.
    fn since_return(&self, now: Tick) -> Option<u64> {
        self.returned.map(|at| now.since(at)).filter(|ms_ago| *ms_ago < self.return_ms)
    }

    /// Returns how long to wait for a missing key: until all live upstreams have had the time to write theirs.
    pub fn missing_key_wait_ms(&self, now: Tick) -> u64 {
        match self.returned {
            Some(returned) if !self.is_away(now) => {
                self.return_ms.saturating_sub(now.since(returned))
            }
            _ => self.return_ms,
        }
    }
}
