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
    let hears = |number: &usize| {
        deployment.log(&name(*number)).contains("event=source_changed source=front-")
    };
    wait_for("all but one hear from an aggregator", || {
        (1..=HOSTS).filter(hears).count() == HOSTS - 1
    });
    hosts
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
