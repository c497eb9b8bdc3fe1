//! The hosts of each failure domain that starting hosts turn to first.
//!
//! A host that starts needs one host that forwards store data; from that one it learns of all others. If each of n
//! hosts that start together listed all n, the store would send n times n keys. So some hosts of a failure domain write
//! themselves into its few entry keys, and the others read these.

use crate::{
    feed::MAX_ENTRY_BYTES, host_entry::HostEntry, hub::Hub, odd_entries::OddEntries,
    settings::Settings, sources, store::Snapshot,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};
use vanetally_fanout::{
    EntryEnd, EntryPoint, EntryResult, EntrySearch, EntryStep, Event, entry_key,
};
use vanetally_ports::{
    Expectation, Freshness, Item, LeaseId, Revision, StoreAnswer, Transaction, Write,
};
use vanetally_types::Name;

/// Prefix of the keys; the rest of a key is the failure domain and the number of the key.
const ENTRY_PREFIX: &str = "vanetally/entries/";

/// Time in which the hosts that start together have read the keys.
const REWRITE_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum wait for the lease before a key is written again.
const MAX_LEASE_WAIT_MS: u64 = 5_000;

/// The value of an entry key.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EntryValue {
    host: Name,
    entry: HostEntry,
}

/// This host's attempts to find an entry point, one at a time.
pub(crate) struct EntryAttempts {
    search: RefCell<EntrySearch>,
    is_running: Cell<bool>,
}

impl EntryAttempts {
    pub(crate) fn new(settings: &Settings) -> Self {
        let search = EntrySearch::new(
            settings.host.clone(),
            settings.domain.clone(),
            settings.is_first_start,
        );
        Self { search: RefCell::new(search), is_running: Cell::new(false) }
    }

    fn next(&self, result: EntryResult<'_>) -> EntryStep {
        self.search.borrow_mut().next(result)
    }
}

/// Finds a host that forwards store data, or lists all hosts.
pub(crate) async fn find_source(hub: Rc<Hub>) {
    if hub.entry_attempts.is_running.replace(true) {
        return;
    }
    attempt(&hub).await;
    hub.entry_attempts.is_running.set(false);
}

async fn attempt(hub: &Rc<Hub>) {
    let attempts = &hub.entry_attempts;
    let mut values: Vec<Option<EntryValue>> = Vec::new();
    let mut step = attempts.search.borrow_mut().begin();
    let end = loop {
        step = match step {
            EntryStep::AwaitLease(max_ms) => {
                attempts.next(EntryResult::LeaseAwaited(await_lease(hub, max_ms).await))
            }
            EntryStep::Pause(ms) => {
                sleep(Duration::from_millis(ms)).await;
                attempts.next(EntryResult::Paused)
            }
            EntryStep::Read => {
                match hub.store.range(ENTRY_PREFIX, Freshness::Newest, MAX_ENTRY_BYTES).await {
                    Ok(snapshot) => {
                        let (entries, read) = parse(&snapshot, hub.store.odd_entries());
                        values = read;
                        attempts.next(EntryResult::Read(Some(&entries)))
                    }
                    Err(_) => attempts.next(EntryResult::Read(None)),
                }
            }
            EntryStep::Claim(revision) => {
                attempts.next(EntryResult::Written(claim(hub, revision).await))
            }
            EntryStep::End(end) => break end,
        };
    };
    let mut value = |at: usize| values.swap_remove(at);
    match end {
        EntryEnd::Found(at) => turn_to(hub, value(at)),
        EntryEnd::Claimed(at) => {
            log::info!("event=entry_point_claimed domain={}", hub.settings.domain);
            match at.and_then(value) {
                Some(older) => turn_to(hub, Some(older)),
                None => hub.source_event(Event::EntryClaimed),
            }
        }
        EntryEnd::Named(revision, at) => {
            log::info!("event=entry_point_kept domain={}", hub.settings.domain);
            tokio::task::spawn_local(rewrite(hub.clone(), revision));
            match at.and_then(value) {
                Some(older) => turn_to(hub, Some(older)),
                None => hub.source_event(Event::EntryClaimed),
            }
        }
        EntryEnd::ListHosts => sources::list_hosts(hub.clone()).await,
        EntryEnd::Failed => {}
    }
}

fn turn_to(hub: &Rc<Hub>, entry_point: Option<EntryValue>) {
    let Some(EntryValue { host, entry }) = entry_point else {
        return;
    };
    log::info!("event=entry_point_found host={host} domain={}", entry.domain);
    hub.peers.borrow_mut().insert(host.clone(), entry);
    hub.introduced.borrow_mut().insert(host.clone());
    hub.source_event(Event::EntryFound(host));
}

/// Waits until this host has written its key; returns whether it has.
async fn await_lease(hub: &Hub, max_ms: u64) -> bool {
    let mut lease = hub.host_lease.subscribe();
    timeout(Duration::from_millis(max_ms), lease.wait_for(Option::is_some)).await.is_ok()
}

fn own_key(hub: &Hub) -> Name {
    let (domain, number) = (&hub.settings.domain, entry_key(&hub.settings.host));
    format!("{ENTRY_PREFIX}{domain}/{number:x}").into()
}

/// Returns the entry points of all failure domains, and the value of each one.
fn parse(snapshot: &Snapshot, odd: &OddEntries) -> (Vec<EntryPoint>, Vec<Option<EntryValue>>) {
    let parsed = snapshot.items.iter().filter_map(|item| {
        let (domain, number) = item.key.strip_prefix(ENTRY_PREFIX)?.rsplit_once('/')?;
        let number = u64::from_str_radix(number, 16).ok()?;
        let value = parse_value(item, odd);
        let host = value.as_ref().map(|value| value.host.clone());
        Some((EntryPoint { domain: domain.into(), number, host, revision: item.revision }, value))
    });
    parsed.unzip()
}

fn parse_value(item: &Item, odd: &OddEntries) -> Option<EntryValue> {
    let parsed = serde_json::from_slice(&item.value).inspect_err(|error| {
        if let Some(passed_over) = odd.record("entries", "malformed") {
            log::error!(
                "event=entry_point_unreadable error=\"{error:.120}\" passed_over={passed_over}"
            );
        }
    });
    parsed.ok()
}

/// Makes this host an entry point, unless the key has changed since `revision`; returns whether it is one.
async fn claim(hub: &Hub, revision: Revision) -> bool {
    // The key goes with the host's own one. Without that one this host is not reachable yet.
    let lease = *hub.host_lease.borrow();
    let Some(lease) = lease else {
        return false;
    };
    matches!(write(hub, own_key(hub), revision, lease).await, Some(StoreAnswer::Done(_)))
}

/// Writes the key that has named this host since before its start with the new lease.
async fn rewrite(hub: Rc<Hub>, revision: Revision) {
    sleep(REWRITE_DELAY).await;
    let has_lease = await_lease(&hub, MAX_LEASE_WAIT_MS).await;
    // The earlier lease may have expired meanwhile.
    if !has_lease || !(claim(&hub, revision).await || claim(&hub, Revision::default()).await) {
        log::info!("event=entry_point_lost domain={}", hub.settings.domain);
    }
}

async fn write(
    hub: &Hub,
    key: Name,
    revision: Revision,
    lease: LeaseId,
) -> Option<StoreAnswer<Revision>> {
    let entry_point = EntryValue { host: hub.settings.host.clone(), entry: hub.own_entry() };
    let value = serde_json::to_vec(&entry_point)
        .inspect_err(|error| log::error!("event=entry_point_not_written error=\"{error}\""));
    let transaction = Transaction {
        expect: vec![Expectation { key: key.clone(), revision }],
        put: vec![Write { key, value: Bytes::from(value.ok()?), lease: Some(lease) }],
        ..Transaction::default()
    };
    hub.store.transact(&transaction).await.ok()
}
