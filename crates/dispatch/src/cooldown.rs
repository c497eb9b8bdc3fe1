//! Cooldown that an upstream requested from this host with `Retry-After`.
//!
//! An upstream that rejects a request may ask this host to send nothing for some seconds. After
//! that time one trial request is sent; the others follow only when it was answered, since the
//! upstream may request another cooldown.

use vanetally_types::Tick;

/// Cooldown state of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Cooldown {
    /// The upstream takes requests.
    #[default]
    Inactive,
    /// No requests before this time; then one trial request may be sent.
    Until(Tick),
    /// The trial request was sent at this time.
    Trial(Tick),
}

/// Maximum cooldown. An upstream that requests a longer one gets one trial request after this time.
const MAX_COOLDOWN_MS: u64 = 300_000;
/// A trial request that is not answered within this time no longer holds back others.
const TRIAL_MS: u64 = 1_000;

impl Cooldown {
    /// Applies a requested cooldown; of several the one that ends last counts.
    pub(crate) fn request(&mut self, now: Tick, for_ms: u64) {
        let until = now + for_ms.min(MAX_COOLDOWN_MS);
        let until = match *self {
            Self::Until(known) => known.max(until),
            Self::Inactive | Self::Trial(_) => until,
        };
        *self = Self::Until(until);
    }

    /// Returns the milliseconds until the cooldown ends, or `None` if there is none.
    pub(crate) fn left_ms(&self, now: Tick) -> Option<u64> {
        match self {
            Self::Until(until) if *until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Returns the milliseconds until the upstream may be chosen, or `None` if it may be chosen
    /// now. While a trial request is open, other requests wait for its answer.
    pub(crate) fn blocked_ms(&self, now: Tick) -> Option<u64> {
        match self {
            Self::Trial(since) => TRIAL_MS.checked_sub(now.since(*since)).filter(|left| *left > 0),
            _ => self.left_ms(now),
        }
    }

    /// Records that the upstream was chosen for a request.
    pub(crate) fn record_send(&mut self, now: Tick) {
        if matches!(self, Self::Until(_)) {
            *self = Self::Trial(now);
        }
    }

    /// Records that a request for which the upstream was chosen at `sent_at` ended, with or without
    /// an answer.
    pub(crate) fn record_end(&mut self, now: Tick, sent_at: Tick, is_answered: bool) {
        if let Self::Trial(since) = *self
            && sent_at >= since
        {
            *self = if is_answered { Self::Inactive } else { Self::Until(now) };
        }
    }
}
