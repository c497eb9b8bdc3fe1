//! Callers that send all kinds of requests, and note what they got.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, ClientAnswer, Session};

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may run once.
    Offer,
    /// A stream that may be taken up elsewhere.
    Draft,
    /// A call that may be repeated.
    Check,
    /// A call on the route that this version of the configuration added.
    Added(u64),
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    /// Whether it bore a key that nobody holds.
    pub is_unknown: bool,
    /// The host that it went to, and which of its lives that was.
    pub host: usize,
    pub life: u64,
    pub began: Instant,
    pub ended: Instant,
    /// None if the caller left without waiting for it.
    pub answer: Option<ClientAnswer>,
}

/// What callers share.
pub struct Shared {
    pub fronts: Vec<SocketAddr>,
    /// Counts the starts of each host.
    pub lives: Vec<AtomicU64>,
    /// The newest version that the operator wrote.
    pub version: AtomicU64,
    pub seen: Mutex<Vec<Seen>>,
    /// Whether requests need a key.
    pub has_keys: bool,
    is_over: AtomicBool,
}

/// The organisation of all callers, its key, and one that nobody holds.
pub const ORGANISATION: &str = "soakers";
pub const KEY: &str = "soak-key-5d1f";
pub const NO_KEY: &str = "soak-key-of-nobody";

impl Shared {
    pub fn new(fronts: Vec<SocketAddr>, has_keys: bool) -> Self {
        let lives = fronts.iter().map(|_| AtomicU64::new(1)).collect();
        Self {
            fronts,
            lives,
            version: AtomicU64::new(1),
            seen: Mutex::default(),
            has_keys,
            is_over: AtomicBool::new(false),
        }
    }
}

/// Callers at work.
pub struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

const CALLERS: u64 = 10;
const DEADLINE_MS: u64 = 1_500;
/// Adapters that are asked for; a runner has places for four.
const ADAPTERS: u32 = 6;
/// Share of requests whose caller leaves at once.
const LEAVES: f64 = 0.04;
/// Share of requests with a key that nobody holds.
const UNKNOWN: f64 = 0.05;
/// Share of requests on a connection that is kept.
const KEPT: f64 = 0.7;

impl Callers {
    pub fn start(shared: &Arc<Shared>, seed: u64) -> Self {
        let start = |number| {
            let shared = shared.clone();
            thread::spawn(move || call(&shared, seed, number))
        };
        Self { shared: shared.clone(), threads: (0..CALLERS).map(start).collect() }
    }

    /// Ends them and waits for their last answers.
    pub fn stop(self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("callers don't panic"));
    }
}

fn call(shared: &Shared, seed: u64, number: u64) {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(CALLERS).wrapping_add(number));
    let mut sessions: Vec<Session> = shared.fronts.iter().map(|_| Session::new()).collect();
    let mut count = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        count += 1;
        let host = rng.random_range(0..shared.fronts.len());
        let kind = any_kind(&mut rng, shared);
        let id = format!("c{number}-{count}");
        let is_unknown = shared.has_keys && rng.random_bool(UNKNOWN);
        let key = if is_unknown { NO_KEY } else { KEY };
        let client = request(&mut rng, kind, &id)
            .with("Authorization", &format!("Bearer {key}"))
            .with("X-Tenant", "mallory");
        let life = shared.lives[host].load(Ordering::Relaxed);
        let began = Instant::now();
        let address = shared.fronts[host];
        let answer = if rng.random_bool(LEAVES) {
            client.send_and_disconnect(address, Duration::from_millis(rng.random_range(0..20)));
            None
        } else if rng.random_bool(KEPT) {
            Some(client.send_on(&mut sessions[host], address))
        } else {
            Some(client.send(address))
        };
        let seen = Seen { id, kind, is_unknown, host, life, began, ended: Instant::now(), answer };
        shared.seen.lock().expect("no thread panicked").push(seen);
        thread::sleep(Duration::from_millis(rng.random_range(2..25)));
    }
}

fn any_kind(rng: &mut StdRng, shared: &Shared) -> Kind {
    match rng.random_range(0..10) {
        0..4 => Kind::Offer,
        4..6 => Kind::Draft,
        6..9 => Kind::Check,
        _ => Kind::Added(rng.random_range(1..=shared.version.load(Ordering::Relaxed))),
    }
}

/// The path of the route that a version added.
pub fn added_route(version: u64) -> String {
    format!("added{version}")
}

fn request(rng: &mut StdRng, kind: Kind, id: &str) -> Client {
    let model = match rng.random_range(0..3) {
        0 => format!("m1/a{}", rng.random_range(1..=ADAPTERS)),
        _ => "m1".to_owned(),
    };
    let client = match kind {
        Kind::Offer => Client::new("POST", "/offer/1", id).with("X-Model", &model).body(b"draft"),
        Kind::Draft => Client::new("POST", "/draft/1", id).with("X-Model", &model).body(b"draft"),
        Kind::Check => Client::new("GET", "/check/1", id),
        Kind::Added(version) => Client::new("GET", &format!("/{}/1", added_route(version)), id),
    };
    client.deadline(DEADLINE_MS)
}
