//! The calls to the store that this host's tenure asks for.

use crate::hub::Hub;
use std::rc::Rc;
use vanetally_placement::{OrderLeaseAction, OrderLeaseEvent};
use vanetally_ports::{
    Expectation, FencingToken, LeaseId, Revision, StoreAnswer, Transaction, Write,
};
use vanetally_types::Name;

/// The key of the one host that gives orders.
pub(crate) const HOLDER_KEY: &str = "vanetally/orders";

/// Makes the call of `action` and tells the tenure how it went.
pub(crate) async fn carry_out(hub: Rc<Hub>, action: OrderLeaseAction) {
    let event = match action {
        OrderLeaseAction::Grant { ttl_ms } => grant(&hub, ttl_ms).await,
        OrderLeaseAction::WriteKey { lease } => take(&hub, lease).await,
        OrderLeaseAction::Renew { lease } => renew(&hub, lease).await,
        OrderLeaseAction::End { lease } => {
            log::info!("event=order_lease_ended lease={}", lease.id);
            // If it can't be ended it runs out.
            let _ = hub.store.end(lease).await;
            return;
        }
    };
    hub.tenure_event(event);
}

async fn grant(hub: &Hub, ttl_ms: u64) -> OrderLeaseEvent {
    let sent = hub.clock.now();
    match hub.store.grant(ttl_ms).await {
        Ok(StoreAnswer::Done((lease, ttl_ms))) => OrderLeaseEvent::Granted { sent, lease, ttl_ms },
        _ => OrderLeaseEvent::GrantFailed,
    }
}

async fn take(hub: &Hub, lease: LeaseId) -> OrderLeaseEvent {
    let key: Name = HOLDER_KEY.into();
    let value = hub.settings.host.as_bytes().to_vec().into();
    let transaction = Transaction {
        expect: vec![Expectation { key: key.clone(), revision: Revision::default() }],
        put: vec![Write { key, value, lease: Some(lease) }],
        remove: Vec::new(),
    };
    match hub.store.transact(&transaction).await {
        Ok(StoreAnswer::Done(revision)) => taken(hub, lease, revision).await,
        // Without an answer the key may yet be written: it goes with its lease, which is ended.
        _ => OrderLeaseEvent::KeyNotWritten,
    }
}

/// The key was written, though perhaps under a lease of an era that is over.
async fn taken(hub: &Hub, lease: LeaseId, revision: Revision) -> OrderLeaseEvent {
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
    // What can't be removed goes with its lease.
    let _ = hub.store.transact(&transaction).await;
    OrderLeaseEvent::KeyNotWritten
}

async fn renew(hub: &Hub, lease: LeaseId) -> OrderLeaseEvent {
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
