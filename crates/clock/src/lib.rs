//! A monotonic clock that also counts the time during which the machine is suspended.
//!
//! The standard monotonic clock of a process stops while the machine is suspended. Ages, leases and time windows
//! measured with it would exceed their limits by the duration of the suspension, so hosts measure all of them with this
//! clock.
#![deny(missing_docs, unsafe_code)]

use rustix::time::{ClockId, clock_gettime};
use vanetally_types::Tick;

/// A clock based on `CLOCK_BOOTTIME`, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The system clock's value when this clock was created.
    created_ms: u64,
    /// What this clock showed at its creation.
    origin: Tick,
}

impl Clock {
    /// Creates a clock that shows `origin` now.
    pub fn starting_at(origin: Tick) -> Self {
        Self { created_ms: boot_ms(), origin }
    }

    /// Returns the current time.
    pub fn now(&self) -> Tick {
        self.origin + boot_ms().saturating_sub(self.created_ms)
    }
}

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Returns the milliseconds since the machine booted, suspensions included.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    // `CLOCK_BOOTTIME` is never negative.
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    seconds * MILLIS_PER_SECOND + nanos / NANOS_PER_MILLI
}
