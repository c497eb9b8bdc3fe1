//! Cold upstreams: all hosts together send them no more than their service allows.

mod support;

use std::{collections::BTreeSet, rc::Rc};
use support::{Host, configuration, request, route, sent, upstream};
use vanetally_dispatch::{Action, Event};
use vanetally_limit::PermitRequest;
use vanetally_ports::{ColdStart, Configuration, RequestKind, Route, UpstreamState};

const COLD_MS: u64 = 3_000;
const RATE: f64 = 6.5;

fn routes() -> Vec<Route> {
    vec![route("check", RequestKind::Idempotent, "desk")]
}

/// A configuration that limits cold upstreams of `desk`.
fn limited(version: u64) -> Rc<Configuration> {
    let mut limited = Configuration::clone(&configuration(version, routes()));
    let service = limited.services.get_mut("desk").expect("configured");
    service.cold_start = Some(ColdStart { duration_ms: COLD_MS, rate: RATE });
    Rc::new(limited)
}

fn host() -> Host {
    let mut host = Host::new(routes());
    host.handle(Event::Configured(limited(2)));
    host
}

fn cold(ms: u64) -> UpstreamState {
    UpstreamState { cold_ms: ms, ..upstream("desk", 1, &[]) }
}

/// Lets a request arrive; returns the permit that it needs, `None` if it was sent without one.
fn needed_permit(host: &mut Host) -> Option<PermitRequest> {
    let (id, actions) = host.arrive(request("a", "check", None));
    let permit = actions.iter().find_map(|action| match action {
        Action::RequestPermit { request, .. } => Some(request.clone()),
        _ => None,
    });
    assert_eq!(permit.is_none(), sent(&actions, id).len() == 1, "{actions:?}");
    host.handle(Event::CallerLeft { id });
    permit
}

#[test]
fn permits_while_cold() {
    let mut host = host();
    host.announce("s-1", cold(COLD_MS));
    assert_eq!(needed_permit(&mut host).map(|permit| permit.rate), Some(RATE));
    host.advance(COLD_MS - 20);
    assert!(needed_permit(&mut host).is_some());
    host.advance(20);
    assert!(needed_permit(&mut host).is_none(), "warm");
}

/// A source that changes sends all announcements again.
#[test]
fn repeated_announcement() {
    let mut host = host();
    host.announce("s-1", cold(COLD_MS));
    host.advance(COLD_MS);
    host.announce("s-1", cold(COLD_MS));
    assert!(needed_permit(&mut host).is_none());
    host.announce("s-1", cold(0));
    host.announce("s-1", cold(COLD_MS));
    assert!(needed_permit(&mut host).is_some(), "it became cold again");
}

#[test]
fn service_without_limit() {
    let mut host = Host::new(routes());
    host.announce("s-1", cold(COLD_MS));
    assert!(needed_permit(&mut host).is_none());
}

/// A host that starts may receive the configuration after the announcements.
#[test]
fn configured_later() {
    let mut host = Host::new(routes());
    host.announce("s-1", cold(COLD_MS));
    host.handle(Event::Configured(limited(2)));
    assert!(needed_permit(&mut host).is_some());
}

/// A stated limit that is lower than that of a cold upstream remains.
#[test]
fn lower_limit_counts() {
    let mut host = host();
    host.announce("s-1", cold(COLD_MS));
    let sent = host.now;
    host.now = host.now + 1;
    host.handle(Event::LimitStated { upstream: "s-1".into(), sent, rate: Some(1.5) });
    assert_eq!(needed_permit(&mut host).map(|permit| permit.rate), Some(1.5));
}

/// The announcements of a failure domain that returns may not show yet that its upstreams are cold.
#[test]
fn cold_after_evacuation() {
    let mut host = host();
    host.announce("s-1", upstream("desk", 1, &[]));
    host.handle(Event::Evacuated(Rc::new(BTreeSet::from(["z1".into()]))));
    host.advance(10_000);
    host.handle(Event::Evacuated(Rc::default()));
    assert_eq!(needed_permit(&mut host).map(|permit| permit.rate), Some(RATE));
    host.advance(COLD_MS);
    assert!(needed_permit(&mut host).is_none());
}
