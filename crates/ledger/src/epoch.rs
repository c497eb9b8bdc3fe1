//! Epochs, the fencing tokens of orders.

use serde::{Deserialize, Serialize};

/// The fencing token of orders: the leadership's term in the high bits, the number of the fence
/// under that term in the low bits.
///
/// Every fence uses a new number, so no order sent before a fence can take effect after it, not
/// even on a runner that has restarted and lost its epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

const FENCE_BITS: u32 = 24;

impl Epoch {
    /// The epoch of the first fence under `term`.
    pub fn first(term: u64) -> Self {
        Self(term << FENCE_BITS | 1)
    }

    /// The epoch of the next fence under the same term.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The leadership's term.
    pub fn term(self) -> u64 {
        self.0 >> FENCE_BITS
    }
}
