//! Rests that upstreams ask a host for.

mod support;

use support::{Host, refusal, request, route, sent, upstream};
use vanetally_dispatch::{AttemptEnd, Event, RequestId};
use vanetally_ports::{RefusalCause, RequestKind};
use vanetally_types::Verdict;

/// A host with `count` upstreams of a plain service.
fn host(count: u16) -> Host {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    for port in 1..=count {
        host.see(&format!("i-{port}"), upstream("desk", port, &[]));
    }
    host
}

fn ask_rest(host: &mut Host, id: &str, for_ms: u64) {
    host.tell(Event::CooldownRequested { upstream: id.into(), for_ms });
}

/// The upstream that a request goes to, if it goes anywhere.
fn goes_to(host: &mut Host, name: &str) -> (RequestId, Option<String>) {
    let (id, actions) = host.arrive(request(name, "check", None));
    let upstream = sent(&actions, id).pop().map(|attempt| attempt.upstream.id.to_string());
    (id, upstream)
}

/// Another one takes what it would have got.
#[test]
fn others_go_on() {
    let mut host = host(2);
    ask_rest(&mut host, "i-1", 3_000);
    for number in 0..5 {
        let (id, upstream) = goes_to(&mut host, &format!("a{number}"));
        assert_eq!(upstream.as_deref(), Some("i-2"));
        host.end(id, AttemptEnd::Served);
    }
}

/// The only one rests: refused at once, with the time that is left.
#[test]
fn refused_at_once() {
    let mut host = host(1);
    ask_rest(&mut host, "i-1", 3_000);
    host.now = host.now + 1_000;
    let (id, actions) = host.arrive(request("a", "check", None));
    let refusal = refusal(&actions, id).expect("an answer at once");
    assert_eq!((refusal.cause, refusal.verdict), (RefusalCause::Cooldown, Verdict::NotRun));
    let retry_ms = refusal.retry_after_ms.expect("a time to come back");
    assert!((2_000..=2_375).contains(&retry_ms), "{retry_ms}");
}

/// After the rest one goes first; the others follow its answer.
#[test]
fn one_first() {
    let mut host = host(1);
    ask_rest(&mut host, "i-1", 3_000);
    host.now = host.now + 3_400;
    let (first, upstream) = goes_to(&mut host, "a");
    assert_eq!(upstream.as_deref(), Some("i-1"));
    let (second, upstream) = goes_to(&mut host, "b");
    assert_eq!(upstream, None, "it waits");
    let actions = host.end(first, AttemptEnd::Served);
    assert_eq!(sent(&actions, second).len(), 1);
    assert!(goes_to(&mut host, "c").1.is_some());
}

/// One that is turned away again tells how much longer.
#[test]
fn rest_again() {
    let mut host = host(1);
    ask_rest(&mut host, "i-1", 3_000);
    host.now = host.now + 3_400;
    let (first, _) = goes_to(&mut host, "a");
    ask_rest(&mut host, "i-1", 3_000);
    host.end(first, AttemptEnd::Full);
    let actions = host.pass(40);
    assert_eq!(refusal(&actions, first).map(|r| r.cause), Some(RefusalCause::Cooldown));
    let (id, actions) = host.arrive(request("b", "check", None));
    assert!(refusal(&actions, id).is_some() && sent(&actions, id).is_empty());
}

/// A first request that is never answered keeps the others back for a second at most.
#[test]
fn silent_first() {
    let mut host = host(1);
    ask_rest(&mut host, "i-1", 1_000);
    host.now = host.now + 1_200;
    assert!(goes_to(&mut host, "a").1.is_some());
    host.pass(1_001);
    assert!(goes_to(&mut host, "b").1.is_some());
}

/// A shorter rest does not end a longer one, and no answer does.
#[test]
fn longest_holds() {
    let mut host = host(2);
    let (id, upstream) = goes_to(&mut host, "a");
    let upstream = upstream.expect("it goes");
    ask_rest(&mut host, &upstream, 3_000);
    ask_rest(&mut host, &upstream, 100);
    host.end(id, AttemptEnd::Served);
    host.now = host.now + 2_900;
    for number in 0..4 {
        let (_, other) = goes_to(&mut host, &format!("b{number}"));
        assert!(other.is_some_and(|other| other != upstream));
    }
}

/// What asks for years is asked again after minutes.
#[test]
fn absurd_rest() {
    let mut host = host(1);
    ask_rest(&mut host, "i-1", u64::MAX);
    host.now = host.now + 299_000;
    assert_eq!(goes_to(&mut host, "a").1, None);
    host.now = host.now + 1_001;
    assert!(goes_to(&mut host, "b").1.is_some());
}

/// A request that was chosen for it before stays away as well.
#[test]
fn chosen_before() {
    let mut host = host(1);
    let (id, _) = goes_to(&mut host, "a");
    assert!(host.dispatch.may_send(host.now, id));
    ask_rest(&mut host, "i-1", 3_000);
    assert!(!host.dispatch.may_send(host.now, id));
}

/// Its announcement lapses and comes back: the same life rests on.
#[test]
fn announced_again() {
    let mut host = host(1);
    ask_rest(&mut host, "i-1", 3_000);
    host.tell(Event::UpstreamGone { id: "i-1".into() });
    host.now = host.now + 1_000;
    host.see("i-1", upstream("desk", 1, &[]));
    assert_eq!(goes_to(&mut host, "a").1, None);
    host.now = host.now + 2_400;
    assert!(goes_to(&mut host, "b").1.is_some());
}
