//! Reachability of the grantor, and the number of hosts that share a limit without it.

use vanetally_types::{Name, Tick};

/// How long a grantor that did not answer is not asked. Its successor is known within two or three
/// seconds, and each call that it does not answer delays a caller's request.
const SILENCE_MS: u64 = 200;
/// Minimum number of hosts for the size of a share. A host that has just started knows no others,
/// and the smallest deployments have eight hosts.
const MIN_HOSTS: usize = 8;
/// How long hosts count that are no longer known. If the store loses the keys of all hosts, they
/// continue to run, and each would otherwise take the share of all.
const HOST_COUNT_MS: u64 = 60_000;

/// The grantor as known to one host.
#[derive(Clone, Debug, Default)]
pub struct GrantorContact {
    grantor: Option<Name>,
    silent_until: Tick,
    hosts: HostCount,
}

impl GrantorContact {
    /// Sets the host that grants, if one is known.
    pub fn set_grantor(&mut self, grantor: Option<Name>) {
        if self.grantor != grantor {
            self.silent_until = Tick(0);
        }
        self.grantor = grantor;
    }

    /// Returns the grantor if it can be asked now.
    pub fn available_grantor(&self, now: Tick) -> Option<&Name> {
        self.grantor.as_ref().filter(|_| now >= self.silent_until)
    }

    /// Records that `host` did not answer.
    pub fn mark_unanswered(&mut self, now: Tick, host: &Name) {
        if self.grantor.as_ref() == Some(host) {
            self.mark_not_granting(now);
        }
    }

    /// Records that the grantor does not grant now.
    pub fn mark_not_granting(&mut self, now: Tick) {
        self.silent_until = now + SILENCE_MS;
    }

    /// Sets the number of known hosts, including this one.
    pub fn set_hosts(&mut self, now: Tick, hosts: usize) {
        self.hosts.record(now, hosts);
    }

    /// Returns the number of hosts that may spend shares.
    pub fn max_hosts(&self) -> usize {
        self.hosts.max
    }
}

/// Number of hosts that may spend shares.
#[derive(Clone, Copy, Debug)]
struct HostCount {
    max: usize,
    /// When this many hosts were last known.
    seen_at: Tick,
}

impl Default for HostCount {
    fn default() -> Self {
        Self { max: MIN_HOSTS, seen_at: Tick(0) }
    }
}

impl HostCount {
    fn record(&mut self, now: Tick, hosts: usize) {
        let hosts = hosts.max(MIN_HOSTS);
        if hosts >= self.max || now.since(self.seen_at) >= HOST_COUNT_MS {
            *self = Self { max: hosts, seen_at: now };
        }
    }
}
