//! The hosts as this one sees them.
//!
//! Two sources: the platform's list, which lags, and what hosts say over links. Only a later
//! incarnation of the same host proves that a process has ended; silence never does.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{HostId, Name, Tick};

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    pub name: Name,
    /// Where its links are accepted, `IP:PORT`.
    #[serde(rename = "peer")]
    pub link_addr: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Whether the platform is taking it away.
    #[serde(default)]
    pub leaving: bool,
}

/// What is known of another host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// As listed; kept after the list drops the host.
    pub listed: ListedHost,
    /// Whether the platform's list has it now.
    pub is_listed: bool,
    /// The highest incarnation that spoke.
    pub incarnation: Option<u64>,
    /// When it last spoke.
    pub last_seen: Option<Tick>,
    /// When this host first knew of it.
    pub known_since: Tick,
    /// Whether it said that it is leaving.
    pub leaving: bool,
}

/// All hosts that this one knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Members {
    me: HostId,
    suspect: u64,
    leaving: bool,
    peers: BTreeMap<Name, Peer>,
}

impl Members {
    /// Only this host is known; a peer silent for `suspect` milliseconds is suspected.
    pub fn new(me: HostId, suspect: u64) -> Self {
        Self { me, suspect, leaving: false, peers: BTreeMap::new() }
    }

    /// This process.
    pub fn me(&self) -> &HostId {
        &self.me
    }

    /// States that this host is leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The other hosts.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// This process was paused: that peers have not been heard says nothing of them. They get the
    /// time to speak again before they are suspected.
    pub fn reset_timeouts(&mut self, now: Tick) {
        for peer in self.peers.values_mut() {
            peer.known_since = now;
            peer.last_seen = peer.last_seen.map(|_| now);
        }
    }

    /// Takes the platform's list.
    pub fn update_list(&mut self, now: Tick, list: Vec<ListedHost>) {
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        for host in list {
            if host.name == self.me.name {
                continue;
            }
            let peer = self.peers.entry(host.name.clone()).or_insert_with(|| Peer {
                listed: host.clone(),
                is_listed: true,
                incarnation: None,
                last_seen: None,
                known_since: now,
                leaving: false,
            });
            peer.is_listed = true;
            peer.listed = host;
        }
        let suspect = self.suspect;
        self.peers.retain(|_, p| {
            p.is_listed || p.last_seen.is_some_and(|h| now.since(h) < 100 * suspect)
        });
    }

    /// A host spoke. Returns the earlier incarnation that this proves to have ended.
    pub fn record_ping(&mut self, now: Tick, host: ListedHost, incarnation: u64) -> Option<HostId> {
        if host.name == self.me.name {
            return None;
        }
        let name = host.name.clone();
        let peer = self.peers.entry(name.clone()).or_insert_with(|| Peer {
            listed: host.clone(),
            is_listed: false,
            incarnation: None,
            last_seen: None,
            known_since: now,
            leaving: false,
        });
        if peer.incarnation.is_some_and(|old| old > incarnation) {
            return None;
        }
        let ended = peer.incarnation.filter(|old| *old < incarnation);
        peer.incarnation = Some(incarnation);
        peer.last_seen = Some(now);
        peer.leaving = host.leaving;
        ended.map(|old| HostId::new(name, old))
    }

    /// Whether the host may be given duties: it speaks, or has not had the time to, and is not
    /// leaving.
    pub fn is_host_eligible(&self, now: Tick, name: &str) -> bool {
        if *name == *self.me.name {
            return !self.leaving;
        }
        self.peers.get(name).is_some_and(|p| self.peer_eligible(now, p))
    }

    fn peer_eligible(&self, now: Tick, peer: &Peer) -> bool {
        if peer.leaving || (peer.is_listed && peer.listed.leaving) {
            return false;
        }
        let last = peer.last_seen.unwrap_or(peer.known_since);
        now.since(last) < self.suspect
    }

    /// Whether exactly this process may be given duties.
    pub fn is_process_eligible(&self, now: Tick, host: &HostId) -> bool {
        if *host == self.me {
            return !self.leaving;
        }
        let known = self.peers.get(&host.name).and_then(|p| p.incarnation);
        self.is_host_eligible(now, &host.name) && known.is_none_or(|i| i <= host.incarnation)
    }

    /// Whether exactly this process speaks now, leaving or not.
    pub fn is_reachable(&self, now: Tick, host: &HostId) -> bool {
        if *host == self.me {
            return true;
        }
        self.peers.get(&host.name).is_some_and(|p| {
            let last = p.last_seen.unwrap_or(p.known_since);
            let known = p.incarnation.is_none_or(|i| i <= host.incarnation);
            known && now.since(last) < self.suspect
        })
    }

    /// The hosts that may be given duties, this one included.
    pub fn eligible_hosts(&self, now: Tick) -> Vec<Name> {
        let others = self.peers.values().filter(|p| self.peer_eligible(now, p));
        let mut names: Vec<Name> = others.map(|p| p.listed.name.clone()).collect();
        if !self.leaving {
            names.push(self.me.name.clone());
        }
        names.sort();
        names
    }

    /// The process that runs on the host `name` now, once it has spoken.
    pub fn current_process(&self, name: &str) -> Option<HostId> {
        if *name == *self.me.name {
            return Some(self.me.clone());
        }
        let peer = self.peers.get(name)?;
        Some(HostId::new(peer.listed.name.clone(), peer.incarnation?))
    }

    /// Whether the process is proved to have ended by a later one on the same host.
    pub fn has_ended(&self, host: &HostId) -> bool {
        self.current_process(&host.name).is_some_and(|now| host.is_superseded_by(&now))
    }
}
