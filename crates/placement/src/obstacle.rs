//! Reasons that prevent a runner from receiving orders about weights.

/// Reason why a runner can't be sent an order about weights now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// It is draining.
    Leaving,
    /// Its announcement can't be decoded.
    Unreadable,
    /// An order to it was not answered.
    Unanswered,
    /// A report is needed before the next order.
    NeedsReport,
    /// It executes an order that this host doesn't know.
    UnknownOrder,
    /// It is loading weights.
    Loading,
    /// It is unloading weights.
    Unloading,
}

impl Obstacle {
    /// The reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Unreadable => "unreadable",
            Self::Unanswered => "unanswered",
            Self::NeedsReport => "doubtful",
            Self::UnknownOrder => "unknown_order",
            Self::Loading => "loading",
            Self::Unloading => "unloading",
        }
    }
}
