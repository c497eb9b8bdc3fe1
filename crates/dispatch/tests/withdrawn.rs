//! An upstream leaves between the choice and the first byte.

mod support;

use rstest::rstest;
use support::{Host, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Event};
use vanetally_ports::{RequestKind, UpstreamState};

fn host() -> Host {
    let mut host = Host::new(vec![route("check", RequestKind::Once, "desk")]);
    host.see("s-1", upstream("desk", 1, &[]));
    host
}

fn leaving() -> UpstreamState {
    UpstreamState { draining: true, ..upstream("desk", 1, &[]) }
}

#[test]
fn stays() {
    let mut host = host();
    let (id, _) = host.arrive(request("a", "check", None));
    assert!(host.dispatch.may_send(host.now, id));
}

#[rstest]
#[case::draining(Event::UpstreamSeen { id: "s-1".into(), state: leaving() })]
#[case::gone(Event::UpstreamGone { id: "s-1".into() })]
fn leaves_meanwhile(#[case] event: Event) {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(&*sent_to(&actions, id).id, "s-1");
    host.see("s-2", upstream("desk", 2, &[]));
    host.tell(event);
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end(id, AttemptEnd::Withdrawn);
    assert_eq!(&*sent_to(&actions, id).id, "s-2", "at once, though it may run only once");
}

/// What was withdrawn spends nothing of the budget for repeats, and speaks against nobody.
#[test]
fn costs_nothing() {
    let mut host = host();
    host.see("s-2", upstream("desk", 2, &[]));
    for number in 0..100 {
        let (id, _) = host.arrive(request(&format!("a{number}"), "check", None));
        let actions = host.end(id, AttemptEnd::Withdrawn);
        assert_eq!(sent(&actions, id).len(), 1, "{number}: {actions:?}");
        host.end(id, AttemptEnd::Served);
    }
    assert_eq!(host.dispatch.counts().suspects, 0);
}

#[test]
fn caller_left() {
    let mut host = host();
    let (id, _) = host.arrive(request("a", "check", None));
    host.tell(Event::CallerLeft { id });
    assert!(!host.dispatch.may_send(host.now, id));
}
