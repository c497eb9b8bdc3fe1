//! Request bodies under which upstreams crash: how many upstreams one body may crash.
//!
//! Guards against a body that crashes runner after runner. A crash has to be recognised also where the
//! address of the runner does not refuse connections but closes them, or does not answer. A host
//! therefore probes the address, and weighs the result as crash evidence:
//!
//! `event=upstream_looked_at upstream=i-engine-4@1750000000000 sign=silent contents=1`
//! `event=content_quarantined content=e2c651d4b1fb57d9 upstream=i-engine-4@1750000000000 sign=silent ended=3 for_ms=60000 age_ms=621`

mod gateway;

use gateway::{
    Deployment, Host, fronts,
    load::{Exchange, under_load},
    restores::LEASES_LOST,
    taps::TappedDeployment,
    wait_for,
};
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, Client, Downtime, DowntimeMode, TapMode};

const CRASH_BODY: &[u8] = b"deadly draft";
/// Every such request has the crash body.
const CRASH_EVERY: u64 = 12;
const ENGINES: usize = 6;
const HOSTS: usize = 4;
/// Duration of the downtime of a crashed runner.
const DOWNTIME: Duration = Duration::from_millis(800);
/// Three crashes may be needed to identify a body, and three more are tolerated.
const MAX_CRASHES: usize = 6;
/// Time after the third crash from which on at most `MAX_LATE` crashes may follow.
const DETECTION_TIME: Duration = Duration::from_secs(4);
const MAX_LATE: usize = 3;
/// Time after engines answer again in which a request is served.
const RETURN_TIME: Duration = Duration::from_secs(3);

struct Site {
    deployment: Deployment,
    hosts: Vec<Host>,
}

impl Site {
    fn start(mode: DowntimeMode) -> Self {
        let mut deployment = Deployment::start();
        (1..ENGINES).for_each(|_| deployment.add_engine());
        let downtime = Downtime { length: DOWNTIME, mode };
        for engine in &deployment.engines {
            engine.set_crash_body(CRASH_BODY, downtime, &deployment.store);
        }
        let hosts = deployment.hosts(HOSTS);
        Self { deployment, hosts }
    }

    /// Kills all hosts at once, and starts them again.
    fn lose_hosts(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        let store = self.deployment.store.address();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let ip = host.front.ip().to_string();
            *host = self.deployment.spawn_at(&format!("front-{number}"), &ip, store);
        }
        self.hosts.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
    }

    /// Returns the times of all crashes, in order.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<Instant> =
            self.deployment.engines.iter().flat_map(|engine| engine.crashes()).collect();
        crashes.sort();
        crashes
    }

    fn assert_few_crashes(&self) {
        let crashes = self.crashes();
        assert!(crashes.len() >= 2, "{} crashes: the body was hardly sent", crashes.len());
        assert!(crashes.len() <= MAX_CRASHES, "{} crashes", crashes.len());
        if let Some(third) = crashes.get(2) {
            let late = crashes.iter().filter(|crash| **crash > *third + DETECTION_TIME).count();
            assert!(late <= MAX_LATE, "{late} late crashes");
        }
    }
}

fn has_crash_body(number: u64) -> bool {
    number.is_multiple_of(CRASH_EVERY)
}

fn offer(number: u64) -> Client {
    let body = format!("draft {number}").into_bytes();
    let body = if has_crash_body(number) { CRASH_BODY } else { &body };
    let client = Client::new("POST", "/offer/1", &format!("r{number}")).with("X-Model", "m1");
    client.body(body).deadline(3_000)
}

/// Returns the share of other requests that were served.
fn served_share(exchanges: &[Exchange]) -> f64 {
    let others: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| !has_crash_body(exchange.number)).collect();
    let served = others
        .iter()
        .filter(|exchange| exchange.answer.status == 200 && exchange.answer.is_complete);
    served.count() as f64 / others.len() as f64
}

/// All hosts are lost three times. A quarantine known only to their memory would be lost each time, and
/// more runners would crash. The store keeps the quarantine, and a starting host reads it before it serves:
///
/// `event=content_kept content=e2c651d4b1fb57d9 for_ms=60000`
/// `event=content_held content=e2c651d4b1fb57d9 ended=2 for_ms=60000 answered_here=false from=store`
#[test]
fn quarantine_outlives_all_hosts() {
    let mut site = Site::start(DowntimeMode::Refused);
    let fronts = fronts(&site.hosts);
    under_load(&fronts, offer, 8, Duration::from_millis(50), || {
        for _ in 0..3 {
            thread::sleep(Duration::from_secs(3));
            site.lose_hosts();
        }
        thread::sleep(Duration::from_secs(5));
    });
    site.assert_few_crashes();
}

/// The store is restored from a backup without the quarantine. Hosts store it again, so that hosts which
/// start later know it.
#[test]
fn quarantine_lost_by_store() {
    const MAX_REWRITE_TIME: Duration = Duration::from_secs(4);
    let site = Site::start(DowntimeMode::Refused);
    let store = &site.deployment.store;
    let backup = store.snapshot();
    let fronts = fronts(&site.hosts);
    let is_stored = || !store.keys("vanetally/contents/").is_empty();
    under_load(&fronts, offer, 8, Duration::from_millis(50), || {
        wait_for("the quarantine is stored", is_stored)
    });
    thread::sleep(Duration::from_secs(1));
    store.restore(&backup, LEASES_LOST);
    assert!(!is_stored());
    let restored = Instant::now();
    wait_for("the quarantine is stored again", is_stored);
    assert!(restored.elapsed() < MAX_REWRITE_TIME, "stored after {:?}", restored.elapsed());
}

fn check_address(mode: DowntimeMode) {
    let site = Site::start(mode);
    let fronts = fronts(&site.hosts);
    let exchanges = under_load(&fronts, offer, 8, Duration::from_millis(50), || {
        thread::sleep(Duration::from_secs(15));
    });
    site.assert_few_crashes();
    let served = served_share(&exchanges);
    assert!(served > 0.95, "{served} of {} were served", exchanges.len());
}

/// The address of a crashed runner accepts connections and closes them.
#[test]
fn closing_address() {
    check_address(DowntimeMode::Closed);
}

/// The address of a crashed runner accepts connections and sends nothing.
#[test]
fn silent_address() {
    check_address(DowntimeMode::Unresponsive);
}

/// Engines restarted under their ids before a host started, which reads what they announced before, and break their
/// streams off.
///
/// Guards against contents that are held back for ends that came before their requests.
#[test]
fn engines_restarted_before() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    for engine in &deployment.engines {
        engine.restart();
        engine.load_initial_models();
        engine.set_behaviour(Behaviour::BreakAfter(3));
    }
    let host = deployment.host("front-0");
    let send = |number: u64| {
        let client = Client::new("POST", "/offer/1", &format!("r{number}")).with("X-Model", "m1");
        client.body(b"usual draft").deadline(3_000).send(host.front)
    };
    for number in 0..10 {
        let answer = send(number);
        assert!(!answer.is_complete || answer.status != 200, "{answer:?}");
        thread::sleep(Duration::from_millis(200));
    }
    deployment.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Complete));
    let healed = Instant::now();
    let is_served = |number: u64| send(number).status == 200;
    assert!((10..).take_while(|_| healed.elapsed() < RETURN_TIME).any(is_served), "not served");
    let log = deployment.log("front-0");
    assert!(log.contains("event=upstream_looked_at"), "it was looked what became of them");
    assert!(!log.contains("event=content_quarantined"));
}

/// The same at a host that reaches its engines by old connections only, so that another host looks what became of them.
#[test]
fn engines_restarted_before_a_cut() {
    let site = TappedDeployment::start(2, 2, 1);
    let engines = &site.deployment.engines;
    let send = |number: u64, body: &str| {
        let client = Client::new("POST", "/offer/1", &format!("r{number}")).with("X-Model", "m1");
        client.body(body.as_bytes()).deadline(1_000).send(site.hosts[0].front)
    };
    for number in 0.. {
        if engines.iter().all(|engine| !engine.requests().is_empty()) {
            break;
        }
        assert_eq!(send(number, &format!("draft {number}")).status, 200);
    }
    for engine in engines {
        engine.restart();
        engine.load_initial_models();
        engine.set_behaviour(Behaviour::BreakAfter(3));
    }
    site.set_mode(0..1, TapMode::ResetNew);
    for number in 100..104 {
        send(number, "usual draft");
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(1));
    let log = site.deployment.log("front-0");
    assert!(log.contains("event=upstream_looked_at"), "it was looked what became of them");
    let is_sign =
        |line: &str| line.contains("event=upstream_looked_at") && !line.contains("sign=none");
    assert_eq!(
        log.lines().filter(|line| is_sign(line)).count(),
        0,
        "ends came before the requests"
    );
}
