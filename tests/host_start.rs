//! Hosts that start: calls to the store, and requests that arrive before the configuration.

mod gateway;

use gateway::{Deployment, Host, fresh_ip, wait_for};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, ClientAnswer, StoreMode};

const HOSTS: usize = 30;
const DOMAINS: usize = 3;
/// Time in which a start has settled, without a renewal of the host leases.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Calls of all hosts: no more than when each host listed all others, 5.5 for each host.
const MAX_CALLS: usize = HOSTS * 11 / 2;

/// Returns the number of answered calls of all hosts by kind.
fn calls_by_kind(hosts: &[Host]) -> Vec<(&'static str, f64)> {
    let count = |kind: &str| {
        let name = format!("vanetally_store_calls_total{{call=\"{kind}\",outcome=\"answered\"}}");
        hosts.iter().filter_map(|host| host.metric(&name)).sum()
    };
    ["renew", "watch", "probe", "range", "survey", "grant", "transaction"]
        .map(|kind| (kind, count(kind)))
        .to_vec()
}

/// Starts hosts at `ips` and returns them with their calls to the store until they have settled.
fn start(deployment: &Deployment, ips: &[String], is_first: bool) -> (Vec<Host>, usize) {
    let before = deployment.store.calls();
    let spawn = |(number, ip): (usize, &String)| {
        let (name, domain) = (format!("front-{number}"), format!("z{}", number % DOMAINS));
        deployment.spawn_in(&name, ip, &domain, is_first)
    };
    let hosts: Vec<Host> = ips.iter().enumerate().map(spawn).collect();
    let began = Instant::now();
    wait_for("all hosts are ready", || hosts.iter().all(Host::is_ready));
    println!("first={is_first}: all ready after {:?}", began.elapsed());
    sleep(SETTLE_TIME.saturating_sub(began.elapsed()));
    let calls = deployment.store.calls() - before;
    println!("{calls} calls: {:?}", calls_by_kind(&hosts));
    let readers =
        deployment.logs().iter().map(|(_, log)| log.matches("source=store").count()).sum::<usize>();
    println!("switches to the store in all logs {readers}");
    (hosts, calls)
}

/// Returns the hosts that asked for the configuration more than once: the answer to their first request was lost, since the
/// host that they asked took them out of its list of hosts.
fn unanswered(deployment: &Deployment) -> Vec<String> {
    let logs = deployment.logs().into_iter();
    let asked_again = logs.filter(|(_, log)| log.matches("=configuration_asked").count() > 1);
    asked_again.map(|(file, _)| file).collect()
}

/// Thirty hosts start for the first time, lose power and start again.
///
/// Guards against a start in which each host becomes an entry point and reads all keys: a domain of ten hosts has fewer
/// hosts than entry keys.
#[test]
fn store_calls_at_start() {
    let deployment = Deployment::start();
    let ips: Vec<String> = (0..HOSTS).map(|_| fresh_ip()).collect();
    let (hosts, calls) = start(&deployment, &ips, true);
    println!("first start: {calls} calls");
    assert!(calls <= MAX_CALLS, "{calls} calls at the first start");
    let unanswered = unanswered(&deployment);
    assert!(unanswered.is_empty(), "no configuration for the first request of {unanswered:?}");
    drop(hosts);
    let (_hosts, calls) = start(&deployment, &ips, false);
    println!("after a power failure: {calls} calls");
    assert!(calls <= MAX_CALLS, "{calls} calls after a power failure");
}

/// Sends a request as soon as `host` accepts connections.
fn first_answer(host: &Host) -> ClientAnswer {
    let began = Instant::now();
    loop {
        let answer = Client::new("GET", "/check/1", "a1").deadline(3_000).send(host.front);
        if answer.status != 0 {
            return answer;
        }
        assert!(began.elapsed() < Duration::from_secs(10), "the host does not listen");
        sleep(Duration::from_millis(1));
    }
}

/// A request sent while a host starts is answered as soon as the host has the configuration from another one.
#[test]
fn early_request_answered() {
    let deployment = Deployment::start();
    let _first = deployment.host("front-0");
    let mut starting = Vec::new();
    for number in 1..4 {
        let host = deployment.spawn(&format!("front-{number}"));
        let answer = first_answer(&host);
        assert_eq!(answer.status, 200, "start {number}: {}", answer.body);
        starting.push(host);
    }
}

/// The store does not answer: a request is refused at once with the time until a retry, and the host is not ready.
#[test]
fn store_away() {
    let deployment = Deployment::start();
    deployment.store.set_mode(StoreMode::Silent);
    let host = deployment.spawn("front-0");
    for _ in 0..2 {
        let began = Instant::now();
        let answer = first_answer(&host);
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert_eq!(answer.body, "not_configured");
        assert_eq!(answer.header("retry-after"), Some("1.000"));
        assert!(began.elapsed() < Duration::from_millis(1_000), "{:?}", began.elapsed());
        assert_ne!(host.readiness(), 200);
    }
}
