//! Sends one order on a connection of its own.
//!
//! Answers to orders carry no id. On a connection that carries nothing else, the first answer belongs to the order. And a
//! connection of its own can be reset as soon as the order is given up or its lease is left, so that it does not arrive
//! later, possibly after orders of the next holder.

use crate::{hub::Hub, pool, telemetry};
use bytes::Bytes;
use http::{Request, Response, header::HOST, response::Parts};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{cell::RefCell, net::SocketAddr, time::Duration};
use tokio::time::timeout;
use vanetally_link::{
    revocable::{Revocable, Revoker},
    socket,
};
use vanetally_ports::Order;

/// Timeout of an order to a runner.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Minimum time that an order must have left: a shorter one would only be given up.
const MIN_LIFE: Duration = Duration::from_millis(100);

/// Why an order has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The order was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The order was sent and may have been taken. Its connection was reset.
    #[error("no answer: {0}")]
    Unanswered(ResetReason),
}

/// Why the connection of an order was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ResetReason {
    /// No answer came in time.
    #[error("timeout")]
    TimedOut,
    /// The lease was left, or ended before the order was written.
    #[error("revoked")]
    Revoked,
    /// The connection failed.
    #[error("failed")]
    Failed,
}

impl ResetReason {
    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::TimedOut => "timeout",
            Self::Revoked => "revoked",
            Self::Failed => "failed",
        }
    }
}

/// The connections of the orders that have no answer.
#[derive(Default)]
pub(crate) struct OpenOrders(RefCell<Vec<Revoker>>);

impl OpenOrders {
    fn add(&self, revoker: Revoker) {
        self.0.borrow_mut().push(revoker);
    }

    /// Resets the connections of all orders that have no answer.
    pub(crate) fn revoke_all(&self) {
        let revoked = self.0.borrow_mut().drain(..).filter(Revoker::revoke).count();
        if revoked > 0 {
            log::warn!("event=orders_revoked count={revoked}");
        }
    }

    /// Forgets the connections that are closed.
    fn prune(&self) {
        self.0.borrow_mut().retain(|revoker| !revoker.is_revoked());
    }
}

/// Sends `order` to `address` and returns the head of the answer.
pub(crate) async fn send_order(
    hub: &Hub,
    order: &Order,
    address: SocketAddr,
) -> Result<Parts, Error> {
    let request = hub.ports.engine.order_request(order);
    let request = request.map_err(|error| {
        log::error!("event=request_not_built call=order runner={} error=\"{error}\"", order.runner);
        Error::NotSent(error.to_string())
    })?;
    let connecting = allowed_life(hub, order)?;
    let stream = socket::connect_bounded(address, connecting.min(socket::CONNECT_TIMEOUT)).await;
    let stream = stream.map_err(|error| Error::NotSent(error.to_string()))?;
    // Connecting has used part of the lease, or the lease is over.
    let life = allowed_life(hub, order)?;
    let (clock, until) = (hub.clock, hub.clock.now() + life.as_millis() as u64);
    let connection = Revocable::new(stream, life, move || clock.now() < until);
    let connection = connection.map_err(|error| Error::NotSent(error.to_string()))?;
    let revoker = connection.revoker();
    hub.open_orders.add(revoker.clone());
    let answer = timeout(life, exchange(request, address, connection)).await;
    let was_revoked = !revoker.revoke();
    hub.open_orders.prune();
    match answer {
        Ok(Ok(head)) => Ok(head),
        _ if was_revoked => Err(record_reset(order, ResetReason::Revoked)),
        Ok(Err(error)) => {
            log::debug!("event=order_failed runner={} error=\"{error}\"", order.runner);
            Err(record_reset(order, ResetReason::Failed))
        }
        Err(_) => Err(record_reset(order, ResetReason::TimedOut)),
    }
}

/// Returns how long the order may be on its way from now on.
fn allowed_life(hub: &Hub, order: &Order) -> Result<Duration, Error> {
    let now = hub.clock.now();
    let until = hub.order_lease.borrow().orders_until(now, order.token);
    let left = until.map(|until| Duration::from_millis(until.since(now)));
    let left = left.filter(|left| *left >= MIN_LIFE);
    left.map(|left| left.min(ORDER_TIMEOUT))
        .ok_or_else(|| Error::NotSent("the lease is over".into()))
}

async fn exchange(
    mut request: Request<Bytes>,
    address: SocketAddr,
    connection: Revocable,
) -> Result<Parts, hyper::Error> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let mut sender = pool::start(connection).await?;
    let request: Request<Full<_>> = request.map(Full::new);
    let response: Response<Incoming> = sender.send_request(request).await?;
    Ok(response.into_parts().0)
}

fn record_reset(order: &Order, reason: ResetReason) -> Error {
    log::info!(
        "event=order_reset runner={} count={} token={} reason={}",
        order.runner,
        order.orders_before,
        order.token,
        reason.as_str()
    );
    telemetry::order_reset(reason.as_str());
    Error::Unanswered(reason)
}
