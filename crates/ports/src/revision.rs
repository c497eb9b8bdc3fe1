//! The order of what lies in the store.

use std::fmt;

/// One stretch of the store's history: a store that comes back from an older copy of itself begins the next one.
///
/// What a store does not tell counts as era 0, before all that are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Era(pub u64);

impl Era {
    /// Whether this one follows `other` without another one between.
    pub fn follows(self, other: Self) -> bool {
        other.0.checked_add(1) == Some(self.0)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A moment in the store's history, and its order: by era, then by number.
///
/// Numbers are given out again in the next era, so that they tell nothing across eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision {
    /// The era.
    pub era: Era,
    /// Number of a change within the era; 0 is before the first.
    pub number: u64,
}

impl Revision {
    /// The change `number` of `era`.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// The change `number` of a store that tells no era.
    pub const fn without_era(number: u64) -> Self {
        Self::new(Era(0), number)
    }
}

impl fmt::Display for Revision {
    /// As `era.number`, or the number alone where no era is told.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => self.number.fmt(f),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
