//! Upstreams that reported themselves that they leave.

mod support;

use support::{Host, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Event, LeavingUpstreams};
use vanetally_ports::{RefusalCause, RequestKind, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick, Verdict};

const START: Tick = Tick(1_000_000);

fn incarnation(id: &str, born: u64) -> Incarnation {
    let id: Name = id.into();
    Incarnation::new(id, Some(born))
}

#[test]
fn kept_until_next_incarnation() {
    let mut leaving_upstreams = LeavingUpstreams::default();
    assert!(leaving_upstreams.insert(START, incarnation("i-1", 1)), "first report");
    assert!(!leaving_upstreams.insert(START + 10, incarnation("i-1", 1)), "repeated report");
    assert!(
        leaving_upstreams.contains(&incarnation("i-1", 1))
            && !leaving_upstreams.contains(&incarnation("i-1", 2))
    );
    leaving_upstreams.remove(&incarnation("i-1", 1));
    assert!(leaving_upstreams.all().is_empty());
}

#[test]
fn size_is_bounded() {
    let mut leaving_upstreams = LeavingUpstreams::default();
    for number in 0..20_000 {
        leaving_upstreams.insert(START + number, incarnation(&format!("i-{number}"), 1));
    }
    assert!(leaving_upstreams.all().len() <= 8_192);
    assert!(
        leaving_upstreams.contains(&incarnation("i-19999", 1))
            && !leaving_upstreams.contains(&incarnation("i-0", 1))
    );
}

fn draining(port: u16) -> UpstreamState {
    UpstreamState { draining: true, ..upstream("desk", port, &[]) }
}

/// If all upstreams of a service are leaving, waiting is futile.
#[test]
fn all_upstreams_leaving() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.announce("i-1", draining(1));
    host.announce("i-2", draining(2));
    let (id, actions) = host.arrive(request("a", "check", None));
    let refusal = refusal(&actions, id).expect("refused at once");
    assert_eq!((refusal.cause, refusal.verdict), (RefusalCause::NoUpstream, Verdict::NotRun));
    assert!(refusal.retry_after_ms.is_some());
    host.announce("i-3", upstream("desk", 3, &[]));
    let (id, actions) = host.arrive(request("b", "check", None));
    assert_eq!(sent(&actions, id).len(), 1);
}

/// Without a known upstream the request waits, because one may announce itself at any time.
#[test]
fn no_upstream_known() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    let (id, actions) = host.arrive(request("a", "check", None));
    assert!(refusal(&actions, id).is_none());
    let actions =
        host.handle(Event::UpstreamSeen { id: "i-1".into(), state: upstream("desk", 1, &[]) });
    assert_eq!(sent(&actions, id).len(), 1);
}
