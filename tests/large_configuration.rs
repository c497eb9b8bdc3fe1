//! Configurations with many routes in a large deployment.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use std::{thread::sleep, time::Duration};

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
        let log = deployment.log(&name(*number));
        log.lines()
            .rev()
            .find_map(|line| line.split("event=source_changed source=front-").nth(1))
            .is_some()
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
