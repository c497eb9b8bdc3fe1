//! Brittle services: passes on which there are, and keeps that in the store.
//!
//! Hosts that are all replaced at once must not find out again by pushing upstreams over.

use crate::{
    capabilities::Capabilities,
    host_entry::HostEntry,
    hub::Hub,
    odd_entries::Escaped,
    peers::{BrittleService, PeerMessage},
    telemetry,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use vanetally_dispatch::Event;
use vanetally_ports::{Item, StoreAnswer, Transaction, Write};
use vanetally_types::{Incarnation, Name, hash64, rendezvous_rank};

/// Time after which a host passes the same statement on again. Hosts forget one after three times as
/// long.
const REPEAT_MS: u64 = 10_000;

/// Prefix of the stored keys, followed by the service.
const BRITTLE_PREFIX: &str = "vanetally/brittle/";
/// How long the store keeps a statement. It is written again with the next one after that.
const STORED_MS: u64 = 600_000;
/// The sender that the log names for what was read from the store.
const STORE: &str = "store";

/// The stored value of a brittle service.
#[derive(Debug, Serialize, Deserialize)]
struct StoredBrittleness {
    /// Rejections for lack of room in a second that an upstream survives.
    max_rejections: u32,
}

impl Hub {
    /// Handles the statement of an upstream that it survives `max_rejections` rejections in a second.
    pub(crate) fn brittleness_stated(self: &Rc<Self>, upstream: &Incarnation, max_rejections: u32) {
        let state = self.dispatch.borrow().upstream_state(upstream).cloned();
        let Some(service) = state.map(|state| state.service) else {
            return;
        };
        if self.record_brittle(&service, max_rejections, "answer") {
            self.store_brittle(&service, max_rejections);
            let services = vec![BrittleService { service, max_rejections }];
            self.forward_brittle(&self.settings.host, services);
        }
    }

    /// Handles what another host says of brittle services.
    pub(crate) fn brittle_reported(self: &Rc<Self>, from: &Name, services: Vec<BrittleService>) {
        let is_news =
            |one: &BrittleService| self.record_brittle(&one.service, one.max_rejections, from);
        let news: Vec<BrittleService> = services.into_iter().filter(is_news).collect();
        news.iter().for_each(|one| self.store_brittle(&one.service, one.max_rejections));
        if !news.is_empty() {
            self.forward_brittle(from, news);
        }
    }

    /// Records a statement; returns whether other hosts must be told.
    fn record_brittle(self: &Rc<Self>, service: &Name, max_rejections: u32, by: &str) -> bool {
        let now = self.clock.now();
        let known = self.dispatch.borrow().brittleness(service);
        // Upstreams of one service may state different numbers: only a lower one is news at once.
        let is_covered = known.is_some_and(|(old, _)| old <= max_rejections);
        if is_covered && known.is_some_and(|(_, at)| now.since(at) < REPEAT_MS) {
            return false;
        }
        if known.is_none_or(|(old, _)| old != max_rejections) {
            log::info!(
                "event=brittleness_stated service={service} rejections_per_s={max_rejections} by={by}"
            );
            telemetry::brittleness_stated();
        }
        let service = service.clone();
        self.request_event(Event::BrittlenessStated { service, max_rejections });
        true
    }

    /// Sends what is news about brittle services on to the hosts that pass it on in turn.
    fn forward_brittle(&self, from: &Name, services: Vec<BrittleService>) {
        let message = PeerMessage::Brittle(services);
        let hosts = self.forward_receivers(from);
        let peers = self.peers.borrow();
        let understands = |host: &&Name| {
            let capabilities = peers.get(*host).map(|entry: &HostEntry| entry.capabilities);
            capabilities.is_some_and(|known| known.includes(Capabilities::BRITTLE))
        };
        self.send_all(hosts.iter().filter(understands), &message);
    }

    /// Sends a starting host the known brittle services.
    pub(crate) fn send_brittle(&self, host: &Name) {
        let known = self.dispatch.borrow().brittle_services();
        let entry = self.peers.borrow().get(host).cloned();
        let understands =
            entry.is_some_and(|entry| entry.capabilities.includes(Capabilities::BRITTLE));
        if understands && !known.is_empty() {
            let services = known.into_iter();
            let services = services
                .map(|(service, max_rejections)| BrittleService { service, max_rejections });
            self.send(host, &PeerMessage::Brittle(services.collect()));
        }
    }

    /// Handles what the store keeps of a brittle service.
    pub(crate) fn apply_stored_brittle(self: &Rc<Self>, item: &Item) {
        let Some(service) = item.key.strip_prefix(BRITTLE_PREFIX).map(Name::from) else {
            return;
        };
        match serde_json::from_slice(&item.value) {
            Ok(StoredBrittleness { max_rejections }) => {
                self.record_brittle(&service, max_rejections, STORE);
            }
            Err(error) => {
                let odd = self.store.odd_entries();
                if let Some(passed_over) = odd.record("brittle", "malformed") {
                    let service = Escaped(&service);
                    log::error!(
                        "event=brittleness_unreadable service={service} error=\"{error:.120}\" passed_over={passed_over}"
                    );
                }
            }
        }
    }

    /// Writes a brittle service to the store, if it is not there and this host does so for the service.
    fn store_brittle(self: &Rc<Self>, service: &Name, max_rejections: u32) {
        if self.stored_rejections(service).is_some_and(|stored| stored <= max_rejections)
            || !self.writes_brittle(service)
        {
            return;
        }
        let (hub, service) = (self.clone(), service.clone());
        tokio::task::spawn_local(async move {
            if !write(&hub, &service, max_rejections).await {
                // It is written with the next statement.
                log::info!("event=brittleness_not_kept service={service}");
            }
        });
    }

    /// What the local copy of the store says of a service.
    fn stored_rejections(&self, service: &Name) -> Option<u32> {
        let key = format!("{BRITTLE_PREFIX}{service}");
        let feeds = self.feeds.borrow();
        feeds.iter().find_map(|feed| {
            let mirror = feed.mirror.borrow();
            let item = mirror.items().find(|item| *item.key == *key)?;
            let stored = serde_json::from_slice::<StoredBrittleness>(&item.value).ok()?;
            Some(stored.max_rejections)
        })
    }

    /// Whether this host is the one that writes to the store that a service is brittle.
    fn writes_brittle(&self, service: &Name) -> bool {
        let peers = self.peers.borrow();
        let own = &self.settings.host;
        let understands = |(host, entry): &(&Name, &HostEntry)| {
            *host != own && entry.capabilities.includes(Capabilities::BRITTLE)
        };
        let hosts = peers.iter().filter(understands).map(|(host, _)| host).chain([own]);
        rendezvous_rank(hash64(service.as_bytes()), hosts).first() == Some(&own)
    }
}

/// Whether `key` is that of a brittle service.
pub(crate) fn is_brittleness(key: &str) -> bool {
    key.starts_with(BRITTLE_PREFIX)
}

/// Writes a brittle service to the store; returns whether that succeeded.
async fn write(hub: &Hub, service: &Name, max_rejections: u32) -> bool {
    let Ok(value) = serde_json::to_vec(&StoredBrittleness { max_rejections }) else {
        return false;
    };
    let ttl_ms = STORED_MS.max(hub.settings.store.min_ttl_ms);
    let Ok(StoreAnswer::Done((lease, _))) = hub.store.grant(ttl_ms).await else {
        return false;
    };
    let key = format!("{BRITTLE_PREFIX}{service}").into();
    let put = vec![Write { key, value: value.into(), lease: Some(lease) }];
    let transaction = Transaction { put, ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}
