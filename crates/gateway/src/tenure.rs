//! The calls to the store that this host's tenure asks for.

use crate::hub::Hub;
use std::rc::Rc;
use vanetally_placement::{TenureAction, TenureEvent};
use vanetally_ports::{
    Expectation, FencingToken, LeaseId, Revision, StoreAnswer, Transaction, Write,
};
use vanetally_types::Name;

/// The key of the one host that gives orders.
pub(crate) const HOLDER_KEY: &str = "vanetally/orders";

/// Makes the call of `action` and tells the tenure how it went.
pub(crate) async fn carry_out(hub: Rc<Hub>, action: TenureAction) {
    let event = match action {
        TenureAction::Grant { ttl_ms } => grant(&hub, ttl_ms).await,
        TenureAction::Take { lease } => take(&hub, lease).await,
        TenureAction::Renew { lease } => renew(&hub, lease).await,
        TenureAction::End { lease } => {
            log::info!("event=order_lease_ended lease={}", lease.id);
            // If it can't be ended it runs out.
            let _ = hub.store.end(lease).await;
            return;
        }
    };
    hub.tenure_event(event);
}

async fn grant(hub: &Hub, ttl_ms: u64) -> TenureEvent {
    let sent = hub.clock.now();
    match hub.store.grant(ttl_ms).await {
        Ok(StoreAnswer::Done((lease, ttl_ms))) => TenureEvent::Granted { sent, lease, ttl_ms },
        _ => TenureEvent::GrantFailed,
    }
}

async fn take(hub: &Hub, lease: LeaseId) -> TenureEvent {
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
        _ => TenureEvent::NotTaken,
    }
}

/// The key was written, though perhaps under a lease of an era that is over.
async fn taken(hub: &Hub, lease: LeaseId, revision: Revision) -> TenureEvent {
    let token = FencingToken::try_from(revision);
    match token {
        Ok(token) if revision.era == lease.era => {
            log::info!(
                "event=order_lease_taken lease={} revision={revision} token={token}",
                lease.id
            );
            return TenureEvent::Taken(revision);
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
    TenureEvent::NotTaken
}

async fn renew(hub: &Hub, lease: LeaseId) -> TenureEvent {
    let sent = hub.clock.now();
    match hub.store.renew(lease).await {
        Ok(StoreAnswer::Done(())) => TenureEvent::Renewed { sent },
        Ok(StoreAnswer::NoLease) => {
            log::warn!("event=order_lease_over lease={}", lease.id);
            TenureEvent::LeaseOver
        }
        _ => TenureEvent::RenewFailed,
    }
}
