//! What a refused request lacked is told with its refusal.

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

fn context(actions: &[Action], id: RequestId) -> Option<RefusalContext> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { id: of, context, .. } if *of == id => Some(context.clone()),
        _ => None,
    })
}

/// The context of a request for `model` that waits in vain.
fn waited(host: &mut Host, model: &str) -> RefusalContext {
    let mut head = request("a", "offer", Some(model));
    if let Some((base, adapter)) = model.split_once('/') {
        head.model = Some(ModelRef { model: base.into(), adapter: Some(adapter.into()) });
    }
    let (id, mut actions) = host.arrive(head);
    actions.extend(host.pass(LONG_MS));
    context(&actions, id).expect("refused")
}

fn others_at(upstream: &str, running: u32, held_tokens: u32, unread_tokens: u32) -> Event {
    let row = LoadRow {
        upstream: upstream.into(),
        running,
        unread_tokens,
        held_tokens,
        good: 0,
        bad: 0,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new() };
    Event::PeerDigest { host: "front-2".into(), digest }
}

#[test]
fn nobody_there() {
    let mut host = host();
    let told = waited(&mut host, "m1");
    assert_eq!(told.shortage, Some(Shortage { kind: ShortageKind::Upstream, holders: 0 }));
    assert_eq!((&*told.route, told.attempts), ("offer", 0));
    assert_eq!(told.subject.unwrap().to_string(), "m1");
}

#[rstest]
#[case("m2", ShortageKind::Model)]
#[case("m1/a1", ShortageKind::Adapter)]
fn not_held(#[case] model: &str, #[case] kind: ShortageKind) {
    let mut host = host();
    host.see("i-1", upstream("llm", 1, &["m1"]));
    assert_eq!(waited(&mut host, model).shortage, Some(Shortage { kind, holders: 0 }));
}

#[rstest]
#[case(4, 500, 0, ShortageKind::Slot)]
#[case(2, 9_950, 0, ShortageKind::Memory)]
#[case(2, 500, 50_000, ShortageKind::Reading)]
fn no_room(
    #[case] running: u32,
    #[case] held: u32,
    #[case] unread: u32,
    #[case] kind: ShortageKind,
) {
    let mut host = host();
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host.tell(others_at("i-1", running, held, unread));
    let (id, mut actions) = host.arrive(request("a", "offer", Some("m1")));
    // Others tell their load again and again.
    for _ in 0..12 {
        actions.extend(host.pass(1_000));
        actions.extend(host.tell(others_at("i-1", running, held, unread)));
    }
    let told = context(&actions, id).expect("refused");
    assert_eq!(told.shortage, Some(Shortage { kind, holders: 1 }));
}

#[test]
fn turned_away() {
    let mut host = host();
    host.see("s-1", upstream("desk", 1, &[]));
    let (id, mut actions) = host.arrive(request("a", "check", None));
    actions.extend(host.end(id, AttemptEnd::Full));
    while context(&actions, id).is_none() {
        actions.extend(host.pass(20));
        if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            actions = host.end(id, AttemptEnd::Full);
        }
    }
    let told = context(&actions, id).unwrap();
    assert!(told.attempts > 1, "{told:?}");
    assert_eq!(told.shortage, Some(Shortage { kind: ShortageKind::TurnedAway, holders: 1 }));
}

/// A request that waits shows that the replicas of its model are too few; the holder of orders is told of the
/// model, whatever adapter was asked for.
#[test]
fn crowd_told() {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    host.see("i-1", upstream("llm", 1, &["m1"]));
    let told = |host: &mut Host, millis| {
        let actions = host.pass(millis);
        actions.into_iter().any(|action| {
            let base = ModelRef { model: "m1".into(), adapter: None };
            matches!(action, Action::RequestModel { subject, is_saturated: true, .. } if subject == base)
        })
    };
    for number in 0..40 {
        host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
    }
    assert!(!told(&mut host, 180), "short waits come and go");
    assert!(told(&mut host, 60));
    assert!(!told(&mut host, 200), "not at every turn");
    assert!(told(&mut host, 100));
}

/// Found with a fleet of processes: requests for a service without any instance were held for 9.9 s of a route's
/// ten. They wait for one that starts as long as their answer may take, and their callers are told.
#[test]
fn nobody_waited_for() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a1", "check", None));
    assert_eq!(actions, []);
    let refused = |actions: &[Action]| support::refusal(actions, id);
    assert_eq!(refused(&host.pass(900)), None, "one may start meanwhile");
    let refusal = refused(&host.pass(200)).unwrap();
    assert_eq!(refusal.cause, vanetally_ports::RefusalCause::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
}
