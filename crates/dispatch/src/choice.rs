//! The upstream that was chosen for a request, and its expected load.

use crate::{Action, PrefixPlace};
use vanetally_types::{Incarnation, Tick};

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub upstream: Incarnation,
    /// What the upstream is expected to read.
    pub expected: ReadEstimate,
    /// Place among the replicas for the prompt's prefix, if there are such.
    pub place: Option<PrefixPlace>,
    /// Whether the request is a trial of the pacer's circuit breaker, which needs its outcome.
    pub is_trial: bool,
    /// The upstream's stated rate limit, if it has one.
    pub limit: Option<ChosenLimit>,
    /// The send time that the engine's pacer assigned, if the request needs a slot as well.
    pub send_at: Option<Tick>,
}

impl Choice {
    /// Returns the choice of a plain upstream whose slots are granted.
    pub(crate) fn of_slot(upstream: Incarnation) -> Self {
        Self {
            upstream,
            expected: ReadEstimate::default(),
            place: None,
            is_trial: false,
            limit: None,
            send_at: None,
        }
    }

    /// Returns the permit for a rate-limited upstream that the request does not use.
    pub(crate) fn unused_permit(&self) -> Option<Action> {
        let rate = self.granted_rate()?;
        Some(Action::ReturnPermit { upstream: self.upstream.clone(), rate })
    }

    /// Returns the rate under which the request got a permit, if it has one.
    pub(crate) fn granted_rate(&self) -> Option<f64> {
        self.limit.filter(|limit| limit.is_granted).map(|limit| limit.rate)
    }

    /// Sets whether the request would wait for a rate-limited upstream.
    pub(crate) fn with_may_wait(mut self, may_wait: bool) -> Self {
        if let Some(limit) = &mut self.limit {
            limit.may_wait = may_wait;
        }
        self
    }
}

/// Rate limit of the chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ChosenLimit {
    /// Requests per second that the upstream takes.
    pub rate: f64,
    /// Whether the request would wait: no other upstream could take it.
    pub may_wait: bool,
    /// Whether the request has a permit.
    pub is_granted: bool,
}

/// What an upstream is expected to read before the first piece of the request's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadEstimate {
    /// Tokens of the request's prompt that the upstream has not cached.
    pub unread_tokens: u32,
    /// Milliseconds of reading for requests before it.
    pub ahead_ms: u32,
}
