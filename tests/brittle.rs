//! Brittle upstreams: those that crash when they have to reject too many requests in a second.
//!
//! Guards against hosts that together send more than an upstream has room for, and each of which keeps
//! a bound of its own only. Upstreams say in their answers that they are brittle:
//!
//! `event=brittleness_stated upstream=i-desk-3@1750000000000 rejections_per_s=5 by=answer`

mod gateway;

use gateway::{
    Deployment, Host, fronts,
    load::{Exchange, run_per_host},
    wait_for,
};
use rstest::rstest;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, Client, Downtime, DowntimeMode, Runner};

const HOSTS: usize = 8;
const UPSTREAMS: usize = 10;
/// Rejections in a second that an upstream survives.
const MAX_REJECTIONS: usize = 5;
const SLOTS: usize = 2;
const WORK_MS: u64 = 50;
const QUEUE: usize = 8;
/// Requests per second that the upstreams take together.
const CAPACITY: usize = UPSTREAMS * SLOTS * 1_000 / WORK_MS as usize;
const DOWNTIME: Duration = Duration::from_secs(2);
/// Time before the queues shrink, in which all hosts hear that the upstreams are brittle.
const CONTACT: Duration = Duration::from_secs(4);
/// Time for which the queues are short.
const SHORT: Duration = Duration::from_secs(8);
/// Crashes that are allowed meanwhile: two, and one in ten upstreams.
const MAX_CRASHES: usize = 2 + UPSTREAMS / 10;
/// Share of the capacity that must be used meanwhile.
const MIN_USED: f64 = 0.75;
/// Callers of each host and their pause: together they send two and a half times the capacity.
const CALLERS: usize = 30;
const PAUSE: Duration = Duration::from_millis(200);

/// Lets one deployment run at a time.
static RUNNING: Mutex<()> = Mutex::new(());

fn start_running() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Site {
    deployment: Deployment,
    hosts: Vec<Host>,
}

impl Site {
    fn start() -> Self {
        let mut deployment = Deployment::start();
        (1..UPSTREAMS).for_each(|_| drop(deployment.add_desk()));
        let downtime = Downtime { length: DOWNTIME, mode: DowntimeMode::Refused };
        for desk in &deployment.desks {
            desk.set_slots(SLOTS);
            desk.set_brittle(MAX_REJECTIONS, downtime, &deployment.store, desk.address());
            let (key, value) = desk.entry();
            deployment.store.put(&key, &value);
        }
        let hosts = deployment.hosts(HOSTS);
        let site = Self { deployment, hosts };
        site.set_queues(QUEUE);
        site
    }

    fn set_queues(&self, queue: usize) {
        for desk in &self.deployment.desks {
            desk.set_behaviour(Behaviour::Slots { work_ms: WORK_MS, queue });
        }
    }

    fn crashes(&self) -> usize {
        self.deployment.desks.iter().map(|desk| desk.crashes().len()).sum()
    }

    /// Sends two and a half times what the upstreams take to all hosts.
    fn under_load(
        &self,
        request: impl Fn(u64) -> Client + Sync,
        scenario: impl FnOnce(),
    ) -> Vec<Exchange> {
        run_per_host(&fronts(&self.hosts), request, CALLERS, PAUSE, scenario)
    }
}

/// A repeatable call with a content of its own.
fn check(number: u64) -> Client {
    Client::new("GET", &format!("/check/{number}"), &format!("r{number}")).deadline(2_000)
}

/// A repeatable call with the content that all callers send.
fn common_check(number: u64) -> Client {
    Client::new("GET", "/check/1", &format!("r{number}")).deadline(2_000)
}

fn served(exchanges: &[Exchange], from: Instant, until: Instant) -> usize {
    let answered = |one: &&Exchange| one.answer.status == 200 && one.answer.is_complete;
    exchanges.iter().filter(|one| (from..until).contains(&one.began)).filter(answered).count()
}

/// Upstreams whose queues shrink from many to none do not crash, and are used.
#[rstest]
#[case::own_contents(check)]
#[case::common_content(common_check)]
fn shrinking_queues(#[case] request: fn(u64) -> Client) {
    let _running = start_running();
    let site = Site::start();
    let mut short_at = Instant::now();
    let exchanges = site.under_load(request, || {
        thread::sleep(CONTACT);
        short_at = Instant::now();
        site.set_queues(0);
        thread::sleep(SHORT);
    });
    let (crashes, used) = (site.crashes(), served(&exchanges, short_at, short_at + SHORT));
    let room = CAPACITY * SHORT.as_secs() as usize;
    let before = served(&exchanges, short_at - CONTACT / 2, short_at);
    println!("{crashes} crashes, {used} served of {room}, {before} in the two seconds before");
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(used as f64 >= room as f64 * MIN_USED, "{used} served of {room}");
    for (host, log) in site.deployment.logs() {
        assert!(!log.contains("event=content_quarantined"), "{host} blames a content");
    }
}

/// Upstreams that crash together do not take the others with them, and are led up again when they are
/// back.
#[test]
fn several_crash() {
    const CRASHED: usize = 4;
    let _running = start_running();
    let site = Site::start();
    let mut crashed_at = Instant::now();
    let exchanges = site.under_load(check, || {
        thread::sleep(CONTACT);
        site.set_queues(0);
        thread::sleep(Duration::from_secs(1));
        crashed_at = Instant::now();
        site.deployment.desks[..CRASHED].iter().for_each(Runner::crash);
        thread::sleep(SHORT);
    });
    let crashes = site.crashes() - CRASHED;
    let back_at = crashed_at + DOWNTIME + Duration::from_secs(2);
    let used = served(&exchanges, back_at, crashed_at + SHORT);
    let room = CAPACITY * (crashed_at + SHORT - back_at).as_millis() as usize / 1_000;
    println!("{crashes} more crashes, {used} served of {room} after their return");
    assert!(crashes <= MAX_CRASHES, "{crashes} more crashes");
    assert!(used as f64 >= room as f64 * MIN_USED, "{used} served of {room}");
}

/// Hosts that start while the queues are short, and know nothing yet, do not make upstreams crash.
#[test]
fn hosts_start_again() {
    let _running = start_running();
    let mut site = Site::start();
    site.under_load(check, || thread::sleep(CONTACT));
    site.set_queues(0);
    site.hosts.iter_mut().for_each(Host::kill);
    let store = site.deployment.store.address();
    for (number, host) in site.hosts.iter_mut().enumerate() {
        let ip = host.front.ip().to_string();
        *host = site.deployment.spawn_at(&format!("front-{number}"), &ip, store);
    }
    site.hosts.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
    site.under_load(check, || thread::sleep(CONTACT));
    let crashes = site.crashes();
    println!("{crashes} crashes");
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
}

/// Hosts that are all replaced at once know from the store that a service is brittle, before they send
/// anything to it.
#[test]
fn known_after_replacement() {
    let _running = start_running();
    let mut site = Site::start();
    site.under_load(check, || thread::sleep(CONTACT));
    site.hosts.iter_mut().for_each(Host::kill);
    let host = site.deployment.spawn("front-new");
    wait_for("the host is ready", || host.is_ready());
    let log = site.deployment.log("front-new");
    assert!(!log.contains("event=request_sent"), "{log}");
    assert!(log.contains("event=brittleness_stated service=desk"), "{log}");
}
