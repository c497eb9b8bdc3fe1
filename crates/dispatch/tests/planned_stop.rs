//! A planned stop: which requests are accepted and which are refused.

mod support;

use support::{Host, options, refusal, request, route, sent, upstream};
use vanetally_dispatch::{AttemptEnd, Event};
use vanetally_ports::{RefusalCause, RequestKind};
use vanetally_types::Verdict;

fn host() -> Host {
    Host::new(vec![route("offer", RequestKind::Stream, "llm")])
}

/// Guards against a request that waits for a model and gets no answer before the process ends.
#[test]
fn waiting_request_is_refused() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m2"]));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert!(sent(&actions, id).is_empty() && refusal(&actions, id).is_none());
    host.handle(Event::Stopping);
    let refused = refusal(&host.advance(2_600), id).expect("refused before the process ends");
    assert_eq!(refused.cause, RefusalCause::Stopping);
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert!(refused.retry_after_ms.is_some());
}

#[test]
fn early_request_is_accepted() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    host.handle(Event::Stopping);
    host.advance(1_000);
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(!host.dispatch.is_ready(host.now));
}

#[test]
fn late_request_is_refused() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    host.handle(Event::Stopping);
    host.advance(3_000);
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    let refused = refusal(&actions, id).expect("refused at once");
    assert_eq!((refused.cause, refused.verdict), (RefusalCause::Stopping, Verdict::NotRun));
}

#[test]
fn running_request_continues() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    let (id, _) = host.arrive(request("a", "offer", Some("m1")));
    host.handle(Event::FirstPiece { id });
    host.handle(Event::Stopping);
    assert_eq!(refusal(&host.advance(7_000), id), None);
}

/// A request whose route took longer lately than the stop leaves would be cut off at its upstream.
#[test]
fn long_request_is_refused() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    let (id, _) = host.arrive(request("a", "offer", Some("m1")));
    host.handle(Event::FirstPiece { id });
    host.advance(6_000);
    host.end_attempt(id, AttemptEnd::Served);
    host.handle(Event::Stopping);
    host.advance(1_000);
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    let refused = refusal(&actions, id).expect("refused at once");
    assert_eq!((refused.cause, refused.verdict), (RefusalCause::Stopping, Verdict::NotRun));
}

/// A request that was taken has its final answer before the process ends, also if its upstream is silent.
#[test]
fn silent_upstream_is_not_awaited() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    let (before, _) = host.arrive(request("a", "offer", Some("m1")));
    host.handle(Event::Stopping);
    let (after, actions) = host.arrive(request("b", "offer", Some("m1")));
    let grace_ms = options().grace_ms;
    assert!(sent(&actions, after)[0].deadline_ms < grace_ms, "the upstream learns of it");
    let actions = host.advance(grace_ms - 400);
    for id in [before, after] {
        let refused = refusal(&actions, id).expect("answered before the process ends");
        assert_eq!(refused.verdict, Verdict::MayHaveRun);
    }
}

/// A request that waited when the stop began is sent once.
#[test]
fn waiting_request_is_sent_once() {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m2"]));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert!(sent(&actions, id).is_empty(), "nobody holds its model");
    host.handle(Event::Stopping);
    let mut actions = host.announce("i-1", upstream("llm", 1, &["m1", "m2"]));
    for _ in 0..5 {
        actions.extend(host.advance(20));
    }
    assert_eq!(sent(&actions, id).len(), 1);
    assert_eq!(refusal(&actions, id), None);
}
