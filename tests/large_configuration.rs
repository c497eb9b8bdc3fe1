//! Configurations with many routes in a large deployment.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Proxy, ProxyMode};

/// More than the twelve hosts that each read the store themselves.
const HOSTS: usize = 14;
const ROUTES: usize = 1_400;
/// Time after which metrics are current; they are updated once a second.
const METRICS_INTERVAL: Duration = Duration::from_millis(1_500);

fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Starts hosts of which one reads the store for all others.
fn start_fleet(deployment: &Deployment) -> Vec<Host> {
    let hosts: Vec<Host> = (1..=HOSTS).map(|number| deployment.spawn(&name(number))).collect();
    wait_for_reader(deployment);
    hosts
}

fn wait_for_reader(deployment: &Deployment) {
    // A host may have had another source before.
    let has_aggregator = |number: &usize| {
        let log = deployment.log(&name(*number));
        let last = log.lines().rev().find(|line| line.contains("event=source_changed"));
        last.is_some_and(|line| line.contains("source=front-"))
    };
    wait_for("all hosts but one have an aggregator as their source", || {
        (1..=HOSTS).filter(has_aggregator).count() == HOSTS - 1
    });
}

fn wait_for_version(hosts: &[Host], version: f64) {
    wait_for("the configuration is in force everywhere", || {
        hosts.iter().all(|h| h.metric("vanetally_configuration_version") == Some(version))
    });
}

fn link_bytes(hosts: &[Host]) -> f64 {
    sleep(METRICS_INTERVAL);
    let sent = |host: &Host| host.metric("vanetally_link_sent_bytes_total").unwrap_or(0.0);
    hosts.iter().map(sent).sum()
}

fn configuration_bytes(deployment: &Deployment) -> f64 {
    deployment.store.get("op/config").map_or(0.0, |text| text.len() as f64)
}

/// Hosts receive only the difference between two versions. A whole configuration of 550 KB over a link of
/// 10 Mbit/s delays requests, and hosts take their aggregator for silent and all read the store at once.
#[test]
fn small_change_sends_difference() {
    let deployment = Deployment::start();
    let hosts = start_fleet(&deployment);
    deployment.configure_large(2, ROUTES);
    wait_for_version(&hosts, 2.0);
    let before = link_bytes(&hosts);
    deployment.configure_large(3, ROUTES + 1);
    wait_for_version(&hosts, 3.0);
    let sent = link_bytes(&hosts) - before;
    let whole = configuration_bytes(&deployment);
    let each = sent / (HOSTS - 1) as f64;
    assert!(each < whole / 10.0, "{each} bytes for each host, {whole} for the configuration");
}

/// A link of 10 Mbit/s: chunks of 16 KB, each delayed by 13 ms.
const SLOW_LINK: ProxyMode = ProxyMode::Delay(13);
/// Number of versions written in quick succession.
const VERSION_COUNT: u64 = 40;
const VERSION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time from the write of a version until it is in force, the smallest bound of any deployment.
const MAX_LAG: Duration = Duration::from_millis(2_000);

/// Returns the version that a host last logged as in force.
fn version_in_force(deployment: &Deployment, host: &str) -> u64 {
    let log = deployment.log(host);
    let last =
        log.lines().rev().find_map(|line| line.split("configuration_in_force version=").nth(1));
    last.and_then(|text| text.split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Large configurations are written in quick succession and read over a slow link. Superseded versions are
/// skipped: a watch that delivers every version falls behind more and more.
#[test]
fn quick_succession() {
    let deployment = Deployment::start();
    let ip = gateway::fresh_ip();
    let link = Proxy::start(&ip, deployment.store.address());
    let _host = deployment.spawn_at("front-1", &ip, link.address());
    wait_for("the first version is in force", || version_in_force(&deployment, "front-1") == 1);
    link.set_mode(SLOW_LINK);
    let mut written = Vec::new();
    let mut worst = Duration::ZERO;
    for version in 2..VERSION_COUNT + 2 {
        deployment.configure_large(version, ROUTES);
        written.push((version, Instant::now()));
        sleep(VERSION_INTERVAL);
        worst = worst.max(lag(&deployment, &written));
    }
    let last = VERSION_COUNT + 1;
    while version_in_force(&deployment, "front-1") < last {
        sleep(Duration::from_millis(20));
        worst = worst.max(lag(&deployment, &written));
    }
    assert!(worst < MAX_LAG, "{worst:?} behind the store");
}

/// Returns the age of the oldest version in the store that is newer than the one in force.
fn lag(deployment: &Deployment, written: &[(u64, Instant)]) -> Duration {
    let known = version_in_force(deployment, "front-1");
    let next = written.iter().find(|(version, _)| *version > known);
    next.map_or(Duration::ZERO, |(_, at)| at.elapsed())
}

/// Number of routes of the largest known configuration, which has 800 KB.
const MAX_ROUTES: usize = 4_200;

/// Returns the logged source changes of all hosts.
fn source_changes(deployment: &Deployment) -> Vec<String> {
    let logs = deployment.logs().into_iter();
    let changes = logs.flat_map(|(host, log)| {
        let lines = log.lines().filter(|line| line.contains("event=source_changed"));
        lines.map(|line| format!("{host}: {line}")).collect::<Vec<String>>()
    });
    changes.collect()
}

/// Reading a configuration of 800 KB takes the aggregator 0.9 s on a link of 10 Mbit/s. It must go on
/// watching the keys of upstreams and hosts meanwhile. Otherwise its subscribers take it for cut off and
/// switch to the next hosts in the order, which then read the same configuration from the store over links
/// as slow. In a large deployment the last host then applies the change seconds after the first:
///
///     3.3551 front-sea-b-11 event=source_changed source=front-sea-b-9 reason=stale age_ms=1117
///     3.8955 front-pdx-a-6 event=source_changed source=store reason=stale age_ms=1131
///     7.2870 front-spk-c-14 event=configuration_in_force version=7 old=4 source=front-spk-c-2
#[test]
fn slow_reader() {
    let deployment = Deployment::start();
    let links: Vec<Proxy> = (1..=HOSTS)
        .map(|_| Proxy::start(&gateway::fresh_ip(), deployment.store.address()))
        .collect();
    let hosts: Vec<Host> = (1..=HOSTS)
        .map(|number| {
            deployment.spawn_at(&name(number), &gateway::fresh_ip(), links[number - 1].address())
        })
        .collect();
    wait_for_reader(&deployment);
    wait_for_version(&hosts, 1.0);
    sleep(METRICS_INTERVAL);
    let before = source_changes(&deployment).len();
    links.iter().for_each(|link| link.set_mode(SLOW_LINK));
    for version in 2..5 {
        deployment.configure_large(version, MAX_ROUTES);
        wait_for_version(&hosts, version as f64);
        sleep(METRICS_INTERVAL);
    }
    let changes = source_changes(&deployment);
    assert_eq!(changes.len(), before, "sources changed: {changes:#?}");
}
