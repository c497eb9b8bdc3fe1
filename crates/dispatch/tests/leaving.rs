//! Upstreams that have said themselves that they leave.

mod support;

use support::{Host, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Event, LeavingUpstreams};
use vanetally_ports::{RefusalCause, RequestKind, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick, Verdict};

const START: Tick = Tick(1_000_000);

fn life(id: &str, born: u64) -> Incarnation {
    let id: Name = id.into();
    Incarnation::new(id, Some(born))
}

#[test]
fn until_next_life() {
    let mut leaving_upstreams = LeavingUpstreams::default();
    assert!(leaving_upstreams.insert(START, life("i-1", 1)), "it is news");
    assert!(!leaving_upstreams.insert(START + 10, life("i-1", 1)), "once");
    assert!(
        leaving_upstreams.contains(&life("i-1", 1)) && !leaving_upstreams.contains(&life("i-1", 2))
    );
    leaving_upstreams.remove(&life("i-1", 1));
    assert!(leaving_upstreams.all().is_empty());
}

#[test]
fn bounded() {
    let mut leaving_upstreams = LeavingUpstreams::default();
    for number in 0..20_000 {
        leaving_upstreams.insert(START + number, life(&format!("i-{number}"), 1));
    }
    assert!(leaving_upstreams.all().len() <= 8_192);
    assert!(
        leaving_upstreams.contains(&life("i-19999", 1))
            && !leaving_upstreams.contains(&life("i-0", 1))
    );
}

fn draining(port: u16) -> UpstreamState {
    UpstreamState { draining: true, ..upstream("desk", port, &[]) }
}

/// Where all upstreams of a service leave, waiting helps nobody.
#[test]
fn all_leave() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.see("i-1", draining(1));
    host.see("i-2", draining(2));
    let (id, actions) = host.arrive(request("a", "check", None));
    let refusal = refusal(&actions, id).expect("an answer at once");
    assert_eq!((refusal.cause, refusal.verdict), (RefusalCause::NoUpstream, Verdict::NotRun));
    assert!(refusal.retry_after_ms.is_some());
    host.see("i-3", upstream("desk", 3, &[]));
    let (id, actions) = host.arrive(request("b", "check", None));
    assert_eq!(sent(&actions, id).len(), 1);
}

/// Nobody is known yet: one may announce itself any moment.
#[test]
fn nobody_known() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    let (id, actions) = host.arrive(request("a", "check", None));
    assert!(refusal(&actions, id).is_none());
    let actions =
        host.tell(Event::UpstreamSeen { id: "i-1".into(), state: upstream("desk", 1, &[]) });
    assert_eq!(sent(&actions, id).len(), 1);
}
