//! Choice of an upstream for a request.

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
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    host.announce("i-2", upstream("llm", 2, &["m1", "m2"]));
    host
}

#[test]
fn nothing_configured() {
    let mut dispatch = Dispatch::new(support::START, options());
    let head = request("a", "offer", None);
    let arrived = Event::Arrived { id: RequestId(0), request: head, contents: [0].into() };
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
fn only_holders_get_requests() {
    let mut host = host();
    for number in 0..3 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m2")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.handle(Event::FirstPiece { id });
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
    let digest = Digest { loads: vec![row], demand: Vec::new(), waiting: Vec::new() };
    host.handle(Event::PeerDigest { host: "front-2".into(), digest });
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-2");
}

/// A leaving upstream gets no requests as soon as its state is known.
#[rstest]
#[case(|state| UpstreamState { draining: true, ..state })]
#[case(|state| UpstreamState { remaining_ms: Some(100), ..state })]
fn leaving_upstream_gets_nothing(#[case] change: fn(UpstreamState) -> UpstreamState) {
    let mut host = host();
    host.announce("i-1", change(upstream("llm", 1, &["m1"])));
    for number in 0..3 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.handle(Event::FirstPiece { id });
    }
}

#[test]
fn gone_upstream_gets_nothing() {
    let mut host = host();
    host.handle(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("a", "offer", Some("m2")));
    assert!(sent(&actions, id).is_empty());
    assert!(actions.iter().any(|action| matches!(action, Action::RequestModel { .. })));
}

/// A report of the order holder counts before the announcement is updated.
#[test]
fn reported_presence_overrides_announcement() {
    let mut host = host();
    let subject = ModelRef { model: "m2".into(), adapter: None };
    let reported = |runner: &str, presence| Event::PresenceReported {
        runner: runner.into(),
        subject: subject.clone(),
        presence,
    };
    host.handle(reported("i-2", Presence::Absent));
    let (id, actions) = host.arrive(request("a", "offer", Some("m2")));
    assert!(sent(&actions, id).is_empty());
    let actions = host.handle(reported("i-1", Presence::Present));
    assert_eq!(&*sent_to(&actions, id).id, "i-1");
}

#[test]
fn missing_model_is_requested_again() {
    let mut host = host();
    let (_, first) = host.arrive(request("a", "offer", Some("m3")));
    let requests_model = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::RequestModel { .. })).count()
    };
    assert_eq!(requests_model(&first), 1);
    let later = requests_model(&host.advance(1_000));
    assert!((2..=5).contains(&later), "{later} times in a second");
}

/// A new replica does not get all waiting requests at once.
#[test]
fn new_replica_gets_few_requests() {
    let mut host = Host::new(routes());
    host.handle(Event::HostCount(8));
    let waiting: Vec<RequestId> = (0..20)
        .map(|number| {
            let mut head = request(&format!("a{number}"), "offer", Some("m1"));
            head.prompt_tokens = 1_500;
            host.arrive(head).0
        })
        .collect();
    let actions = host.announce("i-1", upstream("llm", 1, &["m1"]));
    let attempts: usize = waiting.iter().map(|id| sent(&actions, *id).len()).sum();
    assert!((1..=2).contains(&attempts), "{attempts}");
}

/// Requests that can still be in time come before late ones, then by priority.
#[test]
fn waiting_requests_are_ordered() {
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
    host.advance(1_500);
    let (plain, _) = host.arrive(big("plain", "offer"));
    let (first, _) = host.arrive(big("first", "urgent"));
    let actions = host.announce("i-1", upstream("llm", 1, &["m1"]));
    assert_eq!(sent(&actions, first).len(), 1);
    assert!(sent(&actions, plain).is_empty() && sent(&actions, late).is_empty());
}

/// A failing upstream gets no requests unless it is the last one.
#[test]
fn failing_upstream_is_ejected() {
    let mut host = host();
    for number in 0..6 {
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        let end = match &*sent_to(&actions, id).id {
            "i-1" => AttemptEnd::Broken,
            _ => AttemptEnd::Served,
        };
        host.end_attempt(id, end);
    }
    for number in 0..4 {
        let (id, actions) = host.arrive(request(&format!("b{number}"), "offer", Some("m1")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.handle(Event::FirstPiece { id });
    }
    host.handle(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("c", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-1", "the last one is still used");
}

/// Weights that are being unloaded stay in the announcement until their last request has ended.
/// Guards against using the announcement again too early, after which requests were sent there and
/// rejected.
#[test]
fn unloading_model_gets_nothing() {
    let mut host = host();
    let subject = ModelRef { model: "m1".into(), adapter: None };
    let reported = |presence| Event::PresenceReported {
        runner: "i-1".into(),
        subject: subject.clone(),
        presence,
    };
    host.handle(reported(Presence::Absent));
    for number in 0..10 {
        host.advance(1_000);
        host.announce("i-1", upstream("llm", 1, &["m1"]));
        let (id, actions) = host.arrive(request(&format!("a{number}"), "offer", Some("m1")));
        assert_eq!(&*sent_to(&actions, id).id, "i-2");
        host.end_attempt(id, AttemptEnd::Served);
    }
    host.announce("i-1", upstream("llm", 1, &[]));
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    host.handle(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-1", "loaded again");
}

/// Time in which an upstream that answered that it does not hold a model gets no request for it.
const ABSENT_MS: u64 = 4_000;

/// An upstream that answered once that it does not hold a model, and goes on announcing it, gets requests again.
/// Guards against a host that finds no holder for half a minute after runners have come back.
#[test]
fn absent_model_returns() {
    let mut host = host();
    host.handle(Event::UpstreamGone { id: "i-2".into() });
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-1");
    host.end_attempt(id, AttemptEnd::Absent);
    host.advance(ABSENT_MS - 1);
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert!(sent(&actions, id).is_empty(), "not yet");
    host.handle(Event::CallerLeft { id });
    host.advance(2);
    let (id, actions) = host.arrive(request("c", "offer", Some("m1")));
    assert_eq!(&*sent_to(&actions, id).id, "i-1");
}

fn adapter_request(id: &str) -> vanetally_ports::CallerRequest {
    let subject = ModelRef { model: "m1".into(), adapter: Some("a1".into()) };
    vanetally_ports::CallerRequest { model: Some(subject), ..request(id, "offer", None) }
}

/// Another copy of an adapter is requested if its holders have no capacity; the replicas of a model
/// follow its demand.
#[rstest]
#[case(adapter_request("a"), true)]
#[case(request("a", "offer", Some("m1")), false)]
fn saturated_adapter_is_requested(
    #[case] request: vanetally_ports::CallerRequest,
    #[case] is_requested: bool,
) {
    let mut host = host();
    let mut state = upstream("llm", 1, &["m1"]);
    state.models[0].adapters.push("a1".into());
    host.announce("i-1", state);
    host.handle(Event::UpstreamGone { id: "i-2".into() });
    let row = LoadRow {
        upstream: "i-1".into(),
        running: 4,
        unread_tokens: 0,
        held_tokens: 500,
        good: 0,
        bad: 0,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new(), waiting: Vec::new() };
    host.handle(Event::PeerDigest { host: "front-2".into(), digest });
    let (_, actions) = host.arrive(request);
    let requests_model =
        |action: &Action| matches!(action, Action::RequestModel { is_saturated: true, .. });
    assert_eq!(actions.iter().any(requests_model), is_requested, "{actions:?}");
}

/// A crashed runner restarts at the same address as another incarnation. Guards against sending to
/// the old incarnation until its announcement expires.
#[rstest]
#[case::after_a_failure(true)]
#[case::without_one(false)]
fn successor_ends_predecessor(#[case] has_failed: bool) {
    let mut host = Host::new(routes());
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    if has_failed {
        let (id, _) = host.arrive(request("a", "offer", Some("m1")));
        host.end_attempt(id, AttemptEnd::Broken);
        host.advance(2_000);
    }
    host.announce("i-9", upstream("llm", 1, &[]));
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(sent(&actions, id).is_empty(), has_failed);
    // It was not a successor but a delayed announcement of a previous incarnation.
    host.handle(Event::UpstreamGone { id: "i-9".into() });
    let (id, actions) = host.arrive(request("c", "offer", Some("m1")));
    assert_eq!(sent(&actions, id).len(), 1);
}

/// The last slots of an engine are kept for requests that can still be in time.
#[rstest]
#[case::in_time(500, 1)]
#[case::late(1_200, 0)]
fn late_requests_leave_slots_free(#[case] waited_ms: u64, #[case] attempts: usize) {
    let mut host = Host::new(routes());
    host.announce("i-1", upstream("llm", 1, &["m1"]));
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
        let digest = Digest { loads: vec![row], demand: Vec::new(), waiting: Vec::new() };
        Event::PeerDigest { host: "front-2".into(), digest }
    };
    host.handle(busy(4));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert!(sent(&actions, id).is_empty());
    host.advance(waited_ms);
    // One of four slots is free.
    let actions = host.handle(busy(3));
    assert_eq!(sent(&actions, id).len(), attempts, "{actions:?}");
    let actions = host.handle(busy(2));
    assert_eq!(sent(&actions, id).len(), 1 - attempts, "{actions:?}");
}
