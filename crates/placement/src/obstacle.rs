//! Why a runner takes no order about weights.

/// Why a runner can't be given an order about weights now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// It is leaving.
    Leaving,
    /// What it announces can't be read.
    Unreadable,
    /// An order to it was not answered.
    Unanswered,
    /// A report is needed first.
    NeedsReport,
    /// It carries out an order that is not known here.
    UnknownOrder,
    /// Weights come.
    Loading,
    /// Weights go.
    Unloading,
}

impl Obstacle {
    /// The word for the log.
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
