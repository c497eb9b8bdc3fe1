//! Which upstream takes a request, and which never does.

mod support;

use rstest::rstest;
use support::{Host, options, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{
    Action, AttemptEnd, Digest, Dispatch, Event, LoadRow, Presence, RequestId,
};
use vanetally_ports::{ModelRef, RefusalCause, RequestKind, UpstreamState};
use vanetally_types::Verdict;

fn routes() -> Vec<vanetally_ports::Route> {
    vec![
        route("offer", RequestKind::Stream, "llm"),
        route("check", RequestKind::Idempotent, "desk"),
    ]
}

fn host() -> Host {
    let mut host = Host::new(routes());
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host.see("i-2", upstream("llm", 2, &["m1", "m2"]));
    host
}

#[test]
fn nothing_configured() {
    let mut dispatch = Dispatch::new(support::START, options());
    let head = request("a", "offer", None);
    let arrived = Event::Arrived { id: RequestId(0), request: head, content_hash: 0 };
    let refused = refusal(&dispatch.handle(support::START, arrived), RequestId(0)).unwrap();
    assert_eq!((refused.cause, refused.verdict), (RefusalCause::NotConfigured, Verdict::NotRun));
}

#[test]
fn no_route() {
    let mut host = host();
    let (id, actions) = host.arrive(request("a", "nowhere", None));
    assert_eq!(refusal(&actions, id).unwrap().cause, RefusalCause::NoRoute);
}

#[test]
fn only_where_it_is() {
    let mut host = host();
    for number in 0..3 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m2")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.tell(Event::FirstPiece { id });
    }
}

#[test]
fn load_is_spread() {
    let mut host = host();
    let mut counts = [0, 0];
    for number in 0..6 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        counts[usize::from(&*sent_to(&actions, id).id == "i-2")] += 1;
    }
    assert_eq!(counts, [3, 3]);
}

#[test]
fn load_of_others_counts() {
    let mut host = host();
    let row = LoadRow {
        upstream: "i-1".into(),
        running: 3,
        unread_tokens: 5_000,
        held_tokens: 500,
        good: 0,
        bad: 0,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new() };
    host.tell(Event::PeerDigest { host: "front-2".into(), digest });
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-2");
}

/// An upstream that leaves gets nothing from the moment that is known.
#[rstest]
#[case(|state| UpstreamState { draining: true, ..state })]
#[case(|state| UpstreamState { remaining_ms: Some(100), ..state })]
fn leaving_gets_nothing(#[case] change: fn(UpstreamState) -> UpstreamState) {
    let mut host = host();
    host.see("i-1", change(upstream("llm", 1, &["m1"])));
    for number in 0..3 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.tell(Event::FirstPiece { id });
    }
}

#[test]
fn gone_gets_nothing() {
    let mut host = host();
    host.tell(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("a", "offer", Some("m2")));
    assert!(sent(&actions, id).is_empty());
    assert!(actions.iter().any(|action| matches!(action, Action::RequestModel { .. })));
}

/// What the holder of orders tells counts before the announcement catches up.
#[test]
fn told_presence_counts() {
    let mut host = host();
    let subject = ModelRef { model: "m2".into(), adapter: None };
    let told = |runner: &str, presence| Event::PresenceReported {
        runner: runner.into(),
        subject: subject.clone(),
        presence,
    };
    host.tell(told("i-2", Presence::Absent));
    let (id, actions) = host.arrive(request("a", "offer", Some("m2")));
    assert!(sent(&actions, id).is_empty());
    let actions = host.tell(told("i-1", Presence::Present));
    assert_eq!(&*sent_to(&actions, id).id, "i-1");
}

#[test]
fn missing_is_wanted_again() {
    let mut host = host();
    let (_, first) = host.arrive(request("a", "offer", Some("m3")));
    let wants = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::RequestModel { .. })).count()
    };
    assert_eq!(wants(&first), 1);
    let later = wants(&host.pass(1_000));
    assert!((2..=5).contains(&later), "{later} times in a second");
}

/// A new replica does not get all that waits at once.
#[test]
fn no_herd() {
    let mut host = Host::new(routes());
    host.tell(Event::HostCount(8));
    let waiting: Vec<RequestId> = (0..20)
        .map(|number| {
            let mut head = request(&format!("a{number}"), "offer", Some("m1"));
            head.prompt_tokens = 1_500;
            host.arrive(head).0
        })
        .collect();
    let actions = host.see("i-1", upstream("llm", 1, &["m1"]));
    let sendings: usize = waiting.iter().map(|id| sent(&actions, *id).len()).sum();
    assert!((1..=2).contains(&sendings), "{sendings}");
}

/// Requests that can still be in time go before those that can't, then by rank.
#[test]
fn waiting_in_order() {
    let mut urgent = route("urgent", RequestKind::Stream, "llm");
    urgent.priority = 0;
    let mut routes = routes();
    routes.push(urgent);
    let mut host = Host::new(routes);
    let big = |id: &str, route: &str| {
        let mut head = request(id, route, Some("m1"));
        head.prompt_tokens = 4_000;
        head
    };
    let (late, _) = host.arrive(big("late", "urgent"));
    host.pass(1_500);
    let (plain, _) = host.arrive(big("plain", "offer"));
    let (first, _) = host.arrive(big("first", "urgent"));
    let actions = host.see("i-1", upstream("llm", 1, &["m1"]));
    assert_eq!(sent(&actions, first).len(), 1);
    assert!(sent(&actions, plain).is_empty() && sent(&actions, late).is_empty());
}

/// One that fails is left alone, unless it is the last.
#[test]
fn failing_is_ejected() {
    let mut host = host();
    for number in 0..6 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        let end = match &*sent_to(&actions, id).id {
            "i-1" => AttemptEnd::Broken,
            _ => AttemptEnd::Served,
        };
        host.end(id, end);
    }
    for number in 0..4 {
        let (id, actions) = host.arrive(request(&format!("b{number}"), "offer", Some("m1")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.tell(Event::FirstPiece { id });
    }
    host.tell(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("c", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-1", "never the last");
}

/// Found on a played day: weights that go stay in the announcement until their last run has ended, and
/// requests went there again after four seconds, to be turned away.
#[test]
fn going_stays_left() {
    let mut host = host();
    let subject = ModelRef { model: "m1".into(), adapter: None };
    let told = |presence| Event::PresenceReported {
        runner: "i-1".into(),
        subject: subject.clone(),
        presence,
    };
    host.tell(told(Presence::Absent));
    for number in 0..10 {
        host.pass(1_000);
        host.see("i-1", upstream("llm", 1, &["m1"]));
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.end(id, AttemptEnd::Served);
    }
    host.see("i-1", upstream("llm", 1, &[]));
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host.tell(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-1", "brought anew");
}

fn adapter_request(id: &str) -> vanetally_ports::CallerRequest {
    let subject = ModelRef { model: "m1".into(), adapter: Some("a1".into()) };
    vanetally_ports::CallerRequest { model: Some(subject), ..request(id, "offer", None) }
}

/// An adapter that is held where there is no room is asked for once more; a model's replicas follow its
/// demand.
#[rstest]
#[case(adapter_request("a"), true)]
#[case(request("a", "offer", Some("m1")), false)]
fn crowded_adapter_wanted(
    #[case] request: vanetally_ports::CallerRequest,
    #[case] is_wanted: bool,
) {
    let mut host = host();
    let mut state = upstream("llm", 1, &["m1"]);
    state.models[0].adapters.push("a1".into());
    host.see("i-1", state);
    host.tell(Event::UpstreamGone { id: "i-2".into() });
    let row = LoadRow {
        upstream: "i-1".into(),
        running: 4,
        unread_tokens: 0,
        held_tokens: 500,
        good: 0,
        bad: 0,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new() };
    host.tell(Event::PeerDigest { host: "front-2".into(), digest });
    let (_, actions) = host.arrive(request);
    let wants = |action: &Action| matches!(action, Action::RequestModel { is_saturated: true, .. });
    assert_eq!(actions.iter().any(wants), is_wanted, "{actions:?}");
}

/// Found on a played day: 22 runners crashed and came back at their addresses as others; for as long as the
/// old announcements lasted, 296 requests went to them and were turned away.
#[rstest]
#[case::after_a_failure(true)]
#[case::without_one(false)]
fn successor_takes_over(#[case] has_failed: bool) {
    let mut host = Host::new(routes());
    host.see("i-1", upstream("llm", 1, &["m1"]));
    if has_failed {
        let (id, _) = host.arrive(request("a", "offer", Some("m1")));
        host.end(id, AttemptEnd::Broken);
        host.pass(2_000);
    }
    host.see("i-9", upstream("llm", 1, &[]));
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(sent(&actions, id).is_empty(), has_failed);
    // It was no successor, but the late announcement of one that went before.
    host.tell(Event::UpstreamGone { id: "i-9".into() });
    let (id, actions) = host.arrive(request("c", "offer", Some("m1")));
    assert_eq!(sent(&actions, id).len(), 1);
}

/// The last places of an engine are for those that can still be in time.
#[rstest]
#[case::in_time(500, 1)]
#[case::late(1_200, 0)]
fn late_ones_leave_room(#[case] waited_ms: u64, #[case] sendings: usize) {
    let mut host = Host::new(routes());
    host.see("i-1", upstream("llm", 1, &["m1"]));
    let busy = |running: u32| {
        let row = LoadRow {
            upstream: "i-1".into(),
            running,
            unread_tokens: 0,
            held_tokens: 500,
            good: 0,
            bad: 0,
            limit: None,
        };
        let digest = Digest { loads: vec![row], demand: Vec::new() };
        Event::PeerDigest { host: "front-2".into(), digest }
    };
    host.tell(busy(4));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert!(sent(&actions, id).is_empty());
    host.pass(waited_ms);
    // One of four places is free: a quarter.
    let actions = host.tell(busy(3));
    assert_eq!(sent(&actions, id).len(), sendings, "{actions:?}");
    let actions = host.tell(busy(2));
    assert_eq!(sent(&actions, id).len(), 1 - sendings, "{actions:?}");
}
