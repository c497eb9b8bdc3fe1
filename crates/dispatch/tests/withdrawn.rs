//! An upstream leaves between the choice and the first byte.

mod support;

use rstest::rstest;
use support::{Host, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Event};
use vanetally_ports::{RequestKind, UpstreamState};

fn host() -> Host {
    let mut host = Host::new(vec![route("check", RequestKind::Once, "desk")]);
    host.announce("s-1", upstream("desk", 1, &[]));
    host
}

fn leaving() -> UpstreamState {
    UpstreamState { draining: true, ..upstream("desk", 1, &[]) }
}

#[test]
fn upstream_stays() {
    let mut host = host();
    let (id, _) = host.arrive(request("a", "check", None));
    assert!(host.dispatch.may_send(host.now, id));
}

#[rstest]
#[case::draining(Event::UpstreamSeen { id: "s-1".into(), state: leaving() })]
#[case::gone(Event::UpstreamGone { id: "s-1".into() })]
fn upstream_leaves_before_first_byte(#[case] event: Event) {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(&*sent_to(&actions, id).id, "s-1");
    host.announce("s-2", upstream("desk", 2, &[]));
    host.handle(event);
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
    assert_eq!(
        &*sent_to(&actions, id).id,
        "s-2",
        "sent again at once, though it must not run twice"
    );
}

/// Withdrawn attempts use no retry budget and do not count against any upstream.
#[test]
fn withdrawn_attempts_cost_nothing() {
    let mut host = host();
    host.announce("s-2", upstream("desk", 2, &[]));
    for number in 0..100 {
        let (id, _) = host.arrive(request(&format!("a{number}"), "check", None));
        let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
        assert_eq!(sent(&actions, id).len(), 1, "{number}: {actions:?}");
        host.end_attempt(id, AttemptEnd::Served);
    }
    assert_eq!(host.dispatch.counts().suspects, 0);
}

#[test]
fn caller_left() {
    let mut host = host();
    let (id, _) = host.arrive(request("a", "check", None));
    host.handle(Event::CallerLeft { id });
    assert!(!host.dispatch.may_send(host.now, id));
}
