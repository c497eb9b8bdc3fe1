//! Requests that hosts refuse as not run, in the shape of a large site: hosts in four failure domains, engines and plain
//! upstreams with few slots, one attempt a request, organisations with quotas.
//!
//! Guards against a refusal of a request that has run, or runs later.
//!
//! `AT_SIZE_HOSTS`, `AT_SIZE_ENGINES`, `AT_SIZE_CALLERS`, `AT_SIZE_SECONDS` (of each trouble) and `AT_SIZE_BUSY` (threads
//! that take processor time away) play it larger; `AT_SIZE_PROGRAM` plays another build, and `AT_SIZE_TROUBLE` one trouble.

mod gateway;

use gateway::{Deployment, Host, fresh_ip, wait_for};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{
    AnswerClass, Behaviour, Client, FalseAnswers, Runner, Session, Surplus, SurplusTime, Tap,
    TapMode, TapModes,
};

const DOMAINS: usize = 4;
const DESKS: usize = 4;
const SLOTS: usize = 6;
const DESK_WORK: Behaviour = Behaviour::Slots { work_ms: 60, queue: 3 };
const ENGINE_WORK: Behaviour = Behaviour::Slots { work_ms: 120, queue: 4 };
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Pause of a caller whose request was refused or failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 1_500;
/// Time in which everything that is under way at the end of a trouble ends.
const SETTLE: Duration = Duration::from_millis(3_500);
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Adapters of the model, more than an engine holds at a time.
const ADAPTERS: u64 = 12;

/// What happens while callers send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Upstreams answer some requests that have run with 503, without the mark that they have not.
    UnmarkedRejections,
    /// Upstreams copy rejections, late.
    CopiedRejections,
    /// Upstreams copy their answers to requests for reports, late.
    CopiedReports,
    /// Upstreams put the mark beside a status that says that the request has run.
    MarkedFailures,
    /// The same beside a success.
    MarkedSuccesses,
    /// Hosts are cut off from plain upstreams, and what they have sent arrives later.
    LateBytes,
    /// Hosts are paused.
    PausedHosts,
    /// All hosts are killed.
    KilledHosts,
    /// Upstreams start again at their addresses.
    RestartedUpstreams,
}

const TROUBLES: [Trouble; 10] = [
    Trouble::None,
    Trouble::UnmarkedRejections,
    Trouble::CopiedRejections,
    Trouble::CopiedReports,
    Trouble::MarkedFailures,
    Trouble::MarkedSuccesses,
    Trouble::LateBytes,
    Trouble::PausedHosts,
    Trouble::RestartedUpstreams,
    Trouble::KilledHosts,
];

fn number(variable: &str, default: usize) -> usize {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn program() -> PathBuf {
    let other = std::env::var_os("AT_SIZE_PROGRAM").map(PathBuf::from);
    other.unwrap_or_else(|| env!("CARGO_BIN_EXE_vanetallyd").into())
}

struct Site {
    deployment: Deployment,
    hosts: Vec<Host>,
    /// Taps in front of the plain upstreams.
    taps: Vec<Tap>,
    modes: TapModes,
    /// Number of starts of hosts.
    starts: usize,
}

fn domain(number: usize) -> String {
    format!("z{}", number % DOMAINS)
}

fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "site.example", "path_prefix": format!("/{name}/"), "type": kind, "timeout_ms": 3000,
        "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 1, "resumable": false,
    })
}

fn configuration() -> Value {
    let model = json!({
        "name": "m1", "weights_mb": 60000.0, "load_time_s": 1.0, "adapters": ADAPTERS, "adapter_mb": 10.0,
    });
    let engine = json!({
        "slots": SLOTS, "kv_capacity_tokens": 100000, "weights_mb": 200000.0, "max_adapters": 8, "loads_per_s": 5.0,
        "models": [model],
    });
    let organisation = |number: usize| {
        json!({
            "name": format!("o{number}"), "api_keys": [key(number)], "priority": 1, "unit": "tokens",
            "plain_tokens": 100, "rate_per_s": 60_000 / (number + 1), "burst_size": 60_000,
        })
    };
    let organisations: Vec<Value> = (0..DOMAINS).map(organisation).collect();
    json!({
        "version": 1, "limits": {}, "tenants": organisations,
        "routes": [
            route("offer", "streaming", "llm"), route("levy", "non_idempotent", "desk"),
            route("check", "idempotent", "desk"),
        ],
        "services": [
            { "name": "llm", "max_connections": 600, "engine": engine }, { "name": "desk", "max_connections": 480 },
        ],
    })
}

fn key(number: usize) -> String {
    format!("key-of-organisation-{number}")
}

impl Site {
    fn start() -> Self {
        let mut deployment = Deployment::start();
        deployment.store.put("op/config", &configuration());
        (1..number("AT_SIZE_ENGINES", 8)).for_each(|_| deployment.add_engine());
        (1..DESKS).for_each(|_| drop(deployment.add_desk()));
        let modes = TapModes::default();
        let tap = |desk: &Runner| Tap::start(&fresh_ip(), desk.address(), &modes);
        let taps = deployment.desks.iter().map(tap).collect();
        let mut site = Self { deployment, hosts: Vec::new(), taps, modes, starts: 0 };
        site.heal();
        site.announce();
        site.start_hosts();
        site
    }

    fn announce(&self) {
        let engines = self.deployment.engines.iter().map(Runner::entry);
        let desks = self.deployment.desks.iter().zip(&self.taps);
        let desks = desks.map(|(desk, tap)| desk.entry_at(tap.address()));
        for (number, (key, mut value)) in engines.chain(desks).enumerate() {
            value["zone"] = domain(number).into();
            self.deployment.store.put(&key, &value);
        }
    }

    fn start_hosts(&mut self) {
        let scheduling = json!({
            "prefix_affinity": true, "shared_queue": true, "quota_wait": true, "slot_grants": true,
        });
        self.starts += 1;
        let spawn = |number: usize| {
            let name = format!("front-{}-{number}", self.starts);
            self.deployment.spawn_build_in(&program(), &name, &domain(number), &scheduling)
        };
        self.hosts = (0..number("AT_SIZE_HOSTS", 8)).map(spawn).collect();
        self.hosts.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
        for host in &self.hosts {
            self.modes.set(host.process(), TapMode::Pass);
        }
    }

    fn heal(&self) {
        for engine in &self.deployment.engines {
            engine.set_behaviour(ENGINE_WORK);
        }
        for desk in &self.deployment.desks {
            desk.set_behaviour(DESK_WORK);
        }
        for runner in self.deployment.engines.iter().chain(&self.deployment.desks) {
            runner.set_surplus(None);
            runner.set_slots(SLOTS);
            runner.set_false_answers(None);
        }
        for host in &self.hosts {
            self.modes.set(host.process(), TapMode::Pass);
        }
    }

    /// Runners that are struck: half of the plain upstreams and a fourth of the engines.
    fn struck(&self) -> impl Iterator<Item = &Runner> {
        let engines = self.deployment.engines.iter().step_by(4);
        engines.chain(self.deployment.desks.iter().step_by(2))
    }

    fn answer_falsely(&self, status: u16, is_marked: bool) {
        let replaced = FalseAnswers { one_in: 4, status, is_marked };
        self.struck().for_each(|runner| runner.set_false_answers(Some(replaced)));
    }

    fn copy(&self, of: AnswerClass, when: SurplusTime) {
        let surplus = Surplus { of, copies: 1, when };
        self.struck().for_each(|runner| runner.set_surplus(Some(surplus)));
    }

    /// Has `trouble` happen for a while.
    fn strike(&mut self, trouble: Trouble) {
        let length = Duration::from_secs(number("AT_SIZE_SECONDS", 2) as u64);
        match trouble {
            Trouble::None => {}
            Trouble::UnmarkedRejections => self.answer_falsely(503, false),
            Trouble::MarkedFailures => self.answer_falsely(500, true),
            Trouble::MarkedSuccesses => self.answer_falsely(200, true),
            Trouble::CopiedRejections => {
                // They have fewer slots than they announce.
                self.struck().for_each(|runner| runner.set_slots(1));
                self.copy(AnswerClass::Rejection, SurplusTime::BeforeNext);
            }
            Trouble::CopiedReports => self.copy(AnswerClass::Report, SurplusTime::BeforeNext),
            Trouble::LateBytes | Trouble::PausedHosts => {}
            Trouble::KilledHosts => {
                thread::sleep(length / 2);
                self.hosts.clear();
                self.start_hosts();
            }
            Trouble::RestartedUpstreams => {
                for desk in &self.deployment.desks {
                    thread::sleep(length / 8);
                    desk.restart();
                    self.announce();
                }
            }
        }
        let began = Instant::now();
        while began.elapsed() < length {
            let struck: Vec<&Host> = self.hosts.iter().step_by(3).collect();
            match trouble {
                Trouble::LateBytes => {
                    struck.iter().for_each(|host| self.modes.set(host.process(), TapMode::Cut));
                    thread::sleep(Duration::from_millis(700));
                    struck.iter().for_each(|host| self.modes.set(host.process(), TapMode::Pass));
                    thread::sleep(Duration::from_millis(300));
                }
                Trouble::PausedHosts => {
                    struck.iter().for_each(|host| host.signal("STOP"));
                    thread::sleep(Duration::from_millis(500));
                    struck.iter().for_each(|host| host.signal("CONT"));
                    thread::sleep(Duration::from_millis(300));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        self.heal();
    }

    /// Returns how often each request was started.
    fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for (id, count) in
            self.deployment.engines.iter().chain(&self.deployment.desks).flat_map(Runner::runs)
        {
            *runs.entry(id).or_default() += count;
        }
        runs
    }
}

/// A request that its caller got a status for, 0 for none.
struct Exchange {
    id: String,
    trouble: usize,
    may_repeat: bool,
    status: u16,
}

/// What callers share.
#[derive(Default)]
struct Shared {
    fronts: Mutex<Vec<SocketAddr>>,
    trouble: AtomicU64,
    is_over: AtomicBool,
    exchanges: Mutex<Vec<Exchange>>,
}

fn request(id: &str, turn: u64) -> (Client, bool) {
    let model = match turn % 4 {
        0 => format!("m1/a{}", 1 + turn % ADAPTERS),
        _ => "m1".to_owned(),
    };
    match turn % 5 {
        0 | 1 => (Client::new("POST", "/offer/1", id).with("X-Model", &model), false),
        2 | 3 => (Client::new("POST", "/levy/1", id), false),
        _ => (Client::new("GET", "/check/1", id), true),
    }
}

/// Sends requests one after the other, on kept connections to one host as long as it answers.
fn call(shared: &Shared, caller: usize) {
    let key = format!("Bearer {}", key(caller % DOMAINS));
    let (mut session, mut host) = (Session::new(), caller);
    let mut turn = caller as u64;
    while !shared.is_over.load(Ordering::Relaxed) {
        turn += 1;
        let id = format!("c{caller}-{turn}");
        let front = {
            let fronts = shared.fronts.lock().expect("no thread panicked");
            fronts[host % fronts.len()]
        };
        let trouble = shared.trouble.load(Ordering::Relaxed) as usize;
        let (client, may_repeat) = request(&id, turn);
        let client = client.with("Authorization", &key).body(id.as_bytes()).deadline(DEADLINE_MS);
        let status = client.send_on(&mut session, front).status;
        let exchange = Exchange { id, trouble, may_repeat, status };
        shared.exchanges.lock().expect("no thread panicked").push(exchange);
        if status != 200 {
            (session, host) = (Session::new(), host + 1);
            thread::sleep(RETRY_PAUSE);
        }
        thread::sleep(PAUSE);
    }
}

/// Counts of the requests sent during one trouble.
#[derive(Clone, Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
    refused: usize,
    ran: usize,
    ran_twice: usize,
}

fn tallies(exchanges: &[Exchange], runs: &BTreeMap<String, u32>, count: usize) -> Vec<Tally> {
    let mut tallies = vec![Tally::default(); count];
    for exchange in exchanges {
        let tally = &mut tallies[exchange.trouble];
        let runs = runs.get(&exchange.id).copied().unwrap_or(0);
        let is_refused = PROMISES.contains(&exchange.status);
        tally.sent += 1;
        tally.served += usize::from(exchange.status == 200);
        tally.refused += usize::from(is_refused);
        tally.ran += usize::from(is_refused && !exchange.may_repeat && runs > 0);
        tally.ran_twice += usize::from(!exchange.may_repeat && runs > 1);
    }
    tallies
}

fn troubles() -> Vec<Trouble> {
    let wanted = std::env::var("AT_SIZE_TROUBLE").ok();
    let is_wanted = |one: &Trouble| wanted.as_ref().is_none_or(|name| *name == format!("{one:?}"));
    TROUBLES.into_iter().filter(is_wanted).collect()
}

#[test]
fn nothing_refused_runs() {
    let mut site = Site::start();
    let shared = Arc::new(Shared::default());
    let fronts = |site: &Site| site.hosts.iter().map(|host| host.front).collect::<Vec<_>>();
    *shared.fronts.lock().expect("no thread panicked") = fronts(&site);
    let start = |caller: usize| {
        let shared = shared.clone();
        thread::spawn(move || call(&shared, caller))
    };
    let callers: Vec<_> = (0..number("AT_SIZE_CALLERS", 24)).map(start).collect();
    let busy = Arc::new(AtomicBool::new(true));
    for _ in 0..number("AT_SIZE_BUSY", 0) {
        let busy = busy.clone();
        thread::spawn(move || while busy.load(Ordering::Relaxed) {});
    }
    let troubles = troubles();
    for (number, trouble) in troubles.iter().enumerate() {
        shared.trouble.store(number as u64, Ordering::Relaxed);
        site.strike(*trouble);
        *shared.fronts.lock().expect("no thread panicked") = fronts(&site);
    }
    shared.is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("no panic"));
    thread::sleep(SETTLE);
    busy.store(false, Ordering::Relaxed);
    let exchanges = shared.exchanges.lock().expect("no thread panicked");
    let tallies = tallies(&exchanges, &site.runs(), troubles.len());
    for (trouble, tally) in troubles.iter().zip(&tallies) {
        println!("{trouble:?}: {tally:?}");
    }
    for (trouble, tally) in troubles.iter().zip(&tallies) {
        assert_eq!((tally.ran, tally.ran_twice), (0, 0), "{trouble:?}: {tally:?}");
        assert!(tally.refused < tally.sent && tally.served > 0, "{trouble:?}: {tally:?}");
    }
}
