//! Evacuated failure domains: their upstreams get no new requests until the domain returns.

mod support;

use rstest::rstest;
use std::{collections::BTreeSet, rc::Rc};
use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Event};
use vanetally_ports::{RefusalCause, RequestKind, UpstreamState};
use vanetally_types::{Name, Verdict};

fn evacuated(domains: &[&str]) -> Event {
    let domains: BTreeSet<Name> = domains.iter().map(|domain| Name::from(*domain)).collect();
    Event::Evacuated(Rc::new(domains))
}

/// A host in `z1` with one upstream in `z1` and one in `z2`.
fn host() -> Host {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.announce("near", upstream("desk", 1, &[]));
    host.announce("far", in_domain("z2", 2));
    host
}

fn in_domain(domain: &str, port: u16) -> UpstreamState {
    UpstreamState { domain: domain.into(), ..upstream("desk", port, &[]) }
}

/// Returns the upstreams that took 20 requests, one after the other.
fn used(host: &mut Host) -> BTreeSet<String> {
    let send = |number| {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "check", None));
        let upstream = sent_to(&actions, id).id.to_string();
        host.end_attempt(id, AttemptEnd::Served);
        upstream
    };
    (0..20).map(send).collect()
}

#[test]
fn no_new_requests_until_return() {
    let mut host = host();
    assert!(used(&mut host).contains("near"), "the near one is preferred");
    host.handle(evacuated(&["z1"]));
    assert_eq!(used(&mut host), BTreeSet::from(["far".to_owned()]));
    host.announce("near", upstream("desk", 1, &[]));
    host.announce("new", in_domain("z1", 3));
    assert_eq!(used(&mut host), BTreeSet::from(["far".to_owned()]), "announcements change nothing");
    host.handle(evacuated(&["z2"]));
    assert!(!used(&mut host).contains("far"));
    host.handle(evacuated(&[]));
    assert!(used(&mut host).contains("near"));
}

/// The request was assigned before the evacuation, and its connection takes a while.
#[test]
fn checked_before_first_byte() {
    let mut host = host();
    let (id, _) = host.arrive(request("a", "check", None));
    assert!(host.dispatch.may_send(host.now, id));
    host.handle(evacuated(&["z1"]));
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
    assert_eq!(&*sent_to(&actions, id).id, "far");
}

/// With all failure domains evacuated, waiting is futile.
#[test]
fn all_evacuated() {
    let mut host = host();
    host.handle(evacuated(&["z1", "z2"]));
    let (id, actions) = host.arrive(request("a", "check", None));
    let refusal = refusal(&actions, id).expect("refused at once");
    assert_eq!((refusal.cause, refusal.verdict), (RefusalCause::NoUpstream, Verdict::NotRun));
}

/// A host that starts may learn of the evacuation before or after the upstreams.
#[rstest]
#[case::domains_first(true)]
#[case::upstreams_first(false)]
fn any_order(#[case] domains_first: bool) {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    if domains_first {
        host.handle(evacuated(&["z1"]));
    }
    host.announce("near", upstream("desk", 1, &[]));
    if !domains_first {
        host.handle(evacuated(&["z1"]));
    }
    let (id, actions) = host.arrive(request("a", "check", None));
    assert!(sent(&actions, id).is_empty(), "{actions:?}");
}
