//! Rejections that don't say that the request has not run.
//!
//! Guards against passing them on: their status is a promise to callers, who send the request again.

mod gateway;

use gateway::Deployment;
use rstest::rstest;
use vanetally_platform_standin::{Behaviour, Client};

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
