//! End-to-end tests on the platform: the real program as a separate process, with stand-ins of the
//! platform around it.

mod gateway;

use gateway::{Deployment, Host, wait_for};
use rstest::rstest;
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, Client, Store, StoreMode};

const STREAM: Behaviour = Behaviour::Stream { events: 5, pause_ms: 5 };

/// Time within which a host reports that its load fell after a request.
const LAST_LOAD: Duration = Duration::from_secs(1);

fn offer(id: &str) -> Client {
    Client::new("POST", "/offer/1", id).with("X-Model", "m1").body(b"draft")
}

fn check(id: &str) -> Client {
    Client::new("GET", "/check/1?unit=7", id)
}

#[test]
fn complete_stream() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(STREAM);
    let host = deployment.host("front-1");
    let answer = offer("a1").with("X-Token-Count", "100,20").send(host.front);
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.header("x-server-seal"), Some("seal-1"));
    assert_eq!(answer.header("x-attempt-id"), Some("a1"));
    assert_eq!(answer.body.matches("data: piece").count(), 5);
    let requests = deployment.engines[0].requests();
    assert_eq!(requests.len(), 1);
    assert_eq!((requests[0].method.as_str(), requests[0].path.as_str()), ("POST", "/offer/1"));
    assert_eq!(requests[0].body, b"draft");
    assert_eq!(requests[0].header("x-expect-instance"), Some("i-engine-0"));
    assert_eq!(requests[0].header("x-token-count"), Some("100,20"));
    // Priorities apply only where requests wait: a started run is not preempted by a more urgent one.
    assert_eq!(requests[0].header("x-request-priority"), None);
    let deadline: u64 = requests[0].header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap();
    assert!(deadline <= 10_000, "{deadline}");
}

#[test]
fn complete_answer() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let answer = check("b1").send(host.front);
    assert_eq!((answer.status, answer.is_complete, answer.body.as_str()), (200, true, "whole"));
    assert_eq!(deployment.desks[0].requests()[0].path, "/check/1?unit=7");
}

#[test]
fn unknown_route() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    assert_eq!(Client::new("GET", "/nowhere/", "c1").send(host.front).status, 404);
}

#[test]
fn caller_disconnects() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::Stream { events: 2_000, pause_ms: 10 });
    let host = deployment.host("front-1");
    offer("d1").send_and_disconnect(host.front, Duration::from_millis(300));
    let disconnected = Instant::now();
    wait_for("the run is cancelled", || deployment.engines[0].cancelled() == 1);
    assert!(disconnected.elapsed() < Duration::from_millis(500), "{:?}", disconnected.elapsed());
}

#[test]
fn caller_disconnects_early() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::Unresponsive);
    let host = deployment.host("front-1");
    offer("d2").send_and_disconnect(host.front, Duration::from_millis(300));
    wait_for("the run is cancelled", || deployment.engines[0].cancelled() == 1);
}

/// Invalid answers are not passed on as a success.
#[rstest]
#[case(Behaviour::WrongRequestId)]
#[case(Behaviour::Unsealed)]
fn invalid_answer(#[case] behaviour: Behaviour) {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(behaviour);
    let host = deployment.host("front-1");
    let answer = offer("e1").send(host.front);
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("x-server-seal"), None);
    assert_eq!(deployment.engines[0].requests().len(), 1, "run at most once");
}

/// Truncated answers do not look complete to the caller.
#[rstest]
#[case(Behaviour::BreakAfter(3))]
#[case(Behaviour::UnframedReset)]
fn truncated_answer(#[case] behaviour: Behaviour) {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(behaviour);
    let host = deployment.host("front-1");
    let answer = offer("f1").send(host.front);
    assert!(answer.status != 200 || !answer.is_complete, "{answer:?}");
    assert_eq!(deployment.engines[0].requests().len(), 1, "run at most once");
}

#[test]
fn stream_resumed() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::BreakOnce { after: 3, events: 5 });
    let host = deployment.host("front-1");
    let client = Client::new("POST", "/draft/1", "g1").with("X-Model", "m1");
    let answer = client.send(host.front);
    assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
    let ids: Vec<&str> = answer.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5"]);
    let runs = deployment.engines[0].requests();
    assert_eq!(runs.len(), 2, "resumed once");
    assert_eq!(runs[1].header("last-event-id"), Some("3"));
}

#[test]
fn surplus_answer() {
    let deployment = Deployment::start();
    deployment.desks[0].set_behaviour(Behaviour::ExtraAnswer);
    let host = deployment.host("front-1");
    for number in 0..5 {
        let id = format!("h{number}");
        let answer = check(&id).send(host.front);
        assert!(answer.status != 200 || answer.header("x-attempt-id") == Some(&id), "{answer:?}");
    }
}

#[test]
fn address_reused() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    deployment.desks[0].set_id("i-somebody-else");
    let answer = check("i1").send(host.front);
    assert_eq!(answer.status, 503, "the request has not run, and the status guarantees it");
    assert_eq!(deployment.desks[0].requests().len(), 1, "the runner is not used again");
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn upstream_error_passed_on() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::Failing);
    let host = deployment.host("front-1");
    let answer = offer("j1").send(host.front);
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.header("x-server-seal"), Some("seal-1"));
}

#[test]
fn full_runner() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::Full);
    let host = deployment.host("front-1");
    let answer = offer("k1").with("X-Deadline-Ms", "1000").send(host.front);
    assert_eq!(answer.status, 503);
}

#[rstest]
#[case(StoreMode::Busy)]
#[case(StoreMode::Silent)]
fn store_down_at_start(#[case] mode: StoreMode) {
    let deployment = Deployment::start();
    deployment.store.set_mode(mode);
    let host = deployment.spawn("front-1");
    wait_for("the host answers", || host.readiness() == 503);
    assert_eq!(check("l1").send(host.front).status, 503);
    deployment.store.set_mode(StoreMode::Serving);
    wait_for("the host is ready", || host.readiness() == 200);
    assert_eq!(check("l2").send(host.front).status, 200);
}

/// An answer of the store that takes longer than 1.2 s on a slow link is not abandoned and requested again,
/// which would repeat forever.
#[test]
fn slow_store() {
    let deployment = Deployment::start();
    deployment.store.set_mode(StoreMode::Slow);
    let host = deployment.spawn("front-1");
    wait_for("the host is ready", || host.readiness() == 200);
    assert_eq!(check("w1").send(host.front).status, 200);
}

#[test]
fn configuration_follows() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    assert_eq!(Client::new("GET", "/later/1", "m1").send(host.front).status, 404);
    deployment.configure(2, &["later"]);
    wait_for("the route is served", || {
        Client::new("GET", "/later/1", "m2").send(host.front).status == 200
    });
}

#[test]
fn compacted_history() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    deployment.store.set_mode(StoreMode::StalledWatches);
    deployment.configure(2, &["later"]);
    deployment.store.compact_history();
    deployment.store.set_mode(StoreMode::Serving);
    wait_for("the route is served", || {
        Client::new("GET", "/later/1", "n1").send(host.front).status == 200
    });
}

#[test]
fn unreadable_configuration() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    deployment.store.put("op/config", &serde_json::json!({ "version": "nine" }));
    deployment.store.put("servers/i-strange", &serde_json::json!([1, 2]));
    deployment.configure(3, &["later"]);
    wait_for("the next valid configuration is in force", || {
        Client::new("GET", "/later/1", "o1").send(host.front).status == 200
    });
    assert_eq!(check("o2").send(host.front).status, 200);
}

#[test]
fn graceful_stop_finishes_streams() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::Stream { events: 60, pause_ms: 25 });
    let mut host = deployment.host("front-1");
    let front = host.front;
    let caller = std::thread::spawn(move || offer("p1").send(front));
    wait_for("the stream runs", || deployment.engines[0].requests().len() == 1);
    host.signal("TERM");
    wait_for("the host is not ready", || host.readiness() != 200);
    let answer = caller.join().unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(host.wait(), Some(0));
    assert_eq!(
        deployment.store.get("vanetally/hosts/front-1"),
        None,
        "the host has removed its key"
    );
}

#[test]
fn hangup_signal_survived() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    host.signal("HUP");
    assert_eq!(check("q1").send(host.front).status, 200);
}

#[test]
fn adapter_ordered() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let client = Client::new("POST", "/offer/1", "r1").with("X-Model", "m1/a1");
    let answer = client.send(host.front);
    assert_eq!(answer.status, 200, "{answer:?}");
    let orders = deployment.engines[0].orders();
    assert!(orders.iter().any(|order| order.adapter.as_deref() == Some("a1")), "{orders:?}");
}

#[test]
fn one_holder() {
    let deployment = Deployment::start();
    let hosts = [deployment.host("front-1"), deployment.host("front-2")];
    for (number, host) in hosts.iter().enumerate() {
        let model = format!("m1/a{}", number + 1);
        let id = format!("s{number}");
        let answer = Client::new("POST", "/offer/1", &id).with("X-Model", &model).send(host.front);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let orders = deployment.engines[0].orders();
    let first = &orders[0];
    assert!(
        orders.iter().all(|o| (&o.holder, o.token) == (&first.holder, first.token)),
        "{orders:?}"
    );
}

/// A holder that a runner refuses as outdated gives up its order lease, and never uses that token again.
#[test]
fn fenced_holder() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    wait_for("a host holds the order lease", || deployment.store.get("vanetally/orders").is_some());
    deployment.engines[0].set_highest_token(1_000_000);
    let client = Client::new("POST", "/offer/1", "t1").with("X-Model", "m1/a1");
    client.send_and_disconnect(host.front, Duration::from_millis(4_500));
    wait_for("the order was refused", || !deployment.engines[0].orders().is_empty());
    wait_for("the lease key is rewritten", || deployment.store.writes_of("vanetally/orders") >= 2);
    let orders = deployment.engines[0].orders();
    assert_eq!(orders[0].status, 412);
    let count = orders.iter().filter(|order| order.token == orders[0].token).count();
    assert_eq!(count, 1, "{orders:?}");
}

#[test]
fn holder_replaced() {
    let deployment = Deployment::start();
    let mut first = deployment.host("front-1");
    wait_for("the first host holds the order lease", || {
        deployment.store.get("vanetally/orders").as_deref() == Some("front-1")
    });
    let second = deployment.host("front-2");
    first.kill();
    wait_for("the second host holds the order lease", || {
        deployment.store.get("vanetally/orders").as_deref() == Some("front-2")
    });
    let client = Client::new("POST", "/offer/1", "u1").with("X-Model", "m1/a2");
    wait_for("an adapter is served", || client.send(second.front).status == 200);
}

/// Takes the store offline for longer than a single failing call, and removes the key of a runner
/// meanwhile.
fn lose_key(deployment: &Deployment, host: &Host) {
    deployment.store.set_mode(StoreMode::Busy);
    deployment.store.remove("servers/i-desk-0");
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(check("x1").send(host.front).status, 200, "serving continues");
    deployment.store.set_mode(StoreMode::Serving);
    let lapsed = "event=upstream_lapsed upstream=i-desk-0";
    wait_for("the key is reported missing", || deployment.log("front-1").contains(lapsed));
}

#[test]
fn lapsed_key_returns() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    lose_key(&deployment, &host);
    assert_eq!(
        check("x2").send(host.front).status,
        200,
        "the runner is alive, whatever the store lists"
    );
    let (key, value) = deployment.desks[0].entry();
    deployment.store.put(&key, &value);
    let returned = "event=upstream_returned upstream=i-desk-0";
    wait_for("the runner has rewritten its key", || deployment.log("front-1").contains(returned));
    assert_eq!(check("x3").send(host.front).status, 200);
    assert!(!deployment.log("front-1").contains("event=upstream_gone upstream=i-desk-0"));
}

#[test]
fn lapsed_key_missing() {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    lose_key(&deployment, &host);
    let gone = "event=upstream_gone upstream=i-desk-0";
    wait_for("the runner is gone", || deployment.log("front-1").contains(gone));
    assert_eq!(check("x2").send(host.front).status, 503);
}

/// A host whose store has no configuration takes it from another host.
#[test]
fn configuration_from_peer() {
    let deployment = Deployment::start();
    let first = deployment.host("front-1");
    let cut_off = Deployment::start();
    cut_off.store.remove("op/config");
    let second = cut_off.spawn("front-2");
    // Each host learns the link address of the other one.
    for (name, from, to) in [
        ("front-1", &deployment.store, &cut_off.store),
        ("front-2", &cut_off.store, &deployment.store),
    ] {
        let key = format!("vanetally/hosts/{name}");
        wait_for("the host wrote its key", || from.get(&key).is_some());
        let entry = from.get(&key).unwrap();
        to.put(&key, &serde_json::from_str(&entry).unwrap());
    }
    // A host reports its load, and with it its version, when the load changes.
    offer("v1").send(first.front);
    wait_for("the configuration came from the peer", || {
        second.metric("vanetally_configuration_version") == Some(1.0)
    });
}

/// A host that is behind asks again if its first request for the configuration is lost: it does not
/// know yet where the other host listens.
#[test]
fn lost_configuration_request() {
    let deployment = Deployment::start();
    let first = deployment.host("front-1");
    let cut_off = Deployment::start();
    cut_off.store.remove("op/config");
    let second = cut_off.spawn("front-2");
    let copy_entry = |name: &str, from: &Store, to: &Store| {
        let key = format!("vanetally/hosts/{name}");
        wait_for("the host wrote its key", || from.get(&key).is_some());
        to.put(&key, &serde_json::from_str(&from.get(&key).unwrap()).unwrap());
    };
    copy_entry("front-2", &cut_off.store, &deployment.store);
    wait_for("the host heard of the configuration", || {
        offer("v1").send(first.front);
        cut_off.log("front-2").contains("event=configuration_asked")
    });
    thread::sleep(LAST_LOAD);
    copy_entry("front-1", &deployment.store, &cut_off.store);
    wait_for("the configuration came from the peer", || {
        second.metric("vanetally_configuration_version") == Some(1.0)
    });
}

#[test]
fn settings_checked() {
    let (status, text) = gateway::check_settings("{ \"node_name\": 7 }");
    assert_eq!(status, Some(2));
    assert!(text.contains("node_name") || text.contains("invalid type"), "{text}");
}
