//! The platform's service: key-value store with compare-and-swap, watches and leases, and the host
//! list.
//!
//! `GET /kv/KEY`, `GET /kv/KEY?after=VERSION&wait_ms=N` (watch), `PUT /kv/KEY?version=BASE`
//! (`&lease=ID`), `POST /lease?ttl_ms=N`, `PUT /lease/ID`, `GET /hosts`, `PUT /hosts`,
//! `POST /snapshot`, `POST /restore`, `POST /fault`, `GET /stats`.

use crate::{
    fault::{FaultInjector, Outcome, lost_answer},
    server::options,
};
use percent_encoding::percent_decode_str;
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use vanetally_link::http::{Exchange, Reply, Server, Stopper};
use vanetally_member::ListedHost;

const MAX_VALUE_BYTES: usize = 1_000_000;
const MAX_WAIT_MS: u64 = 60_000;
/// Rate limits of writes and of reads.
const RATE_LIMITS_PER_S: (f64, f64) = (300.0, 2_000.0);

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    bytes: Vec<u8>,
    /// The lease whose end removes the entry.
    lease: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    reads: u64,
    writes: u64,
    refused: u64,
    watches: u64,
    limited: u64,
}

struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Takes one token if there is one; `rate` is the refill per second and the burst size.
    fn take(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(rate);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

struct State {
    entries: BTreeMap<String, Entry>,
    snapshot: Option<BTreeMap<String, Entry>>,
    version: u64,
    /// Time of the last renewal and duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Each version of the host list with the time at which it was set.
    hosts: Vec<(Instant, Vec<ListedHost>)>,
    counts: Counts,
    writes: TokenBucket,
    reads: TokenBucket,
}

/// The platform's running service.
pub struct Platform {
    state: Mutex<State>,
    changed: Condvar,
    faults: FaultInjector,
    credential: String,
}

impl Platform {
    /// Starts the service at `address`; it answers callers that present `credential`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_start(
        address: SocketAddr,
        credential: &str,
    ) -> anyhow::Result<(SocketAddr, Stopper)> {
        let now = Instant::now();
        let bucket = |tokens| TokenBucket { tokens, refilled_at: now };
        let state = State {
            entries: BTreeMap::new(),
            snapshot: None,
            version: 0,
            leases: BTreeMap::new(),
            hosts: Vec::new(),
            counts: Counts::default(),
            writes: bucket(RATE_LIMITS_PER_S.0),
            reads: bucket(RATE_LIMITS_PER_S.1),
        };
        let platform = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            faults: FaultInjector::default(),
            credential: format!("Bearer {credential}"),
        });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let stopper =
            server.serve("platform", options(MAX_VALUE_BYTES), move |e| platform.serve(e));
        Ok((address, stopper))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, exchange: Exchange) {
        let method = exchange.head().method();
        let path = exchange.head().path().to_owned();
        let reply = match (method, path.as_str()) {
            ("POST", "/fault") => self.faults.update(&exchange),
            ("GET", "/stats") => self.stats_reply(),
            ("POST", "/snapshot") => self.snapshot(),
            ("POST", "/restore") => self.restore(),
            ("PUT", "/hosts") => self.set_hosts(&exchange),
            _ if !self.faults.is_up_after_delay() => lost_answer(),
            _ if exchange.head().header("Authorization") != Some(&self.credential) => {
                Reply::new(401, "text/plain", "unknown credential\n")
            }
            ("GET", "/hosts") => self.hosts_reply(),
            ("POST", "/lease") => self.grant_lease(&exchange),
            _ => self.handle_lease_or_key(method, &path, &exchange),
        };
        exchange.answer(reply);
    }

    /// Handles the paths that name a lease or a key.
    fn handle_lease_or_key(&self, method: &str, path: &str, exchange: &Exchange) -> Reply {
        if let Some(id) = path.strip_prefix("/lease/").and_then(|id| id.parse().ok()) {
            return self.renew_lease(id);
        }
        let Some(key) = path.strip_prefix("/kv/") else {
            return Reply::new(404, "text/plain", "nothing here\n");
        };
        let Ok(key) = percent_decode_str(key).decode_utf8() else {
            return Reply::new(400, "text/plain", "no key\n");
        };
        match method {
            "GET" => self.handle_get(&key, exchange),
            "PUT" => self.handle_put(&key, exchange),
            _ => Reply::new(405, "text/plain", "GET or PUT\n"),
        }
    }

    fn handle_get(&self, key: &str, exchange: &Exchange) -> Reply {
        let number = |name: &str| exchange.head().query(name).and_then(|v| v.parse::<u64>().ok());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let mut state = self.lock();
        if !state.reads.take(RATE_LIMITS_PER_S.1) {
            state.counts.limited += 1;
            return Reply::new(429, "text/plain", "too many reads\n");
        }
        state.counts.reads += 1;
        let Some(after) = number("after") else {
            return value_reply(200, state.entries.get(key));
        };
        state.counts.watches += 1;
        let deadline = Instant::now() + wait;
        loop {
            let is_unchanged = state.entries.get(key).map_or(0, |e| e.version) == after;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !is_unchanged || remaining.is_zero() {
                return value_reply(200, state.entries.get(key));
            }
            let woken = self.changed.wait_timeout(state, remaining.min(Duration::from_millis(100)));
            state = woken.unwrap_or_else(|e| e.into_inner()).0;
            if self.faults.current().down {
                return lost_answer();
            }
        }
    }

    fn handle_put(&self, key: &str, exchange: &Exchange) -> Reply {
        let Ok(bytes) = exchange.body() else {
            return Reply::new(413, "text/plain", "a value has at most a megabyte\n");
        };
        let number = |name: &str| exchange.head().query(name).and_then(|v| v.parse::<u64>().ok());
        let base = number("version").unwrap_or(0);
        let lease = number("lease");
        let outcome = self.faults.next_outcome();
        if outcome == Outcome::RequestLost {
            return lost_answer();
        }
        let mut state = self.lock();
        if !state.writes.take(RATE_LIMITS_PER_S.0) {
            state.counts.limited += 1;
            return Reply::new(429, "text/plain", "too many writes\n");
        }
        state.counts.writes += 1;
        let current = state.entries.get(key).map_or(0, |e| e.version);
        if current != base {
            state.counts.refused += 1;
            return value_reply(409, state.entries.get(key));
        }
        state.version += 1;
        let entry = Entry { version: state.version, bytes: bytes.to_vec(), lease };
        let reply =
            Reply::new(200, "text/plain", "").with_header("X-Version", entry.version.to_string());
        state.entries.insert(key.to_owned(), entry);
        drop(state);
        self.changed.notify_all();
        if outcome == Outcome::Normal { reply } else { lost_answer() }
    }

    fn grant_lease(&self, exchange: &Exchange) -> Reply {
        let ttl = exchange.head().query("ttl_ms").and_then(|v| v.parse().ok()).unwrap_or(10_000);
        let mut state = self.lock();
        state.version += 1;
        let id = state.version;
        state.leases.insert(id, (Instant::now(), Duration::from_millis(ttl)));
        Reply::new(200, "text/plain", id.to_string())
    }

    /// Renews a lease, after removing the expired leases and their entries.
    fn renew_lease(&self, id: u64) -> Reply {
        let mut state = self.lock();
        let now = Instant::now();
        let expired: Vec<u64> =
            state.leases.iter().filter(|(_, l)| now > l.0 + l.1).map(|(id, _)| *id).collect();
        for id in expired {
            state.leases.remove(&id);
            state.entries.retain(|_, entry| entry.lease != Some(id));
        }
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.0 = now;
                Reply::new(200, "text/plain", "renewed\n")
            }
            None => Reply::new(404, "text/plain", "lapsed\n"),
        }
    }

    fn hosts_reply(&self) -> Reply {
        let lag = Duration::from_millis(self.faults.current().list_lag_ms);
        let mut state = self.lock();
        state.counts.reads += 1;
        let visible = state.hosts.iter().rev().find(|(set_at, _)| set_at.elapsed() >= lag);
        let list = visible.or(state.hosts.first()).map(|(_, list)| list.clone());
        Reply::json(200, &json!(list.unwrap_or_default()))
    }

    fn set_hosts(&self, exchange: &Exchange) -> Reply {
        let body = exchange.body().unwrap_or_default();
        match serde_json::from_slice::<Vec<ListedHost>>(&body) {
            Ok(list) => {
                self.lock().hosts.push((Instant::now(), list));
                Reply::new(200, "text/plain", "set\n")
            }
            Err(e) => Reply::new(400, "text/plain", format!("{e}\n")),
        }
    }

    fn snapshot(&self) -> Reply {
        let mut state = self.lock();
        state.snapshot = Some(state.entries.clone());
        Reply::new(200, "text/plain", "kept\n")
    }

    /// Restores the last snapshot under new, higher versions.
    fn restore(&self) -> Reply {
        let mut state = self.lock();
        let mut entries = state.snapshot.clone().unwrap_or_default();
        for entry in entries.values_mut() {
            state.version += 1;
            entry.version = state.version;
        }
        state.entries = entries;
        drop(state);
        self.changed.notify_all();
        Reply::new(200, "text/plain", "restored\n")
    }

    fn stats_reply(&self) -> Reply {
        let state = self.lock();
        let counts = &state.counts;
        Reply::json(
            200,
            &json!({
                "reads": counts.reads, "writes": counts.writes, "refused": counts.refused,
                "watches": counts.watches, "limited": counts.limited,
                "keys": state.entries.len(), "faults": self.faults.current(),
            }),
        )
    }
}

/// The reply with an entry's value and version; 404 in place of 200 if there is none.
fn value_reply(status: u16, entry: Option<&Entry>) -> Reply {
    match entry {
        None => Reply::new(if status == 200 { 404 } else { status }, "text/plain", ""),
        Some(entry) => Reply::new(status, "application/octet-stream", entry.bytes.clone())
            .with_header("X-Version", entry.version.to_string()),
    }
}
