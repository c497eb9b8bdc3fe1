//! The steady clock, as the decisions see it: it counts the time for which the machine was suspended
//! (`CLOCK_BOOTTIME`), so that no age, lease or window outlives its bound.

pub(crate) use vanetally_clock::Clock;
use vanetally_types::Tick;

/// Ticks begin above zero, so that zero stays before anything that happened.
pub(crate) const ORIGIN: Tick = Tick(1_000_000);
