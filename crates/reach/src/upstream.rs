//! What a host knows of its path to one upstream.

use crate::AttemptId;
use std::collections::BTreeMap;
use vanetally_types::Tick;

/// The path to one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamPath {
    /// When bytes were last received on a direct connection.
    pub heard_at: Option<Tick>,
    /// When the upstream last answered on a new direct connection.
    pub proven_at: Option<Tick>,
    /// Since when the upstream is blocked.
    pub blocked_since: Option<Tick>,
    /// Until when the upstream counts as failed, since it answers nobody.
    pub failed_until: Tick,
    /// When a request was last sent, by any path.
    pub used_at: Tick,
    /// Whether a probe is running.
    pub is_probing: bool,
    /// Earliest time of the next probe that no failure asks for.
    pub next_probe: Tick,
    /// Probes in a row that were answered although an attempt got nothing.
    pub quiet_probes: u32,
    /// Direct attempts without an end, with the times at which they were sent.
    pub open: BTreeMap<AttemptId, Tick>,
}

/// Time without a byte from an upstream after which its path is probed while an attempt is open.
pub(crate) const SILENCE_MS: u64 = 400;
/// Maximum number of times that the interval between such probes is doubled: an engine with a long
/// queue says nothing for seconds.
const MAX_DOUBLINGS: u32 = 3;
/// Interval between direct probes of a blocked upstream.
pub(crate) const HEAL_PROBE_MS: u64 = 400;

impl UpstreamPath {
    /// Returns when the upstream was last heard or an open attempt was first sent, whichever is
    /// later; `None` without open attempts.
    fn quiet_since(&self) -> Option<Tick> {
        let first_sent = self.open.values().min().copied()?;
        Some(self.heard_at.map_or(first_sent, |heard| heard.max(first_sent)))
    }

    /// Whether open attempts have received nothing for [`SILENCE_MS`].
    pub(crate) fn is_silent(&self, now: Tick) -> bool {
        self.quiet_since().is_some_and(|since| now.since(since) >= SILENCE_MS)
    }

    /// Records that the upstream was heard on a direct connection.
    pub(crate) fn record_heard(&mut self, now: Tick) {
        self.heard_at = Some(now);
        self.quiet_probes = 0;
    }

    /// Sets the time of the next probe after one that was answered although attempts get nothing.
    pub(crate) fn delay_quiet_probe(&mut self, now: Tick) {
        self.next_probe = now + (SILENCE_MS << self.quiet_probes.min(MAX_DOUBLINGS));
        self.quiet_probes += 1;
    }

    /// Removes and returns the attempts that were sent [`SILENCE_MS`] ago or earlier.
    pub(crate) fn take_silent(&mut self, now: Tick) -> Vec<AttemptId> {
        if !self.is_silent(now) {
            return Vec::new();
        }
        let is_old = |sent: &Tick| now.since(*sent) >= SILENCE_MS;
        let silent = self.open.iter().filter(|(_, sent)| is_old(sent));
        let silent: Vec<AttemptId> = silent.map(|(attempt, _)| *attempt).collect();
        self.open.retain(|attempt, _| !silent.contains(attempt));
        silent
    }

    /// Whether nothing is known that would be missed.
    pub(crate) fn is_idle(&self, now: Tick) -> bool {
        self.open.is_empty() && !self.is_probing && now.since(self.used_at) > IDLE_MS
    }
}

/// Time without a request after which the state of an upstream is dropped.
const IDLE_MS: u64 = 30_000;
