//! The monotonic clock used by the decision logic. It includes time for which the machine was
//! suspended (`CLOCK_BOOTTIME`), so that no age, lease or window outlives its bound.

pub(crate) use vanetally_clock::Clock;
use vanetally_types::Tick;

/// Ticks start above zero, so that tick 0 is earlier than any event.
pub(crate) const ORIGIN: Tick = Tick(1_000_000);
