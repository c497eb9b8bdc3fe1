//! Upstreams that say in their answers that they leave.
//!
//! A runner said so in an answer that a host passed on while the store was silent, and got a request from that host 2.7 s
//! later: whether an upstream leaves was read from its entry in the store alone, and what its answers say by nobody. Here 82
//! requests came later than two seconds after. Read, it is one line, and hosts tell it to each other:
//!
//! `event=upstream_leaving upstream=i-engine-0@1750000000000 by=answer`

mod gateway;

use gateway::{
    Deployment, fronts,
    load::{Seen, check, offer, under_load},
    wait_for,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Runner, StoreMode};

/// A host that has passed on what an upstream says sends it nothing later than this.
const DRAIN: Duration = Duration::from_secs(2);
const HOSTS: usize = 4;

/// When each request arrived at a runner, by its id.
fn arrivals(runner: &Runner) -> Vec<(String, Instant)> {
    let ids = runner
        .requests()
        .into_iter()
        .map(|request| request.header("x-attempt-id").unwrap_or_default().to_owned());
    ids.zip(runner.arrivals()).collect()
}

/// Requests that arrived later than they may, after their host had passed on that the runner leaves.
fn late(runner: &Runner, seen: &[Seen]) -> usize {
    let mut told: HashMap<SocketAddr, Instant> = HashMap::new();
    for one in seen.iter().filter(|one| one.answer.header("server-leaving") == Some("1")) {
        let at = one.began + one.took;
        let first = told.entry(one.front).or_insert(at);
        *first = at.min(*first);
    }
    let fronts: HashMap<String, SocketAddr> =
        seen.iter().map(|one| (format!("r{}", one.number), one.front)).collect();
    let is_late = |(id, at): &(String, Instant)| {
        let told = fronts.get(id).and_then(|front| told.get(front));
        told.is_some_and(|told| *at > *told + DRAIN)
    };
    arrivals(runner).iter().filter(|one| is_late(one)).count()
}

/// The store is silent while a runner leaves: its answers tell, and who has heard tells all hosts. Its next life is used.
#[test]
fn told_by_answers() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = deployment.hosts(HOSTS);
    let fronts = fronts(&hosts);
    let engine = deployment.engines[0].clone();
    let mut left = Instant::now();
    let seen = under_load(&fronts[..3], offer, 8, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
        deployment.store.set_mode(StoreMode::Silent);
        engine.set_leaving(Some("1"));
        left = Instant::now();
        thread::sleep(Duration::from_secs(6));
    });
    assert_eq!(late(&engine, &seen), 0, "of {}", seen.len());
    let failed: Vec<&Seen> =
        seen.iter().filter(|one| one.began > left && one.answer.status != 200).collect();
    assert!(failed.is_empty(), "{failed:?}");
    let before = engine.requests().len();
    for number in 0..20 {
        assert_eq!(offer(1_000_000 + number).send(fronts[3]).status, 200);
    }
    assert_eq!(engine.requests().len(), before, "the fourth host heard of it from others");
    deployment.store.set_mode(StoreMode::Serving);
    engine.restart();
    engine.load_initial_models();
    let (key, value) = engine.entry();
    deployment.store.put(&key, &value);
    wait_for("its next life is used", || {
        let number = 2_000_000 + engine.requests().len() as u64;
        (0..10).for_each(|more| drop(offer(number + more).send(fronts[0])));
        engine.requests().len() > before
    });
}

/// A host that starts later hears of it from the others.
#[test]
fn told_to_new_host() {
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

/// All upstreams of a service leave: callers hear it at once, with a time to come back.
#[test]
fn all_leave() {
    let deployment = Deployment::start();
    let host = deployment.host("front-0");
    deployment.desks[0].set_leaving(Some("1"));
    assert_eq!(check(0).send(host.front).status, 200, "it still answers");
    let began = Instant::now();
    let answer = check(1).send(host.front);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(250), "{:?}", began.elapsed());
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
}

/// What is no such statement asks for nothing.
#[test]
fn spoiled_statements() {
    let deployment = Deployment::start();
    let host = deployment.host("front-0");
    for spoiled in ["0", "", "yes", "-1", "11", "1 1"] {
        deployment.desks[0].set_leaving(Some(spoiled));
        for number in 0..4 {
            assert_eq!(check(number).send(host.front).status, 200, "{spoiled:?}");
        }
    }
}
