//! Upstreams whose answers do not end, many at once, at one host of a small machine.
//!
//! Guards against hosts that hold more of such answers together than their memory.

mod gateway;

use gateway::{
    Deployment, Host,
    crowd::{Crowd, Script},
    crowd_site::{MEMORY_BYTES, MEMORY_MB, alone, check_bounds},
    taps::TappedDeployment,
    usage::Usage,
    wait_for,
};
use rstest::rstest;
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, EndlessPart, Runner, TapMode};

const ENGINES: usize = 12;
/// Requests that are at upstreams at once, as far as the host admits them.
const CALLERS: usize = 300;
const MAX_FDS: usize = 4_100;
/// Time in which the answers of one round are read.
const TIME: Duration = Duration::from_millis(1_500);
/// Bytes of an answer that a caller keeps.
const KEPT_BYTES: usize = 4_096;
/// Bytes of an upstream that the system may hold before its host reads them.
const MAX_UNREAD: u64 = 64 << 10;

/// Starts engines and plain upstreams with a slot for each caller.
fn deployment() -> Deployment {
    let mut deployment = Deployment::start();
    (1..ENGINES).for_each(|_| deployment.add_engine());
    deployment.configure_limits(2, &json!({}), CALLERS);
    for runner in deployment.engines.iter().chain(&deployment.desks) {
        runner.set_slots(CALLERS);
        let (key, value) = runner.entry();
        deployment.store.put(&key, &value);
    }
    deployment
}

fn set_endless(runners: &[Runner], part: EndlessPart) {
    runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Endless(part)));
}

/// Has callers read answers of `path` for a while, and others after those that were given up. Returns the largest number of
/// descriptors of the host.
fn read_answers(host: &Host, path: &'static str) -> usize {
    let mut script = Script { path, kept: KEPT_BYTES, ..Script::with_length(10, 10) };
    if path != "/check/1" {
        script.headers.push_str("X-Model: m1\r\nX-Token-Count: 10,10\r\n");
    }
    let (began, mut most) = (Instant::now(), 0);
    while began.elapsed() < TIME {
        let mut crowd = Crowd::connect(host.front, CALLERS, &script);
        while began.elapsed() < TIME && crowd.closed() < crowd.members.len() / 2 {
            if !crowd.step() {
                thread::sleep(Duration::from_millis(1));
            }
            most = most.max(host.usage().descriptors());
        }
    }
    most
}

/// The answers to requests of callers, which read them.
#[rstest]
fn answers(
    #[values("/offer/1", "/draft/1", "/check/1")] path: &'static str,
    #[values(
        EndlessPart::Informational,
        EndlessPart::Head,
        EndlessPart::Field,
        EndlessPart::Event,
        EndlessPart::Body,
        EndlessPart::Length
    )]
    part: EndlessPart,
) {
    try_answers(path, Behaviour::Endless(part));
}

/// Answers that stop before a part that the host holds until it is whole.
#[rstest]
#[case::head("/offer/1", EndlessPart::Field, 30_000)]
#[case::long_head("/offer/1", EndlessPart::Field, 125_000)]
#[case::resumable_head("/draft/1", EndlessPart::Field, 125_000)]
#[case::informational("/offer/1", EndlessPart::Informational, 125_000)]
#[case::event("/draft/1", EndlessPart::Event, 200_000)]
#[case::body("/check/1", EndlessPart::Length, 250_000)]
#[case::small_chunks("/check/1", EndlessPart::Body, 250_000)]
#[case::body_head("/check/1", EndlessPart::Field, 125_000)]
fn stalled(#[case] path: &'static str, #[case] part: EndlessPart, #[case] length: usize) {
    try_answers(path, Behaviour::Stalled(part, length));
}

fn try_answers(path: &'static str, behaviour: Behaviour) {
    let _turn = alone();
    let deployment = deployment();
    let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let mut host = deployment.limited_host("front-0", &machine);
    let upstreams = (ENGINES + deployment.desks.len()) as f64;
    wait_for("they are known", || host.metric("vanetally_upstreams") == Some(upstreams));
    let runners = deployment.engines.iter().chain(&deployment.desks);
    runners.for_each(|runner| runner.set_behaviour(behaviour));
    let most = read_answers(&host, path);
    println!("{most} descriptors");
    check_bounds(&mut host, MAX_FDS);
}

/// Answers to the host's own questions, which no caller waits for.
#[rstest]
fn reports(
    #[values(
        EndlessPart::Informational,
        EndlessPart::Field,
        EndlessPart::Body,
        EndlessPart::Length
    )]
    part: EndlessPart,
) {
    let _turn = alone();
    let deployment = deployment();
    deployment.engines.iter().for_each(|engine| engine.set_own_endless(Some(part)));
    let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let mut host = deployment.limited_host("front-0", &machine);
    let peers: Vec<_> = deployment.engines.iter().map(Runner::address).collect();
    let (began, mut most) = (Instant::now(), 0);
    while began.elapsed() < 4 * TIME {
        most = most.max(Usage::unread_from(&peers));
        thread::sleep(Duration::from_millis(5));
    }
    println!("{most} bytes unread");
    check_bounds(&mut host, MAX_FDS);
    assert!(most <= ENGINES as u64 * MAX_UNREAD, "{most} bytes of reports are not read");
}

/// Answers that pass through another host, which must bear them as well.
#[rstest]
fn through_exit(#[values(EndlessPart::Field, EndlessPart::Event)] part: EndlessPart) {
    let _turn = alone();
    let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let mut site = TappedDeployment::start_limited(3, 4, 1, &machine);
    site.deployment.configure_limits(2, &json!({}), CALLERS);
    site.set_mode(0..1, TapMode::Reset);
    set_endless(&site.deployment.engines, part);
    read_answers(&site.hosts[0], "/offer/1");
    for host in &mut site.hosts {
        assert_eq!(host.try_wait(), None, "the process lives");
        let peak = host.usage().peak_memory();
        println!("peak {peak}");
        assert!(peak <= MEMORY_BYTES, "{peak} bytes at the peak");
    }
}
