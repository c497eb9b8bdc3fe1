//! Whom a host can ask: the grantor while it answers, and how many hosts share what it grants without one.

use vanetally_types::{Name, Tick};

/// A grantor that did not answer is asked again after this long, in milliseconds: its successor is known within
/// two or three seconds, and each request that asks in vain waits for the answer.
const SILENT_MS: u64 = 200;
/// Shares are never larger than if there were so many hosts: one that has just started knows of no other, and the
/// smallest deployments have eight.
const LEAST_HOSTS: usize = 8;
/// Hosts that are known no more are counted for this long, in milliseconds: when a store forgets the keys of all hosts
/// they live on, and would each take the share of all.
const HOSTS_MS: u64 = 60_000;

/// The grantor, as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct GrantorContact {
    grantor: Option<Name>,
    silent_until: Tick,
    hosts: Hosts,
}

impl GrantorContact {
    /// The host that grants, if one is known.
    pub fn set_grantor(&mut self, grantor: Option<Name>) {
        if self.grantor != grantor {
            self.silent_until = Tick(0);
        }
        self.grantor = grantor;
    }

    /// The host to ask now, if one can be asked.
    pub fn available_grantor(&self, now: Tick) -> Option<&Name> {
        self.grantor.as_ref().filter(|_| now >= self.silent_until)
    }

    /// `host` did not answer.
    pub fn mark_unanswered(&mut self, now: Tick, host: &Name) {
        if self.grantor.as_ref() == Some(host) {
            self.mark_not_granting(now);
        }
    }

    /// The grantor does not grant now.
    pub fn mark_not_granting(&mut self, now: Tick) {
        self.silent_until = now + SILENT_MS;
    }

    /// So many hosts are known, this one included.
    pub fn set_hosts(&mut self, now: Tick, hosts: usize) {
        self.hosts.note(now, hosts);
    }

    /// How many hosts may spend shares.
    pub fn max_hosts(&self) -> usize {
        self.hosts.most
    }
}

/// How many hosts may spend shares.
#[derive(Clone, Copy, Debug)]
struct Hosts {
    most: usize,
    /// When as many were last known.
    at: Tick,
}

impl Default for Hosts {
    fn default() -> Self {
        Self { most: LEAST_HOSTS, at: Tick(0) }
    }
}

impl Hosts {
    fn note(&mut self, now: Tick, hosts: usize) {
        let hosts = hosts.max(LEAST_HOSTS);
        if hosts >= self.most || now.since(self.at) >= HOSTS_MS {
            *self = Self { most: hosts, at: now };
        }
    }
}
