//! The hosts of each failure domain that starting hosts turn to first.
//!
//! A host that starts needs one host that forwards store data; from that one it learns of all others. If each of n
//! hosts that start together listed all n, the store would send n times n keys. So the hosts of a failure
//! domain share a few keys, by their names; the first host of each key writes itself into it, and the others read it.

use crate::{hub::Hub, peers::HostEntry, sources};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};
use vanetally_fanout::{Event, MAX_LEASE_WAIT_MS, entry_delay_ms, entry_key};
use vanetally_ports::{
    Expectation, Freshness, Item, LeaseId, Revision, StoreAnswer, Transaction, Write,
};
use vanetally_types::Name;

/// Prefix of the keys; the rest of a key is the failure domain.
const ENTRY_PREFIX: &str = "vanetally/entries/";
/// Failed attempts in a row after which a host lists all hosts instead.
const MAX_FAILURES: u32 = 5;

/// The value of an entry key.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EntryPoint {
    host: Name,
    entry: HostEntry,
}

/// What a starting host knows of its entry key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntrySearch {
    /// Revision of the key whose host this one has turned to.
    tried: Option<Revision>,
    /// Failed attempts since the last successful one.
    failures: u32,
    /// Whether an attempt is in progress.
    is_running: bool,
}

/// The result of one attempt.
enum Outcome {
    /// Another host is the entry point.
    Found(EntryPoint),
    /// This host has become the entry point.
    Claimed,
    /// The key could not be read or written, or another host was faster.
    Failed,
}

/// Finds a host that forwards store data, or lists all hosts.
pub(crate) async fn find_source(hub: Rc<Hub>) {
    let search = hub.entry_search.get();
    if search.is_running {
        return;
    }
    hub.entry_search.set(EntrySearch { is_running: true, ..search });
    if hub.settings.is_first_start {
        await_turn(&hub).await;
    }
    let outcome = find(&hub).await;
    let failures = match outcome {
        Outcome::Failed => hub.entry_search.get().failures + 1,
        Outcome::Found(_) | Outcome::Claimed => 0,
    };
    hub.entry_search.update(|search| EntrySearch { failures, is_running: false, ..search });
    match outcome {
        Outcome::Found(EntryPoint { host, entry }) => {
            log::info!("event=entry_point_found host={host}");
            hub.peers.borrow_mut().insert(host.clone(), entry);
            hub.source_event(Event::EntryFound(host));
        }
        Outcome::Claimed => {
            log::info!("event=entry_point_claimed domain={}", hub.settings.domain);
            hub.source_event(Event::EntryClaimed);
        }
        Outcome::Failed if failures > MAX_FAILURES => sources::list_hosts(hub).await,
        Outcome::Failed => {}
    }
}

/// Waits until this host has written its key, and for its turn: few hosts of a large domain try to become an entry
/// point, and the others find its key at their first attempt.
async fn await_turn(hub: &Hub) {
    let mut lease = hub.host_lease.subscribe();
    // Without a lease this host only reads.
    let _ =
        timeout(Duration::from_millis(MAX_LEASE_WAIT_MS), lease.wait_for(Option::is_some)).await;
    if hub.entry_search.get().failures == 0 {
        sleep(Duration::from_millis(entry_delay_ms(&hub.settings.host))).await;
    }
}

async fn find(hub: &Hub) -> Outcome {
    let (domain, number) = (&hub.settings.domain, entry_key(&hub.settings.host));
    let key: Name = format!("{ENTRY_PREFIX}{domain}/{number:x}").into();
    let Ok(snapshot) = hub.store.range(&key, Freshness::Newest).await else {
        return Outcome::Failed;
    };
    let item = snapshot.items.into_iter().find(|item| item.key == key);
    let revision = item.as_ref().map(|item| item.revision);
    let known = item.as_ref().and_then(parse);
    match known.filter(|known| known.host != hub.settings.host) {
        Some(known) if hub.entry_search.get().tried != revision => {
            hub.entry_search.update(|search| EntrySearch { tried: revision, ..search });
            Outcome::Found(known)
        }
        _ => claim(hub, key, revision.unwrap_or_default()).await,
    }
}

fn parse(item: &Item) -> Option<EntryPoint> {
    let parsed = serde_json::from_slice(&item.value);
    parsed.inspect_err(|error| log::error!("event=entry_point_unreadable error=\"{error}\"")).ok()
}

/// Makes this host an entry point, unless the key has changed since `revision`.
async fn claim(hub: &Hub, key: Name, revision: Revision) -> Outcome {
    // The key goes with the host's own one. Without that one this host is not reachable yet.
    let lease = *hub.host_lease.borrow();
    let Some(lease) = lease else {
        return Outcome::Failed;
    };
    match write(hub, key, revision, lease).await {
        Some(StoreAnswer::Done(_)) => Outcome::Claimed,
        _ => Outcome::Failed,
    }
}

async fn write(
    hub: &Hub,
    key: Name,
    revision: Revision,
    lease: LeaseId,
) -> Option<StoreAnswer<Revision>> {
    let entry_point = EntryPoint { host: hub.settings.host.clone(), entry: hub.own_entry() };
    let value = serde_json::to_vec(&entry_point)
        .inspect_err(|error| log::error!("event=entry_point_not_written error=\"{error}\""));
    let transaction = Transaction {
        expect: vec![Expectation { key: key.clone(), revision }],
        put: vec![Write { key, value: Bytes::from(value.ok()?), lease: Some(lease) }],
        ..Transaction::default()
    };
    hub.store.transact(&transaction).await.ok()
}
