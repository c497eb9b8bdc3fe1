use serde::{Deserialize, Serialize};

/// Urgency of a request: the priority of its organisation, then of its route. 0 is the most urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rank(pub u8, pub u8);
