//! The order of what lies in the store.

/// One stretch of the store's history: a store that comes back from an older copy of itself begins the next one.
///
/// What a store does not tell counts as era 0, before all that are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Era(pub u64);
