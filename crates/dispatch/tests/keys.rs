//! Keys of callers: who may send, on whose behalf, and what happens when a key is taken away.

mod support;

use rstest::rstest;
use std::rc::Rc;
use support::{Host, START, configuration, options, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Dispatch, Event, Options, RequestId};
use vanetally_ports::{
    CallerKey, CallerRequest, Configuration, Credential, Organisation, Origin, RefusalCause,
    RequestKind, Route,
};

/// Milliseconds after which a key that was taken away must not be used.
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

/// A host that knows the organisations `a` and `b`, confirmed just now, and a plain service.
fn host(revoke_ms: Option<u64>) -> Host {
    let mut host = Host::new(Vec::new());
    host.dispatch = Dispatch::new(START, Options { revoke_ms, ..options() });
    let all = vec![organisation("a", &["key-a"], None), organisation("b", &["key-b"], Some(0))];
    host.tell(Event::Configured(with_organisations(2, all)));
    host.tell(Event::Confirmed(START));
    host.see("i-1", upstream("desk", 1, &[]));
    host
}

fn keyed(id: &str, key: &str) -> CallerRequest {
    let credential = Credential::Key(CallerKey::new(key));
    CallerRequest { credential, ..request(id, "check", None) }
}

fn cause(actions: &[Action], id: RequestId) -> Option<RefusalCause> {
    refusal(actions, id).map(|refusal| refusal.cause)
}

#[test]
fn known_key() {
    let mut host = host(Some(REVOKE_MS));
    let (id, actions) = host.arrive(keyed("r", "key-a"));
    assert_eq!(sent(&actions, id)[0].origin, Origin::Organisation("a".into()));
}

#[rstest]
#[case::unknown(keyed("r", "key-c"))]
#[case::none(request("r", "check", None))]
fn no_such_key(#[case] request: CallerRequest) {
    let mut host = host(Some(REVOKE_MS));
    let (id, actions) = host.arrive(request);
    let refusal = refusal(&actions, id).expect("it is refused at once");
    assert_eq!(refusal.cause, RefusalCause::Unauthorized);
    assert_eq!(refusal.retry_after_ms, None);
}

#[test]
fn open_route() {
    let mut host = host(Some(REVOKE_MS));
    host.pass(60_000);
    let (id, actions) = host.arrive(request("r", "open", None));
    assert_eq!(sent(&actions, id)[0].origin, Origin::Open, "whatever is known of the keys");
}

#[test]
fn no_organisations() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.see("i-1", upstream("desk", 1, &[]));
    let (id, actions) = host.arrive(keyed("r", "any"));
    assert_eq!(sent(&actions, id)[0].origin, Origin::Unchecked);
}

/// A host that is cut off does not say that a key is unknown: it may have missed the change that brought it.
#[test]
fn out_of_date() {
    let mut host = host(Some(REVOKE_MS));
    host.pass(REVOKE_MS * 9 / 10);
    assert!(host.dispatch.is_ready(host.now));
    let (id, actions) = host.arrive(keyed("r1", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1, "the bound is not reached");
    host.pass(20);
    assert!(!host.dispatch.is_ready(host.now), "callers find another host");
    for key in ["key-a", "key-c"] {
        let (id, actions) = host.arrive(keyed("r2", key));
        assert_eq!(cause(&actions, id), Some(RefusalCause::Unconfirmed));
        assert!(refusal(&actions, id).is_some_and(|refusal| refusal.retry_after_ms.is_some()));
    }
    host.tell(Event::Confirmed(host.now));
    assert!(host.dispatch.is_ready(host.now));
    let (id, actions) = host.arrive(keyed("r3", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1, "it serves with the first confirmation");
}

/// Where the deployment does not ask for strictness, a host that is cut off serves on for hours.
#[test]
fn serves_on() {
    let mut host = host(None);
    host.now = host.now + 7_200_000;
    let (id, actions) = host.arrive(keyed("r", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(host.dispatch.is_ready(host.now));
}

#[test]
fn taken_away_while_waiting() {
    let mut host = host(Some(REVOKE_MS));
    host.tell(Event::UpstreamGone { id: "i-1".into() });
    let (id, actions) = host.arrive(keyed("r", "key-a"));
    assert!(actions.is_empty(), "it waits: {actions:?}");
    let left = vec![organisation("b", &["key-b"], Some(0))];
    let actions = host.tell(Event::Configured(with_organisations(3, left)));
    assert_eq!(cause(&actions, id), Some(RefusalCause::Unauthorized), "at once");
}

/// Between the choice and the first byte lie the pacer's delay and the making of a connection.
#[test]
fn taken_away_before_the_first_byte() {
    let mut host = host(Some(REVOKE_MS));
    let (id, actions) = host.arrive(keyed("r", "key-a"));
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(host.dispatch.may_send(host.now, id));
    host.tell(Event::Configured(with_organisations(3, vec![organisation("a", &["new"], None)])));
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end(id, AttemptEnd::Withdrawn);
    assert_eq!(cause(&actions, id), Some(RefusalCause::Unauthorized));
}

#[test]
fn paused_before_the_first_byte() {
    let mut host = host(Some(REVOKE_MS));
    let (id, _) = host.arrive(keyed("r", "key-a"));
    assert!(!host.dispatch.may_send(host.now + REVOKE_MS, id), "the process stood still meanwhile");
}

#[test]
fn key_of_another_organisation() {
    let mut host = host(Some(REVOKE_MS));
    let (id, _) = host.arrive(keyed("r", "key-a"));
    let moved = vec![organisation("b", &["key-b", "key-a"], Some(0))];
    host.tell(Event::Configured(with_organisations(3, moved)));
    assert!(!host.dispatch.may_send(host.now, id), "it would go on behalf of the wrong one");
}

/// The rank of an organisation goes before that of the route.
#[test]
fn urgent_organisation() {
    let mut host = host(None);
    host.tell(Event::UpstreamGone { id: "i-1".into() });
    let (later, _) = host.arrive(keyed("r1", "key-a"));
    let (first, _) = host.arrive(keyed("r2", "key-b"));
    let actions = host.see("i-2", upstream("desk", 2, &[]));
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
fn secrets_do_not_show() {
    let request = keyed("r", "key-a-very-secret");
    assert!(!format!("{request:?}").contains("secret"));
    let organisation = organisation("a", &["key-a-very-secret"], None);
    assert!(!format!("{organisation:?}").contains("secret"));
}
