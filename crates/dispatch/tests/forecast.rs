//! Requests that are held back or refused because of what waits at other hosts.

mod support;

use support::{Host, START, options, refusal, request, route, sent, upstream};
use vanetally_dispatch::{
    Action, Digest, Dispatch, Event, Options, RequestId, WaitCounts, WaitRow,
};
use vanetally_ports::{RequestKind, Route, UpstreamState};
use vanetally_types::{Rank, Verdict};

const SLOTS: u32 = 4;

/// A host with two routes of ranks 1 and 2 to a plain service with one upstream.
fn host(options: Options) -> Host {
    let urgent = Route { target_ms: 600, ..route("urgent", RequestKind::Once, "desk") };
    let routine = Route { priority: 2, ..route("routine", RequestKind::Once, "desk") };
    let mut host = Host::new(Vec::new());
    host.dispatch = Dispatch::new(START, options);
    let configuration = support::configuration(1, vec![urgent, routine]);
    host.handle(Event::Configured(configuration));
    host.announce("i-1", UpstreamState { slots: SLOTS, ..upstream("desk", 1, &[]) });
    host
}

fn shared() -> Host {
    host(Options { shared_queue: true, ..options() })
}

/// Reports waiting and sent requests of the other hosts with rank 1.
fn report(host: &mut Host, counts: WaitCounts) -> Vec<Action> {
    let row = WaitRow { service: "desk".into(), model: None, rank: Rank(1, 1), counts };
    let waiting = if counts.is_empty() { Vec::new() } else { vec![row] };
    let digest = Digest { loads: Vec::new(), demand: Vec::new(), waiting };
    host.handle(Event::PeerDigest { host: "aggregator".into(), digest })
}

fn on_time(on_time: u32, sent: u32) -> WaitCounts {
    WaitCounts { on_time, due_soon: on_time, sent, ..Default::default() }
}

fn arrive(host: &mut Host, route: &str) -> (RequestId, Vec<Action>) {
    let id = format!("{route}-{}", host.now.0);
    host.arrive(request(&id, route, None))
}

/// Fills the upstream with twice its slots, the most that is sent to it.
fn fill(host: &mut Host) {
    for _ in 0..2 * SLOTS {
        let (id, actions) = arrive(host, "urgent");
        assert_eq!(sent(&actions, id).len(), 1);
    }
}

/// Lets time pass while the same report arrives every 100 ms; returns the actions.
fn advance(host: &mut Host, millis: u64, counts: WaitCounts) -> Vec<Action> {
    let mut actions = Vec::new();
    for _ in 0..millis / 100 {
        actions.extend(host.advance(100));
        actions.extend(report(host, counts));
    }
    actions
}

/// A routine request yields to urgent ones elsewhere, for at most half of its waiting time of 2 s.
#[test]
fn held_back_for_bounded_time() {
    let mut host = shared();
    report(&mut host, on_time(50, 10));
    let (id, actions) = arrive(&mut host, "routine");
    assert_eq!(sent(&actions, id).len(), 0);
    let actions = advance(&mut host, 1_100, on_time(50, 100));
    let held_ms = sent(&actions, id).first().map(|attempt| attempt.held_ms);
    assert!(held_ms.is_some_and(|held| (1_000..=1_020).contains(&held)), "{held_ms:?}");
}

/// A request is held back only if those that come first need all of the free capacity. Guards
/// against slots that stay empty while few urgent requests wait.
#[test]
fn not_held_back_with_capacity_left() {
    for (waiting, sends) in [(SLOTS - 1, 1), (SLOTS, 0)] {
        let mut host = shared();
        report(&mut host, on_time(waiting, 10));
        let (id, actions) = arrive(&mut host, "routine");
        assert_eq!(sent(&actions, id).len(), sends, "{waiting} wait elsewhere");
    }
}

/// An urgent request does not yield to requests at its own place; a late one yields to those of its
/// rank that can be on time.
#[test]
fn late_yields_to_on_time() {
    let mut host = shared();
    fill(&mut host);
    let (late, _) = arrive(&mut host, "urgent");
    advance(&mut host, 700, on_time(20, 400));
    for number in 0..2 * u64::from(SLOTS) {
        let id = RequestId(number);
        let actions = host.end_attempt(id, vanetally_dispatch::AttemptEnd::Served);
        assert_eq!(sent(&actions, late).len(), 0, "late, and others can be on time");
    }
    let (id, actions) = arrive(&mut host, "urgent");
    assert_eq!(sent(&actions, id).len(), 1, "on time, so at the same place as the others");
    let actions = report(&mut host, WaitCounts::default());
    assert_eq!(sent(&actions, late).len(), 1, "nothing waits elsewhere");
}

/// A request whose forecast exceeds its waiting time is refused, once the rate is known: not on the
/// first report, which lacks what hosts send that have not heard yet that requests wait.
#[test]
fn refused_by_forecast() {
    let mut host = shared();
    fill(&mut host);
    let (first, actions) = arrive(&mut host, "urgent");
    assert_eq!(refusal(&actions, first), None);
    let actions = report(&mut host, on_time(400, 100));
    assert_eq!(refusal(&actions, first), None, "the first report");
    let actions = advance(&mut host, 400, on_time(400, 100));
    let refused = refusal(&actions, first).expect("a refusal");
    assert_eq!(refused.verdict, Verdict::NotRun);
    let retry_ms = refused.retry_after_ms.expect("a time");
    assert!((3_000..10_000).contains(&retry_ms), "{retry_ms}");
    let (second, actions) = arrive(&mut host, "urgent");
    assert!(refusal(&actions, second).is_some(), "refused on arrival");
}

/// A report without the rows of hosts that send most of the requests must not cause refusals.
#[test]
fn one_quiet_report() {
    let mut host = shared();
    fill(&mut host);
    let (id, _) = arrive(&mut host, "urgent");
    let mut actions = advance(&mut host, 400, on_time(50, 200));
    actions.extend(report(&mut host, on_time(50, 5)));
    actions.extend(host.advance(100));
    assert_eq!(refusal(&actions, id), None);
    // The rate has really fallen.
    let (id, _) = arrive(&mut host, "urgent");
    let actions = advance(&mut host, 1_000, on_time(200, 5));
    assert!(refusal(&actions, id).is_some());
}

/// When the load ends, requests are admitted with the next report.
#[test]
fn recovers_at_once() {
    let mut host = shared();
    fill(&mut host);
    let (id, _) = arrive(&mut host, "urgent");
    let actions = advance(&mut host, 600, on_time(800, 100));
    assert!(refusal(&actions, id).is_some());
    report(&mut host, on_time(10, 100));
    let (id, actions) = arrive(&mut host, "urgent");
    assert_eq!(refusal(&actions, id), None);
}

/// No request is refused while an upstream has room for it and nothing more urgent waits.
#[test]
fn not_refused_with_free_capacity() {
    let mut host = shared();
    let (_, _) = arrive(&mut host, "urgent");
    advance(&mut host, 500, on_time(900, 10));
    for _ in 1..2 * SLOTS {
        let (id, actions) = arrive(&mut host, "urgent");
        assert_eq!((sent(&actions, id).len(), refusal(&actions, id)), (1, None));
    }
    let (first, _) = arrive(&mut host, "urgent");
    let actions = advance(&mut host, 400, on_time(900, 10));
    assert!(refusal(&actions, first).is_some(), "no capacity is free");
}

/// Reports older than 300 ms are not used: a partitioned host serves its own queue.
#[test]
fn old_reports() {
    let mut host = shared();
    report(&mut host, on_time(50, 100));
    let (held, actions) = arrive(&mut host, "routine");
    assert_eq!(sent(&actions, held).len(), 0);
    let actions = host.advance(320);
    assert_eq!(sent(&actions, held).len(), 1);
}

/// Rows are sent only for models for which requests wait here or elsewhere.
#[test]
fn rows_only_while_requests_wait() {
    let mut host = shared();
    fill(&mut host);
    let now = host.now;
    assert_eq!(host.dispatch.digest(now).waiting, [], "sent requests, but none waits");
    report(&mut host, on_time(1, 1));
    let rows = host.dispatch.digest(now).waiting;
    assert_eq!(rows[0].counts, WaitCounts { sent: 2 * SLOTS, ..Default::default() });
    arrive(&mut host, "urgent");
    let counts = host.dispatch.digest(now).waiting[0].counts;
    assert_eq!((counts.on_time, counts.due_soon, counts.late), (1, 1, 0));
}

/// An owner orders the requests of a plain service with fewer slots than there are hosts.
#[test]
fn granted_slots_left_alone() {
    for (slot_grants, acquires) in [(false, 0), (true, 1)] {
        let mut host = host(Options { shared_queue: true, slot_grants, ..options() });
        host.handle(Event::HostCount(70));
        report(&mut host, on_time(50, 10));
        let (id, actions) = arrive(&mut host, "routine");
        let acquired =
            |action: &&Action| matches!(action, Action::AcquireSlot { id: of, .. } if *of == id);
        assert_eq!(sent(&actions, id).len(), 0, "slot grants {slot_grants}");
        assert_eq!(actions.iter().filter(acquired).count(), acquires, "slot grants {slot_grants}");
    }
}

/// With the setting off, reports of other hosts change nothing.
#[test]
fn setting_off() {
    let mut host = host(options());
    report(&mut host, on_time(900, 10));
    let (id, actions) = arrive(&mut host, "routine");
    assert_eq!(sent(&actions, id).len(), 1);
    let now = host.now;
    assert_eq!(host.dispatch.digest(now).waiting, []);
}
