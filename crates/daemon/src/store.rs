//! Threads that talk to the platform's service.

use crate::{board::Board, hub::Input};
use std::{
    sync::{
        Arc, Mutex,
        atomic::Ordering,
        mpsc::{Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};
use vanetally_config::{Revision, tracker::Source};
use vanetally_core::{Event, Key, StoredValue};
use vanetally_link::platform::{Error, Platform, PutOutcome, Value};
use vanetally_types::hash64;

/// A call to make.
enum Job {
    Get(Key),
    Put(Key, u64, Vec<u8>),
}

/// The way to the threads; calls on one key are made in order.
pub(crate) struct Store {
    lanes: Vec<Sender<Job>>,
}

/// Threads for calls on keys.
const LANES: usize = 4;
/// After a call failed, others fail at once for this long.
const COOL_DOWN: Duration = Duration::from_millis(500);
/// Between two reads of the list of hosts, and between tries for a first configuration.
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(20);
/// Pauses after failed watches, doubling from the first to the last.
const PAUSES: (u64, u64) = (500, 8_000);

/// Remembers that the platform is out, so that calls need not each wait for it.
#[derive(Default)]
struct Breaker(Mutex<Option<Instant>>);

impl Breaker {
    fn is_open(&self) -> bool {
        self.0.lock().is_ok_and(|failed| failed.is_some_and(|at| at.elapsed() < COOL_DOWN))
    }

    fn note(&self, failed: bool) {
        if let Ok(mut at) = self.0.lock() {
            *at = failed.then(Instant::now);
        }
    }
}

impl Store {
    /// Starts the threads; what they learn goes to `hub`.
    pub fn start(platform: &Arc<dyn Platform>, hub: &Sender<Input>) -> Self {
        let breaker = Arc::new(Breaker::default());
        let mut lanes = Vec::new();
        for at in 0..LANES {
            let (sender, inbox) = channel::<Job>();
            let (platform, hub, breaker) = (platform.clone(), hub.clone(), breaker.clone());
            spawn(&format!("platform-{at}"), move || {
                for job in inbox {
                    let event = run(&*platform, &breaker, job);
                    if hub.send(Input::Core(event)).is_err() {
                        return;
                    }
                }
            });
            lanes.push(sender);
        }
        Self { lanes }
    }

    /// Reads a key.
    pub fn get(&self, key: Key) {
        self.send(key.clone(), Job::Get(key));
    }

    /// Writes a key by compare-and-swap.
    pub fn put(&self, key: Key, base: u64, bytes: Vec<u8>) {
        self.send(key.clone(), Job::Put(key, base, bytes));
    }

    fn send(&self, key: Key, job: Job) {
        let lane = hash64(key.path().as_bytes()) as usize % self.lanes.len();
        if self.lanes[lane].send(job).is_err() {
            log::error!("event=platform-thread-gone key={}", key.path());
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    if let Err(e) = thread::Builder::new().name(name.to_owned()).spawn(run) {
        log::error!("event=thread-failed name={name} error=\"{e}\"");
    }
}

fn run(platform: &dyn Platform, breaker: &Breaker, job: Job) -> Event {
    match job {
        Job::Get(key) => {
            let value = attempt(breaker, || platform.get(&key.path()));
            Event::KeyRead(key, value.map(|v| v.map(stored)))
        }
        Job::Put(key, base, bytes) => {
            let put = attempt(breaker, || platform.put(&key.path(), base, &bytes));
            let result = put.map(|put| match put {
                PutOutcome::Written(version) => Ok(version),
                PutOutcome::Conflict(value) => Err(value.map(stored)),
            });
            Event::KeyWritten(key, result)
        }
    }
}

fn attempt<T>(breaker: &Breaker, call: impl FnOnce() -> Result<T, Error>) -> Option<T> {
    if breaker.is_open() {
        return None;
    }
    let result = call();
    breaker.note(matches!(result, Err(Error::Unavailable(_))));
    result.map_err(|e| log::debug!("event=platform-failed error=\"{e}\"")).ok()
}

fn stored(value: Value) -> StoredValue {
    StoredValue { version: value.version, bytes: value.bytes }
}

/// Follows the list of hosts.
pub(crate) fn follow_hosts(board: Arc<Board>, platform: Arc<dyn Platform>, hub: Sender<Input>) {
    spawn("hosts", move || {
        loop {
            let list = platform.hosts().ok().and_then(|b| serde_json::from_slice(&b).ok());
            if let Some(list) = list
                && hub.send(Input::Core(Event::Hosts(list))).is_err()
            {
                return;
            }
            thread::sleep(LIST_EVERY + jitter(&board, LIST_EVERY / 4));
        }
    });
}

/// Follows the configuration: by watching it where this host is to, else only until a first one
/// is known.
pub(crate) fn follow_config(board: Arc<Board>, platform: Arc<dyn Platform>, hub: Sender<Input>) {
    spawn("config", move || {
        let (mut seen, mut pause) = (0, PAUSES.0);
        loop {
            let known = board.revision().number > 0;
            if known && !board.watching.load(Ordering::Relaxed) {
                thread::sleep(LIST_EVERY);
                continue;
            }
            let wait = if seen == 0 { Duration::ZERO } else { WATCH };
            match platform.watch("config/head", seen, wait) {
                Ok(Some(value)) if value.version != seen => {
                    pause = PAUSES.0;
                    seen = value.version;
                    if !offer(&value, &hub) {
                        return;
                    }
                }
                Ok(Some(_)) => pause = PAUSES.0,
                Ok(None) => thread::sleep(LIST_EVERY),
                Err(_) => {
                    // Hosts that lost the platform together must not come back together.
                    let span = Duration::from_millis(pause);
                    thread::sleep(span / 2 + jitter(&board, span / 2));
                    pause = (pause * 2).min(PAUSES.1);
                }
            }
        }
    });
}

fn offer(value: &Value, hub: &Sender<Input>) -> bool {
    match serde_json::from_slice::<Revision>(&value.bytes) {
        Ok(revision) => {
            let event = Event::Config(Arc::new(revision), Source::Platform);
            hub.send(Input::Core(event)).is_ok()
        }
        Err(e) => {
            log::error!("event=config-unreadable version={} error=\"{e}\"", value.version);
            true
        }
    }
}

/// A part of `span` that differs between hosts and from time to time.
fn jitter(board: &Board, span: Duration) -> Duration {
    let now = board.clock.now();
    let seed = format!("{}/{}", board.settings.host, now.0);
    span.mul_f64((hash64(seed.as_bytes()) % 1_000) as f64 / 1_000.0)
}
