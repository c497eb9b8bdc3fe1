//! Runners that restart under their id, and entries that cannot be read.

mod gateway;

use gateway::{Deployment, wait_for};
use serde_json::{Value, json};
use std::{
    cell::Cell,
    net::SocketAddr,
    thread::{sleep, spawn},
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, Client, Runner};

/// Maximum time after the announcement of a restarted runner until its next order.
const MAX_ORDER_TIME: Duration = Duration::from_secs(1);
/// Time in which a new holder of the order lease orders no weights, as it does not know the orders of its
/// predecessor.
const LOAD_LIMIT_TIME: Duration = Duration::from_millis(5_300);

fn offer(id: &str) -> Client {
    Client::new("POST", "/offer/1", id)
        .with("X-Model", "m1")
        .with("X-Token-Count", "10,5")
        .with("X-Prompt-Prefix", "a1:10")
        .deadline(9_000)
}

fn announce(deployment: &Deployment, runner: &Runner) {
    let (key, value) = runner.entry();
    deployment.store.put(&key, &value);
}

fn loads(runner: &Runner) -> usize {
    let orders = runner.orders();
    orders.iter().filter(|order| order.operation == "load" && order.status == 202).count()
}

/// An engine restarts under its id and holds no models. Its reports count fewer orders than the holder of
/// the order lease knows of, and must not be ignored as stale: otherwise nothing is ordered and each
/// request is answered with 421.
#[test]
fn ordered_after_restart() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = &deployment.engines[0];
    sleep(LOAD_LIMIT_TIME);
    assert_eq!(
        offer("a1").with("X-Model", "m1/a1").send(host.front).status,
        200,
        "the engine has accepted an order"
    );
    let before = loads(engine);
    engine.restart();
    announce(&deployment, engine);
    let announced = Instant::now();
    // The request finds the model missing, which causes the order.
    let front = host.front;
    let request = spawn(move || offer("a2").send(front).status);
    wait_for("the engine gets an order", || loads(engine) > before);
    assert!(announced.elapsed() < MAX_ORDER_TIME, "ordered after {:?}", announced.elapsed());
    request.join().expect("no panic");
    wait_for_served("a3", front);
}

/// Sends requests until one is served.
fn wait_for_served(name: &str, front: SocketAddr) {
    let sent = Cell::new(0);
    wait_for("a request is served", || {
        sent.set(sent.get() + 1);
        offer(&format!("{name}-{}", sent.get())).send(front).status == 200
    });
}

/// An incarnation is recognised as new even if it has accepted as many orders as the previous one: none.
#[test]
fn equal_counts() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = &deployment.engines[0];
    assert_eq!(offer("a1").send(host.front).status, 200);
    assert_eq!(loads(engine), 0, "neither incarnation has accepted an order");
    engine.restart();
    announce(&deployment, engine);
    wait_for_served("a2", host.front);
    assert_eq!(loads(engine), 1, "the weights were ordered again");
}

/// A request that ran in the previous incarnation is answered at once, and not as not run.
#[test]
fn open_request_ends() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = deployment.engines[0].clone();
    engine.set_behaviour(Behaviour::Unresponsive);
    let front = host.front;
    let sent = Instant::now();
    let request = spawn(move || (offer("a1").send(front).status, sent.elapsed()));
    wait_for("the request runs", || engine.runs().contains_key("a1"));
    engine.restart();
    announce(&deployment, &engine);
    let (status, took) = request.join().expect("no panic");
    assert!(took < Duration::from_secs(2), "answered after {took:?}");
    assert!(![429, 503, 408, 421].contains(&status), "{status} would say that it did not run");
}

fn corrupt_entry(deployment: &Deployment, runner: &Runner, change: impl Fn(&mut Value)) {
    let (key, mut value) = runner.entry();
    change(&mut value);
    deployment.store.put(&key, &value);
}

/// A runner with an invalid entry is not used, and other runners are not affected. It is used again once
/// its entry is valid.
#[test]
fn invalid_entry() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let desk = &deployment.desks[0];
    let check = |id: &str| Client::new("GET", "/check/1", id).deadline(400).send(host.front).status;
    assert_eq!(check("c1"), 200);
    let faults: [fn(&mut Value); 5] = [
        |value| value["state"] = json!("resting"),
        |value| value["slots"] = json!("eight"),
        |value| value["born"] = json!(1.5),
        |value| drop(value.as_object_mut().and_then(|fields| fields.remove("state"))),
        |value| drop(value.as_object_mut().and_then(|fields| fields.remove("born"))),
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        corrupt_entry(&deployment, desk, fault);
        wait_for("the runner is not used", || check(&format!("s{number}")) != 200);
        let before = desk.requests().len();
        assert_ne!(check(&format!("t{number}")), 200);
        assert_eq!(desk.requests().len(), before, "fault {number}");
        assert_eq!(
            offer(&format!("o{number}")).send(host.front).status,
            200,
            "the engine still serves"
        );
        announce(&deployment, desk);
        wait_for("the runner is used again", || check(&format!("u{number}")) == 200);
    }
}
