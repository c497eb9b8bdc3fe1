//! Steady time that goes on while the machine is suspended.
//!
//! The standard clock of a process stands still in a suspension, as the process does: ages, leases and windows that
//! it measured would outlive their bounds by as long. All that a host believes is aged by this clock.
#![deny(missing_docs, unsafe_code)]

use rustix::time::{ClockId, clock_gettime};
use vanetally_types::Tick;

/// Milliseconds since the clock was made, suspensions included (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Milliseconds of the system's clock when this one was made.
    made: u64,
    origin: Tick,
}

impl Clock {
    /// A clock that shows `origin` now.
    pub fn starting_at(origin: Tick) -> Self {
        Self { made: boot_ms(), origin }
    }

    /// The time.
    pub fn now(&self) -> Tick {
        self.origin + boot_ms().saturating_sub(self.made)
    }
}

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    // Neither is ever negative.
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    seconds * MILLIS_PER_SECOND + nanos / NANOS_PER_MILLI
}
