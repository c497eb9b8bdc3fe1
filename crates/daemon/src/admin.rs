//! HTTP interface for operators: health, readiness, metrics and the state dump.

use crate::{hub::Input, shared::Shared, telemetry};
use serde_json::json;
use std::{
    sync::{
        Arc,
        atomic::Ordering,
        mpsc::{Sender, channel},
    },
    time::Duration,
};
use vanetally_link::http::{Exchange, Reply};

const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers the health and readiness paths, which the load balancer may request on either port.
pub(crate) fn health(shared: &Shared, path: &str) -> Option<Reply> {
    match path {
        "/healthz" => Some(Reply::new(200, "text/plain", "ok\n")),
        "/readyz" if shared.ready.load(Ordering::Relaxed) => {
            Some(Reply::new(200, "text/plain", "ready\n"))
        }
        "/readyz" => Some(Reply::new(503, "text/plain", "not ready\n")),
        _ => None,
    }
}

/// Serves one exchange on the operators' port.
pub(crate) fn serve(shared: &Arc<Shared>, hub: &Sender<Input>, exchange: Exchange) {
    if let Some(reply) = health(shared, exchange.head().path()) {
        return exchange.answer(reply);
    }
    let reply = match exchange.head().path() {
        "/metrics" => Reply::new(200, "text/plain; version=0.0.4", telemetry::handle().render()),
        "/state" => dump_state(hub),
        "/revision" => {
            let revision = shared.revision();
            Reply::json(200, &serde_json::to_value(&*revision).unwrap_or_default())
        }
        path => Reply::json(404, &json!({"error": {"message": format!("no `{path}` here")}})),
    };
    exchange.answer(reply);
}

fn dump_state(hub: &Sender<Input>) -> Reply {
    let (sender, inbox) = channel();
    let sent = hub.send(Input::Dump(sender)).is_ok();
    match sent.then(|| inbox.recv_timeout(DUMP_TIMEOUT)) {
        Some(Ok(state)) => Reply::json(200, &state),
        _ => Reply::json(503, &json!({"error": {"message": "the daemon is stopping or stuck"}})),
    }
}
