//! The timing model of a batching engine, and the text that it generates.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Condvar, Mutex, MutexGuard},
    time::Duration,
};
use vanetally_types::hash64;

/// The speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Number of requests that run at full speed at once.
    pub slots: u32,
    /// Time between two tokens while no more requests run than there are slots.
    pub token_interval: Duration,
    /// Prefill time per kilobyte of a prompt whose prefix is not cached.
    pub prefill_per_kb: Duration,
}

#[derive(Debug, Default)]
struct Batch {
    running: u32,
    /// Priority and arrival number of each waiting request.
    waiting: BTreeSet<(u8, u64)>,
    seq: u64,
    /// Hashes of the cached prompt prefixes, least recently used first.
    prefixes: VecDeque<u64>,
}

/// Admits requests to the batch of an engine by priority and derives their timing.
#[derive(Debug)]
pub struct Batcher {
    speed: Speed,
    batch: Mutex<Batch>,
    freed: Condvar,
}

/// Maximum number of running requests, as a multiple of the slots.
const MAX_OVERLOAD_FACTOR: u32 = 2;
/// Maximum number of prompt prefixes in the cache.
const MAX_CACHED_PREFIXES: usize = 64;

impl Batcher {
    /// Creates an empty batch.
    pub fn new(speed: Speed) -> Self {
        Self { speed, batch: Mutex::default(), freed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn counts(&self) -> (u32, u32) {
        let batch = self.lock();
        (batch.running, batch.waiting.len() as u32)
    }

    /// Blocks until the request joins the batch, lowest `priority` value first, then returns its
    /// prefill time, a tenth of the full one for a cached prefix.
    pub fn join(&self, priority: u8, prompt: &str) -> Duration {
        let mut batch = self.lock();
        batch.seq += 1;
        let ticket = (priority, batch.seq);
        batch.waiting.insert(ticket);
        let max_running = self.speed.slots * MAX_OVERLOAD_FACTOR;
        while batch.running >= max_running || batch.waiting.first() != Some(&ticket) {
            batch = self.freed.wait(batch).unwrap_or_else(|e| e.into_inner());
        }
        batch.waiting.remove(&ticket);
        batch.running += 1;
        self.freed.notify_all();
        let head = &prompt.as_bytes()[..prompt.len().min(256)];
        let prefix = hash64(head);
        let cached = batch.prefixes.contains(&prefix);
        batch.prefixes.retain(|p| *p != prefix);
        batch.prefixes.push_back(prefix);
        if batch.prefixes.len() > MAX_CACHED_PREFIXES {
            batch.prefixes.pop_front();
        }
        let kilobytes = prompt.len() as f64 / 1_000.0;
        self.speed.prefill_per_kb.mul_f64(if cached { kilobytes / 10.0 } else { kilobytes })
    }

    /// Removes a request from the batch.
    pub fn leave(&self) {
        self.lock().running -= 1;
        self.freed.notify_all();
    }

    /// Returns the time until the next token, which grows in proportion to the running requests
    /// beyond the slots.
    pub fn token_delay(&self) -> Duration {
        let load_factor = f64::from(self.lock().running) / f64::from(self.speed.slots.max(1));
        self.speed.token_interval.mul_f64(load_factor.max(1.0))
    }
}

/// Returns the `n`th token of the answer to `prompt`. Token 0 is a hash of the prompt, so that an
/// answer that reaches the wrong caller is detected.
pub fn token_text(prompt: &str, n: u64) -> String {
    match n {
        0 => format!("[{:08x}]", hash64(prompt.as_bytes()) as u32),
        n => format!(" w{n}"),
    }
}
