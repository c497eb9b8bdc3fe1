//! A refusal states what the request lacked.

mod support;

use rstest::rstest;
use support::{Host, request, route, upstream};
use vanetally_dispatch::{
    Action, AttemptEnd, Digest, Event, LoadRow, RefusalContext, RequestId, Shortage, ShortageKind,
};
use vanetally_ports::{ModelRef, RequestKind};

/// Longer than any request waits here.
const LONG_MS: u64 = 12_000;

fn host() -> Host {
    let routes = vec![
        route("offer", RequestKind::Stream, "llm"),
        route("check", RequestKind::Idempotent, "desk"),
    ];
    Host::new(routes)
}

fn refusal_context(actions: &[Action], id: RequestId) -> Option<RefusalContext> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { id: other, context, .. } if *other == id => Some(context.clone()),
        _ => None,
    })
}

/// Returns the refusal context of a request for `model` that waits until its limit without being sent.
fn refused_after_wait(host: &mut Host, model: &str) -> RefusalContext {
    let mut head = request("a", "offer", Some(model));
    if let Some((base, adapter)) = model.split_once('/') {
        head.model = Some(ModelRef { model: base.into(), adapter: Some(adapter.into()) });
    }
    let (id, mut actions) = host.arrive(head);
    actions.extend(host.advance(LONG_MS));
    refusal_context(&actions, id).expect("refused")
}

fn peer_load_at(upstream: &str, running: u32, held_tokens: u32, unread_tokens: u32) -> Event {
    let row = LoadRow {
        upstream: upstream.into(),
        running,
        unread_tokens,
        held_tokens,
        good: 0,
        bad: 0,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new(), waiting: Vec::new() };
    Event::PeerDigest { host: "front-2".into(), digest }
}

#[test]
fn no_upstream() {
    let mut host = host();
    let context = refused_after_wait(&mut host, "m1");
    assert_eq!(context.shortage, Some(Shortage { kind: ShortageKind::Upstream, holders: 0 }));
    assert_eq!((&*context.route, context.attempts), ("offer", 0));
    assert_eq!(context.subject.unwrap().to_string(), "m1");
}

#[rstest]
#[case("m2", ShortageKind::Model)]
#[case("m1/a1", ShortageKind::Adapter)]
fn model_not_held(#[case] model: &str, #[case] kind: ShortageKind) {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    assert_eq!(refused_after_wait(&mut host, model).shortage, Some(Shortage { kind, holders: 0 }));
}

#[rstest]
#[case(4, 500, 0, ShortageKind::Slot)]
#[case(2, 9_950, 0, ShortageKind::Memory)]
#[case(2, 500, 50_000, ShortageKind::Reading)]
fn no_capacity(
    #[case] running: u32,
    #[case] held: u32,
    #[case] unread: u32,
    #[case] kind: ShortageKind,
) {
    let mut host = host();
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    host.handle(peer_load_at("i-1", running, held, unread));
    let (id, mut actions) = host.arrive(request("a", "offer", Some("m1")));
    // Other hosts report their load repeatedly.
    for _ in 0..12 {
        actions.extend(host.advance(1_000));
        actions.extend(host.handle(peer_load_at("i-1", running, held, unread)));
    }
    let context = refusal_context(&actions, id).expect("refused");
    assert_eq!(context.shortage, Some(Shortage { kind, holders: 1 }));
}

#[test]
fn rejected_by_upstream() {
    let mut host = host();
    host.announce("s-1", upstream("desk", 1, &[]));
    let (id, mut actions) = host.arrive(request("a", "check", None));
    actions.extend(host.end_attempt(id, AttemptEnd::Full));
    while refusal_context(&actions, id).is_none() {
        actions.extend(host.advance(20));
        if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            actions = host.end_attempt(id, AttemptEnd::Full);
        }
    }
    let context = refusal_context(&actions, id).unwrap();
    assert!(context.attempts > 1, "{context:?}");
    assert_eq!(context.shortage, Some(Shortage { kind: ShortageKind::TurnedAway, holders: 1 }));
}

/// A request that waits shows that its model has too few replicas; the model is requested from the
/// order holder, whatever adapter the request needs.
#[test]
fn saturation_is_reported() {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    let is_reported = |host: &mut Host, millis| {
        let actions = host.advance(millis);
        actions.into_iter().any(|action| {
            let base = ModelRef { model: "m1".into(), adapter: None };
            matches!(
                action,
                Action::RequestModel { subject, is_saturated: true, .. } if subject == base
            )
        })
    };
    for number in 0..40 {
        host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
    }
    assert!(!is_reported(&mut host, 180), "short waits come and go");
    assert!(is_reported(&mut host, 60));
    assert!(!is_reported(&mut host, 200), "not more often than the interval");
    assert!(is_reported(&mut host, 100));
}

/// Guards against holding requests for a service without instances for nearly their whole timeout.
/// They wait for an instance for as long as their target latency, and are then refused with a time
/// to retry.
#[test]
fn wait_without_upstream_is_bounded() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a1", "check", None));
    assert_eq!(actions, []);
    let refused = |actions: &[Action]| support::refusal(actions, id);
    assert_eq!(refused(&host.advance(900)), None, "an upstream may start meanwhile");
    let refusal = refused(&host.advance(200)).unwrap();
    assert_eq!(refusal.cause, vanetally_ports::RefusalCause::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
}
