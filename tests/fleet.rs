//! A fleet of hosts in which an aggregator reads the store for all others.

mod gateway;

use gateway::{Deployment, Host, fresh_ip, wait_for};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Proxy, ProxyMode};

/// More hosts than the largest fleet in which each host reads the store itself.
const HOSTS: usize = 14;
/// Maximum time until a change is in force, also while the aggregator is lost: two seconds, and a fifth of
/// a second for each host that the test queries.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(5_000);
/// Time in which the calls to the store are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(6);
/// Duration for which all hosts are paused, longer than the allowed silence of a source.
const PAUSE: Duration = Duration::from_millis(700);
/// Number of pauses.
const PAUSE_COUNT: usize = 3;
/// Time after a pause in which hosts that take their source for silent would change it.
const RESUME_TIME: Duration = Duration::from_millis(1_000);

fn name(number: usize) -> String {
    format!("front-{number}")
}

fn start_hosts(deployment: &Deployment) -> Vec<Host> {
    let hosts: Vec<Host> = (0..HOSTS).map(|number| deployment.spawn(&name(number))).collect();
    wait_for("all hosts are ready", || hosts.iter().all(|host| host.readiness() == 200));
    wait_for("a single host reads the store", || readers(deployment).len() == 1);
    hosts
}

/// Returns the hosts whose last logged source is the store.
fn readers(deployment: &Deployment) -> Vec<usize> {
    let reads = |number: &usize| {
        let log = deployment.log(&name(*number));
        let last = log.lines().rfind(|line| line.contains("event=source_changed"));
        last.is_some_and(|line| line.contains("source=store "))
    };
    (0..HOSTS).filter(reads).collect()
}

/// Returns the source changes and the stalls that hosts logged.
fn source_changes(deployment: &Deployment) -> String {
    let mut changes = String::new();
    for (file, log) in deployment.logs() {
        let is_relevant =
            |line: &&str| line.contains("=source_changed") || line.contains("=host_stalled");
        for line in log.lines().filter(is_relevant) {
            changes += &format!("\n{file}: {line}");
        }
    }
    changes
}

/// Whether the host serves the route at `path`.
fn serves(host: &Host, path: &str) -> bool {
    Client::new("GET", path, "a1").deadline(200).send(host.front).status == 200
}

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

/// Fourteen hosts cause as many store calls as one host, except for their leases.
#[test]
fn single_reader() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    sleep(Duration::from_secs(2));
    let before = deployment.store.calls();
    let kinds_before = calls_by_kind(&hosts);
    sleep(COUNT_WINDOW);
    let calls = deployment.store.calls() - before;
    let kinds: Vec<(&str, f64)> = calls_by_kind(&hosts)
        .into_iter()
        .zip(kinds_before)
        .map(|((kind, after), (_, before))| (kind, after - before))
        .collect();
    // Two renewals per host in six seconds, four in two seconds for the order lease, two probes a second
    // and a watch every one and a half seconds or after a change.
    let max = HOSTS * 2 + 12 + 12 + 20;
    assert!(calls <= max, "{calls} calls: {kinds:?}{}", source_changes(&deployment));
    let reader_hosts = readers(&deployment);
    assert_eq!(
        reader_hosts.len(),
        1,
        "{reader_hosts:?} read the store: {}",
        source_changes(&deployment)
    );
    drop(hosts);
}

/// The aggregator is killed at the same time as the configuration changes.
#[test]
fn reader_killed() {
    let deployment = Deployment::start();
    let mut hosts = start_hosts(&deployment);
    let reader = readers(&deployment)[0];
    hosts[reader].kill();
    let changed = Instant::now();
    deployment.configure(2, &["added"]);
    let remaining: Vec<&Host> =
        hosts.iter().enumerate().filter(|(n, _)| *n != reader).map(|(_, host)| host).collect();
    wait_for("the configuration is in force", || {
        remaining.iter().all(|host| serves(host, "/added/1"))
    });
    assert!(changed.elapsed() < MAX_CHANGE_TIME, "in force after {:?}", changed.elapsed());
    let switched = |number: usize| {
        let log = deployment.log(&name(number));
        log.lines().filter(|line| line.contains("source=store reason=silent")).count()
    };
    let switched: usize = (0..HOSTS).map(switched).sum();
    assert!(switched <= 2, "{switched} hosts switched to the store");
}

/// The aggregator is paused and resumed: no host continues to use a runner that left meanwhile.
#[test]
fn reader_paused() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let reader = readers(&deployment)[0];
    hosts[reader].signal("STOP");
    deployment.store.remove("servers/i-desk-0");
    let removed = Instant::now();
    let awake: Vec<&Host> =
        hosts.iter().enumerate().filter(|(n, _)| *n != reader).map(|(_, host)| host).collect();
    wait_for("the runner is gone", || awake.iter().all(|host| !serves(host, "/check/1")));
    assert!(removed.elapsed() < MAX_CHANGE_TIME, "gone after {:?}", removed.elapsed());
    hosts[reader].signal("CONT");
    wait_for("the paused host drops the runner", || !serves(&hosts[reader], "/check/2"));
    wait_for("a single host reads the store", || readers(&deployment).len() == 1);
}

/// The whole machine stalls briefly: no host takes its source for silent because of that.
#[test]
fn all_paused() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let reader = readers(&deployment);
    let switched = || source_changes(&deployment).lines().filter(|l| l.contains("=silent")).count();
    let before = switched();
    for _ in 0..PAUSE_COUNT {
        hosts.iter().for_each(|host| host.signal("STOP"));
        sleep(PAUSE);
        hosts.iter().for_each(|host| host.signal("CONT"));
        sleep(RESUME_TIME);
    }
    assert_eq!(switched(), before, "{}", source_changes(&deployment));
    assert_eq!(readers(&deployment), reader, "{}", source_changes(&deployment));
}

/// Announcements of the holder of the order lease reach all hosts: a missing adapter is served everywhere.
#[test]
fn adapter_served_everywhere() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    for (number, host) in hosts.iter().enumerate() {
        let call = Client::new("POST", "/offer/1", &format!("p{number}"))
            .with("X-Model", "m1/a1")
            .with("X-Token-Count", "10,5")
            .with("X-Prompt-Prefix", "a1:10")
            .deadline(9_000);
        assert_eq!(call.send(host.front).status, 200, "host {number}");
    }
    let loads = deployment.engines[0].orders();
    let loads = loads.iter().filter(|order| order.adapter.as_deref() == Some("a1")).count();
    assert_eq!(loads, 1, "a single order serves all hosts");
}

/// Maximum time until all running hosts apply a change, as deployments of this size allow.
const MAX_FLEET_CHANGE_TIME: Duration = Duration::from_millis(3_000);

/// The aggregator is cut off from the store, and the next host in the order is stalled.
///
/// Guards against a stale aggregator that stays the source of all others although the store answers them:
/// revoked keys would stay valid for seconds. A host that asks the next one in the order for newer data
/// has to skip it also if it does not answer at all, not only if it answers with nothing newer.
#[test]
fn reader_cut_off() {
    let deployment = Deployment::start();
    let proxies: Vec<Proxy> =
        (0..HOSTS).map(|_| Proxy::start(&fresh_ip(), deployment.store.address())).collect();
    let hosts: Vec<Host> = proxies
        .iter()
        .enumerate()
        .map(|(number, proxy)| deployment.spawn_at(&name(number), &fresh_ip(), proxy.address()))
        .collect();
    wait_for("all hosts are ready", || hosts.iter().all(|host| host.readiness() == 200));
    wait_for("a single host reads the store", || readers(&deployment).len() == 1);
    // Pausing the first reader reveals the next one in the order.
    let first = readers(&deployment)[0];
    hosts[first].signal("STOP");
    let next =
        |excluded: usize| readers(&deployment).into_iter().find(|number| *number != excluded);
    wait_for("another host reads the store", || next(first).is_some());
    let second = next(first).expect("a reader");
    hosts[first].signal("CONT");
    wait_for("the first host reads the store again", || readers(&deployment) == [first]);
    proxies[first].set_mode(ProxyMode::Silent);
    hosts[second].signal("STOP");
    let changed = Instant::now();
    deployment.configure(2, &["added"]);
    let others: Vec<&Host> = (0..HOSTS).filter(|n| *n != second).map(|n| &hosts[n]).collect();
    wait_for("the configuration is in force", || {
        others.iter().all(|host| serves(host, "/added/1"))
    });
    let took = changed.elapsed();
    assert!(took < MAX_FLEET_CHANGE_TIME, "in force after {took:?}{}", source_changes(&deployment));
    proxies[first].set_mode(ProxyMode::Pass);
    hosts[second].signal("CONT");
    wait_for("a single host reads the store", || readers(&deployment).len() == 1);
}
