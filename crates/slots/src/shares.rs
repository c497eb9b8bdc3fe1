//! How the granted slots are divided among ranks.

use crate::Rank;
use std::collections::BTreeMap;

/// Share of the recent grants that went to each rank, in [`SCALE`] parts.
///
/// Integers, so that states of the model check can be compared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Shares {
    shares: BTreeMap<Rank, u64>,
}

/// Parts of the whole.
const SCALE: u64 = 1 << 16;
/// One divided by the weight of a new grant.
const WEIGHT_DIVISOR: u64 = 32;
/// Share below which a rank is forgotten.
const MIN_SHARE: u64 = SCALE >> 8;

impl Shares {
    /// Records a grant.
    pub(crate) fn record(&mut self, rank: Rank) {
        self.shares.values_mut().for_each(|share| *share -= *share / WEIGHT_DIVISOR);
        *self.shares.entry(rank).or_default() += SCALE / WEIGHT_DIVISOR;
        self.shares.retain(|_, share| *share >= MIN_SHARE);
    }

    /// Returns the time that `rank` waits if it takes `alone_ms` without more urgent requests that
    /// arrive meanwhile.
    pub(crate) fn stretch(&self, rank: Rank, alone_ms: u32) -> u32 {
        let urgent: u64 = self.shares.range(..rank).map(|(_, share)| share).sum();
        let left = SCALE.saturating_sub(urgent).max(1);
        u32::try_from(u64::from(alone_ms) * SCALE / left).unwrap_or(u32::MAX)
    }
}
