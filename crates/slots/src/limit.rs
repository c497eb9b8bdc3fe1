//! How many grants of one upstream are open at the same time.

use vanetally_types::Tick;

/// The bound on open grants: what the upstream announces, or less after rejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Limit {
    capacity: u32,
    current: u32,
    /// When the bound is next raised.
    raise_at: Tick,
}

/// Grants beyond the slots, as one divided by their share of the slots: the upstream would idle
/// while a release is in transit.
const SPARE_DIVISOR: u32 = 4;
/// Interval at which a lowered bound is raised by one. One rejection in this time is few compared
/// with what the upstream answers.
const RAISE_MS: u64 = 1_000;

impl Limit {
    pub(crate) fn new(slots: u32) -> Self {
        let capacity = capacity(slots);
        Self { capacity, current: capacity, raise_at: Tick(0) }
    }

    /// Returns the bound.
    pub(crate) fn current(&self) -> u32 {
        self.current
    }

    /// Whether the bound is lower than what the upstream announces.
    pub(crate) fn is_lowered(&self) -> bool {
        self.current < self.capacity
    }

    /// Sets the announced slots.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let capacity = capacity(slots);
        if capacity != self.capacity {
            *self = Self::new(slots);
        }
    }

    /// Records that the upstream rejected one of `taken` requests as full.
    pub(crate) fn lower(&mut self, now: Tick, taken: u32) {
        self.current = self.current.min(taken).saturating_sub(1).max(1);
        self.raise_at = now + RAISE_MS;
    }

    /// Raises a lowered bound if it is time.
    pub(crate) fn raise(&mut self, now: Tick) {
        if self.is_lowered() && now >= self.raise_at {
            self.current += 1;
            self.raise_at = now + RAISE_MS;
        }
    }
}

fn capacity(slots: u32) -> u32 {
    slots + slots.div_ceil(SPARE_DIVISOR).max(1)
}
