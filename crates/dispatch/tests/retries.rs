//! What may be sent again, how often, and what the caller is told.

mod support;

use rstest::rstest;
use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Event, RetryBudget, RetryBudgetOptions};
use vanetally_ports::{RefusalCause, RequestKind, Route};
use vanetally_types::{Tick, Verdict};

fn host(route: Route) -> Host {
    let mut host = Host::new(vec![route]);
    host.see("i-1", upstream("desk", 1, &[]));
    host.see("i-2", upstream("desk", 2, &[]));
    host
}

/// What may have run runs again only if it may be repeated.
#[rstest]
#[case(RequestKind::Idempotent, true)]
#[case(RequestKind::Once, false)]
#[case(RequestKind::Stream, false)]
fn broken(#[case] kind: RequestKind, #[case] is_repeated: bool) {
    let mut host = host(route("check", kind, "desk"));
    let (id, actions) = host.arrive(request("a", "check", None));
    let first = sent_to(&actions, id);
    let actions = host.end(id, AttemptEnd::Broken);
    if is_repeated {
        assert_ne!(sent_to(&actions, id), first, "not where it broke");
    } else {
        let refused = refusal(&actions, id).expect("a final answer at once");
        assert_eq!(refused.verdict, Verdict::MayHaveRun);
        assert_eq!(refused.retry_after_ms, None, "nothing is promised");
    }
}

/// What was turned away has not run: the promise holds for every kind.
#[rstest]
#[case(RequestKind::Idempotent)]
#[case(RequestKind::Once)]
fn turned_away(#[case] kind: RequestKind) {
    let mut host = host(route("check", kind, "desk"));
    let (id, actions) = host.arrive(request("a", "check", None));
    let first = sent_to(&actions, id);
    host.end(id, AttemptEnd::Full);
    assert_ne!(sent_to(&host.pass(100), id), first);
    for _ in 0..100 {
        let mut actions = host.end(id, AttemptEnd::Full);
        actions.extend(host.pass(100));
        if let Some(refused) = refusal(&actions, id) {
            assert_eq!(refused.verdict, Verdict::NotRun);
            assert!(refused.retry_after_ms.is_some());
            return;
        }
    }
    panic!("no final answer");
}

#[test]
fn upstreams_limited() {
    let mut host =
        host(Route { max_attempts: 1, ..route("check", RequestKind::Idempotent, "desk") });
    let (id, actions) = host.arrive(request("a", "check", None));
    let first = sent_to(&actions, id);
    let mut actions = host.end(id, AttemptEnd::Broken);
    actions.extend(host.pass(3_000));
    assert!(sent(&actions, id).iter().all(|attempt| attempt.upstream == first));
}

#[test]
fn unreachable_goes_on() {
    let mut host = host(Route { max_attempts: 1, ..route("check", RequestKind::Once, "desk") });
    let (id, actions) = host.arrive(request("a", "check", None));
    let first = sent_to(&actions, id);
    let actions = host.end(id, AttemptEnd::Unreachable);
    assert_ne!(sent_to(&actions, id), first, "nothing was sent: another one may take it");
}

/// Found on a played day: a refused connection was tried again in a loop.
#[test]
fn unreachable_backs_off() {
    let mut host = Host::new(vec![route("check", RequestKind::Once, "desk")]);
    host.see("i-1", upstream("desk", 1, &[]));
    let (id, _) = host.arrive(request("a", "check", None));
    let mut sendings = 1;
    for _ in 0..50 {
        let mut actions = host.end(id, AttemptEnd::Unreachable);
        actions.extend(host.pass(20));
        sendings += sent(&actions, id).len();
    }
    assert!(sendings <= 5, "{sendings} in a second");
}

#[test]
fn replaced_is_left() {
    let mut host = host(route("check", RequestKind::Idempotent, "desk"));
    let (id, actions) = host.arrive(request("a", "check", None));
    let first = sent_to(&actions, id);
    host.end(id, AttemptEnd::Replaced);
    host.pass(100);
    for number in 0..4 {
        let (id, actions) = host.arrive(request(&format!("b{number}"), "check", None));
        assert_ne!(sent_to(&actions, id), first);
    }
}

/// A deadline is passed on as what is left, and ends in a final answer.
#[test]
fn deadline_ends_it() {
    let mut host = host(Route { timeout_ms: 2_000, ..route("check", RequestKind::Once, "desk") });
    let (id, actions) = host.arrive(request("a", "check", None));
    assert_eq!(sent(&actions, id)[0].deadline_ms, 2_000, "the route's, which is the shorter");
    assert_eq!(refusal(&host.pass(1_990), id), None);
    let refused = refusal(&host.pass(400), id).expect("answered within half a second");
    assert_eq!((refused.cause, refused.verdict), (RefusalCause::TimedOut, Verdict::MayHaveRun));
}

#[test]
fn left_is_not_sent() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    let (id, _) = host.arrive(request("a", "check", None));
    host.tell(Event::CallerLeft { id });
    assert!(sent(&host.see("i-1", upstream("desk", 1, &[])), id).is_empty());
}

#[test]
fn load_is_given_back() {
    let mut host = Host::new(vec![route("check", RequestKind::Once, "desk")]);
    host.see("i-1", upstream("desk", 1, &[]));
    for number in 0..100 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "check", None));
        assert_eq!(sent(&actions, id)[0].own_load, 0);
        match number % 3 {
            0 => drop(host.tell(Event::CallerLeft { id })),
            1 => drop(host.end(id, AttemptEnd::Served)),
            _ => drop(host.end(id, AttemptEnd::Failed)),
        }
        host.pass(3_000);
    }
    assert_eq!(host.dispatch.counts().open, 0);
}

const BOUNDS: RetryBudgetOptions =
    RetryBudgetOptions { ratio: 0.2, window_ms: 10_000, slack: 50.0 };

/// All hosts together stay within the bound, whatever share of the requests each one gets.
#[rstest]
#[case(1)]
#[case(9)]
#[case(12)]
fn budget_shared(#[case] hosts: usize) {
    let mut spent = 0;
    for _ in 0..hosts {
        let mut budget = RetryBudget::new(BOUNDS);
        budget.set_hosts(hosts);
        spent += (0..1_000).filter(|_| budget.try_spend(Tick(5_000))).count();
    }
    assert!(spent as f64 <= BOUNDS.slack, "{spent}");
}

#[test]
fn budget_slides() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_hosts(10);
    let first = (0..100).filter(|_| budget.try_spend(Tick(0))).count();
    assert!(first > 0);
    assert!(!budget.try_spend(Tick(9_999)));
    assert!(budget.try_spend(Tick(10_001)));
}

#[test]
fn budget_grows() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_hosts(10);
    (0..100).for_each(|_| budget.record_request(Tick(0)));
    let spent = (0..1_000).filter(|_| budget.try_spend(Tick(1))).count();
    assert!((15..=25).contains(&spent), "{spent}");
}

/// Found on a played day: a request whose only upstream was full waited there until its caller left.
#[test]
fn exhausted_is_refused() {
    let mut host = host(Route { max_attempts: 1, ..route("check", RequestKind::Once, "desk") });
    let (id, actions) = host.arrive(request("a", "check", None));
    let first = sent_to(&actions, id);
    host.see(&first.id, upstream("desk", 9, &[]));
    let mut actions = host.end(id, AttemptEnd::Full);
    host.tell(Event::UpstreamGone { id: first });
    actions.extend(host.pass(400));
    let refused = refusal(&actions, id).expect("refused soon, to come back elsewhere");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert!(refused.retry_after_ms.is_some_and(|ms| ms <= 500));
}

/// A request that may go to one upstream only, which turned out to be another one or without the model,
/// waited 150 ms for nothing.
#[rstest]
#[case(AttemptEnd::Replaced)]
#[case(AttemptEnd::Absent)]
fn hopeless_is_refused_at_once(#[case] end: AttemptEnd) {
    let mut host = host(Route { max_attempts: 1, ..route("check", RequestKind::Once, "desk") });
    let (id, actions) = host.arrive(request("a", "check", None));
    sent_to(&actions, id);
    let refused = refusal(&host.end(id, end), id).expect("refused at once");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert!(refused.retry_after_ms.is_some_and(|ms| ms <= 100));
}
