//! Rejections that don't say that the request has not run.
//!
//! Guards against passing them on: their status is a promise to callers, who send the request again.

mod gateway;

use gateway::Deployment;
use rstest::rstest;
use vanetally_platform_standin::{Behaviour, Client, FalseAnswers};

#[rstest]
fn unproved_rejection(#[values(408, 429, 503)] status: u16) {
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_behaviour(Behaviour::FalsePromise(status));
    let host = deployment.host("front-1");
    let offer = Client::new("POST", "/offer/1", "u1").with("X-Model", "m1").body(b"draft");
    let answer = offer.send(host.front);
    assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    assert_eq!(engine.runs().get("u1"), Some(&1), "run at most once");
}

/// The mark that a request has not run is not believed beside a status that says that it has.
#[rstest]
fn contradicted_mark(
    #[values(200, 500, 502, 504)] status: u16,
    #[values(("/offer/1", 1), ("/draft/1", 4))] (path, max_runs): (&str, u32),
) {
    let deployment = Deployment::start();
    let engine = &deployment.engines[0];
    engine.set_behaviour(Behaviour::Slots { work_ms: 5, queue: 0 });
    engine.set_false_answers(Some(FalseAnswers { one_in: 1, status, is_marked: true }));
    let host = deployment.host("front-1");
    let client = Client::new("POST", path, "u2").with("X-Model", "m1").body(b"draft");
    let answer = client.deadline(3_000).send(host.front);
    assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    let runs = engine.runs().get("u2").copied().unwrap_or(0);
    assert!((1..=max_runs).contains(&runs), "{runs} runs");
}
