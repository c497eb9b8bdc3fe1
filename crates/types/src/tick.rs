//! Time as passed into the state machines, which never read a clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// Milliseconds since an origin chosen by the caller; monotonic within one process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// The latest tick.
    pub const MAX: Tick = Tick(u64::MAX);

    /// Returns the milliseconds from `earlier` to this tick, or zero if `earlier` is later.
    pub fn since(self, earlier: Tick) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Tick {
    type Output = Tick;

    fn add(self, millis: u64) -> Tick {
        Tick(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Tick {
    type Output = Tick;

    fn sub(self, millis: u64) -> Tick {
        Tick(self.0.saturating_sub(millis))
    }
}
