//! Known rate limit of an upstream.

use vanetally_types::Tick;

/// A statement of an upstream about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests per second over all hosts; `None` if the upstream takes all.
    pub rate: Option<f64>,
    /// When the statement was received, by this host's clock.
    pub at: Tick,
}

/// Change of a stated rate limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream states this limit, in requests per second.
    Stated(f64),
    /// The upstream no longer states a limit.
    Ended,
}

/// The newest statement of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    /// The newest statement, whichever host received it.
    newest: Option<LimitStatement>,
    /// The newest statement that this host received itself.
    own: Option<LimitStatement>,
}

/// How long a host announces a statement after it received it. At 0.2 requests per second two
/// answers come within this time, so a host that starts meanwhile learns of the limit before it
/// sends.
const ANNOUNCE_MS: u64 = 10_000;

impl KnownLimit {
    /// Records an answer, to a request that was sent at `sent_at`, that stated `rate` or no limit.
    ///
    /// An answer without a limit ends a known limit only if its request was sent after the limit
    /// was last stated: a host that was stalled reads answers late, and they are older than they
    /// appear.
    pub fn record_answer(
        &mut self,
        now: Tick,
        sent_at: Tick,
        rate: Option<f64>,
    ) -> Option<LimitChange> {
        let limited = self.newest.filter(|newest| newest.rate.is_some());
        // If no limit is known there is nothing to end.
        if rate.is_none() && limited.is_none_or(|limited| sent_at <= limited.at) {
            return None;
        }
        let statement = LimitStatement { rate, at: now };
        self.own = Some(statement);
        self.apply(statement)
    }

    /// Records a statement that another host received.
    pub fn record_report(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        if self.newest.is_some_and(|newest| newest.at >= statement.at) {
            return None;
        }
        self.apply(statement)
    }

    /// Returns the stated rate limit, in requests per second over all hosts.
    pub fn rate(&self) -> Option<f64> {
        self.newest.and_then(|newest| newest.rate)
    }

    /// Returns the statement to announce to other hosts, unless another host received a different
    /// one since.
    pub fn announcement(&self, now: Tick) -> Option<LimitStatement> {
        let is_superseded = |own: &LimitStatement| {
            self.newest.is_some_and(|newest| newest.at > own.at && newest.rate != own.rate)
        };
        self.own.filter(|own| now.since(own.at) <= ANNOUNCE_MS && !is_superseded(own))
    }

    fn apply(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        let old = self.rate();
        self.newest = Some(statement);
        match statement.rate {
            Some(rate) if old != Some(rate) => Some(LimitChange::Stated(rate)),
            None if old.is_some() => Some(LimitChange::Ended),
            _ => None,
        }
    }
}
