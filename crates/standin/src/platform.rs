//! The platform's service: compare-and-swap, watches, leases, and the list of hosts.
//!
//! `GET /kv/KEY`, `GET /kv/KEY?after=VERSION&wait_ms=N` (watch), `PUT /kv/KEY?version=BASE`
//! (`&lease=ID`), `POST /lease?ttl_ms=N`, `PUT /lease/ID`, `GET /hosts`, `PUT /hosts`,
//! `POST /snapshot`, `POST /restore`, `POST /fault`, `GET /stats`.

use crate::fault::{Fate, Switch, lost};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use vanetally_link::http::{Exchange, Options, Reply, Server, Stopper};
use vanetally_member::ListedHost;

const MOST_VALUE: u64 = 1_000_000;
const MOST_WAIT: u64 = 60_000;
/// Writes and reads allowed a second.
const RATES: (f64, f64) = (300.0, 2_000.0);

#[derive(Clone, Debug)]
struct Cell {
    version: u64,
    bytes: Vec<u8>,
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

struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(rate);
        self.at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

struct State {
    cells: BTreeMap<String, Cell>,
    snapshot: Option<BTreeMap<String, Cell>>,
    version: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// The list with the time from which each state of it is visible.
    hosts: Vec<(Instant, Vec<ListedHost>)>,
    counts: Counts,
    writes: Bucket,
    reads: Bucket,
}

/// A platform's service that listens.
pub struct Platform {
    state: Mutex<State>,
    changed: Condvar,
    faults: Switch,
    credential: String,
}

impl Platform {
    /// Starts the service at `address`; callers must show `credential`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_start(
        address: SocketAddr,
        credential: &str,
    ) -> anyhow::Result<(SocketAddr, Stopper)> {
        let now = Instant::now();
        let bucket = |tokens| Bucket { tokens, at: now };
        let state = State {
            cells: BTreeMap::new(),
            snapshot: None,
            version: 0,
            leases: BTreeMap::new(),
            hosts: Vec::new(),
            counts: Counts::default(),
            writes: bucket(RATES.0),
            reads: bucket(RATES.1),
        };
        let platform = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            faults: Switch::default(),
            credential: format!("Bearer {credential}"),
        });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let stopper = server.serve("platform", Options::default(), move |e| platform.serve(e));
        Ok((address, stopper))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, mut exchange: Exchange) {
        let method = exchange.method();
        let path = exchange.path().to_owned();
        let reply = match (method.as_str(), path.as_str()) {
            ("POST", "/fault") => self.faults.set(&mut exchange),
            ("GET", "/stats") => self.stats(),
            ("POST", "/snapshot") => self.snapshot(),
            ("POST", "/restore") => self.restore(),
            ("PUT", "/hosts") => self.set_hosts(&mut exchange),
            _ if !self.faults.pass() => lost(),
            _ if exchange.header("Authorization") != Some(&self.credential) => {
                Reply::new(401, "text/plain", "unknown credential\n")
            }
            ("GET", "/hosts") => self.hosts(),
            ("POST", "/lease") => self.lease(&exchange),
            _ => self.keyed(&method, &path, &mut exchange),
        };
        exchange.answer(reply);
    }

    fn keyed(&self, method: &str, path: &str, exchange: &mut Exchange) -> Reply {
        if let Some(id) = path.strip_prefix("/lease/").and_then(|id| id.parse().ok()) {
            return self.renew(id);
        }
        let Some(key) = path.strip_prefix("/kv/") else {
            return Reply::new(404, "text/plain", "nothing here\n");
        };
        match method {
            "GET" => self.get(key, exchange),
            "PUT" => self.put(key, exchange),
            _ => Reply::new(405, "text/plain", "GET or PUT\n"),
        }
    }

    fn get(&self, key: &str, exchange: &Exchange) -> Reply {
        let number = |name: &str| exchange.query(name).and_then(|v| v.parse::<u64>().ok());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MOST_WAIT));
        let mut state = self.lock();
        if !state.reads.take(RATES.1) {
            state.counts.limited += 1;
            return Reply::new(429, "text/plain", "too many reads\n");
        }
        state.counts.reads += 1;
        let Some(after) = number("after") else {
            return value(200, state.cells.get(key));
        };
        state.counts.watches += 1;
        let until = Instant::now() + wait;
        loop {
            let same = state.cells.get(key).map_or(0, |c| c.version) == after;
            let left = until.saturating_duration_since(Instant::now());
            if !same || left.is_zero() {
                return value(200, state.cells.get(key));
            }
            let waited = self.changed.wait_timeout(state, left.min(Duration::from_millis(100)));
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
            if self.faults.now().down {
                return lost();
            }
        }
    }

    fn put(&self, key: &str, exchange: &mut Exchange) -> Reply {
        let Ok(bytes) = exchange.body(MOST_VALUE) else {
            return Reply::new(413, "text/plain", "a value has at most a megabyte\n");
        };
        let number = |name: &str| exchange.query(name).and_then(|v| v.parse::<u64>().ok());
        let base = number("version").unwrap_or(0);
        let lease = number("lease");
        let fate = self.faults.fate();
        if fate == Fate::Lost {
            return lost();
        }
        let mut state = self.lock();
        if !state.writes.take(RATES.0) {
            state.counts.limited += 1;
            return Reply::new(429, "text/plain", "too many writes\n");
        }
        state.counts.writes += 1;
        let current = state.cells.get(key).map_or(0, |c| c.version);
        if current != base {
            state.counts.refused += 1;
            return value(409, state.cells.get(key));
        }
        state.version += 1;
        let cell = Cell { version: state.version, bytes, lease };
        let reply =
            Reply::new(200, "text/plain", "").with_header("X-Version", cell.version.to_string());
        state.cells.insert(key.to_owned(), cell);
        drop(state);
        self.changed.notify_all();
        if fate == Fate::Normal { reply } else { lost() }
    }

    fn lease(&self, exchange: &Exchange) -> Reply {
        let ttl = exchange.query("ttl_ms").and_then(|v| v.parse().ok()).unwrap_or(10_000);
        let mut state = self.lock();
        state.version += 1;
        let id = state.version;
        state.leases.insert(id, (Instant::now(), Duration::from_millis(ttl)));
        Reply::new(200, "text/plain", id.to_string())
    }

    fn renew(&self, id: u64) -> Reply {
        let mut state = self.lock();
        let now = Instant::now();
        let over: Vec<u64> =
            state.leases.iter().filter(|(_, l)| now > l.0 + l.1).map(|(id, _)| *id).collect();
        for id in over {
            state.leases.remove(&id);
            state.cells.retain(|_, cell| cell.lease != Some(id));
        }
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.0 = now;
                Reply::new(200, "text/plain", "renewed\n")
            }
            None => Reply::new(404, "text/plain", "lapsed\n"),
        }
    }

    fn hosts(&self) -> Reply {
        let lag = Duration::from_millis(self.faults.now().list_lag_ms);
        let mut state = self.lock();
        state.counts.reads += 1;
        let visible = state.hosts.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let list = visible.or(state.hosts.first()).map(|(_, list)| list.clone());
        Reply::json(200, &json!(list.unwrap_or_default()))
    }

    fn set_hosts(&self, exchange: &mut Exchange) -> Reply {
        let body = exchange.body(MOST_VALUE).unwrap_or_default();
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
        state.snapshot = Some(state.cells.clone());
        Reply::new(200, "text/plain", "kept\n")
    }

    /// Restores the last snapshot; versions go on growing.
    fn restore(&self) -> Reply {
        let mut state = self.lock();
        let mut cells = state.snapshot.clone().unwrap_or_default();
        for cell in cells.values_mut() {
            state.version += 1;
            cell.version = state.version;
        }
        state.cells = cells;
        drop(state);
        self.changed.notify_all();
        Reply::new(200, "text/plain", "restored\n")
    }

    fn stats(&self) -> Reply {
        let state = self.lock();
        let c = &state.counts;
        Reply::json(
            200,
            &json!({
                "reads": c.reads, "writes": c.writes, "refused": c.refused, "watches": c.watches,
                "limited": c.limited, "keys": state.cells.len(), "faults": self.faults.now(),
            }),
        )
    }
}

fn value(status: u16, cell: Option<&Cell>) -> Reply {
    match cell {
        None => Reply::new(if status == 200 { 404 } else { status }, "text/plain", ""),
        Some(cell) => Reply::new(status, "application/octet-stream", cell.bytes.clone())
            .with_header("X-Version", cell.version.to_string()),
    }
}
