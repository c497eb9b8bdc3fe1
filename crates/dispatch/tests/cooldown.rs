//! Cooldowns that upstreams request from a host.

mod support;

use support::{Host, refusal, request, route, sent, upstream};
use vanetally_dispatch::{AttemptEnd, Event, RequestId};
use vanetally_ports::{RefusalCause, RequestKind};
use vanetally_types::Verdict;

/// A host with `count` upstreams of a plain service.
fn host(count: u16) -> Host {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    for port in 1..=count {
        host.announce(&format!("i-{port}"), upstream("desk", port, &[]));
    }
    host
}

fn request_cooldown(host: &mut Host, id: &str, for_ms: u64) {
    host.handle(Event::CooldownRequested { upstream: id.into(), for_ms });
}

/// Returns the upstream to which a request is sent, if it is sent.
fn chosen_upstream(host: &mut Host, name: &str) -> (RequestId, Option<String>) {
    let (id, actions) = host.arrive(request(name, "check", None));
    let upstream = sent(&actions, id).pop().map(|attempt| attempt.upstream.id.to_string());
    (id, upstream)
}

#[test]
fn other_upstream_takes_over() {
    let mut host = host(2);
    request_cooldown(&mut host, "i-1", 3_000);
    for number in 0..5 {
        let (id, upstream) = chosen_upstream(&mut host, &format!("a{number}"));
        assert_eq!(upstream.as_deref(), Some("i-2"));
        host.end_attempt(id, AttemptEnd::Served);
    }
}

/// The only upstream is in cooldown: the request is refused at once with the remaining time.
#[test]
fn only_upstream_refuses_at_once() {
    let mut host = host(1);
    request_cooldown(&mut host, "i-1", 3_000);
    host.now = host.now + 1_000;
    let (id, actions) = host.arrive(request("a", "check", None));
    let refusal = refusal(&actions, id).expect("refused at once");
    assert_eq!((refusal.cause, refusal.verdict), (RefusalCause::Cooldown, Verdict::NotRun));
    let retry_ms = refusal.retry_after_ms.expect("a Retry-After");
    assert!((2_000..=2_375).contains(&retry_ms), "{retry_ms}");
}

/// After the cooldown one request is sent; the others follow after its answer.
#[test]
fn one_trial_request() {
    let mut host = host(1);
    request_cooldown(&mut host, "i-1", 3_000);
    host.now = host.now + 3_400;
    let (first, upstream) = chosen_upstream(&mut host, "a");
    assert_eq!(upstream.as_deref(), Some("i-1"));
    let (second, upstream) = chosen_upstream(&mut host, "b");
    assert_eq!(upstream, None, "waits for the trial request");
    let actions = host.end_attempt(first, AttemptEnd::Served);
    assert_eq!(sent(&actions, second).len(), 1);
    assert!(chosen_upstream(&mut host, "c").1.is_some());
}

/// The upstream rejects the trial request and requests another cooldown.
#[test]
fn second_cooldown() {
    let mut host = host(1);
    request_cooldown(&mut host, "i-1", 3_000);
    host.now = host.now + 3_400;
    let (first, _) = chosen_upstream(&mut host, "a");
    request_cooldown(&mut host, "i-1", 3_000);
    host.end_attempt(first, AttemptEnd::Full);
    let actions = host.advance(40);
    assert_eq!(refusal(&actions, first).map(|r| r.cause), Some(RefusalCause::Cooldown));
    let (id, actions) = host.arrive(request("b", "check", None));
    assert!(refusal(&actions, id).is_some() && sent(&actions, id).is_empty());
}

/// An unanswered trial request holds back the others for one second at most.
#[test]
fn unanswered_trial_request() {
    let mut host = host(1);
    request_cooldown(&mut host, "i-1", 1_000);
    host.now = host.now + 1_200;
    assert!(chosen_upstream(&mut host, "a").1.is_some());
    host.advance(1_001);
    assert!(chosen_upstream(&mut host, "b").1.is_some());
}

/// Neither a shorter cooldown nor an answer ends a longer cooldown.
#[test]
fn longest_cooldown_counts() {
    let mut host = host(2);
    let (id, upstream) = chosen_upstream(&mut host, "a");
    let upstream = upstream.expect("a chosen upstream");
    request_cooldown(&mut host, &upstream, 3_000);
    request_cooldown(&mut host, &upstream, 100);
    host.end_attempt(id, AttemptEnd::Served);
    host.now = host.now + 2_900;
    for number in 0..4 {
        let (_, other) = chosen_upstream(&mut host, &format!("b{number}"));
        assert!(other.is_some_and(|other| other != upstream));
    }
}

/// An upstream that requests a cooldown of years gets a request after some minutes.
#[test]
fn huge_cooldown_is_capped() {
    let mut host = host(1);
    request_cooldown(&mut host, "i-1", u64::MAX);
    host.now = host.now + 299_000;
    assert_eq!(chosen_upstream(&mut host, "a").1, None);
    host.now = host.now + 1_001;
    assert!(chosen_upstream(&mut host, "b").1.is_some());
}

/// A request for which the upstream was chosen before the cooldown is not sent.
#[test]
fn chosen_before_cooldown() {
    let mut host = host(1);
    let (id, _) = chosen_upstream(&mut host, "a");
    assert!(host.dispatch.may_send(host.now, id));
    request_cooldown(&mut host, "i-1", 3_000);
    assert!(!host.dispatch.may_send(host.now, id));
}

/// The announcement expires and returns: the cooldown of the same incarnation continues.
#[test]
fn cooldown_survives_reannouncement() {
    let mut host = host(1);
    request_cooldown(&mut host, "i-1", 3_000);
    host.handle(Event::UpstreamGone { id: "i-1".into() });
    host.now = host.now + 1_000;
    host.announce("i-1", upstream("desk", 1, &[]));
    assert_eq!(chosen_upstream(&mut host, "a").1, None);
    host.now = host.now + 2_400;
    assert!(chosen_upstream(&mut host, "b").1.is_some());
}
