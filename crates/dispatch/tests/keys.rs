//! Caller keys: who may send, on whose behalf, and what happens when a key is revoked.

mod support;

use rstest::rstest;
use std::rc::Rc;
use support::{Host, START, configuration, options, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Dispatch, Event, Options, RequestId};
use vanetally_ports::{
    CallerKey, CallerRequest, Configuration, Credential, Organisation, Origin, RefusalCause,
    RequestKind, Route,
};

/// Time after which a revoked key must not be used.
const REVOKE_MS: u64 = 5_000;

fn organisation(name: &str, keys: &[&str], priority: Option<u8>) -> Organisation {
    let keys = keys.iter().map(|key| CallerKey::new(key)).collect();
    Organisation { name: name.into(), keys, priority, quota: None }
}

fn with_organisations(version: u64, all: Vec<Organisation>) -> Rc<Configuration> {
    let routes = vec![
        route("check", RequestKind::Idempotent, "desk"),
        Route { is_open: true, ..route("open", RequestKind::Idempotent, "desk") },
    ];
    let plain = configuration(version, routes);
    Rc::new(Configuration { organisations: Some(all), ..(*plain).clone() })
}

/// A host with the organisations `a` and `b`, confirmed at the start, and a plain service.
fn host(revoke_ms: Option<u64>) -> Host {
    let mut host = Host::new(Vec::new());
    host.dispatch = Dispatch::new(START, Options { revoke_ms, ..options() });
    let all = vec![organisation("a", &["key-a"], None), organisation("b", &["key-b"], Some(0))];
    host.handle(Event::Configured(with_organisations(2, all)));
    host.handle(Event::Confirmed(START));
    host.announce("i-1", upstream("desk", 1, &[]));
    host
}

fn request_with_key(id: &str, key: &str) -> CallerRequest {
    let credential = Credential::Key(CallerKey::new(key));
    CallerRequest { credential, ..request(id, "check", None) }
}

fn cause(actions: &[Action], id: RequestId) -> Option<RefusalCause> {
    refusal(actions, id).map(|refusal| refusal.cause)
}

#[test]
fn known_key() {
    let mut host = host(Some(REVOKE_MS));
    let (id, actions) = host.arrive(request_with_key("r", "key-a"));
    assert_eq!(sent(&actions, id)[0].origin, Origin::Organisation("a".into()));
}

#[rstest]
#[case::unknown(request_with_key("r", "key-c"))]
#[case::none(request("r", "check", None))]
fn unknown_key(#[case] request: CallerRequest) {
    let mut host = host(Some(REVOKE_MS));
    let (id, actions) = host.arrive(request);
    let refusal = refusal(&actions, id).expect("refused at once");
    assert_eq!(refusal.cause, RefusalCause::Unauthorized);
    assert_eq!(refusal.retry_after_ms, None);
}

#[test]
fn open_route() {
    let mut host = host(Some(REVOKE_MS));
    host.advance(60_000);
    let (id, actions) = host.arrive(request("r", "open", None));
    assert_eq!(sent(&actions, id)[0].origin, Origin::Open, "even without confirmed keys");
}

#[test]
fn no_organisations() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.announce("i-1", upstream("desk", 1, &[]));
    let (id, actions) = host.arrive(request_with_key("r", "any"));
    assert_eq!(sent(&actions, id)[0].origin, Origin::Unchecked);
}

/// A host that is cut off does not reject a key as unknown: it may have missed the change that
/// added the key.
#[test]
fn unconfirmed_keys() {
    let mut host = host(Some(REVOKE_MS));
    host.advance(REVOKE_MS * 9 / 10);
    assert!(host.dispatch.is_ready(host.now));
    let (id, actions) = host.arrive(request_with_key("r1", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1, "within the bound");
    host.advance(20);
    assert!(!host.dispatch.is_ready(host.now), "callers go to another host");
    for key in ["key-a", "key-c"] {
        let (id, actions) = host.arrive(request_with_key("r2", key));
        assert_eq!(cause(&actions, id), Some(RefusalCause::Unconfirmed));
        assert!(refusal(&actions, id).is_some_and(|refusal| refusal.retry_after_ms.is_some()));
    }
    host.handle(Event::Confirmed(host.now));
    assert!(host.dispatch.is_ready(host.now));
    let (id, actions) = host.arrive(request_with_key("r3", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1, "served again after a confirmation");
}

/// A host that is cut off continues to serve for hours if the deployment does not require
/// confirmation.
#[test]
fn serves_without_confirmation() {
    let mut host = host(None);
    host.now = host.now + 7_200_000;
    let (id, actions) = host.arrive(request_with_key("r", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(host.dispatch.is_ready(host.now));
}

#[test]
fn revoked_while_waiting() {
    let mut host = host(Some(REVOKE_MS));
    host.handle(Event::UpstreamGone { id: "i-1".into() });
    let (id, actions) = host.arrive(request_with_key("r", "key-a"));
    assert!(actions.is_empty(), "must wait: {actions:?}");
    let remaining = vec![organisation("b", &["key-b"], Some(0))];
    let actions = host.handle(Event::Configured(with_organisations(3, remaining)));
    assert_eq!(cause(&actions, id), Some(RefusalCause::Unauthorized), "refused at once");
}

/// The key is revoked between the choice and the first byte, during the pacer's delay or the
/// connection setup.
#[test]
fn revoked_before_first_byte() {
    let mut host = host(Some(REVOKE_MS));
    let (id, actions) = host.arrive(request_with_key("r", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(host.dispatch.may_send(host.now, id));
    host.handle(Event::Configured(with_organisations(3, vec![organisation("a", &["new"], None)])));
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
    assert_eq!(cause(&actions, id), Some(RefusalCause::Unauthorized));
}

#[test]
fn stalled_before_first_byte() {
    let mut host = host(Some(REVOKE_MS));
    let (id, _) = host.arrive(request_with_key("r", "key-a"));
    assert!(!host.dispatch.may_send(host.now + REVOKE_MS, id), "the confirmation is too old");
}

#[test]
fn key_moved_to_another_organisation() {
    let mut host = host(Some(REVOKE_MS));
    let (id, _) = host.arrive(request_with_key("r", "key-a"));
    let moved = vec![organisation("b", &["key-b", "key-a"], Some(0))];
    host.handle(Event::Configured(with_organisations(3, moved)));
    assert!(!host.dispatch.may_send(host.now, id), "chosen for another organisation");
}

/// The priority of an organisation precedes that of the route.
#[test]
fn organisation_priority() {
    let mut host = host(None);
    host.handle(Event::UpstreamGone { id: "i-1".into() });
    let (later, _) = host.arrive(request_with_key("r1", "key-a"));
    let (first, _) = host.arrive(request_with_key("r2", "key-b"));
    let actions = host.announce("i-2", upstream("desk", 2, &[]));
    let order: Vec<RequestId> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { id, .. } => Some(*id),
            _ => None,
        })
        .collect();
    assert_eq!(order, [first, later]);
}

#[test]
fn secrets_are_not_printed() {
    let request = request_with_key("r", "key-a-very-secret");
    assert!(!format!("{request:?}").contains("secret"));
    let organisation = organisation("a", &["key-a-very-secret"], None);
    assert!(!format!("{organisation:?}").contains("secret"));
}
