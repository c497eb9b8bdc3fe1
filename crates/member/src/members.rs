//! The hosts known to this one.
//!
//! They are known from two sources: the platform's list, which lags, and pings over links. Only a
//! later incarnation of the same host proves that a process has ended; silence never does.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use vanetally_types::{HostId, Name, Tick};

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedHost {
    /// Host name.
    pub name: Name,
    /// Address on which it accepts links, `IP:PORT`.
    #[serde(rename = "peer")]
    pub link_addr: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// The hosts whose entries can be read.
    pub hosts: Vec<ListedHost>,
    /// Number of the other entries.
    pub unreadable: usize,
}

impl HostList {
    /// Parses a list entry by entry; `None` if `bytes` are no list.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let rows: Vec<&RawValue> = serde_json::from_slice(bytes).ok()?;
        let hosts = rows.iter().filter_map(|row| serde_json::from_str(row.get()).ok());
        let hosts: Vec<ListedHost> = hosts.collect();
        let unreadable = rows.len() - hosts.len();
        Some(Self { hosts, unreadable })
    }
}

/// Known state of another host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its entry in the platform's list; kept after the host was removed from the list.
    pub listed: ListedHost,
    /// Whether the platform's latest list contains it.
    pub is_listed: bool,
    /// The highest incarnation that sent a ping.
    pub incarnation: Option<u64>,
    /// When its last ping arrived.
    pub last_seen: Option<Tick>,
    /// When this host first learned of it, or last restarted its timeout.
    pub known_since: Tick,
    /// Whether its last ping stated that it is leaving.
    pub leaving: bool,
}

/// All hosts known to this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Members {
    host_id: HostId,
    suspect_ms: u64,
    leaving: bool,
    peers: BTreeMap<Name, Peer>,
}

impl Members {
    /// Creates an empty membership; a peer silent for `suspect_ms` is suspected to have failed.
    pub fn new(host_id: HostId, suspect_ms: u64) -> Self {
        Self { host_id, suspect_ms, leaving: false, peers: BTreeMap::new() }
    }

    /// This process.
    pub fn host_id(&self) -> &HostId {
        &self.host_id
    }

    /// Marks this host as leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The other hosts.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Restarts the timeouts of all peers after this process was paused: it may have missed their
    /// pings, so their silence is no sign of failure.
    pub fn reset_timeouts(&mut self, now: Tick) {
        for peer in self.peers.values_mut() {
            peer.known_since = now;
            peer.last_seen = peer.last_seen.map(|_| now);
        }
    }

    /// Applies the platform's list. Unlisted hosts are forgotten after a long silence.
    pub fn update_list(&mut self, now: Tick, list: Vec<ListedHost>) {
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        for host in list {
            if host.name == self.host_id.name {
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
        let suspect_ms = self.suspect_ms;
        self.peers.retain(|_, p| {
            p.is_listed || p.last_seen.is_some_and(|at| now.since(at) < 100 * suspect_ms)
        });
    }

    /// Records a ping. Returns the earlier incarnation that it proves to have ended.
    pub fn record_ping(&mut self, now: Tick, host: ListedHost, incarnation: u64) -> Option<HostId> {
        if host.name == self.host_id.name {
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
        if peer.incarnation.is_some_and(|known| known > incarnation) {
            return None;
        }
        let ended = peer.incarnation.filter(|previous| *previous < incarnation);
        peer.incarnation = Some(incarnation);
        peer.last_seen = Some(now);
        peer.leaving = host.leaving;
        ended.map(|previous| HostId::new(name, previous))
    }

    /// Whether the host may hold slots and groups: it is not silent, or not known for long enough to
    /// be suspected, and it is not leaving.
    pub fn is_host_eligible(&self, now: Tick, name: &str) -> bool {
        if *name == *self.host_id.name {
            return !self.leaving;
        }
        self.peers.get(name).is_some_and(|p| self.peer_eligible(now, p))
    }

    fn peer_eligible(&self, now: Tick, peer: &Peer) -> bool {
        if peer.leaving || (peer.is_listed && peer.listed.leaving) {
            return false;
        }
        let last_seen = peer.last_seen.unwrap_or(peer.known_since);
        now.since(last_seen) < self.suspect_ms
    }

    /// Whether this process may hold slots and groups and no later one is known on its host.
    pub fn is_process_eligible(&self, now: Tick, host: &HostId) -> bool {
        if *host == self.host_id {
            return !self.leaving;
        }
        let known = self.peers.get(&host.name).and_then(|p| p.incarnation);
        self.is_host_eligible(now, &host.name) && known.is_none_or(|i| i <= host.incarnation)
    }

    /// Whether this process is not suspected and no later one is known on its host; it may be
    /// leaving.
    pub fn is_reachable(&self, now: Tick, host: &HostId) -> bool {
        if *host == self.host_id {
            return true;
        }
        self.peers.get(&host.name).is_some_and(|p| {
            let last_seen = p.last_seen.unwrap_or(p.known_since);
            let is_latest = p.incarnation.is_none_or(|i| i <= host.incarnation);
            is_latest && now.since(last_seen) < self.suspect_ms
        })
    }

    /// Sorted names of the hosts that may hold slots and groups, this one included.
    pub fn eligible_hosts(&self, now: Tick) -> Vec<Name> {
        let others = self.peers.values().filter(|p| self.peer_eligible(now, p));
        let mut names: Vec<Name> = others.map(|p| p.listed.name.clone()).collect();
        if !self.leaving {
            names.push(self.host_id.name.clone());
        }
        names.sort();
        names
    }

    /// The latest known process on the host `name`; `None` before its first ping.
    pub fn current_process(&self, name: &str) -> Option<HostId> {
        if *name == *self.host_id.name {
            return Some(self.host_id.clone());
        }
        let peer = self.peers.get(name)?;
        Some(HostId::new(peer.listed.name.clone(), peer.incarnation?))
    }

    /// Whether a later process on the same host proves that this one has ended.
    pub fn has_ended(&self, host: &HostId) -> bool {
        self.current_process(&host.name).is_some_and(|current| host.is_superseded_by(&current))
    }
}
