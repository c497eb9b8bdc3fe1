//! A fleet of real processes: one of them reads the store for all.

mod gateway;

use gateway::{Deployment, Host, fresh_ip, wait_for};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Proxy, ProxyMode};

/// More hosts than those that each read the store.
const HOSTS: usize = 14;
/// A change has to be in force within this time, also while the host that reads the store is lost: two seconds,
/// and a fifth of a second for each host that is asked whether it is.
const BOUND: Duration = Duration::from_millis(5_000);
/// Time in which the store's calls are counted.
const COUNTED: Duration = Duration::from_secs(6);
/// How long and how often all hosts are frozen: longer than a source may be silent.
const FROZEN: Duration = Duration::from_millis(700);
const FREEZES: usize = 3;
/// Time in which hosts that misjudge each other change their sources.
const THAWED: Duration = Duration::from_millis(1_000);

fn name(number: usize) -> String {
    format!("front-{number}")
}

fn start_hosts(deployment: &Deployment) -> Vec<Host> {
    let hosts: Vec<Host> = (0..HOSTS).map(|number| deployment.spawn(&name(number))).collect();
    wait_for("all are ready", || hosts.iter().all(|host| host.readiness() == 200));
    wait_for("one reads for all", || readers(deployment).len() == 1);
    hosts
}

/// The hosts whose last word on their source is the store.
fn readers(deployment: &Deployment) -> Vec<usize> {
    let reads = |number: &usize| {
        let log = deployment.log(&name(*number));
        let last = log.lines().rfind(|line| line.contains("event=source_changed"));
        last.is_some_and(|line| line.contains("source=store "))
    };
    (0..HOSTS).filter(reads).collect()
}

/// The changes of source and the stalls that all hosts logged.
fn source_changes(deployment: &Deployment) -> String {
    let mut changes = String::new();
    for (file, log) in deployment.logs() {
        let is_meant =
            |line: &&str| line.contains("=source_changed") || line.contains("=host_stalled");
        for line in log.lines().filter(is_meant) {
            changes += &format!("\n{file}: {line}");
        }
    }
    changes
}

/// Whether the host serves the route that was added.
fn serves(host: &Host, path: &str) -> bool {
    Client::new("GET", path, "a1").deadline(200).send(host.front).status == 200
}

/// Answered calls of all hosts so far, by kind.
fn calls_by_kind(hosts: &[Host]) -> Vec<(&'static str, f64)> {
    let count = |kind: &str| {
        let name = format!("vanetally_store_calls_total{{call=\"{kind}\",outcome=\"answered\"}}");
        hosts.iter().filter_map(|host| host.metric(&name)).sum()
    };
    ["renew", "watch", "probe", "range", "survey", "grant", "transaction"]
        .map(|kind| (kind, count(kind)))
        .to_vec()
}

/// Fourteen hosts cost the store as many calls as one, but for their leases.
#[test]
fn one_reads() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    sleep(Duration::from_secs(2));
    let before = deployment.store.calls();
    let kinds_before = calls_by_kind(&hosts);
    sleep(COUNTED);
    let calls = deployment.store.calls() - before;
    let kinds: Vec<(&str, f64)> = calls_by_kind(&hosts)
        .into_iter()
        .zip(kinds_before)
        .map(|((kind, after), (_, before))| (kind, after - before))
        .collect();
    // Two renewals in six seconds each, four in two seconds for the orders, two probes a second, a watch
    // each one and a half seconds or after a change.
    let most = HOSTS * 2 + 12 + 12 + 20;
    assert!(calls <= most, "{calls} calls: {kinds:?}{}", source_changes(&deployment));
    let reading = readers(&deployment);
    assert_eq!(reading.len(), 1, "{reading:?} read the store: {}", source_changes(&deployment));
    drop(hosts);
}

/// The host that reads for all is killed, and the configuration changes at that moment.
#[test]
fn reader_killed() {
    let deployment = Deployment::start();
    let mut hosts = start_hosts(&deployment);
    let reader = readers(&deployment)[0];
    hosts[reader].kill();
    let changed = Instant::now();
    deployment.configure(2, &["added"]);
    let left: Vec<&Host> =
        hosts.iter().enumerate().filter(|(n, _)| *n != reader).map(|(_, host)| host).collect();
    wait_for("it is in force", || left.iter().all(|host| serves(host, "/added/1")));
    assert!(changed.elapsed() < BOUND, "in force after {:?}", changed.elapsed());
    let turned = |number: usize| {
        let log = deployment.log(&name(number));
        log.lines().filter(|line| line.contains("source=store reason=silent")).count()
    };
    let turned: usize = (0..HOSTS).map(turned).sum();
    assert!(turned <= 2, "{turned} turned to the store");
}

/// The host that reads for all is frozen and wakes up again: no runner that left meanwhile is believed in.
#[test]
fn reader_frozen() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let reader = readers(&deployment)[0];
    hosts[reader].signal("STOP");
    deployment.store.remove("servers/i-desk-0");
    let left = Instant::now();
    let awake: Vec<&Host> =
        hosts.iter().enumerate().filter(|(n, _)| *n != reader).map(|(_, host)| host).collect();
    wait_for("it is gone", || awake.iter().all(|host| !serves(host, "/check/1")));
    assert!(left.elapsed() < BOUND, "gone after {:?}", left.elapsed());
    hosts[reader].signal("CONT");
    wait_for("the frozen host knows", || !serves(&hosts[reader], "/check/2"));
    wait_for("one reads for all", || readers(&deployment).len() == 1);
}

/// The whole machine stands still for a moment: nobody takes the hosts before it for silent because of that.
#[test]
fn all_frozen() {
    let deployment = Deployment::start();
    let hosts = start_hosts(&deployment);
    let reader = readers(&deployment);
    let turned = || source_changes(&deployment).lines().filter(|l| l.contains("=silent")).count();
    let before = turned();
    for _ in 0..FREEZES {
        hosts.iter().for_each(|host| host.signal("STOP"));
        sleep(FROZEN);
        hosts.iter().for_each(|host| host.signal("CONT"));
        sleep(THAWED);
    }
    assert_eq!(turned(), before, "{}", source_changes(&deployment));
    assert_eq!(readers(&deployment), reader, "{}", source_changes(&deployment));
}

/// What the holder of orders tells comes to all hosts: a missing adapter is served everywhere.
#[test]
fn placed_everywhere() {
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
    assert_eq!(loads, 1, "one order is enough for all");
}

/// So long after a change all hosts that run have to follow it: the time that deployments of so many hosts allow.
const FOLLOWED: Duration = Duration::from_millis(3_000);

/// The host that reads the store for all hears nothing from it any more, and the next one in the order stands still.
///
/// In a fleet of 69 hosts the reader stayed the source of all for four seconds, though the store answered some forty of
/// the others; keys that were taken away were honoured for three seconds. Of those hosts each had one line on its source,
/// from before: `event=source_changed source=front-sea-b-1 reason=silent age_ms=653`. They asked the next host in the order
/// again and again; it stood still and said nothing, and only one that answers with nothing newer was passed over.
#[test]
fn deaf_reader() {
    let deployment = Deployment::start();
    let proxies: Vec<Proxy> =
        (0..HOSTS).map(|_| Proxy::start(&fresh_ip(), deployment.store.address())).collect();
    let hosts: Vec<Host> = proxies
        .iter()
        .enumerate()
        .map(|(number, proxy)| deployment.spawn_at(&name(number), &fresh_ip(), proxy.address()))
        .collect();
    wait_for("all are ready", || hosts.iter().all(|host| host.readiness() == 200));
    wait_for("one reads for all", || readers(&deployment).len() == 1);
    // Who stands still shows who comes next in the order.
    let first = readers(&deployment)[0];
    hosts[first].signal("STOP");
    let next = |but: usize| readers(&deployment).into_iter().find(|number| *number != but);
    wait_for("another one reads", || next(first).is_some());
    let second = next(first).expect("a reader");
    hosts[first].signal("CONT");
    wait_for("the first one reads again", || readers(&deployment) == [first]);
    proxies[first].set_mode(ProxyMode::Silent);
    hosts[second].signal("STOP");
    let changed = Instant::now();
    deployment.configure(2, &["added"]);
    let others: Vec<&Host> = (0..HOSTS).filter(|n| *n != second).map(|n| &hosts[n]).collect();
    wait_for("it is in force", || others.iter().all(|host| serves(host, "/added/1")));
    let took = changed.elapsed();
    assert!(took < FOLLOWED, "in force after {took:?}{}", source_changes(&deployment));
    proxies[first].set_mode(ProxyMode::Pass);
    hosts[second].signal("CONT");
    wait_for("one reads for all", || readers(&deployment).len() == 1);
}
