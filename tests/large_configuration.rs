//! Configurations with many routes in a large deployment.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Proxy, ProxyMode};

/// More than the twelve that each read the store for themselves.
const HOSTS: usize = 14;
const ROUTES: usize = 1_400;
/// Metrics are read off once a second.
const SETTLED: Duration = Duration::from_millis(1_500);

fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Hosts of which one reads the store for all others.
fn start_fleet(deployment: &Deployment) -> Vec<Host> {
    let hosts: Vec<Host> = (1..=HOSTS).map(|number| deployment.spawn(&name(number))).collect();
    wait_for_reader(deployment);
    hosts
}

fn wait_for_reader(deployment: &Deployment) {
    let hears = |number: &usize| {
        deployment.log(&name(*number)).contains("event=source_changed source=front-")
    };
    wait_for("all but one hear from an aggregator", || {
        (1..=HOSTS).filter(hears).count() == HOSTS - 1
    });
}

fn wait_for_version(hosts: &[Host], version: f64) {
    wait_for("the configuration is in force everywhere", || {
        hosts.iter().all(|h| h.metric("vanetally_configuration_version") == Some(version))
    });
}

fn link_bytes(hosts: &[Host]) -> f64 {
    sleep(SETTLED);
    let sent = |host: &Host| host.metric("vanetally_link_sent_bytes_total").unwrap_or(0.0);
    hosts.iter().map(sent).sum()
}

fn configuration_bytes(deployment: &Deployment) -> f64 {
    deployment.store.get("op/config").map_or(0.0, |text| text.len() as f64)
}

/// Found in issue 18: each version went whole to each host, 550 KB over links of 10 Mbit/s; requests
/// waited behind them, hosts took their aggregator for silent and read the store, all at once.
#[test]
fn small_change_small() {
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

/// Pieces of 16 KB that pass one after the other, each after so many milliseconds: 10 Mbit/s.
const SLOW_LINK: ProxyMode = ProxyMode::Delay(13);
const STORM: u64 = 40;
const STORM_GAP: Duration = Duration::from_millis(100);
/// A version has to be in force this long after the store has it, at the latest; the bounds of today's
/// deployments begin at 2 s.
const IN_FORCE: Duration = Duration::from_millis(2_000);

/// The version that a host last logged as in force.
fn version_in_force(deployment: &Deployment, host: &str) -> u64 {
    let log = deployment.log(host);
    let last =
        log.lines().rev().find_map(|line| line.split("configuration_in_force version=").nth(1));
    last.and_then(|text| text.split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Large configurations in quick succession, read over a slow link: what is superseded is skipped.
/// Issue 18, the same cause elsewhere: a watch tells every version, and fell behind ever more.
#[test]
fn quick_succession() {
    let deployment = Deployment::start();
    let ip = gateway::fresh_ip();
    let link = Proxy::start(&ip, deployment.store.address());
    let _host = deployment.spawn_at("front-1", &ip, link.address());
    wait_for("the first is in force", || version_in_force(&deployment, "front-1") == 1);
    link.set_mode(SLOW_LINK);
    let mut written = Vec::new();
    let mut worst = Duration::ZERO;
    for version in 2..STORM + 2 {
        deployment.configure_large(version, ROUTES);
        written.push((version, Instant::now()));
        sleep(STORM_GAP);
        worst = worst.max(lag(&deployment, &written));
    }
    let last = STORM + 1;
    while version_in_force(&deployment, "front-1") < last {
        sleep(Duration::from_millis(20));
        worst = worst.max(lag(&deployment, &written));
    }
    assert!(worst < IN_FORCE, "{worst:?} behind");
}

/// How long the oldest version beyond the one in force has lain in the store.
fn lag(deployment: &Deployment, written: &[(u64, Instant)]) -> Duration {
    let known = version_in_force(deployment, "front-1");
    let next = written.iter().find(|(version, _)| *version > known);
    next.map_or(Duration::ZERO, |(_, at)| at.elapsed())
}

/// Routes of the largest configuration that was seen: 800 KB.
const MOST_ROUTES: usize = 4_200;

/// How often the hosts changed the source from which they hear.
fn source_changes(deployment: &Deployment) -> Vec<String> {
    let logs = deployment.logs().into_iter();
    let changes = logs.flat_map(|(host, log)| {
        let lines = log.lines().filter(|line| line.contains("event=source_changed"));
        lines.map(|line| format!("{host}: {line}")).collect::<Vec<String>>()
    });
    changes.collect()
}

/// A configuration of 800 KB takes the host that reads the store for all others 0.9 s on a link of 10 Mbit/s.
/// It read nothing else meanwhile: after the watch that had brought the configuration it read that again, and
/// only then watched the keys of upstreams and hosts. Those that hear from it took it for cut off, and the next
/// ones in their order, which turned to the store, read the same configuration over links as slow. In a
/// deployment of 71 such hosts the last one followed 7.2 s after the first, all 25 hosts of a failure
/// domain had turned to the store, and callers got three of four answers late:
///
///     3.3551 front-sea-b-11 event=source_changed source=front-sea-b-9 reason=stale age_ms=1117
///     3.8955 front-pdx-a-6 event=source_changed source=store reason=stale age_ms=1131
///     7.2870 front-spk-c-14 event=configuration_in_force version=7 old=4 source=front-spk-c-2
#[test]
fn weak_reader() {
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
    sleep(SETTLED);
    let before = source_changes(&deployment).len();
    links.iter().for_each(|link| link.set_mode(SLOW_LINK));
    for version in 2..5 {
        deployment.configure_large(version, MOST_ROUTES);
        wait_for_version(&hosts, version as f64);
        sleep(SETTLED);
    }
    let changes = source_changes(&deployment);
    assert_eq!(changes.len(), before, "sources changed: {changes:#?}");
}
