//! A circuit breaker for one engine, fed by the ends that all hosts tell its pacer.
//!
//! It answers one load pattern: an engine that accepts connections and breaks every request off, for a second
//! or two, under requests of hundreds of hosts of which each one sends there once in some seconds. What such a
//! host sees itself comes too late, and what hosts tell each other with their loads is half a second old; by
//! then twenty requests that may not be repeated are lost. The pacer is asked before each sending anyway.

use vanetally_types::Tick;

/// What changed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerTransition {
    /// Nothing goes there for so many milliseconds.
    Opened {
        /// Milliseconds until a trial may go.
        pause_ms: u64,
    },
    /// A trial was answered.
    Closed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// All requests go.
    #[default]
    Closed,
    /// None goes before this.
    Open(Tick),
    /// One went to see whether the engine answers; if nothing is heard of it, another one may go then.
    Trial(Tick),
}

/// Whether requests may go to an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Breaker {
    state: State,
    /// Requests that went there and bad ends, older ones counted less.
    sent: f64,
    bad: f64,
    at: Tick,
    /// Trials that failed since it opened.
    failures: u32,
}

/// The time in which a request's count falls to a third, in milliseconds: an engine gets five requests in it.
const MEMORY_MS: f64 = 1_000.0;
/// Bad ends below which nothing is concluded: one that breaks off may be at fault itself.
const LEAST_BAD: f64 = 1.5;
/// Share of bad ends from which it opens, the same as for the ejection by one host.
const OPEN_SHARE: f64 = 0.2;
/// The first pause, in milliseconds; it doubles with each trial that fails. Each trial may be a lost request: three
/// go within the two seconds for which engines were seen to be down.
const PAUSE_MS: u64 = 200;
/// Most doublings: an engine that is back is tried within 0.8 s.
const MOST_DOUBLINGS: u32 = 2;
/// A trial that nothing is heard of is given up after this long, in milliseconds: six times the median of 0.1 s in
/// which first pieces came.
const TRIAL_MS: u64 = 600;
/// Whoever is turned away asks again after at most this long, in milliseconds: a trial's first piece takes a
/// tenth of a second.
const RETRY_MS: u64 = 60;

impl Breaker {
    /// Milliseconds after which a request for which there is no way now may be worth another try; none if it
    /// may go.
    pub(crate) fn wait_ms(&self, now: Tick) -> Option<u32> {
        let until = match self.state {
            State::Closed => return None,
            State::Open(until) | State::Trial(until) => until,
        };
        (now < until).then(|| until.since(now).min(RETRY_MS) as u32)
    }

    /// A request goes there; tells whether it is a trial.
    pub(crate) fn sent(&mut self, now: Tick) -> bool {
        self.decay(now);
        self.sent += 1.0;
        let is_trial = self.state != State::Closed;
        if is_trial {
            self.state = State::Trial(now + TRIAL_MS);
        }
        is_trial
    }

    /// A trial was answered, or a request ended badly.
    pub(crate) fn record_outcome(&mut self, now: Tick, is_good: bool) -> Option<BreakerTransition> {
        if is_good {
            let is_news = self.state != State::Closed;
            *self = Self::default();
            return is_news.then_some(BreakerTransition::Closed);
        }
        self.decay(now);
        self.bad += 1.0;
        match self.state {
            State::Closed if self.is_bad() => {}
            State::Trial(_) => self.failures += 1,
            // What was sent before it opened.
            State::Closed | State::Open(_) => return None,
        }
        let pause_ms = PAUSE_MS << self.failures.min(MOST_DOUBLINGS);
        self.state = State::Open(now + pause_ms);
        Some(BreakerTransition::Opened { pause_ms })
    }

    fn is_bad(&self) -> bool {
        self.bad > LEAST_BAD && self.bad > OPEN_SHARE * self.sent
    }

    fn decay(&mut self, now: Tick) {
        let kept = (-(now.since(self.at) as f64) / MEMORY_MS).exp();
        self.sent *= kept;
        self.bad *= kept;
        self.at = now;
    }
}
