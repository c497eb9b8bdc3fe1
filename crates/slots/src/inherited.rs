//! Requests at an upstream that its new owner did not grant.

use vanetally_types::Tick;

/// Requests that load reports tell of and that other owners granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Inherited {
    count: u32,
    until: Tick,
}

/// Age up to which a grant may be missing in load reports.
const REPORT_LAG_MS: u64 = 200;
/// Time after which own grants account for all requests at the upstream.
const MAX_MS: u64 = 1_000;

impl Inherited {
    /// Takes over an upstream that runs `reported` requests, of which `own` were granted here.
    pub(crate) fn new(now: Tick, reported: u32, own: u32) -> Self {
        Self { count: reported.saturating_sub(own), until: now + MAX_MS }
    }

    /// Returns the requests that still run.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Updates the count with what load reports say now. `own` is the number of grants old enough
    /// to be in them.
    pub(crate) fn update(&mut self, now: Tick, reported: u32, own: u32) {
        let left = reported.saturating_sub(own);
        self.count = if now >= self.until { 0 } else { self.count.min(left) };
    }

    /// Returns the time before which a grant was made that load reports include.
    pub(crate) fn reported_before(now: Tick) -> Tick {
        now - REPORT_LAG_MS
    }
}
