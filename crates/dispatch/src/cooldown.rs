//! Cooldown that an upstream has asked this host for.
//!
//! An upstream that turns a request away may want nothing from this host for some seconds. After that one request goes
//! first: only when it is answered all others follow, since the upstream may want more rest.

use vanetally_types::Tick;

/// Whether an upstream rests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Cooldown {
    /// It takes requests.
    #[default]
    Inactive,
    /// It wants nothing before this; then a first request may go.
    Until(Tick),
    /// The first request after its rest went out then.
    Trial(Tick),
}

/// The longest rest that is kept, in milliseconds: what asks for more is asked again with one request after that.
const MAX_COOLDOWN_MS: u64 = 300_000;
/// A first request that is not answered within this time, in milliseconds, keeps no others back.
const TRIAL_MS: u64 = 1_000;

impl Cooldown {
    /// The upstream wants rest for `for_ms`; of several rests the one that ends last holds.
    pub(crate) fn request(&mut self, now: Tick, for_ms: u64) {
        let until = now + for_ms.min(MAX_COOLDOWN_MS);
        let until = match *self {
            Self::Until(known) => known.max(until),
            Self::Inactive | Self::Trial(_) => until,
        };
        *self = Self::Until(until);
    }

    /// Milliseconds until it takes a request again; none if it does now.
    pub(crate) fn left_ms(&self, now: Tick) -> Option<u64> {
        match self {
            Self::Until(until) if *until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Milliseconds until a request may be chosen to go there; none if one may now. Beside a first request that is out
    /// others wait for its answer.
    pub(crate) fn blocked_ms(&self, now: Tick) -> Option<u64> {
        match self {
            Self::Trial(since) => TRIAL_MS.checked_sub(now.since(*since)).filter(|left| *left > 0),
            _ => self.left_ms(now),
        }
    }

    /// A request is chosen to go there.
    pub(crate) fn record_send(&mut self, now: Tick) {
        if matches!(self, Self::Until(_)) {
            *self = Self::Trial(now);
        }
    }

    /// A request that was chosen at `sent` was answered, or ended without an answer.
    pub(crate) fn record_end(&mut self, now: Tick, sent_at: Tick, is_answered: bool) {
        if let Self::Trial(since) = *self
            && sent_at >= since
        {
            *self = if is_answered { Self::Inactive } else { Self::Until(now) };
        }
    }
}
