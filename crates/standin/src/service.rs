//! The plain service, which counts the runs of each idempotency key.

use crate::{
    fault::{FaultInjector, Outcome, lost_answer},
    server::options,
};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use vanetally_link::http::{Exchange, Reply, Server, Stopper};

#[derive(Debug, Default)]
struct Counts {
    /// Number of runs by idempotency key.
    runs: BTreeMap<String, u64>,
    requests: u64,
    /// Requests that arrived after the service announced that it is leaving.
    after_leaving: u64,
}

/// A running service.
pub struct Service {
    counts: Mutex<Counts>,
    faults: FaultInjector,
    run_time: Duration,
}

const MAX_BODY_BYTES: usize = 8_000_000;

impl Service {
    /// Starts a service at `address` whose calls take `run_time` each.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_start(
        address: SocketAddr,
        run_time: Duration,
    ) -> anyhow::Result<(SocketAddr, Stopper)> {
        let service =
            Arc::new(Self { counts: Mutex::default(), faults: FaultInjector::default(), run_time });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let stopper = server.serve("service", options(MAX_BODY_BYTES), move |e| service.serve(e));
        Ok((address, stopper))
    }

    fn serve(&self, exchange: Exchange) {
        let reply = match exchange.head().path() {
            "/fault" => self.faults.update(&exchange),
            "/stats" => self.stats_reply(),
            _ if !self.faults.is_up_after_delay() => lost_answer(),
            _ => self.handle_call(&exchange),
        };
        exchange.answer(reply);
    }

    fn handle_call(&self, exchange: &Exchange) -> Reply {
        let body = exchange.body().unwrap_or_default();
        let key = exchange.head().header("Idempotency-Key").map(str::to_owned);
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        counts.requests += 1;
        if self.faults.current().leaving {
            counts.after_leaving += 1;
            return Reply::json(503, &json!({"error": "leaving"}))
                .with_header("X-Verdict", "not-run");
        }
        if let Some(key) = &key {
            *counts.runs.entry(key.clone()).or_insert(0) += 1;
        }
        drop(counts);
        let outcome = self.faults.next_outcome();
        thread::sleep(self.run_time);
        if outcome != Outcome::Normal {
            return lost_answer();
        }
        Reply::json(
            200,
            &json!({
                "service": "stand-in", "method": exchange.head().method(), "path": exchange.head().url(),
                "caller": exchange.head().header("X-Caller"), "id": key,
                "body": String::from_utf8_lossy(&body),
            }),
        )
    }

    fn stats_reply(&self) -> Reply {
        let counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        Reply::json(
            200,
            &json!({
                "runs": counts.runs, "requests": counts.requests,
                "after_leaving": counts.after_leaving,
            }),
        )
    }
}
