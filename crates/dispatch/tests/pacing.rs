//! The moment of a prompt comes from its engine's pacer.

mod support;

use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{Action, Event, RequestId};
use vanetally_pacing::{SendSlot, SlotReply};
use vanetally_ports::{RefusalCause, RequestKind, UpstreamState};

/// What asks for a moment: the number of the question and the engine.
fn asked(actions: &[Action], id: RequestId) -> Option<(u32, String)> {
    actions.iter().find_map(|action| match action {
        Action::Reserve { id: of, reservation, prompt } if *of == id => {
            Some((*reservation, prompt.upstream.to_string()))
        }
        _ => None,
    })
}

fn host() -> Host {
    let routes =
        vec![route("offer", RequestKind::Stream, "llm"), route("check", RequestKind::Once, "desk")];
    let mut host = Host::new(routes);
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host
}

/// A request whose pacer has not answered.
fn open(host: &mut Host) -> (RequestId, u32) {
    let id = RequestId(100);
    let arrived =
        Event::Arrived { id, request: request("a", "offer", Some("m1")), content_hash: 0 };
    let actions = host.dispatch.handle(host.now, arrived);
    let (reservation, _) = asked(&actions, id).expect("asked");
    assert!(sent(&actions, id).is_empty());
    (id, reservation)
}

#[test]
fn plain_services_are_not_paced() {
    let mut host = host();
    host.see("s-1", upstream("desk", 9, &[]));
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(&*sent_to(&actions, id).id, "s-1");
}

#[test]
fn granted_goes_after_its_delay() {
    let mut host = host();
    let (id, reservation) = open(&mut host);
    let slot = SlotReply::Granted(SendSlot { delay_ms: 50, ..SendSlot::default() });
    let actions = host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot });
    let attempts = sent(&actions, id);
    assert_eq!((attempts[0].delay_ms, attempts[0].deadline_ms), (50, 9_950));
}

#[test]
fn busy_engine_is_left_for_another() {
    let mut host = host();
    let (id, reservation) = open(&mut host);
    host.see("i-2", upstream("llm", 2, &["m1"]));
    let busy = SlotReply::Busy { retry_ms: 100 };
    let actions = host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot: busy });
    assert_eq!(asked(&actions, id), Some((reservation + 1, "i-2".into())));
}

#[test]
fn busy_engine_is_asked_again_in_time() {
    let mut host = host();
    let (id, reservation) = open(&mut host);
    let busy = SlotReply::Busy { retry_ms: 100 };
    let actions = host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot: busy });
    assert_eq!(asked(&actions, id), None);
    assert!(sent(&host.pass(80), id).is_empty());
    assert_eq!(&*sent_to(&host.pass(40), id).id, "i-1");
}

#[test]
fn old_answer_is_nothing() {
    let mut host = host();
    let (id, reservation) = open(&mut host);
    let slot = SlotReply::Granted(SendSlot::default());
    let early =
        host.dispatch.handle(host.now, Event::Reserved { id, reservation: reservation + 1, slot });
    assert!(early.is_empty());
    host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot });
    let again = host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot });
    assert!(sent(&again, id).is_empty());
}

/// New work must not reach an engine that began to leave while its pacer was asked.
#[test]
fn leaving_engine_gets_nothing() {
    let mut host = host();
    let (id, reservation) = open(&mut host);
    let draining = UpstreamState { draining: true, ..upstream("llm", 1, &["m1"]) };
    host.see("i-1", draining);
    let slot = SlotReply::Granted(SendSlot::default());
    let actions = host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot });
    assert!(sent(&actions, id).is_empty());
}

#[test]
fn left_caller_frees_its_place() {
    let mut host = host();
    let (id, reservation) = open(&mut host);
    assert_eq!(host.dispatch.summaries(host.now)[0].running, 1);
    host.tell(Event::CallerLeft { id });
    assert_eq!(host.dispatch.summaries(host.now)[0].running, 0);
    let slot = SlotReply::Granted(SendSlot::default());
    assert!(host.dispatch.handle(host.now, Event::Reserved { id, reservation, slot }).is_empty());
}

#[test]
fn unanswered_is_refused_in_time() {
    let mut host = host();
    let (id, _) = open(&mut host);
    let refused = refusal(&host.pass(4_000), id).expect("refused");
    assert_eq!(refused.cause, RefusalCause::Overloaded);
    assert_eq!(host.dispatch.summaries(host.now)[0].running, 0);
}
