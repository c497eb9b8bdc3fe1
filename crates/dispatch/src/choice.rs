//! The upstream that was chosen for a request, and what is expected there.

use crate::Action;
use vanetally_types::Incarnation;

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub upstream: Incarnation,
    /// What is expected there.
    pub expected: ReadEstimate,
    /// Whether the engine's pacer has to hear of the answer.
    pub is_trial: bool,
    /// What it takes from all hosts, if it is in need.
    pub limit: Option<ChosenLimit>,
}

impl Choice {
    /// Gives back the moment at an upstream in need that the request does not use.
    pub(crate) fn unused_permit(&self) -> Option<Action> {
        let rate = self.granted_rate()?;
        Some(Action::ReturnPermit { upstream: self.upstream.clone(), rate })
    }

    /// The rate by which the request has its moment at an upstream in need, if it has one.
    pub(crate) fn granted_rate(&self) -> Option<f64> {
        self.limit.filter(|limit| limit.is_granted).map(|limit| limit.rate)
    }

    /// The same choice; whether the request would wait for it if it is in need.
    pub(crate) fn with_may_wait(mut self, may_wait: bool) -> Self {
        if let Some(limit) = &mut self.limit {
            limit.may_wait = may_wait;
        }
        self
    }
}

/// An upstream in need that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ChosenLimit {
    /// Requests a second that it takes.
    pub rate: f64,
    /// Whether the request would wait for it: nobody else could take it.
    pub may_wait: bool,
    /// Whether the request has its moment there.
    pub is_granted: bool,
}

/// What an upstream has to read before a request's first piece.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadEstimate {
    /// Tokens of the request's own prompt that the upstream has not read before.
    pub unread_tokens: u32,
    /// Milliseconds of reading for others.
    pub ahead_ms: u32,
}
