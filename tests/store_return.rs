//! The known state of upstreams on a host after an outage of the store or a cut of the link to it.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use rstest::rstest;
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Proxy, ProxyMode, StoreMode};

/// Maximum time after the return of the store until a host knows which upstreams have left, as in the
/// test settings.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(3_000);
/// Maximum time after the return of the store until live upstreams have rewritten their entries.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
const HOSTS: usize = 3;
/// Maximum time after the return of the store until a host that started meanwhile is ready: a probe every
/// 200 ms at most, then three short reads.
const MAX_READY_TIME: Duration = Duration::from_millis(700);

fn start_hosts(deployment: &Deployment) -> Vec<Host> {
    (1..=HOSTS).map(|number| deployment.host(&name(number))).collect()
}

fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Silences the store for `outage`, removes the key of an upstream meanwhile, and lets the store return at
/// the worst time: just after a call was lost. Returns the time of the return.
fn lose_key(deployment: &Deployment, outage: Duration) -> Instant {
    deployment.store.set_mode(StoreMode::Silent);
    deployment.store.remove("servers/i-desk-0");
    sleep(outage);
    let calls = deployment.store.calls();
    wait_for("a call is lost", || deployment.store.calls() > calls);
    deployment.store.set_mode(StoreMode::Serving);
    Instant::now()
}

fn is_gone(deployment: &Deployment, number: usize) -> bool {
    deployment.log(&name(number)).contains("event=upstream_gone upstream=i-desk-0")
}

/// A host whose first answer comes late after the outage must not wait for another full period before it
/// drops an upstream that has left.
#[rstest]
#[case::short(Duration::from_millis(2_300))]
#[case::long(Duration::from_millis(5_000))]
fn gone_upstream_dropped(#[case] outage: Duration) {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let returned_at = lose_key(&deployment, outage);
    for number in 1..=HOSTS {
        wait_for("the upstream is gone", || is_gone(&deployment, number));
    }
    assert!(returned_at.elapsed() < MAX_DETECTION_TIME, "known after {:?}", returned_at.elapsed());
    assert_eq!(Client::new("GET", "/check/1", "a1").send(hosts[0].front).status, 503);
}

#[rstest]
#[case::short(Duration::from_millis(2_300))]
#[case::long(Duration::from_millis(5_000))]
fn live_upstream_kept(#[case] outage: Duration) {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let returned_at = lose_key(&deployment, outage);
    let (key, value) = deployment.desks[0].entry();
    sleep(REWRITE_TIME.saturating_sub(returned_at.elapsed()));
    deployment.store.put(&key, &value);
    sleep(MAX_DETECTION_TIME);
    assert!((1..=HOSTS).all(|number| !is_gone(&deployment, number)));
    assert_eq!(Client::new("GET", "/check/1", "b1").send(hosts[0].front).status, 200);
}

/// A read that was sent just before the return of the store hangs. It must be repeated soon, since callers
/// are refused meanwhile.
#[test]
fn hung_read_repeated() {
    let deployment = Deployment::start();
    deployment.store.set_mode(StoreMode::Silent);
    let host = deployment.spawn("front-1");
    let reads = deployment.store.calls();
    wait_for("the host reads the store", || deployment.store.calls() > reads);
    // Lost reads are repeated with pauses: the store returns just after one.
    sleep(Duration::from_millis(1_500));
    let calls = deployment.store.calls();
    wait_for("the host reads again", || deployment.store.calls() > calls);
    deployment.store.set_mode(StoreMode::Serving);
    let returned_at = Instant::now();
    wait_for("the host is ready", || host.readiness() == 200);
    assert!(returned_at.elapsed() < MAX_READY_TIME, "ready after {:?}", returned_at.elapsed());
}

/// Age of the watch at the cut: it was sent just after a change, so most of its timeout is left.
const WATCH_AGE: Duration = Duration::from_millis(450);
/// Duration for which the link drops data; affected connections stay silent afterwards.
const CUT: Duration = Duration::from_millis(120);
/// Number of tries. A probe that happens to be lost as well reveals the cut sooner, which makes a try void.
const TRIES: u64 = 4;

/// The connection of a watch stays silent for good while new ones work. The watch must be given up early
/// enough for the host to know of changes within `MAX_DETECTION_TIME` after the end of the cut: a timeout
/// of 3.5 s from the sending of the watch is too long.
#[test]
fn silent_watch() {
    let deployment = Deployment::start();
    let ip = gateway::fresh_ip();
    let link = Proxy::start(&ip, deployment.store.address());
    let host = deployment.spawn_at("front-1", &ip, link.address());
    let wait_for_version = |version: u64| {
        let expected = Some(version as f64);
        wait_for("the configuration is in force", || {
            host.metric("vanetally_configuration_version") == expected
        });
    };
    wait_for_version(1);
    let mut worst = Duration::ZERO;
    for number in 1..=TRIES {
        deployment.configure(2 * number, &["added"]);
        wait_for_version(2 * number);
        // Metrics are updated once a second, so the watch sent after that change is already old.
        deployment.store.put("servers/i-desk-0", &deployment.desks[0].entry().1);
        sleep(WATCH_AGE);
        link.set_mode(ProxyMode::Drop);
        deployment.configure(2 * number + 1, &["added", "more"]);
        sleep(CUT);
        link.set_mode(ProxyMode::Pass);
        let restored = Instant::now();
        let log_text = format!("configuration_in_force version={} ", 2 * number + 1);
        wait_for("the configuration is in force", || deployment.log("front-1").contains(&log_text));
        worst = worst.max(restored.elapsed());
    }
    assert!(worst < MAX_DETECTION_TIME, "in force {worst:?} after the end of the cut");
}
