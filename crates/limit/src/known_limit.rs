//! What one host believes of an upstream's limit.

use vanetally_types::Tick;

/// What an upstream said last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that it takes from all hosts together; none if it takes all.
    pub rate: Option<f64>,
    /// When it was heard, by this host's clock.
    pub at: Tick,
}

/// What changed, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It takes only so many requests a second.
    Stated(f64),
    /// It takes all again.
    Ended,
}

/// The newest statement of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    /// The newest, whoever heard it.
    newest: Option<LimitStatement>,
    /// The newest that this host heard itself.
    own: Option<LimitStatement>,
}

/// A host tells others of a statement for so long after it heard it, in milliseconds: at 0.2 requests a second two
/// answers come in that time, so that one that starts meanwhile is told before it sends.
const TELL_MS: u64 = 10_000;

impl KnownLimit {
    /// An answer to a request that was sent at `sent` stated `rate`, or no limit.
    ///
    /// An answer without a limit ends the need only if its request was sent after the limit was last named: answers
    /// that a host reads late, since it stood still, are older than they look.
    pub fn record_answer(
        &mut self,
        now: Tick,
        sent: Tick,
        rate: Option<f64>,
    ) -> Option<LimitChange> {
        let named = self.newest.filter(|newest| newest.rate.is_some());
        // Where no need is known to end, there is nothing to say either.
        if rate.is_none() && named.is_none_or(|named| sent <= named.at) {
            return None;
        }
        let statement = LimitStatement { rate, at: now };
        self.own = Some(statement);
        self.take(statement)
    }

    /// Another host heard this.
    pub fn record_report(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        if self.newest.is_some_and(|newest| newest.at >= statement.at) {
            return None;
        }
        self.take(statement)
    }

    /// Requests a second that the upstream takes from all hosts, if it is in need.
    pub fn rate(&self) -> Option<f64> {
        self.newest.and_then(|newest| newest.rate)
    }

    /// What other hosts have to be told: not what others have heard otherwise since.
    pub fn announcement(&self, now: Tick) -> Option<LimitStatement> {
        let is_refuted = |own: &LimitStatement| {
            self.newest.is_some_and(|newest| newest.at > own.at && newest.rate != own.rate)
        };
        self.own.filter(|own| now.since(own.at) <= TELL_MS && !is_refuted(own))
    }

    fn take(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        let old = self.rate();
        self.newest = Some(statement);
        match statement.rate {
            Some(rate) if old != Some(rate) => Some(LimitChange::Stated(rate)),
            None if old.is_some() => Some(LimitChange::Ended),
            _ => None,
        }
    }
}
