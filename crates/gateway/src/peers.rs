//! Other hosts: their keys in the store, and what hosts tell each other over links.

use crate::{
    feed::{PrefixChanges, PrefixSnapshot},
    hub::Hub,
    tenure::HOLDER_KEY,
    watch::Follower,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_dispatch::{Digest, LoadRow};
use vanetally_fanout::{Patch, StoreState};
use vanetally_pacing::{Prompt, Slot};
use vanetally_placement::TenureEvent;
use vanetally_ports::{Change, Item, LeaseId, Revision, StoreAnswer, Transaction, Write};
use vanetally_types::Name;

/// The beginning of all keys of the product.
pub(crate) const PREFIX: &str = "vanetally/";
/// The beginning of the hosts' keys.
const HOSTS: &str = "vanetally/hosts/";

/// What a host's key says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostEntry {
    /// Where its links listen.
    pub link: SocketAddr,
    /// Its failure domain.
    #[serde(default, alias = "zone")]
    pub domain: Name,
    /// Its share of a processor, in percent.
    #[serde(default)]
    pub capacity: u32,
}

/// What hosts tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// From one aggregator to others: the load of the sender and its subscribers, and the version
    /// of its configuration.
    Digest {
        /// The version, 0 if none.
        version: u64,
        /// The load.
        digest: Digest,
    },
    /// To an aggregator: the sender's load, and the version of its configuration.
    Report {
        /// The number of this report.
        number: u64,
        /// The version, 0 if none.
        version: u64,
        /// The load.
        digest: Digest,
    },
    /// From an aggregator to its subscribers.
    Total(Total),
    /// To an aggregator: the sender wants to hear all that it knows, and changes from then on.
    Subscribe,
    /// To an aggregator: the sender needs no more.
    Unsubscribe,
    /// From an aggregator: all that it knows.
    Snapshots {
        /// Its contact with the store.
        store: StoreState,
        /// The keys.
        prefixes: Vec<PrefixSnapshot>,
    },
    /// From an aggregator: what changed.
    Changes {
        /// Its contact with the store.
        store: StoreState,
        /// The changes.
        changes: PrefixChanges,
    },
    /// To the pacer of an engine: when may this prompt be sent?
    Reserve {
        /// The number of this question.
        number: u64,
        /// The prompt.
        prompt: Prompt,
    },
    /// From the pacer of an engine.
    Reserved {
        /// The number of the question.
        number: u64,
        /// When.
        slot: Slot,
    },
    /// To the holder of orders: something is missing.
    Want {
        /// The service.
        service: Name,
        /// The model.
        model: Name,
        /// An adapter of it.
        adapter: Option<Name>,
        /// Whether it is held, and one more copy is wanted.
        #[serde(default)]
        is_crowded: bool,
    },
    /// From the holder of orders: what a runner holds.
    Placed {
        /// The runner.
        runner: Name,
        /// The model.
        model: Name,
        /// An adapter of it.
        adapter: Option<Name>,
        /// Whether it is there.
        is_present: bool,
    },
    /// The sender asks for the configuration.
    AskConfiguration {
        /// The version that it has.
        have: Option<u64>,
    },
    /// The configuration as it lay in the store.
    Configuration(Patch),
}

/// What an aggregator tells its subscribers, now and then.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Total {
    /// The reports that the loads include.
    pub reported: Vec<(Name, u64)>,
    /// The version of the configuration, 0 if none.
    pub version: u64,
    /// Milliseconds since the store confirmed what the aggregator passes on.
    pub age_ms: Option<u64>,
    /// The aggregator's contact with the store.
    pub store: StoreState,
    /// Up to where changes were told before this, by prefix: what is missing then was lost.
    pub told: Vec<(Name, Revision)>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// The load of all hosts.
    pub loads: Vec<LoadRow>,
}

/// Follows the product's own keys.
pub(crate) struct PeerFollower {
    pub hub: Rc<Hub>,
}

impl Follower for PeerFollower {
    fn replaced(&self, snapshot: crate::store::Snapshot) {
        let hosts = snapshot.items.iter().filter_map(entry).collect();
        self.hub.set_peers(hosts);
        let holder = snapshot.items.iter().find(|item| &*item.key == HOLDER_KEY);
        self.hub.holder_seen(holder.and_then(holder_name));
    }

    fn changed(&self, change: Change) {
        match change {
            Change::Put(item) if &*item.key == HOLDER_KEY => {
                self.hub.holder_seen(holder_name(&item));
            }
            Change::Put(item) => {
                if let Some((host, entry)) = entry(&item) {
                    self.hub.peer_seen(host, entry);
                }
            }
            Change::Gone { key, .. } if &*key == HOLDER_KEY => self.hub.holder_seen(None),
            Change::Gone { key, .. } => {
                if let Some(host) = key.strip_prefix(HOSTS) {
                    self.hub.peer_gone(&host.into());
                }
            }
        }
    }

    fn lost(&self) {
        self.hub.tenure_event(TenureEvent::StoreLost);
    }
}

fn entry(item: &Item) -> Option<(Name, HostEntry)> {
    let host = item.key.strip_prefix(HOSTS)?;
    match serde_json::from_slice(&item.value) {
        Ok(entry) => Some((host.into(), entry)),
        Err(error) => {
            log::error!("event=host_unreadable host={host} error=\"{error}\"");
            None
        }
    }
}

fn holder_name(item: &Item) -> Option<Name> {
    std::str::from_utf8(&item.value).ok().map(Name::from)
}

/// Length of a host key's lease, in milliseconds.
const HOST_TTL_MS: u64 = 6_000;
/// Renewals in one length of the lease.
const RENEWALS: u32 = 3;
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(400);

/// Keeps this host's key in the store, for as long as the process lives.
pub(crate) async fn register(hub: Rc<Hub>) {
    loop {
        let ttl = HOST_TTL_MS.max(hub.settings.store.least_ttl_ms);
        if let Ok(StoreAnswer::Done((lease, ttl_ms))) = hub.store.grant(ttl).await {
            let is_written = write_key(&hub, lease).await;
            hub.host_lease.set(Some(lease));
            if is_written {
                renew(&hub, lease, Duration::from_millis(ttl_ms)).await;
            }
            hub.host_lease.set(None);
        }
        sleep(crate::watch::jittered(RETRY)).await;
    }
}

async fn write_key(hub: &Hub, lease: LeaseId) -> bool {
    let link = SocketAddr::new(hub.settings.ip, hub.settings.link_port);
    let (domain, capacity) = (hub.settings.domain.clone(), hub.settings.capacity);
    let Ok(value) = serde_json::to_vec(&HostEntry { link, domain, capacity }) else {
        return false;
    };
    let key = format!("{HOSTS}{}", hub.settings.host).into();
    let write = Write { key, value: value.into(), lease: Some(lease) };
    let transaction = Transaction { put: vec![write], ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}

/// Renews until the lease is over.
async fn renew(hub: &Hub, lease: LeaseId, ttl: Duration) {
    loop {
        sleep(ttl / RENEWALS).await;
        if let Ok(StoreAnswer::NoLease) = hub.store.renew(lease).await {
            log::info!("event=host_lease_over lease={}", lease.0);
            return;
        }
    }
}
