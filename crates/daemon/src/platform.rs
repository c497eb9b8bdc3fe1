//! Threads that call the platform's service.

use crate::{hub::Input, shared::Shared};
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
use vanetally_member::HostList;
use vanetally_types::hash64;

/// A call on a key.
enum KeyCall {
    Get(Key),
    Put(Key, u64, Vec<u8>),
}

/// The threads for calls on keys; all calls on one key run on the same thread, in order.
pub(crate) struct PlatformThreads {
    senders: Vec<Sender<KeyCall>>,
}

/// Number of threads for calls on keys.
const THREADS: usize = 4;
/// Time in which calls fail immediately, after one found the platform unavailable.
const BREAKER_COOLDOWN: Duration = Duration::from_millis(500);
/// Interval between reads of the list of hosts, and between attempts to read the first
/// configuration.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Shortest and longest pause after failed watches; the pause doubles with each failure.
const RETRY_PAUSES_MS: (u64, u64) = (500, 8_000);

/// A circuit breaker: while the platform is unavailable, calls fail without waiting for a timeout.
/// It holds the time of the last failure.
#[derive(Default)]
struct CircuitBreaker(Mutex<Option<Instant>>);

impl CircuitBreaker {
    fn is_open(&self) -> bool {
        self.0
            .lock()
            .is_ok_and(|failed_at| failed_at.is_some_and(|at| at.elapsed() < BREAKER_COOLDOWN))
    }

    fn record(&self, failed: bool) {
        if let Ok(mut failed_at) = self.0.lock() {
            *failed_at = failed.then(Instant::now);
        }
    }
}

impl PlatformThreads {
    /// Starts the threads; results are sent to `hub`.
    pub fn start(platform: &Arc<dyn Platform>, hub: &Sender<Input>) -> Self {
        let breaker = Arc::new(CircuitBreaker::default());
        let mut senders = Vec::new();
        for index in 0..THREADS {
            let (sender, inbox) = channel::<KeyCall>();
            let (platform, hub, breaker) = (platform.clone(), hub.clone(), breaker.clone());
            spawn(&format!("platform-{index}"), move || {
                for call in inbox {
                    let event = run(&*platform, &breaker, call);
                    if hub.send(Input::Core(event)).is_err() {
                        return;
                    }
                }
            });
            senders.push(sender);
        }
        Self { senders }
    }

    /// Reads a key.
    pub fn get(&self, key: Key) {
        self.send(key.clone(), KeyCall::Get(key));
    }

    /// Writes a key by compare-and-swap.
    pub fn put(&self, key: Key, base: u64, bytes: Vec<u8>) {
        self.send(key.clone(), KeyCall::Put(key, base, bytes));
    }

    fn send(&self, key: Key, call: KeyCall) {
        let index = hash64(key.path().as_bytes()) as usize % self.senders.len();
        if self.senders[index].send(call).is_err() {
            log::error!("event=platform-thread-gone key={}", key.path());
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    if let Err(e) = thread::Builder::new().name(name.to_owned()).spawn(run) {
        log::error!("event=thread-failed name={name} error=\"{e}\"");
    }
}

fn run(platform: &dyn Platform, breaker: &CircuitBreaker, call: KeyCall) -> Event {
    match call {
        KeyCall::Get(key) => {
            let value = call_guarded(breaker, || platform.get(&key.path()));
            Event::KeyRead(key, value.map(|v| v.map(to_stored_value)))
        }
        KeyCall::Put(key, base, bytes) => {
            let outcome = call_guarded(breaker, || platform.put(&key.path(), base, &bytes));
            let result = outcome.map(|outcome| match outcome {
                PutOutcome::Written(version) => Ok(version),
                PutOutcome::Conflict(value) => Err(value.map(to_stored_value)),
            });
            Event::KeyWritten(key, result)
        }
    }
}

/// Makes a call unless the circuit breaker is open; `None` if it fails.
fn call_guarded<T>(breaker: &CircuitBreaker, call: impl FnOnce() -> Result<T, Error>) -> Option<T> {
    if breaker.is_open() {
        return None;
    }
    let result = call();
    breaker.record(matches!(result, Err(Error::Unavailable(_))));
    result.map_err(|e| log::debug!("event=platform-failed error=\"{e}\"")).ok()
}

fn to_stored_value(value: Value) -> StoredValue {
    StoredValue { version: value.version, bytes: value.bytes }
}

/// Starts the thread that reads the list of hosts periodically.
pub(crate) fn follow_hosts(shared: Arc<Shared>, platform: Arc<dyn Platform>, hub: Sender<Input>) {
    spawn("hosts", move || {
        let mut left_out = 0;
        loop {
            let list = platform.hosts().ok().and_then(|bytes| HostList::parse(&bytes));
            if let Some(HostList { hosts, unreadable }) = list {
                // The list is read each second.
                if std::mem::replace(&mut left_out, unreadable) != unreadable {
                    log::warn!("event=hosts-unreadable count={unreadable}");
                }
                if hub.send(Input::Core(Event::Hosts(hosts))).is_err() {
                    return;
                }
            }
            thread::sleep(READ_INTERVAL + jitter(&shared, READ_INTERVAL / 4));
        }
    });
}

/// Starts the thread that reads the configuration: it watches it if the core has chosen this host
/// to, else it only reads the first one.
pub(crate) fn follow_config(shared: Arc<Shared>, platform: Arc<dyn Platform>, hub: Sender<Input>) {
    spawn("config", move || {
        let (mut seen_version, mut pause_ms) = (0, RETRY_PAUSES_MS.0);
        loop {
            let known = shared.revision().number > 0;
            if known && !shared.watches_config.load(Ordering::Relaxed) {
                thread::sleep(READ_INTERVAL);
                continue;
            }
            let wait = if seen_version == 0 { Duration::ZERO } else { WATCH_WAIT };
            match platform.watch("config/head", seen_version, wait) {
                Ok(Some(value)) if value.version != seen_version => {
                    pause_ms = RETRY_PAUSES_MS.0;
                    seen_version = value.version;
                    if !send_revision(&value, &hub) {
                        return;
                    }
                }
                Ok(Some(_)) => pause_ms = RETRY_PAUSES_MS.0,
                Ok(None) => thread::sleep(READ_INTERVAL),
                Err(_) => {
                    // The jitter prevents all hosts from reconnecting at the same time after an
                    // outage.
                    let pause = Duration::from_millis(pause_ms);
                    thread::sleep(pause / 2 + jitter(&shared, pause / 2));
                    pause_ms = (pause_ms * 2).min(RETRY_PAUSES_MS.1);
                }
            }
        }
    });
}

/// Sends a read revision to the event loop; returns whether the loop is still running.
fn send_revision(value: &Value, hub: &Sender<Input>) -> bool {
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

/// Returns a pseudo-random part of `max`, which differs between hosts and over time.
fn jitter(shared: &Shared, max: Duration) -> Duration {
    let now = shared.clock.now();
    let seed = format!("{}/{}", shared.settings.host, now.0);
    max.mul_f64((hash64(seed.as_bytes()) % 1_000) as f64 / 1_000.0)
}
