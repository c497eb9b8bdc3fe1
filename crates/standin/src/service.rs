//! A plain service that counts each run of each request id.

use crate::fault::{Fate, Switch, lost};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use vanetally_link::http::{Exchange, Options, Reply, Server, Stopper};

#[derive(Debug, Default)]
struct Counts {
    runs: BTreeMap<String, u64>,
    requests: u64,
    after_leaving: u64,
}

/// A service that listens.
pub struct Service {
    counts: Mutex<Counts>,
    faults: Switch,
    takes: Duration,
}

const MOST_BODY: u64 = 8_000_000;

impl Service {
    /// Starts a service at `address`; each call takes `takes`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_start(
        address: SocketAddr,
        takes: Duration,
    ) -> anyhow::Result<(SocketAddr, Stopper)> {
        let service = Arc::new(Self { counts: Mutex::default(), faults: Switch::default(), takes });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let stopper = server.serve("service", Options::default(), move |e| service.serve(e));
        Ok((address, stopper))
    }

    fn serve(&self, mut exchange: Exchange) {
        let reply = match exchange.path() {
            "/fault" => self.faults.set(&mut exchange),
            "/stats" => self.stats(),
            _ if !self.faults.pass() => lost(),
            _ => self.run(&mut exchange),
        };
        exchange.answer(reply);
    }

    fn run(&self, exchange: &mut Exchange) -> Reply {
        let body = exchange.body(MOST_BODY).unwrap_or_default();
        let key = exchange.header("Idempotency-Key").map(str::to_owned);
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        counts.requests += 1;
        if self.faults.now().leaving {
            counts.after_leaving += 1;
            return Reply::json(503, &json!({"error": "leaving"}))
                .with_header("X-Verdict", "not-run");
        }
        if let Some(key) = &key {
            *counts.runs.entry(key.clone()).or_insert(0) += 1;
        }
        drop(counts);
        let fate = self.faults.fate();
        thread::sleep(self.takes);
        if fate != Fate::Normal {
            return lost();
        }
        Reply::json(
            200,
            &json!({
                "service": "stand-in", "method": exchange.method(), "path": exchange.url(),
                "caller": exchange.header("X-Caller"), "id": key,
                "body": String::from_utf8_lossy(&body),
            }),
        )
    }

    fn stats(&self) -> Reply {
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
