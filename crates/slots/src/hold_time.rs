//! How long grants are held.

/// Moving average of the time from a grant to its end, in [`SCALE`] parts of a millisecond.
///
/// Integers, so that states of the model check can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HoldTime {
    mean: u64,
}

/// Parts of a millisecond.
const SCALE: u64 = 64;
/// Average before the first grant has ended.
const FIRST_MS: u64 = 50;
/// One divided by the weight of a new grant.
const WEIGHT_DIVISOR: u64 = 8;

impl Default for HoldTime {
    fn default() -> Self {
        Self { mean: FIRST_MS * SCALE }
    }
}

impl HoldTime {
    /// Records a grant that was held for `held_ms`.
    pub(crate) fn record(&mut self, held_ms: u64) {
        let held = held_ms.max(1) * SCALE;
        self.mean = (self.mean * (WEIGHT_DIVISOR - 1) + held) / WEIGHT_DIVISOR;
    }

    /// Returns the milliseconds in which `count` of `limit` concurrent grants end.
    pub(crate) fn until_ms(&self, count: u64, limit: u32) -> u32 {
        let wait = self.mean * count / u64::from(limit.max(1)) / SCALE;
        u32::try_from(wait).unwrap_or(u32::MAX)
    }
}
