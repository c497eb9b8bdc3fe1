//! Runners that start again under their id, and entries that can't be read.

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

/// A runner that started again gets its next order within this time of its announcement.
const ORDERED: Duration = Duration::from_secs(1);
/// A new holder of orders lets no weights come for this long: it does not know which its forerunner has ordered.
const CEILING: Duration = Duration::from_millis(5_300);

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

/// An engine started again under its id and held nothing any more. The holder of orders took its reports for
/// stale, since they count fewer orders than it knew of, believed that it held what it had held, and ordered
/// nothing: `report orders_taken=0` beside a count of 1, each quarter of a second, and 421 to each request.
#[test]
fn ordered_again() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = &deployment.engines[0];
    sleep(CEILING);
    assert_eq!(
        offer("a1").with("X-Model", "m1/a1").send(host.front).status,
        200,
        "an order was taken"
    );
    let before = loads(engine);
    engine.restart();
    announce(&deployment, engine);
    let announced = Instant::now();
    // What is asked for is missed, and then ordered.
    let front = host.front;
    let asking = spawn(move || offer("a2").send(front).status);
    wait_for("the engine gets an order", || loads(engine) > before);
    assert!(announced.elapsed() < ORDERED, "ordered after {:?}", announced.elapsed());
    asking.join().expect("no panic");
    wait_for_served("a3", front);
}

/// Asks again and again, as callers do.
fn wait_for_served(name: &str, front: SocketAddr) {
    let asked = Cell::new(0);
    wait_for("it is served", || {
        asked.set(asked.get() + 1);
        offer(&format!("{name}-{}", asked.get())).send(front).status == 200
    });
}

/// A life that has taken as many orders as the one before it, none, is another one all the same.
#[test]
fn equal_counts() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = &deployment.engines[0];
    assert_eq!(offer("a1").send(host.front).status, 200);
    assert_eq!(loads(engine), 0, "neither life has taken an order");
    engine.restart();
    announce(&deployment, engine);
    wait_for_served("a2", host.front);
    assert_eq!(loads(engine), 1, "the weights were ordered anew");
}

/// What ran in the life that ended is not waited for: the caller hears at once, and not that it did not run.
#[test]
fn open_request_ends() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let engine = deployment.engines[0].clone();
    engine.set_behaviour(Behaviour::Unresponsive);
    let front = host.front;
    let asked = Instant::now();
    let asking = spawn(move || (offer("a1").send(front).status, asked.elapsed()));
    wait_for("it runs", || engine.runs().contains_key("a1"));
    engine.restart();
    announce(&deployment, &engine);
    let (status, took) = asking.join().expect("no panic");
    assert!(took < Duration::from_secs(2), "answered after {took:?}");
    assert!(![429, 503, 408, 421].contains(&status), "{status} would say that it did not run");
}

fn spoil(deployment: &Deployment, runner: &Runner, change: impl Fn(&mut Value)) {
    let (key, mut value) = runner.entry();
    change(&mut value);
    deployment.store.put(&key, &value);
}

/// An entry that another writer spoiled names no runner to use, and disturbs no other; once it can be read it is used.
#[test]
fn spoiled_entry() {
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
        spoil(&deployment, desk, fault);
        wait_for("no request goes there", || check(&format!("s{number}")) != 200);
        let before = desk.requests().len();
        assert_ne!(check(&format!("t{number}")), 200);
        assert_eq!(desk.requests().len(), before, "fault {number}");
        assert_eq!(
            offer(&format!("o{number}")).send(host.front).status,
            200,
            "the engine serves on"
        );
        announce(&deployment, desk);
        wait_for("it is used again", || check(&format!("u{number}")) == 200);
    }
}
