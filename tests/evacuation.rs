//! Evacuation of a failure domain with real processes.

mod gateway;

use gateway::{
    Deployment, fronts,
    load::{check, under_load},
    wait_for,
};
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Runner, StoreMode};

/// Maximum time after the operator's write in which a host may still send to the domain.
const EVACUATION: Duration = Duration::from_secs(5);
/// The failure domain of all hosts and of the first plain upstream, which they prefer.
const KEY: &str = "op/evacuate/z1";

/// A deployment whose second plain upstream is in the failure domain `z2`. Returns the first one as well.
fn deployment() -> (Deployment, Runner) {
    let mut deployment = Deployment::start();
    let (key, mut value) = deployment.add_desk().entry();
    value["zone"] = "z2".into();
    deployment.store.put(&key, &value);
    let near = deployment.desks[0].clone();
    (deployment, near)
}

/// Returns the number of requests that arrived at `runner` after `at`.
fn arrivals_after(runner: &Runner, at: Instant) -> usize {
    runner.arrivals().into_iter().filter(|arrival| *arrival > at).count()
}

/// Few hosts each watch the store; of many, most learn of it from another host. The last one starts while
/// the domain is evacuated.
fn evacuates(hosts: usize) {
    let (deployment, near) = deployment();
    let running = deployment.hosts(hosts);
    let fronts = fronts(&running);
    let mut evacuated = Instant::now();
    let exchanges = under_load(&fronts, check, 8, Duration::from_millis(10), || {
        thread::sleep(Duration::from_millis(500));
        deployment.store.put(KEY, &json!({}));
        evacuated = Instant::now();
        thread::sleep(EVACUATION + Duration::from_secs(1));
        let late = deployment.host("front-late");
        for number in 0..20 {
            assert_eq!(check(1_000_000 + number).send(late.front).status, 200);
        }
        deployment.store.set_mode(StoreMode::Silent);
        thread::sleep(Duration::from_secs(1));
        deployment.store.set_mode(StoreMode::Serving);
    });
    assert!(!near.arrivals().is_empty(), "it is preferred");
    assert_eq!(arrivals_after(&near, evacuated + EVACUATION), 0);
    let failed = exchanges.iter().filter(|exchange| exchange.answer.status != 200).count();
    assert_eq!(failed, 0, "of {}", exchanges.len());
    deployment.store.remove(KEY);
    let returned = Instant::now();
    wait_for("the domain is used again", || {
        assert_eq!(check(2_000_000).send(fronts[0]).status, 200);
        arrivals_after(&near, returned) > 0
    });
}

#[test]
fn few_hosts() {
    evacuates(3);
}

#[test]
fn many_hosts() {
    evacuates(14);
}

/// All hosts start again while the domain is evacuated.
#[test]
fn all_hosts_lost() {
    let (deployment, near) = deployment();
    let hosts = deployment.hosts(3);
    deployment.store.put(KEY, &json!({}));
    drop(hosts);
    let hosts: Vec<_> = (0..3).map(|number| deployment.host(&format!("again-{number}"))).collect();
    for number in 0..60 {
        assert_eq!(check(number).send(hosts[number as usize % 3].front).status, 200);
    }
    assert!(near.arrivals().is_empty());
}
