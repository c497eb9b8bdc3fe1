//! What a host believes of upstreams once the store is back after an outage or a cut.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use rstest::rstest;
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, StoreMode};

/// So long after the store's return a host must know which upstreams have left; as in the settings
/// of the tests.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Upstreams that live are back in the store within this time after its return.
const BACK: Duration = Duration::from_millis(2_000);
const HOSTS: usize = 3;

fn start_hosts(deployment: &Deployment) -> Vec<Host> {
    (1..=HOSTS).map(|number| deployment.host(&name(number))).collect()
}

fn name(number: usize) -> String {
    format!("front-{number}")
}

/// The store falls silent for `away`, loses the key of an upstream meanwhile, and returns at the worst
/// moment: a call has just been lost. Gives back when it returned.
fn lose_key(deployment: &Deployment, away: Duration) -> Instant {
    deployment.store.set_mode(StoreMode::Silent);
    deployment.store.remove("servers/i-desk-0");
    sleep(away);
    let calls = deployment.store.calls();
    wait_for("a call is lost", || deployment.store.calls() > calls);
    deployment.store.set_mode(StoreMode::Serving);
    Instant::now()
}

fn is_gone(deployment: &Deployment, number: usize) -> bool {
    deployment.log(&name(number)).contains("event=upstream_gone upstream=i-desk-0")
}

/// Found in issue 18: a host had its first answer up to 1.6 s after the trouble's end, waited for 2.2 s
/// more, and sent requests to an upstream that had left 12 s before.
#[rstest]
#[case::short(Duration::from_millis(2_300))]
#[case::long(Duration::from_millis(5_000))]
fn leaving_is_known(#[case] away: Duration) {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let returned = lose_key(&deployment, away);
    for number in 1..=HOSTS {
        wait_for("it is gone", || is_gone(&deployment, number));
    }
    assert!(returned.elapsed() < CONTACT, "known after {:?}", returned.elapsed());
    assert_eq!(Client::new("GET", "/check/1", "a1").send(hosts[0].front).status, 503);
}

#[rstest]
#[case::short(Duration::from_millis(2_300))]
#[case::long(Duration::from_millis(5_000))]
fn living_is_kept(#[case] away: Duration) {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let returned = lose_key(&deployment, away);
    let (key, value) = deployment.desks[0].entry();
    sleep(BACK.saturating_sub(returned.elapsed()));
    deployment.store.put(&key, &value);
    sleep(CONTACT);
    assert!((1..=HOSTS).all(|number| !is_gone(&deployment, number)));
    assert_eq!(Client::new("GET", "/check/1", "b1").send(hosts[0].front).status, 200);
}
