//! Brittle services: which requests need a slot from an owner, and what a crash says.

mod support;

use rstest::rstest;
use support::{Host, request, route, sent, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Event, RequestId};
use vanetally_ports::RequestKind;
use vanetally_slots::{SlotAnswer, SlotEnd, SlotRequest};

const MAX_REJECTIONS: u32 = 5;

/// One of several hosts, with an upstream of the service.
fn host(service: &str) -> Host {
    let mut host = Host::new(vec![route("quote", RequestKind::Once, service)]);
    let models: &[&str] = if service == "llm" { &["m1"] } else { &[] };
    host.announce("u-1", upstream(service, 1, models));
    host.handle(Event::HostCount(8));
    host
}

fn arrive(host: &mut Host, service: &str) -> (RequestId, Vec<Action>) {
    host.arrive(request("r", "quote", (service == "llm").then_some("m1")))
}

fn state_brittle(host: &mut Host, service: &str) {
    let max_rejections = MAX_REJECTIONS;
    host.handle(Event::BrittlenessStated { service: service.into(), max_rejections });
}

/// Returns the request for a slot among `actions`, with the number of its reservation.
fn slot_request(actions: &[Action], id: RequestId) -> Option<(u32, SlotRequest)> {
    actions.iter().find_map(|action| match action {
        Action::AcquireSlot { id: other, reservation, request } if *other == id => {
            Some((*reservation, request.clone()))
        }
        _ => None,
    })
}

fn answer(host: &mut Host, id: RequestId, reservation: u32, answer: SlotAnswer) -> Vec<Action> {
    host.handle(Event::SlotAnswered { id, reservation, answer: Some(answer) })
}

/// Hosts that start together would push an upstream over before they hear that it is brittle.
#[test]
fn unheard_service_asked_once() {
    let mut host = host("desk");
    let (first, actions) = arrive(&mut host, "desk");
    assert_eq!(sent(&actions, first).len(), 1);
    let (second, actions) = arrive(&mut host, "desk");
    assert!(sent(&actions, second).is_empty(), "the first answer is awaited");
    let actions = host.end_attempt(first, AttemptEnd::Served);
    assert_eq!(sent(&actions, second).len(), 1);
}

/// An upstream that does not answer holds nothing up for long.
#[test]
fn first_answer_missing() {
    let mut host = host("desk");
    arrive(&mut host, "desk");
    let (second, _) = arrive(&mut host, "desk");
    assert!(sent(&host.advance(200), second).is_empty());
    assert_eq!(sent(&host.advance(100), second).len(), 1);
}

#[test]
fn sole_host_waits_for_nothing() {
    let mut host = host("desk");
    host.handle(Event::HostCount(1));
    for _ in 0..2 {
        let (id, actions) = arrive(&mut host, "desk");
        assert_eq!(sent(&actions, id).len(), 1);
    }
}

#[test]
fn brittle_engine_needs_slots() {
    let mut host = host("llm");
    state_brittle(&mut host, "llm");
    let (id, actions) = arrive(&mut host, "llm");
    let (reservation, asked) = slot_request(&actions, id).expect("a request for a slot");
    assert_eq!(asked.brittle, Some(MAX_REJECTIONS));
    assert!(sent(&actions, id).is_empty());
    let actions = answer(&mut host, id, reservation, SlotAnswer::Granted);
    assert_eq!(sent(&actions, id).len(), 1);
    let actions = host.end_attempt(id, AttemptEnd::Served);
    assert!(
        actions.iter().any(|action| matches!(action, Action::ReleaseSlot { .. })),
        "{actions:?}"
    );
}

/// While the owner has no slot, the engine is not asked for.
#[test]
fn busy_engine_waited_for() {
    let mut host = host("llm");
    state_brittle(&mut host, "llm");
    let (id, actions) = arrive(&mut host, "llm");
    let (reservation, _) = slot_request(&actions, id).expect("a request for a slot");
    let actions = answer(&mut host, id, reservation, SlotAnswer::Busy { retry_ms: 200 });
    assert!(slot_request(&actions, id).is_none() && sent(&actions, id).is_empty());
    assert!(slot_request(&host.advance(100), id).is_none());
    assert!(slot_request(&host.advance(200), id).is_some());
}

/// Load reports are too old to send to a brittle upstream without its owner.
#[test]
fn silent_owners() {
    let mut host = host("desk");
    state_brittle(&mut host, "desk");
    let (id, mut actions) = arrive(&mut host, "desk");
    for _ in 0..20 {
        if let Some((reservation, _)) = slot_request(&actions, id) {
            actions = host.handle(Event::SlotAnswered { id, reservation, answer: None });
        } else {
            actions = host.advance(20);
        }
        assert!(sent(&actions, id).is_empty());
    }
}

/// What ran at an upstream that crashed for lack of room is not to blame.
#[test]
fn crash_explained_by_load() {
    let mut host = host("desk");
    state_brittle(&mut host, "desk");
    assert!(!host.dispatch.explains_crash(host.now, &"u-1".into()), "there was room");
    let (id, actions) = arrive(&mut host, "desk");
    let (reservation, _) = slot_request(&actions, id).expect("a request for a slot");
    answer(&mut host, id, reservation, SlotAnswer::Busy { retry_ms: 2_000 });
    assert!(host.dispatch.explains_crash(host.now, &"u-1".into()));
    host.advance(4_000);
    assert!(!host.dispatch.explains_crash(host.now, &"u-1".into()), "there is room again");
}

/// A service that is no longer stated to be brittle is served as before.
#[test]
fn statement_expires() {
    let mut host = host("llm");
    state_brittle(&mut host, "llm");
    host.advance(31_000);
    let (id, actions) = arrive(&mut host, "llm");
    assert_eq!(sent(&actions, id).len(), 1);
}

/// A request whose path is lost may still run: its slot is not free at once, neither when its attempt
/// ends nor when its answer is given up.
#[rstest]
#[case::broken(false)]
#[case::silent(true)]
fn lost_request_keeps_slot(#[case] is_silent: bool) {
    let mut host = host("desk");
    state_brittle(&mut host, "desk");
    let (id, actions) = arrive(&mut host, "desk");
    let (reservation, _) = slot_request(&actions, id).expect("a request for a slot");
    answer(&mut host, id, reservation, SlotAnswer::Granted);
    let actions = match is_silent {
        true => host.handle(Event::Detached { id }),
        false => host.end_attempt(id, AttemptEnd::Lost),
    };
    let release = Action::ReleaseSlot { id, reservation, end: SlotEnd::Lost };
    assert!(actions.contains(&release), "{actions:?}");
}
