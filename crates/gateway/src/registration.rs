//! This host's key in the store.

use crate::{hub::Hub, peers::HOSTS, settings::StoreSettings, watch::jittered};
use rand::RngExt;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_ports::{LeaseId, StoreAnswer, Transaction, Write};

/// Length of a host key's lease, in milliseconds.
const HOST_TTL_MS: u64 = 6_000;
/// Renewals in one length of the lease: one that fails is repeated after `RETRY`, again and again.
const RENEWALS: u32 = 2;
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(400);
/// Writing calls by which a host writes its key.
const KEY_CALLS: f64 = 2.0;
/// Share of the store's writing calls that all hosts take together to write their keys again.
const AGAIN_SHARE: f64 = 0.25;

/// Keeps this host's key in the store, for as long as the process lives.
pub(crate) async fn register(hub: Rc<Hub>) {
    loop {
        let ttl = HOST_TTL_MS.max(hub.settings.store.min_ttl_ms);
        if let Ok(StoreAnswer::Done((lease, ttl_ms))) = hub.store.grant(ttl).await {
            let is_written = write_key(&hub, lease).await;
            hub.host_lease.set(Some(lease));
            if is_written {
                renew(&hub, lease, Duration::from_millis(ttl_ms)).await;
            }
            hub.host_lease.set(None);
        }
        sleep(jittered(RETRY)).await;
    }
}

/// The time that so many hosts together need to write their keys again.
pub(crate) fn write_again_time(hosts: usize, store: &StoreSettings) -> Duration {
    Duration::from_secs_f64(hosts as f64 * KEY_CALLS / (store.writes_per_s * AGAIN_SHARE))
}

/// A moment of that time for this host.
fn spread(hub: &Hub) -> Duration {
    let whole = write_again_time(hub.peers.borrow().len(), &hub.settings.store);
    whole.mul_f64(rand::rng().random_range(0.0..1.0))
}

async fn write_key(hub: &Hub, lease: LeaseId) -> bool {
    let Ok(value) = serde_json::to_vec(&hub.own_entry()) else {
        return false;
    };
    let key = format!("{HOSTS}{}", hub.settings.host).into();
    let write = Write { key, value: value.into(), lease: Some(lease) };
    let transaction = Transaction { put: vec![write], ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}

/// Renews until the lease is over, or its era: what is left of it then is not relied on.
async fn renew(hub: &Hub, lease: LeaseId, ttl: Duration) {
    let mut eras = hub.store.eras().follow();
    let mut pause = ttl / RENEWALS;
    loop {
        let is_over = tokio::select! {
            () = sleep(pause) => false,
            // The sender lives as long as the store.
            _ = eras.wait_for(|era| *era > lease.era) => true,
        };
        if is_over {
            let pause = spread(hub);
            log::info!("event=host_key_again pause_ms={}", pause.as_millis());
            return sleep(pause).await;
        }
        pause = match hub.store.renew(lease).await {
            Ok(StoreAnswer::Done(())) => ttl / RENEWALS,
            Ok(StoreAnswer::NoLease) => {
                log::info!("event=host_lease_over lease={}", lease.id);
                return;
            }
            _ => jittered(RETRY),
        };
    }
}
