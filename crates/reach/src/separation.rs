//! Whether a host reaches no upstream although other hosts do.

use vanetally_types::Tick;

/// What a host knows of its separation from all upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Separation {
    is_separated: bool,
    /// Whether other upstreams are being asked.
    is_asking: bool,
    /// Earliest time at which they are asked again.
    next_ask: Tick,
}

/// Time without a byte from any upstream, while some are blocked, after which others are asked; and
/// interval between such questions.
const SILENCE_MS: u64 = 1_500;

fn is_quiet(now: Tick, since: Option<Tick>) -> bool {
    since.is_some_and(|since| now.since(since) >= SILENCE_MS)
}

impl Separation {
    /// Updates the state; returns whether the separation is over.
    ///
    /// Nothing was received from any upstream since `quiet_since`; `None` if none is blocked.
    pub(crate) fn update(&mut self, now: Tick, quiet_since: Option<Tick>) -> bool {
        !is_quiet(now, quiet_since) && std::mem::take(&mut self.is_separated)
    }

    /// Whether other upstreams are to be asked now; records the question if so. A host that sends to a
    /// single upstream hears nothing of the others.
    pub(crate) fn should_ask(&mut self, now: Tick, quiet_since: Option<Tick>) -> bool {
        let is_due = !self.is_separated && !self.is_asking && now >= self.next_ask;
        let should_ask = is_due && is_quiet(now, quiet_since);
        self.is_asking |= should_ask;
        should_ask
    }

    /// Records the answer to the question; returns whether the host is separated from now on.
    pub(crate) fn asked(&mut self, now: Tick, quiet_since: Option<Tick>, is_reached: bool) -> bool {
        self.is_asking = false;
        self.next_ask = now + SILENCE_MS;
        let is_new = is_quiet(now, quiet_since) && !is_reached && !self.is_separated;
        self.is_separated |= is_new;
        is_new
    }
}
