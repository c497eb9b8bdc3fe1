//! The upstream that was chosen for a request, and what is expected there.

use vanetally_types::Incarnation;

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub upstream: Incarnation,
    /// What is expected there.
    pub expected: Expected,
    /// Whether the engine's pacer has to hear of the answer.
    pub is_trial: bool,
}

/// What an upstream has to read before a request's first piece.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Expected {
    /// Tokens of the request's own prompt that the upstream has not read before.
    pub unread: u32,
    /// Milliseconds of reading for others.
    pub ahead_ms: u32,
}
