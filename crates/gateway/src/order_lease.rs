//! Performs the store calls requested by the order lease's state machine.

use crate::hub::Hub;
use std::rc::Rc;
use tokio::task::spawn_local;
use vanetally_placement::{OrderLeaseAction, OrderLeaseEvent};
use vanetally_ports::{
    Expectation, FencingToken, LeaseId, Revision, StoreAnswer, Transaction, Write,
};
use vanetally_types::Name;

/// Key that names the holder of the order lease, the one host that sends orders.
pub(crate) const HOLDER_KEY: &str = "vanetally/orders";

/// Performs `action` and passes its outcome to the state machine. Orders are revoked before this returns.
pub(crate) fn perform(hub: &Rc<Hub>, action: OrderLeaseAction) {
    let owner = hub.clone();
    match action {
        OrderLeaseAction::RevokeOrders => hub.open_orders.revoke_all(),
        OrderLeaseAction::Grant { ttl_ms } => start(hub, grant(owner, ttl_ms)),
        OrderLeaseAction::WriteKey { lease } => start(hub, write_key(owner, lease)),
        OrderLeaseAction::Renew { lease } => start(hub, renew(owner, lease)),
        OrderLeaseAction::End { lease } => {
            log::info!("event=order_lease_ended lease={}", lease.id);
            // If the call fails, the lease expires by itself.
            spawn_local(async move { drop(owner.store.end(lease).await) });
        }
    }
}

/// Starts a call whose outcome the state machine waits for.
fn start(hub: &Rc<Hub>, call: impl Future<Output = OrderLeaseEvent> + 'static) {
    let hub = hub.clone();
    spawn_local(async move {
        let event = call.await;
        hub.order_lease_event(event);
    });
}

async fn grant(hub: Rc<Hub>, ttl_ms: u64) -> OrderLeaseEvent {
    let sent = hub.clock.now();
    match hub.store.grant(ttl_ms).await {
        Ok(StoreAnswer::Done((lease, ttl_ms))) => OrderLeaseEvent::Granted { sent, lease, ttl_ms },
        _ => OrderLeaseEvent::GrantFailed,
    }
}

async fn write_key(hub: Rc<Hub>, lease: LeaseId) -> OrderLeaseEvent {
    let key: Name = HOLDER_KEY.into();
    let value = hub.settings.host.as_bytes().to_vec().into();
    let transaction = Transaction {
        expect: vec![Expectation { key: key.clone(), revision: Revision::default() }],
        put: vec![Write { key, value, lease: Some(lease) }],
        remove: Vec::new(),
    };
    match hub.store.transact(&transaction).await {
        Ok(StoreAnswer::Done(revision)) => check_written(&hub, lease, revision).await,
        // Without a response the key may still be written. It is removed with its lease, which is
        // ended.
        _ => OrderLeaseEvent::KeyNotWritten,
    }
}

/// Checks the written key, which may belong to a lease of an earlier era.
async fn check_written(hub: &Hub, lease: LeaseId, revision: Revision) -> OrderLeaseEvent {
    let token = FencingToken::try_from(revision);
    match token {
        Ok(token) if revision.era == lease.era => {
            log::info!(
                "event=order_lease_taken lease={} revision={revision} token={token}",
                lease.id
            );
            return OrderLeaseEvent::KeyWritten(revision);
        }
        Ok(_) => log::warn!("event=order_key_of_no_lease lease={} revision={revision}", lease.id),
        Err(error) => log::error!("event=order_token_impossible error=\"{error}\""),
    }
    let key: Name = HOLDER_KEY.into();
    let transaction = Transaction {
        expect: vec![Expectation { key: key.clone(), revision }],
        remove: vec![key],
        ..Transaction::default()
    };
    // If the removal fails, the key is removed with its lease.
    let _ = hub.store.transact(&transaction).await;
    OrderLeaseEvent::KeyNotWritten
}

async fn renew(hub: Rc<Hub>, lease: LeaseId) -> OrderLeaseEvent {
    let sent = hub.clock.now();
    match hub.store.renew(lease).await {
        Ok(StoreAnswer::Done(())) => OrderLeaseEvent::Renewed { sent },
        Ok(StoreAnswer::NoLease) => {
            log::warn!("event=order_lease_over lease={}", lease.id);
            OrderLeaseEvent::LeaseExpired
        }
        _ => OrderLeaseEvent::RenewFailed,
    }
}
