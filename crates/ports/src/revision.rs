//! Revisions and eras, which order the changes of the store.

use std::fmt;

/// A period of the store's history; restoring the store from an older backup begins the next era.
///
/// Era 0 denotes a store that reports no era, and precedes all reported eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Era(pub u64);

impl Era {
    /// Whether this era directly follows `other`.
    pub fn follows(self, other: Self) -> bool {
        other.0.checked_add(1) == Some(self.0)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of the store, ordered by era, then by number.
///
/// A new era reuses the numbers of the previous one, so numbers of different eras must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision {
    /// Era of the store.
    pub era: Era,
    /// Number of the change within the era; 0 precedes the first change.
    pub number: u64,
}

impl Revision {
    /// Creates the revision `number` of `era`.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Creates the revision `number` of a store that reports no era.
    pub const fn without_era(number: u64) -> Self {
        Self::new(Era(0), number)
    }
}

impl fmt::Display for Revision {
    /// Writes `era.number`, or the number alone if the store reports no era.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => self.number.fmt(f),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
