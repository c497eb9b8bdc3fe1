//! Upstreams that announce in their answers that they leave.
//!
//! Guards against hosts that learn of it from the store alone: while the store is silent they would go
//! on sending to the upstream. A host that receives such an answer logs it as below and reports it to
//! the other hosts:
//!
//! `event=upstream_leaving upstream=i-engine-0@1750000000000 by=answer`

mod gateway;

use gateway::{
    Deployment, fronts,
    load::{Exchange, check, offer, under_load},
    wait_for,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Runner, StoreMode};

/// Maximum time after a host has relayed such an answer in which it may still send to the upstream.
const DRAIN: Duration = Duration::from_secs(2);
const HOSTS: usize = 4;

/// Returns the id and arrival time of each request of a runner.
fn arrivals(runner: &Runner) -> Vec<(String, Instant)> {
    let ids = runner
        .requests()
        .into_iter()
        .map(|request| request.header("x-attempt-id").unwrap_or_default().to_owned());
    ids.zip(runner.arrivals()).collect()
}

/// Returns the number of requests that arrived later than `DRAIN` after their host had relayed that the
/// runner leaves.
fn late_requests(runner: &Runner, exchanges: &[Exchange]) -> usize {
    let mut relayed: HashMap<SocketAddr, Instant> = HashMap::new();
    for exchange in
        exchanges.iter().filter(|exchange| exchange.answer.header("server-leaving") == Some("1"))
    {
        let at = exchange.began + exchange.took;
        let first = relayed.entry(exchange.front).or_insert(at);
        *first = at.min(*first);
    }
    let fronts: HashMap<String, SocketAddr> = exchanges
        .iter()
        .map(|exchange| (format!("r{}", exchange.number), exchange.front))
        .collect();
    let is_late = |(id, at): &(String, Instant)| {
        let relayed_at = fronts.get(id).and_then(|front| relayed.get(front));
        relayed_at.is_some_and(|relayed_at| *at > *relayed_at + DRAIN)
    };
    arrivals(runner).iter().filter(|arrival| is_late(arrival)).count()
}

/// A runner leaves while the store is silent: hosts learn of it from its answers and from each other. Its
/// next incarnation is used.
#[test]
fn announced_by_answers() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = deployment.hosts(HOSTS);
    let fronts = fronts(&hosts);
    let engine = deployment.engines[0].clone();
    let mut left = Instant::now();
    let exchanges = under_load(&fronts[..3], offer, 8, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
        deployment.store.set_mode(StoreMode::Silent);
        engine.set_leaving(Some("1"));
        left = Instant::now();
        thread::sleep(Duration::from_secs(6));
    });
    assert_eq!(late_requests(&engine, &exchanges), 0, "of {}", exchanges.len());
    let failed: Vec<&Exchange> = exchanges
        .iter()
        .filter(|exchange| exchange.began > left && exchange.answer.status != 200)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    let before = engine.requests().len();
    for number in 0..20 {
        assert_eq!(offer(1_000_000 + number).send(fronts[3]).status, 200);
    }
    assert_eq!(engine.requests().len(), before, "the fourth host learned of it from the others");
    deployment.store.set_mode(StoreMode::Serving);
    engine.restart();
    engine.load_initial_models();
    let (key, value) = engine.entry();
    deployment.store.put(&key, &value);
    wait_for("the next incarnation is used", || {
        let number = 2_000_000 + engine.requests().len() as u64;
        (0..10).for_each(|more| drop(offer(number + more).send(fronts[0])));
        engine.requests().len() > before
    });
}

/// A host that starts later learns of it from the others.
#[test]
fn reported_to_new_host() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = deployment.hosts(HOSTS);
    let engine = deployment.engines[0].clone();
    engine.set_leaving(Some("1"));
    under_load(&fronts(&hosts), offer, 4, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
    });
    let new = deployment.host("front-9");
    thread::sleep(Duration::from_secs(1));
    let before = engine.requests().len();
    for number in 0..20 {
        assert_eq!(offer(1_000_000 + number).send(new.front).status, 200);
    }
    assert_eq!(engine.requests().len(), before);
}

/// All upstreams of a service leave: callers are refused at once with a `Retry-After`.
#[test]
fn all_leave() {
    let deployment = Deployment::start();
    let host = deployment.host("front-0");
    deployment.desks[0].set_leaving(Some("1"));
    assert_eq!(check(0).send(host.front).status, 200, "the upstream still answers");
    let began = Instant::now();
    let answer = check(1).send(host.front);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(250), "{:?}", began.elapsed());
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
}

/// An invalid announcement is ignored.
#[test]
fn invalid_announcements() {
    let deployment = Deployment::start();
    let host = deployment.host("front-0");
    for invalid in ["0", "", "yes", "-1", "11", "1 1"] {
        deployment.desks[0].set_leaving(Some(invalid));
        for number in 0..4 {
            assert_eq!(check(number).send(host.front).status, 200, "{invalid:?}");
        }
    }
}
