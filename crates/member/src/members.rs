//! The hosts as this one sees them.
//!
//! Two sources: the platform's list, which lags, and what hosts say over links. Only a later
//! incarnation of the same host proves that a process has ended; silence never does.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{HostId, Name, Tick};

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: Name,
    /// Where its links are accepted, `IP:PORT`.
    pub peer: Name,
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
    pub listed: Listed,
    /// Whether the platform's list has it now.
    pub present: bool,
    /// The highest incarnation that spoke.
    pub incarnation: Option<u64>,
    /// When it last spoke.
    pub heard: Option<Tick>,
    /// When this host first knew of it.
    pub since: Tick,
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
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The other hosts.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// This process was paused: that peers have not been heard says nothing of them. They get the
    /// time to speak again before they are suspected.
    pub fn resume(&mut self, now: Tick) {
        for peer in self.peers.values_mut() {
            peer.since = now;
            peer.heard = peer.heard.map(|_| now);
        }
    }

    /// Takes the platform's list.
    pub fn listed(&mut self, now: Tick, list: Vec<Listed>) {
        for peer in self.peers.values_mut() {
            peer.present = false;
        }
        for host in list {
            if host.name == self.me.name {
                continue;
            }
            let peer = self.peers.entry(host.name.clone()).or_insert_with(|| Peer {
                listed: host.clone(),
                present: true,
                incarnation: None,
                heard: None,
                since: now,
                leaving: false,
            });
            peer.present = true;
            peer.listed = host;
        }
        let suspect = self.suspect;
        self.peers
            .retain(|_, p| p.present || p.heard.is_some_and(|h| now.since(h) < 100 * suspect));
    }

    /// A host spoke. Returns the earlier incarnation that this proves to have ended.
    pub fn heard(&mut self, now: Tick, host: Listed, incarnation: u64) -> Option<HostId> {
        if host.name == self.me.name {
            return None;
        }
        let name = host.name.clone();
        let peer = self.peers.entry(name.clone()).or_insert_with(|| Peer {
            listed: host.clone(),
            present: false,
            incarnation: None,
            heard: None,
            since: now,
            leaving: false,
        });
        if peer.incarnation.is_some_and(|old| old > incarnation) {
            return None;
        }
        let ended = peer.incarnation.filter(|old| *old < incarnation);
        peer.incarnation = Some(incarnation);
        peer.heard = Some(now);
        peer.leaving = host.leaving;
        ended.map(|old| HostId::new(name, old))
    }

    /// Whether the host may be given duties: it speaks, or has not had the time to, and is not
    /// leaving.
    pub fn is_alive(&self, now: Tick, name: &str) -> bool {
        if *name == *self.me.name {
            return !self.leaving;
        }
        self.peers.get(name).is_some_and(|p| self.peer_alive(now, p))
    }

    fn peer_alive(&self, now: Tick, peer: &Peer) -> bool {
        if peer.leaving || (peer.present && peer.listed.leaving) {
            return false;
        }
        let last = peer.heard.unwrap_or(peer.since);
        now.since(last) < self.suspect
    }

    /// Whether exactly this process may be given duties.
    pub fn is_current(&self, now: Tick, host: &HostId) -> bool {
        if *host == self.me {
            return !self.leaving;
        }
        let known = self.peers.get(&host.name).and_then(|p| p.incarnation);
        self.is_alive(now, &host.name) && known.is_none_or(|i| i <= host.incarnation)
    }

    /// Whether exactly this process speaks now, leaving or not.
    pub fn is_reachable(&self, now: Tick, host: &HostId) -> bool {
        if *host == self.me {
            return true;
        }
        self.peers.get(&host.name).is_some_and(|p| {
            let last = p.heard.unwrap_or(p.since);
            let known = p.incarnation.is_none_or(|i| i <= host.incarnation);
            known && now.since(last) < self.suspect
        })
    }

    /// The hosts that may be given duties, this one included.
    pub fn alive(&self, now: Tick) -> Vec<Name> {
        let others = self.peers.values().filter(|p| self.peer_alive(now, p));
        let mut names: Vec<Name> = others.map(|p| p.listed.name.clone()).collect();
        if !self.leaving {
            names.push(self.me.name.clone());
        }
        names.sort();
        names
    }

    /// The process that runs on the host `name` now, once it has spoken.
    pub fn current(&self, name: &str) -> Option<HostId> {
        if *name == *self.me.name {
            return Some(self.me.clone());
        }
        let peer = self.peers.get(name)?;
        Some(HostId::new(peer.listed.name.clone(), peer.incarnation?))
    }

    /// Whether the process is proved to have ended by a later one on the same host.
    pub fn has_ended(&self, host: &HostId) -> bool {
        self.current(&host.name).is_some_and(|now| host.is_superseded_by(&now))
    }
}
