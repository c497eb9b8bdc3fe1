//! Registration of this host's key in the store.

use crate::{hub::Hub, peers::HOST_PREFIX, settings::StoreSettings, watch::jittered};
use rand::RngExt;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_ports::{LeaseId, StoreAnswer, Transaction, Write};

/// Requested TTL of the host key's lease.
const HOST_TTL_MS: u64 = 6_000;
/// Renewals per TTL of the lease; a failed one is repeated every `RETRY_PAUSE`.
const RENEWALS_PER_TTL: u32 = 2;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Write calls that a host needs to write its key.
const CALLS_PER_KEY: f64 = 2.0;
/// Share of the store's write rate that all hosts together use to write their keys again.
const REWRITE_SHARE: f64 = 0.25;

/// Keeps this host's key in the store until the process ends.
pub(crate) async fn register(hub: Rc<Hub>) {
    loop {
        let ttl = HOST_TTL_MS.max(hub.settings.store.min_ttl_ms);
        if let Ok(StoreAnswer::Done((lease, ttl_ms))) = hub.store.grant(ttl).await {
            let is_written = write_key(&hub, lease).await;
            hub.host_lease.send_replace(Some(lease));
            if is_written {
                renew(&hub, lease, Duration::from_millis(ttl_ms)).await;
            }
            hub.host_lease.send_replace(None);
        }
        sleep(jittered(RETRY_PAUSE)).await;
    }
}

/// Returns the time that `hosts` hosts need to write their keys again at the permitted rate.
pub(crate) fn rewrite_time(hosts: usize, store: &StoreSettings) -> Duration {
    Duration::from_secs_f64(hosts as f64 * CALLS_PER_KEY / (store.writes_per_s * REWRITE_SHARE))
}

/// Returns a random delay within [`rewrite_time`].
fn random_rewrite_delay(hub: &Hub) -> Duration {
    let period = rewrite_time(hub.peers.borrow().len(), &hub.settings.store);
    period.mul_f64(rand::rng().random_range(0.0..1.0))
}

async fn write_key(hub: &Hub, lease: LeaseId) -> bool {
    let Ok(value) = serde_json::to_vec(&hub.own_entry()) else {
        return false;
    };
    let key = format!("{HOST_PREFIX}{}", hub.settings.host).into();
    let write = Write { key, value: value.into(), lease: Some(lease) };
    let transaction = Transaction { put: vec![write], ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}

/// Renews the lease until it expires or its era ends. A lease of an earlier era is not relied on,
/// even if time remains.
async fn renew(hub: &Hub, lease: LeaseId, ttl: Duration) {
    let mut eras = hub.store.eras().subscribe();
    let mut pause = ttl / RENEWALS_PER_TTL;
    loop {
        let is_era_over = tokio::select! {
            () = sleep(pause) => false,
            // The sender lives as long as the store.
            _ = eras.wait_for(|era| *era > lease.era) => true,
        };
        if is_era_over {
            let pause = random_rewrite_delay(hub);
            log::info!("event=host_key_again pause_ms={}", pause.as_millis());
            return sleep(pause).await;
        }
        pause = match hub.store.renew(lease).await {
            Ok(StoreAnswer::Done(())) => ttl / RENEWALS_PER_TTL,
            Ok(StoreAnswer::NoLease) => {
                log::info!("event=host_lease_over lease={}", lease.id);
                return;
            }
            _ => jittered(RETRY_PAUSE),
        };
    }
}
