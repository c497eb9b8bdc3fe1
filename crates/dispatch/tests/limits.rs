//! Rate-limited upstreams: where requests are sent, when, and which are refused.

mod support;

use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{
    Action, AttemptEnd, Digest, Event, LimitRow, LoadRow, RequestId, ShortageKind,
};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_ports::{RefusalCause, RequestKind};

/// A host with one rate-limited plain upstream.
fn host() -> Host {
    let mut host = Host::new(vec![
        route("check", RequestKind::Idempotent, "desk"),
        route("offer", RequestKind::Stream, "llm"),
    ]);
    host.announce("s-1", upstream("desk", 1, &[]));
    state_limit(&mut host, "s-1", Some(1.5));
    host
}

fn state_limit(host: &mut Host, upstream: &str, rate: Option<f64>) -> Vec<Action> {
    let sent = host.now;
    host.now = host.now + 1;
    host.handle(Event::LimitStated { upstream: upstream.into(), sent, rate })
}

/// Returns the permit request among `actions`.
fn permit_request(actions: &[Action]) -> Option<(RequestId, u32, PermitRequest)> {
    actions.iter().find_map(|action| match action {
        Action::RequestPermit { id, reservation, request: permit } => {
            Some((*id, *reservation, permit.clone()))
        }
        _ => None,
    })
}

fn answer_permit(host: &mut Host, actions: &[Action], answer: PermitAnswer) -> Vec<Action> {
    let (id, reservation, permit) = permit_request(actions).expect("a permit request");
    host.handle(Event::PermitAnswered { id, reservation, request: permit, answer })
}

fn has_returned_permit(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::ReturnPermit { .. }))
}

const GRANTED: PermitAnswer = PermitAnswer::Granted { delay_ms: 0 };

#[test]
fn permit_requested_before_send() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    assert!(sent(&actions, id).is_empty(), "{actions:?}");
    let (_, _, permit) = permit_request(&actions).expect("a permit request");
    assert_eq!(permit.rate, 1.5);
    assert!(permit.max_wait_ms > 0, "no other upstream, so it would wait");
    let actions = answer_permit(&mut host, &actions, GRANTED);
    assert_eq!(&*sent_to(&actions, id).id, "s-1");
    assert!(host.dispatch.may_send(host.now, id));
}

/// The send time is in the future: the request is sent then, unless the host was stalled meanwhile.
#[test]
fn permit_expires() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    let actions = answer_permit(&mut host, &actions, PermitAnswer::Granted { delay_ms: 700 });
    assert_eq!(sent(&actions, id)[0].delay_ms, 700);
    assert!(host.dispatch.may_send(host.now + 700, id));
    assert!(!host.dispatch.may_send(host.now + 2_000, id));
    let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
    assert!(has_returned_permit(&actions) && permit_request(&actions).is_some(), "{actions:?}");
}

/// Another upstream takes what the rate-limited ones do not; they are not asked for again before
/// they have capacity.
#[test]
fn other_upstream_takes_rest() {
    let mut host = host();
    host.announce("s-2", upstream("desk", 2, &[]));
    state_limit(&mut host, "s-2", Some(0.5));
    host.announce("s-3", upstream("desk", 3, &[]));
    let mut elsewhere = 0;
    for number in 0..40 {
        let (id, mut actions) = host.arrive(request(&format!("a{number}"), "check", None));
        while let Some((_, _, permit)) = permit_request(&actions) {
            assert_eq!(permit.max_wait_ms, 0, "another upstream can take it");
            actions = answer_permit(&mut host, &actions, PermitAnswer::Busy { retry_ms: 60_000 });
        }
        elsewhere += usize::from(&*sent_to(&actions, id).id == "s-3");
        host.end_attempt(id, AttemptEnd::Served);
    }
    assert_eq!(elsewhere, 40);
}

/// No other upstream could take the request and its turn comes too late: it is refused at once with
/// the time given by the grantor.
#[test]
fn refused_with_retry_time() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    let actions = answer_permit(&mut host, &actions, PermitAnswer::Busy { retry_ms: 4_200 });
    let refused = refusal(&actions, id).expect("refused");
    assert_eq!((refused.cause, refused.retry_after_ms), (RefusalCause::RateLimited, Some(4_200)));
    let kind = actions.iter().find_map(|action| match action {
        Action::Refuse { context, .. } => context.shortage.map(|shortage| shortage.kind),
        _ => None,
    });
    assert_eq!(kind, Some(ShortageKind::Limit));
}

/// Two upstreams are rate-limited and have no send time now: the request waits for one of them.
#[test]
fn all_rate_limited() {
    let mut host = host();
    host.announce("s-2", upstream("desk", 2, &[]));
    state_limit(&mut host, "s-2", Some(0.5));
    let (id, actions) = host.arrive(request("a", "check", None));
    let actions = answer_permit(&mut host, &actions, PermitAnswer::Busy { retry_ms: 900 });
    let actions = answer_permit(&mut host, &actions, PermitAnswer::Busy { retry_ms: 300 });
    let (_, _, permit) = permit_request(&actions).expect("a third permit request");
    assert!(permit.max_wait_ms > 0, "{permit:?}");
    let actions = answer_permit(&mut host, &actions, PermitAnswer::Granted { delay_ms: 300 });
    assert_eq!(sent(&actions, id).len(), 1, "{actions:?}");
}

/// Besides the rate-limited upstream there is one that was full: it may take the request shortly.
#[test]
fn other_upstream_was_full() {
    let mut host = host();
    host.announce("s-2", upstream("desk", 2, &[]));
    let busy = PermitAnswer::Busy { retry_ms: 9_000 };
    let (id, mut actions) = host.arrive(request("a", "check", None));
    if permit_request(&actions).is_some() {
        actions = answer_permit(&mut host, &actions, busy);
    }
    assert_eq!(&*sent_to(&actions, id).id, "s-2");
    let mut actions = host.end_attempt(id, AttemptEnd::Full);
    actions.extend(host.advance(40));
    if permit_request(&actions).is_some() {
        actions = answer_permit(&mut host, &actions, busy);
    }
    assert_eq!((permit_request(&actions), refusal(&actions, id)), (None, None));
    let actions = host.advance(300);
    assert_eq!(&*sent_to(&actions, id).id, "s-2", "{actions:?}");
}

/// A request for which the upstream was chosen before the limit was known is not sent without a
/// permit.
#[test]
fn limit_stated_meanwhile() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.announce("s-1", upstream("desk", 1, &[]));
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(sent(&actions, id).len(), 1);
    state_limit(&mut host, "s-1", Some(1.0));
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
    assert!(permit_request(&actions).is_some(), "{actions:?}");
    assert!(!has_returned_permit(&actions), "there was no permit");
}

#[test]
fn limit_ends() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    answer_permit(&mut host, &actions, GRANTED);
    host.end_attempt(id, AttemptEnd::Served);
    host.now = host.now + 100;
    state_limit(&mut host, "s-1", None);
    let (id, actions) = host.arrive(request("b", "check", None));
    assert_eq!(sent(&actions, id).len(), 1, "{actions:?}");
}

/// A permit that is granted after its caller left is returned.
#[test]
fn caller_left_meanwhile() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    host.handle(Event::CallerLeft { id });
    assert!(has_returned_permit(&answer_permit(&mut host, &actions, GRANTED)));
}

/// An engine's pacer is asked as well; if it has no slot, the permit is returned.
#[test]
fn rate_limited_engine() {
    let mut host = host();
    host.announce("e-1", upstream("llm", 3, &["m1"]));
    state_limit(&mut host, "e-1", Some(2.0));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    let actions = answer_permit(&mut host, &actions, GRANTED);
    assert_eq!(&*sent_to(&actions, id).id, "e-1", "the test host grants the pacer slot");
}

/// A limit that another host reports counts like one stated to this host; digests of an earlier
/// build say nothing about limits.
#[test]
fn reported_by_other_hosts() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.announce("s-1", upstream("desk", 1, &[]));
    let row = |limit| LoadRow {
        upstream: "s-1".into(),
        running: 1,
        unread_tokens: 0,
        held_tokens: 0,
        good: 1,
        bad: 0,
        limit,
    };
    let report = |host: &mut Host, limit| {
        let digest = Digest { loads: vec![row(limit)], demand: Vec::new(), waiting: Vec::new() };
        host.handle(Event::PeerDigest { host: "h2".into(), digest })
    };
    report(&mut host, Some(LimitRow { rate: Some(0.7), age_ms: 400 }));
    report(&mut host, None);
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(permit_request(&actions).map(|(_, _, permit)| permit.rate), Some(0.7));
    host.handle(Event::CallerLeft { id });
    host.now = host.now + 500;
    report(&mut host, Some(LimitRow { rate: None, age_ms: 100 }));
    let (id, actions) = host.arrive(request("b", "check", None));
    assert_eq!(sent(&actions, id).len(), 1);
}
