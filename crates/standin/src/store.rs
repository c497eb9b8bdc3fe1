//! The weight store: `POST /load?ms=N` answers after a load that takes N milliseconds.

use crate::{
    fault::{FaultInjector, lost_answer},
    server::options,
};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};
use vanetally_link::http::{Exchange, Reply, Server, Stopper};

/// Maximum size of the body of a request.
const MAX_BODY_BYTES: usize = 1_000_000;

#[derive(Debug)]
struct State {
    running: u32,
    max_running: u32,
    total: u64,
    /// Earliest start of the next load.
    next_start: Instant,
}

/// A running weight store.
pub struct Store {
    state: Mutex<State>,
    freed: Condvar,
    faults: FaultInjector,
    /// Minimum time between the starts of two loads.
    start_interval: Duration,
    /// Maximum number of loads in progress.
    slots: u32,
}

impl Store {
    /// Starts a store at `address` that begins at most `loads_per_10s` loads in ten seconds and has
    /// at most `slots` in progress.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_start(
        address: SocketAddr,
        loads_per_10s: u32,
        slots: u32,
    ) -> anyhow::Result<(SocketAddr, Stopper)> {
        let state = State { running: 0, max_running: 0, total: 0, next_start: Instant::now() };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            freed: Condvar::new(),
            faults: FaultInjector::default(),
            start_interval: Duration::from_secs(10) / loads_per_10s.max(1),
            slots: slots.max(1),
        });
        let server = Server::try_bind(address)?;
        let address = server.address();
        let stopper = server.serve("store", options(MAX_BODY_BYTES), move |e| store.serve(e));
        Ok((address, stopper))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, exchange: Exchange) {
        let reply = match exchange.head().path() {
            "/fault" => self.faults.update(&exchange),
            "/stats" => {
                let state = self.lock();
                Reply::json(200, &json!({"loads": state.total, "most": state.max_running}))
            }
            "/load" if self.faults.is_up_after_delay() => {
                let load_ms = exchange.head().query("ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.load(Duration::from_millis(load_ms))
            }
            _ => lost_answer(),
        };
        exchange.answer(reply);
    }

    fn load(&self, duration: Duration) -> Reply {
        let mut state = self.lock();
        while state.running >= self.slots {
            state = self.freed.wait(state).unwrap_or_else(|e| e.into_inner());
        }
        state.running += 1;
        state.total += 1;
        state.max_running = state.max_running.max(state.running);
        let start = state.next_start.max(Instant::now());
        state.next_start = start + self.start_interval;
        drop(state);
        thread::sleep(start.saturating_duration_since(Instant::now()) + duration);
        self.lock().running -= 1;
        self.freed.notify_one();
        Reply::new(200, "text/plain", "loaded\n")
    }
}
