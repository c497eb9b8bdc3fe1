//! An upstream that starts again under its id is another one: nothing that is believed of a life passes to the next.

mod support;

use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Digest, Event, LoadRow, Presence};
use vanetally_ports::{ModelRef, RequestKind};
use vanetally_quarantine::{CrashReport, CrashSign};
use vanetally_types::{Incarnation, Verdict};

fn life(born: u64) -> Incarnation {
    Incarnation::new("i-1", Some(born))
}

fn see(host: &mut Host, born: u64, models: &[&str]) -> Vec<Action> {
    host.tell(Event::UpstreamSeen { id: life(born), state: upstream("llm", 1, models) })
}

/// The life that began at 1 ends, and one that began at 2 follows.
fn start_again(host: &mut Host) -> Vec<Action> {
    let mut actions = host.tell(Event::UpstreamEnded { id: life(1) });
    actions.extend(see(host, 2, &["m1"]));
    actions
}

fn host(kind: RequestKind) -> Host {
    let mut host = Host::new(vec![route("offer", kind, "llm")]);
    see(&mut host, 1, &["m1"]);
    host
}

/// What was at the life that ended is given up: its connection may stay silent for ever.
#[test]
fn given_up() {
    let mut host = host(RequestKind::Once);
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(sent_to(&actions, id), life(1));
    let actions = start_again(&mut host);
    let suspicion =
        CrashReport { content: id.0, upstream: life(1), sign: CrashSign::Ended, is_common: false };
    assert_eq!(actions, [Action::Abandon { id, number: 1 }, Action::ReportCrash(suspicion)]);
    let actions = host.end(id, AttemptEnd::Broken);
    let refusal = refusal(&actions, id).expect("it may have run");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// What is under way elsewhere, or has ended, is left alone.
#[test]
fn others_go_on() {
    let mut host = host(RequestKind::Idempotent);
    let (done, _) = host.arrive(request("a", "offer", Some("m1")));
    host.end(done, AttemptEnd::Served);
    assert_eq!(start_again(&mut host), []);
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(sent_to(&actions, id), life(2));
}

/// Between the choice and the first byte: it is withdrawn, and goes to the life that is there.
#[test]
fn withdrawn() {
    let mut host = host(RequestKind::Once);
    let (id, _) = host.arrive(request("a", "offer", Some("m1")));
    start_again(&mut host);
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end(id, AttemptEnd::Withdrawn);
    assert_eq!(sent_to(&actions, id), life(2));
}

/// What hosts and the holder of orders tell late of the former life does not touch the new one, nor bring it back.
#[test]
fn late_news() {
    let mut host = host(RequestKind::Once);
    host.tell(Event::UpstreamEnded { id: life(1) });
    see(&mut host, 2, &[]);
    let subject = ModelRef { model: "m1".into(), adapter: None };
    host.tell(Event::PresenceReported { runner: life(1), subject, presence: Presence::Present });
    let row = LoadRow {
        upstream: life(1),
        running: 4,
        unread_tokens: 0,
        held_tokens: 0,
        good: 0,
        bad: 40,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new() };
    host.tell(Event::PeerDigest { host: "front-2".into(), digest });
    let loads = host.dispatch.summaries(host.now);
    assert_eq!(loads.len(), 1, "{loads:?}");
    assert_eq!((&loads[0].upstream, loads[0].running), (&life(2), 0));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(sent(&actions, id), [], "the life that is there holds nothing");
}

/// What can't be read takes nothing new; what is under way goes on; it is used again once it can be read.
#[test]
fn unreadable() {
    let mut host = host(RequestKind::Idempotent);
    let (open, _) = host.arrive(request("a", "offer", Some("m1")));
    let actions = host.tell(Event::UpstreamUnreadable { id: life(1) });
    assert_eq!(actions, [], "what runs there goes on");
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(sent(&actions, id), []);
    host.end(open, AttemptEnd::Served);
    let actions = see(&mut host, 1, &["m1"]);
    assert_eq!(sent_to(&actions, id), life(1));
}
