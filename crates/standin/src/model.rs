//! The time model of a batching engine, and the text that it makes.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Condvar, Mutex, MutexGuard},
    time::Duration,
};
use vanetally_types::hash64;

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Requests at full speed at once.
    pub slots: u32,
    /// Between two tokens of a request that runs alone.
    pub token_interval: Duration,
    /// For a thousand characters of a prompt that is not cached.
    pub prefill: Duration,
}

#[derive(Debug, Default)]
struct Batch {
    running: u32,
    waiting: BTreeSet<(u8, u64)>,
    seq: u64,
    prefixes: VecDeque<u64>,
}

/// The batch of an engine: who runs and who waits.
#[derive(Debug)]
pub struct Batcher {
    speed: Speed,
    batch: Mutex<Batch>,
    freed: Condvar,
}

/// Requests run at once, as a multiple of the slots at full speed.
const OVERFILL: u32 = 2;
/// Prompt beginnings kept in the cache.
const CACHED: usize = 64;

impl Batcher {
    /// An empty batch.
    pub fn new(speed: Speed) -> Self {
        Self { speed, batch: Mutex::default(), freed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Requests running and waiting.
    pub fn counts(&self) -> (u32, u32) {
        let batch = self.lock();
        (batch.running, batch.waiting.len() as u32)
    }

    /// Waits for a place by priority, then returns how long the prompt takes.
    pub fn enter(&self, priority: u8, prompt: &str) -> Duration {
        let mut batch = self.lock();
        batch.seq += 1;
        let ticket = (priority, batch.seq);
        batch.waiting.insert(ticket);
        let most = self.speed.slots * OVERFILL;
        while batch.running >= most || batch.waiting.first() != Some(&ticket) {
            batch = self.freed.wait(batch).unwrap_or_else(|e| e.into_inner());
        }
        batch.waiting.remove(&ticket);
        batch.running += 1;
        self.freed.notify_all();
        let start = &prompt.as_bytes()[..prompt.len().min(256)];
        let prefix = hash64(start);
        let cached = batch.prefixes.contains(&prefix);
        batch.prefixes.retain(|p| *p != prefix);
        batch.prefixes.push_back(prefix);
        if batch.prefixes.len() > CACHED {
            batch.prefixes.pop_front();
        }
        let thousands = prompt.len() as f64 / 1_000.0;
        self.speed.prefill.mul_f64(if cached { thousands / 10.0 } else { thousands })
    }

    /// Gives a place back.
    pub fn leave(&self) {
        self.lock().running -= 1;
        self.freed.notify_all();
    }

    /// Until the next token: longer when more run than there are slots.
    pub fn token(&self) -> Duration {
        let over = f64::from(self.lock().running) / f64::from(self.speed.slots.max(1));
        self.speed.token_interval.mul_f64(over.max(1.0))
    }
}

/// The `n`th token of the answer to `prompt`: it names the prompt, so that a crossed answer shows.
pub fn token(prompt: &str, n: u64) -> String {
    match n {
        0 => format!("[{:08x}]", hash64(prompt.as_bytes()) as u32),
        n => format!(" w{n}"),
    }
}
