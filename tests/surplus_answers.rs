//! Copies of answers that arrive in the place of other answers.
//!
//! Guards against a copy that is taken for the answer to a later request on the same connection.

mod gateway;

use gateway::{Deployment, Host, taps::TappedDeployment, wait_for};
use rstest::rstest;
use std::collections::BTreeMap;
use vanetally_platform_standin::{
    AnswerClass, Behaviour, Client, ClientAnswer, Session, Surplus, SurplusTime, TapMode,
};

const REQUESTS: u32 = 8;
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn surplus(of: AnswerClass, copies: usize, when: SurplusTime) -> Option<Surplus> {
    Some(Surplus { of, copies, when })
}

/// A stream that may run at most once.
fn offer(id: &str) -> Client {
    let client = Client::new("POST", "/offer/1", id).with("X-Model", "m1");
    client.body(id.as_bytes()).deadline(4_000)
}

/// A stream that may be resumed.
fn draft(id: &str) -> Client {
    Client::new("POST", "/draft/1", id).with("X-Model", "m1").body(id.as_bytes()).deadline(4_000)
}

fn check(id: &str) -> Client {
    Client::new("GET", "/check/1", id).deadline(4_000)
}

/// How often a caller sends a request that is refused as not run, under the same id.
const TRIES: u32 = 3;

/// Sends requests one after the other on one connection, again where they are refused as not run; returns the last answers
/// by id.
fn send_all(host: &Host, request: impl Fn(&str) -> Client) -> BTreeMap<String, ClientAnswer> {
    let mut session = Session::new();
    let send = |id: String| {
        let mut answer = request(&id).send_on(&mut session, host.front);
        for _ in 1..TRIES {
            if PROMISES.contains(&answer.status) {
                answer = request(&id).send_on(&mut session, host.front);
            }
        }
        (id, answer)
    };
    (0..REQUESTS).map(|number| format!("s{number}")).map(send).collect()
}

/// Checks that what was refused as not run did not run, that nothing ran more than `max_runs` times, and that most were
/// answered.
fn assert_truthful(
    answers: &BTreeMap<String, ClientAnswer>,
    runs: &BTreeMap<String, u32>,
    max_runs: u32,
) {
    for (id, answer) in answers {
        let count = runs.get(id).copied().unwrap_or(0);
        assert!(count <= max_runs, "{id} ran {count} times: {answer:?}");
        let is_denied = PROMISES.contains(&answer.status) && count > 0;
        assert!(!is_denied, "{id} ran and was refused: {answer:?}");
    }
    let served = answers.values().filter(|answer| answer.status == 200 && answer.is_complete);
    assert!(served.count() * 2 >= answers.len(), "{answers:?}");
}

/// A copy of a rejection is not taken for the answer to the same request, sent again.
#[rstest]
fn copied_rejection(
    #[values(503, 429, 421)] status: u16,
    #[values(
        SurplusTime::AtOnce,
        SurplusTime::BeforeNext,
        SurplusTime::BeforeSecond,
        SurplusTime::BeforeSameId
    )]
    when: SurplusTime,
    #[values(1, 2)] copies: usize,
) {
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_behaviour(Behaviour::RejectFirst(status));
    engine.set_surplus(surplus(AnswerClass::Rejection, copies, when));
    let host = deployment.host("front-1");
    let answers = send_all(&host, offer);
    assert_truthful(&answers, &engine.runs(), 1);
}

/// The same where the request may be sent to a plain upstream again.
#[rstest]
fn copied_rejection_of_service(
    #[values(SurplusTime::BeforeNext, SurplusTime::BeforeSameId)] when: SurplusTime,
) {
    let deployment = Deployment::start();
    let desk = &deployment.desks[0];
    desk.set_behaviour(Behaviour::RejectFirst(503));
    desk.set_surplus(surplus(AnswerClass::Rejection, 1, when));
    let host = deployment.host("front-1");
    let answers = send_all(&host, check);
    assert_truthful(&answers, &desk.runs(), 2);
}

/// The same where requests pass through another host.
#[rstest]
fn copied_rejection_in_tunnel(
    #[values(SurplusTime::BeforeNext, SurplusTime::BeforeSameId)] when: SurplusTime,
) {
    let site = TappedDeployment::start(3, 1, 1);
    let engine = &site.deployment.engines[0];
    site.set_mode(0..1, TapMode::Reset);
    wait_for("requests pass through another host", || {
        offer("warm-up").send(site.hosts[0].front);
        site.hosts[0].metric("vanetally_tunnels_total{outcome=\"opened\"}").unwrap_or(0.0) > 0.0
    });
    engine.set_behaviour(Behaviour::RejectFirst(503));
    engine.set_surplus(surplus(AnswerClass::Rejection, 1, when));
    let answers = send_all(&site.hosts[0], offer);
    assert_truthful(&answers, &engine.runs(), 1);
}

/// A stream that is resumed is not ended by a copy of the rejection of its resumption.
#[rstest]
fn copied_rejection_of_resumption(
    #[values(SurplusTime::BeforeNext, SurplusTime::BeforeSameId)] when: SurplusTime,
) {
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_behaviour(Behaviour::RejectFirstStream { status: 503, after: Some(2), events: 5 });
    engine.set_surplus(surplus(AnswerClass::Rejection, 1, when));
    let host = deployment.host("front-1");
    for (id, answer) in send_all(&host, draft) {
        let is_denied = PROMISES.contains(&answer.status) && engine.runs().contains_key(&id);
        assert!(!is_denied, "{id}: {answer:?}");
        let ids: Vec<&str> =
            answer.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        let is_whole = ids == ["1", "2", "3", "4", "5"];
        assert_eq!(answer.status == 200 && answer.is_complete, is_whole, "{id}: {answer:?}");
    }
}

/// A copy of an answer does not reach a caller who uses the same id much later.
#[test]
fn id_comes_back() {
    let deployment = Deployment::start();
    let desk = &deployment.desks[0];
    desk.set_behaviour(Behaviour::RejectFirst(503));
    desk.set_surplus(surplus(AnswerClass::Rejection, 3, SurplusTime::BeforeSameId));
    let host = deployment.host("front-1");
    for round in 0..3 {
        for (id, answer) in send_all(&host, check) {
            assert_eq!((answer.status, answer.body.as_str()), (200, "whole"), "{round}: {id}");
        }
    }
}

/// A caller who always uses the same id needs a connection for each request, but never uses up those of its host.
#[test]
fn id_stays_the_same() {
    const TIMES: usize = 130;
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    let mut session = Session::new();
    let mut send = || check("same").send_on(&mut session, host.front).status;
    let statuses: Vec<u16> = (0..TIMES).map(|_| send()).collect();
    assert_eq!(statuses, [200; TIMES]);
}

/// Copies of answers to orders and reports neither stop the orders nor make them wrong.
#[rstest]
fn copied_control_answer(
    #[values(AnswerClass::Order, AnswerClass::Report)] of: AnswerClass,
    #[values(SurplusTime::AtOnce, SurplusTime::BeforeNext, SurplusTime::BeforeSecond)]
    when: SurplusTime,
) {
    const ADAPTERS: usize = 12;
    const AT_ONCE: usize = 4;
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_surplus(surplus(of, 1, when));
    deployment.configure_adapters(2, ADAPTERS, AT_ONCE);
    let host = deployment.host("front-1");
    wait_for("the host holds the order lease", || host.is_order_holder());
    let mut served = 0;
    for round in 0..2 {
        for number in 0..ADAPTERS {
            let id = format!("c{round}-{number}");
            let adapter = format!("m1/a{number}");
            let client = Client::new("POST", "/offer/1", &id).with("X-Model", &adapter);
            served += usize::from(client.deadline(3_000).send(host.front).status == 200);
        }
    }
    let orders = engine.orders();
    let count = |status: u16| orders.iter().filter(|order| order.status == status).count();
    println!(
        "{served} served, {} orders, {} taken, {} refused",
        orders.len(),
        count(202),
        count(409)
    );
    assert!(engine.max_adapters() <= AT_ONCE, "{}", engine.max_adapters());
    assert!(served * 10 >= 2 * ADAPTERS * 9, "{served} of {} served", 2 * ADAPTERS);
    assert!(count(409) * 10 <= orders.len(), "{orders:?}");
}

/// A copy of the answer to an order is not taken for that to the next one: a runner that was believed to have taken an order
/// more than it has gets none any more.
#[rstest]
fn copied_order_answer(
    #[values(SurplusTime::BeforeNext, SurplusTime::BeforeSecond)] when: SurplusTime,
) {
    const ADAPTERS: usize = 4;
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_surplus(surplus(AnswerClass::Order, 1, when));
    let host = deployment.host("front-1");
    wait_for("the host holds the order lease", || host.is_order_holder());
    let ask = |number: usize| {
        let id = format!("o{number}");
        let client = Client::new("POST", "/offer/1", &id).with("X-Model", &format!("m1/a{number}"));
        client.deadline(3_000).send(host.front).status
    };
    let mut statuses = vec![ask(0)];
    engine.refuse_orders(1);
    statuses.extend((1..ADAPTERS).map(ask));
    assert_eq!(statuses, [200; ADAPTERS], "{:?}", engine.orders());
}
