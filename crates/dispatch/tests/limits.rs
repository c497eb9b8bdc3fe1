//! Upstreams in need: where requests go, when, and which are refused.

mod support;

use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{
    Action, AttemptEnd, Digest, Event, LimitRow, LoadRow, RequestId, ShortageKind,
};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_ports::{RefusalCause, RequestKind};

/// Two plain upstreams, the first of them in need.
fn host() -> Host {
    let mut host = Host::new(vec![
        route("check", RequestKind::Idempotent, "desk"),
        route("offer", RequestKind::Stream, "llm"),
    ]);
    host.see("s-1", upstream("desk", 1, &[]));
    state(&mut host, "s-1", Some(1.5));
    host
}

fn state(host: &mut Host, upstream: &str, rate: Option<f64>) -> Vec<Action> {
    let sent = host.now;
    host.now = host.now + 1;
    host.tell(Event::LimitStated { upstream: upstream.into(), sent, rate })
}

/// What is asked of who grants.
fn asked(actions: &[Action]) -> Option<(RequestId, u32, PermitRequest)> {
    actions.iter().find_map(|action| match action {
        Action::RequestPermit { id, reservation, request: question } => {
            Some((*id, *reservation, question.clone()))
        }
        _ => None,
    })
}

fn answer(host: &mut Host, actions: &[Action], answer: PermitAnswer) -> Vec<Action> {
    let (id, reservation, question) = asked(actions).expect("a question");
    host.tell(Event::PermitAnswered { id, reservation, request: question, answer })
}

fn returned(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::ReturnPermit { .. }))
}

const NOW: PermitAnswer = PermitAnswer::Granted { delay_ms: 0 };

#[test]
fn asked_before_sent() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    assert!(sent(&actions, id).is_empty(), "{actions:?}");
    let (_, _, question) = asked(&actions).expect("a question");
    assert_eq!(question.rate, 1.5);
    assert!(question.max_wait_ms > 0, "nobody else could take it: it would wait");
    let actions = answer(&mut host, &actions, NOW);
    assert_eq!(&*sent_to(&actions, id).id, "s-1");
    assert!(host.dispatch.may_send(host.now, id));
}

/// The moment lies ahead: it is sent then, unless the host stood still meanwhile.
#[test]
fn moment_lapses() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    let actions = answer(&mut host, &actions, PermitAnswer::Granted { delay_ms: 700 });
    assert_eq!(sent(&actions, id)[0].delay_ms, 700);
    assert!(host.dispatch.may_send(host.now + 700, id));
    assert!(!host.dispatch.may_send(host.now + 2_000, id));
    let actions = host.end(id, AttemptEnd::Withdrawn);
    assert!(returned(&actions) && asked(&actions).is_some(), "{actions:?}");
}

/// Another upstream takes what the one in need does not; that one is not asked for again before it has room.
#[test]
fn rest_goes_elsewhere() {
    let mut host = host();
    host.see("s-2", upstream("desk", 2, &[]));
    state(&mut host, "s-2", Some(0.5));
    host.see("s-3", upstream("desk", 3, &[]));
    let mut elsewhere = 0;
    for number in 0..40 {
        let (id, mut actions) = host.arrive(request(&format!("a{number}"), "check", None));
        while let Some((_, _, question)) = asked(&actions) {
            assert_eq!(question.max_wait_ms, 0, "others can take it now");
            actions = answer(&mut host, &actions, PermitAnswer::Busy { retry_ms: 60_000 });
        }
        elsewhere += usize::from(&*sent_to(&actions, id).id == "s-3");
        host.end(id, AttemptEnd::Served);
    }
    assert_eq!(elsewhere, 40);
}

/// Nobody else could take it and its turn comes too late: it is refused at once, with the time that was told.
#[test]
fn refused_with_true_time() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    let actions = answer(&mut host, &actions, PermitAnswer::Busy { retry_ms: 4_200 });
    let refused = refusal(&actions, id).expect("refused");
    assert_eq!((refused.cause, refused.retry_after_ms), (RefusalCause::RateLimited, Some(4_200)));
    let lack = actions.iter().find_map(|action| match action {
        Action::Refuse { context, .. } => context.shortage.map(|shortage| shortage.kind),
        _ => None,
    });
    assert_eq!(lack, Some(ShortageKind::Limit));
}

/// Two upstreams, both in need and both without a moment just now: the request stands in line for one of them.
#[test]
fn all_in_need() {
    let mut host = host();
    host.see("s-2", upstream("desk", 2, &[]));
    state(&mut host, "s-2", Some(0.5));
    let (id, actions) = host.arrive(request("a", "check", None));
    let actions = answer(&mut host, &actions, PermitAnswer::Busy { retry_ms: 900 });
    let actions = answer(&mut host, &actions, PermitAnswer::Busy { retry_ms: 300 });
    let (_, _, question) = asked(&actions).expect("a third question");
    assert!(question.max_wait_ms > 0, "{question:?}");
    let actions = answer(&mut host, &actions, PermitAnswer::Granted { delay_ms: 300 });
    assert_eq!(sent(&actions, id).len(), 1, "{actions:?}");
}

/// Beside the one in need there is another that was full just now: it may take the request in a moment.
#[test]
fn other_turned_away() {
    let mut host = host();
    host.see("s-2", upstream("desk", 2, &[]));
    let busy = PermitAnswer::Busy { retry_ms: 9_000 };
    let (id, mut actions) = host.arrive(request("a", "check", None));
    if asked(&actions).is_some() {
        actions = answer(&mut host, &actions, busy);
    }
    assert_eq!(&*sent_to(&actions, id).id, "s-2");
    let mut actions = host.end(id, AttemptEnd::Full);
    actions.extend(host.pass(40));
    if asked(&actions).is_some() {
        actions = answer(&mut host, &actions, busy);
    }
    assert_eq!((asked(&actions), refusal(&actions, id)), (None, None));
    let actions = host.pass(300);
    assert_eq!(&*sent_to(&actions, id).id, "s-2", "{actions:?}");
}

/// What was chosen before the need was known is not sent into it.
#[test]
fn named_meanwhile() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.see("s-1", upstream("desk", 1, &[]));
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(sent(&actions, id).len(), 1);
    state(&mut host, "s-1", Some(1.0));
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end(id, AttemptEnd::Withdrawn);
    assert!(asked(&actions).is_some(), "{actions:?}");
    assert!(!returned(&actions), "it had no moment");
}

#[test]
fn need_ends() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    answer(&mut host, &actions, NOW);
    host.end(id, AttemptEnd::Served);
    host.now = host.now + 100;
    state(&mut host, "s-1", None);
    let (id, actions) = host.arrive(request("b", "check", None));
    assert_eq!(sent(&actions, id).len(), 1, "{actions:?}");
}

/// A caller that leaves gives its moment back, also one that comes only then.
#[test]
fn left_meanwhile() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "check", None));
    host.tell(Event::CallerLeft { id });
    assert!(returned(&answer(&mut host, &actions, NOW)));
}

/// An engine's pacer is asked as well; where it has no moment, the one of the line goes back.
#[test]
fn engine_in_need() {
    let mut host = host();
    host.see("e-1", upstream("llm", 3, &["m1"]));
    state(&mut host, "e-1", Some(2.0));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    let actions = answer(&mut host, &actions, NOW);
    assert_eq!(&*sent_to(&actions, id).id, "e-1", "the support grants its prompt's moment");
}

/// What other hosts heard counts as if it had been heard here; rows of hosts of an earlier build say nothing.
#[test]
fn told_by_others() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.see("s-1", upstream("desk", 1, &[]));
    let row = |limit| LoadRow {
        upstream: "s-1".into(),
        running: 1,
        unread_tokens: 0,
        held_tokens: 0,
        good: 1,
        bad: 0,
        limit,
    };
    let tell = |host: &mut Host, limit| {
        let digest = Digest { loads: vec![row(limit)], demand: Vec::new() };
        host.tell(Event::PeerDigest { host: "h2".into(), digest })
    };
    tell(&mut host, Some(LimitRow { rate: Some(0.7), age_ms: 400 }));
    tell(&mut host, None);
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(asked(&actions).map(|(_, _, question)| question.rate), Some(0.7));
    host.tell(Event::CallerLeft { id });
    host.now = host.now + 500;
    tell(&mut host, Some(LimitRow { rate: None, age_ms: 100 }));
    let (id, actions) = host.arrive(request("b", "check", None));
    assert_eq!(sent(&actions, id).len(), 1);
}
