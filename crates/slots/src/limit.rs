//! How many grants of one upstream are open at the same time.

use vanetally_types::Tick;

/// The bound on open grants: what the upstream announces, or less after rejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Limit {
    slots: u32,
    capacity: u32,
    current: u32,
    /// When the bound is next raised.
    raise_at: Tick,
    /// Milliseconds between two raises.
    interval_ms: u64,
    /// When the bound was last lowered.
    lowered_at: Tick,
    /// Whether the bound was raised since then.
    was_raised: bool,
}

/// Grants beyond the slots, as one divided by their share of the slots: the upstream would idle
/// while a release is in transit.
const SPARE_DIVISOR: u32 = 4;
/// First interval at which a lowered bound is raised by one: most shortages are over soon, such as
/// those after a change of the owner.
const MIN_INTERVAL_MS: u64 = 250;
/// The interval doubles up to this one while each raise is followed by a rejection, so that these
/// are few compared with what the upstream answers.
const MAX_INTERVAL_MS: u64 = 2_000;
/// Time without rejections after which the first interval is used again.
const CALM_MS: u64 = 5_000;

/// Interval at which the bound on a brittle upstream is raised that was not granted before: it may
/// have just started, and what it takes shows only by what it answers.
const RAMP_INTERVAL_MS: u64 = 100;

impl Limit {
    pub(crate) fn new(slots: u32) -> Self {
        let capacity = capacity(slots);
        Self {
            slots,
            capacity,
            current: capacity,
            raise_at: Tick(0),
            interval_ms: MIN_INTERVAL_MS,
            lowered_at: Tick(0),
            was_raised: false,
        }
    }

    /// Returns the bound.
    pub(crate) fn current(&self) -> u32 {
        self.current
    }

    /// Whether the bound is lower than what the upstream announces.
    pub(crate) fn is_lowered(&self) -> bool {
        self.current < self.capacity
    }

    /// Begins with a single grant, and raises the bound step by step.
    pub(crate) fn ramp(&mut self, now: Tick) {
        self.current = self.current.min(1);
        self.interval_ms = RAMP_INTERVAL_MS;
        self.raise_at = now + RAMP_INTERVAL_MS;
    }

    /// Sets the announced slots, and whether the upstream is brittle. A brittle one is granted no more
    /// than its slots.
    pub(crate) fn set_slots(&mut self, slots: u32, is_brittle: bool) {
        if slots != self.slots {
            *self = Self::new(slots);
        }
        self.slots = slots;
        let is_lowered = self.is_lowered();
        self.capacity = if is_brittle { slots } else { capacity(slots) };
        self.current = if is_lowered { self.current.min(self.capacity) } else { self.capacity };
    }

    /// Records that the upstream rejected one of `taken` requests as full.
    pub(crate) fn lower(&mut self, now: Tick, taken: u32) {
        if now.since(self.lowered_at) > CALM_MS {
            self.interval_ms = MIN_INTERVAL_MS;
        } else if self.was_raised {
            self.interval_ms = (self.interval_ms * 2).min(MAX_INTERVAL_MS);
        }
        self.current = self.current.min(taken).saturating_sub(1).max(1);
        self.was_raised = false;
        self.lowered_at = now;
        self.raise_at = now + self.interval_ms;
    }

    /// Raises a lowered bound if it is time.
    pub(crate) fn raise(&mut self, now: Tick) {
        if self.is_lowered() && now >= self.raise_at {
            self.current += 1;
            self.was_raised = true;
            self.raise_at = now + self.interval_ms;
        }
    }
}

fn capacity(slots: u32) -> u32 {
    slots + slots.div_ceil(SPARE_DIVISOR).max(1)
}
