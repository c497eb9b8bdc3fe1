//! The steady clock, as the decisions see it.

use std::time::Instant;
use vanetally_types::Tick;

/// Milliseconds since the process began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

/// Ticks begin above zero, so that zero stays before anything that happened.
const ORIGIN_MS: u64 = 1_000_000;

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Tick {
        Tick(ORIGIN_MS + self.start.elapsed().as_millis() as u64)
    }
}
