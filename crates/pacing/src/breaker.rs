//! A circuit breaker for one engine, fed by the request outcomes that all hosts report to its
//! pacer.
//!
//! It handles an engine that accepts connections but breaks off every request for a second or two,
//! while hundreds of hosts each send it a request every few seconds. A single host sees too few
//! failures to react in time, and the outcomes that hosts exchange with their loads are half a
//! second old: by then twenty requests that must not be retried are lost. The pacer is asked before
//! each request anyway.

use vanetally_types::Tick;

/// A state change of the breaker, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerTransition {
    /// Requests to the engine are held back.
    Opened {
        /// Milliseconds until a trial request may be sent.
        pause_ms: u64,
    },
    /// A trial request was answered.
    Closed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// All requests may be sent.
    #[default]
    Closed,
    /// No request may be sent before this time.
    Open(Tick),
    /// A trial request was sent; another one may be sent at this time if its outcome is not
    /// reported.
    Trial(Tick),
}

/// Whether requests may go to an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Breaker {
    state: State,
    /// Requests sent, with exponential decay.
    sent: f64,
    /// Failed requests, with exponential decay.
    failed: f64,
    /// When the decay was last applied.
    decayed: Tick,
    /// Number of trials that failed since the breaker opened.
    failed_trials: u32,
}

/// Time in which a request's weight decays to 1/e; an engine receives about five requests in it.
const DECAY_MS: f64 = 1_000.0;
/// Weight of failed requests that must be exceeded to open: a single request may fail through its
/// own fault.
const MIN_FAILED: f64 = 1.5;
/// Share of failed requests above which the breaker opens, the same as for the ejection of an
/// upstream by a single host.
const OPEN_SHARE: f64 = 0.2;
/// First pause; it doubles with each failed trial. A trial may be a lost request, so only three are
/// sent within two seconds, the usual duration of such an outage.
const PAUSE_MS: u64 = 200;
/// Maximum number of times that the pause is doubled, so that an engine that recovered is tried
/// within 0.8 s.
const MAX_DOUBLINGS: u32 = 2;
/// Time after which a trial without a reported outcome is abandoned: six times the median time to
/// the first piece of an answer, 0.1 s.
const TRIAL_TIMEOUT_MS: u64 = 600;
/// Maximum time after which a rejected host asks again; the first piece of a trial's answer takes a
/// tenth of a second.
const MAX_RETRY_MS: u64 = 60;

impl Breaker {
    /// Returns the milliseconds after which to ask again, or `None` if a request may be sent now.
    pub(crate) fn wait_ms(&self, now: Tick) -> Option<u32> {
        let until = match self.state {
            State::Closed => return None,
            State::Open(until) | State::Trial(until) => until,
        };
        (now < until).then(|| until.since(now).min(MAX_RETRY_MS) as u32)
    }

    /// Records that a request is sent; returns whether it is a trial.
    pub(crate) fn record_sent(&mut self, now: Tick) -> bool {
        self.decay(now);
        self.sent += 1.0;
        let is_trial = self.state != State::Closed;
        if is_trial {
            self.state = State::Trial(now + TRIAL_TIMEOUT_MS);
        }
        is_trial
    }

    /// Records that a trial was answered or that a request failed.
    pub(crate) fn record_outcome(&mut self, now: Tick, is_good: bool) -> Option<BreakerTransition> {
        if is_good {
            let was_open = self.state != State::Closed;
            *self = Self::default();
            return was_open.then_some(BreakerTransition::Closed);
        }
        self.decay(now);
        self.failed += 1.0;
        match self.state {
            State::Closed if self.is_failing() => {}
            State::Trial(_) => self.failed_trials += 1,
            // Too few failures to open, or a request that was sent before the breaker opened.
            State::Closed | State::Open(_) => return None,
        }
        let pause_ms = PAUSE_MS << self.failed_trials.min(MAX_DOUBLINGS);
        self.state = State::Open(now + pause_ms);
        Some(BreakerTransition::Opened { pause_ms })
    }

    fn is_failing(&self) -> bool {
        self.failed > MIN_FAILED && self.failed > OPEN_SHARE * self.sent
    }

    fn decay(&mut self, now: Tick) {
        let factor = (-(now.since(self.decayed) as f64) / DECAY_MS).exp();
        self.sent *= factor;
        self.failed *= factor;
        self.decayed = now;
    }
}
