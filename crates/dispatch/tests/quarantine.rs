//! Requests under which upstreams crash are not sent again.

mod support;

use support::{Host, START, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Event, RequestId, SuspectedContent};
use vanetally_ports::{RefusalCause, RequestKind};
use vanetally_quarantine::{CrashEvidence, CrashReport, CrashSign, Finding, Quarantine, Suspicion};
use vanetally_streams::Versions;
use vanetally_types::{Tick, Verdict};

const CONTENT: u64 = 7;
const QUARANTINE: Quarantine = Quarantine::new(CONTENT, 60_000, 2);
const WEAK: Suspicion = Suspicion { content: CONTENT, age_ms: 0, is_strong: false, id: 1 };

fn host() -> Host {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    for port in 1..=8 {
        host.announce(&format!("i-{port}"), upstream("llm", port, &["m1"]));
    }
    host
}

fn arrive(host: &mut Host, number: u64, content: u64) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000 + number);
    let request = request(&format!("r{number}"), "offer", Some("m1"));
    (id, host.handle(Event::Arrived { id, request, contents: [content].into() }))
}

/// Tells all hosts what was found.
fn tell(hosts: &mut [Host], finding: &Finding) {
    let event = match finding {
        Finding::Suspected(suspicion) => Event::Suspected(*suspicion),
        Finding::Quarantined(quarantine, _) => Event::Quarantined(*quarantine),
        Finding::Released(content) => Event::Quarantined(Quarantine::release(*content)),
    };
    hosts.iter_mut().for_each(|host| drop(host.handle(event.clone())));
}

/// Returns the contents of which a request asks for tries.
fn asked(actions: &[Action], id: RequestId) -> Option<Vec<u64>> {
    actions.iter().find_map(|action| match action {
        Action::AskTries { id: other, contents } if *other == id => Some(contents.clone()),
        _ => None,
    })
}

/// The same content returns about once a second, with a new id and at another host each time, and
/// crashes each runner that begins it. Only this content is common to the crashes, among all
/// requests that were open at these runners. With two hosts and one that keeps the evidence, it
/// must not crash more than two upstreams.
#[test]
fn repeated_content_is_quarantined() {
    let mut hosts = [host(), host()];
    let mut evidence = CrashEvidence::default();
    let mut crashes = 0;
    for round in 0..25 {
        let now = START + round * 800;
        hosts.iter_mut().for_each(|host| host.now = now);
        evidence.tick(now).iter().for_each(|finding| tell(&mut hosts, finding));
        let host = &mut hosts[round as usize % 2];
        let (id, actions) = arrive(host, round, CONTENT);
        let actions = match asked(&actions, id) {
            Some(contents) => {
                let host_name = host.dispatch.name().clone();
                let is_granted = evidence.grant_try(now, CONTENT, &host_name, true);
                host.handle(Event::TriesAnswered { id, contents, is_granted })
            }
            None => actions,
        };
        let Some(attempt) = sent(&actions, id).pop() else {
            let refusal = refusal(&actions, id).expect("refused at once");
            assert_eq!(refusal.cause, RefusalCause::Quarantined);
            assert_eq!(refusal.verdict, Verdict::NotRun, "this request has not run");
            continue;
        };
        crashes += 1;
        let actions =
            host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: true });
        let probe = actions.iter().find_map(|action| match action {
            Action::Probe { upstream, suspects } => Some((suspects[0].content, upstream.clone())),
            _ => None,
        });
        let (content, upstream) = probe.expect("its upstream is probed");
        assert_eq!((content, &upstream), (CONTENT, &attempt.upstream));
        // The upstream restarts as another incarnation.
        for host in &mut hosts {
            host.handle(Event::UpstreamGone { id: upstream.clone() });
        }
        let sign = CrashSign::Ended;
        let crash_report = CrashReport { content, upstream, sign, is_common: false, sent_ms: 0 };
        evidence.add(now, crash_report).iter().for_each(|finding| tell(&mut hosts, finding));
    }
    assert_eq!(crashes, 2, "of 25 requests");
}

#[test]
fn other_contents_continue() {
    let mut host = host();
    host.handle(Event::Quarantined(QUARANTINE));
    let (id, actions) = arrive(&mut host, 1, CONTENT + 1);
    assert_eq!(sent(&actions, id).len(), 1);
}

#[test]
fn waiting_request_is_refused() {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    let (id, _) = arrive(&mut host, 1, CONTENT);
    let actions = host.handle(Event::Quarantined(QUARANTINE));
    assert_eq!(refusal(&actions, id).map(|r| r.cause), Some(RefusalCause::Quarantined));
}

#[test]
fn chosen_but_not_sent() {
    let mut host = host();
    let (id, _) = arrive(&mut host, 1, CONTENT);
    assert!(host.dispatch.may_send(host.now, id));
    host.handle(Event::Quarantined(QUARANTINE));
    assert!(!host.dispatch.may_send(host.now, id));
}

#[test]
fn quarantine_expires() {
    let mut host = host();
    host.handle(Event::Quarantined(QUARANTINE));
    host.now = Tick(host.now.0 + QUARANTINE.for_ms + 1);
    let (id, actions) = arrive(&mut host, 1, CONTENT);
    assert!(sent(&actions, id).is_empty(), "only as a trial");
    let contents = asked(&actions, id).expect("it asks for one");
    let (other, actions) = arrive(&mut host, 2, CONTENT);
    assert!(sent(&actions, other).is_empty() && asked(&actions, other).is_none(), "one at a time");
    let actions = host.handle(Event::TriesAnswered { id, contents, is_granted: true });
    assert_eq!(sent(&actions, id).len(), 1, "sent again");
    host.now = Tick(host.now.0 + QUARANTINE.trial_ms);
    host.handle(Event::AttemptEnded { id, end: AttemptEnd::Full, answered: false });
    let (id, actions) = arrive(&mut host, 3, CONTENT);
    assert_eq!(sent(&actions, id).len(), 1, "sent by all after the time for trials");
}

/// A content that is answered again and again is not the cause when upstreams crash under it. Their hosts say so with the
/// crash, and go on sending it.
#[test]
fn answered_content_is_not_blamed() {
    let mut host = host();
    let (id, _) = arrive(&mut host, 1, CONTENT);
    host.handle(Event::AttemptEnded { id, end: AttemptEnd::Served, answered: true });
    let (id, _) = arrive(&mut host, 2, CONTENT);
    let actions = host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: true });
    let suspects = actions.iter().find_map(|action| match action {
        Action::Probe { suspects, .. } => Some(suspects.clone()),
        _ => None,
    });
    let suspects = suspects.expect("its upstream is probed");
    assert!(suspects.iter().all(|suspect| suspect.is_common), "{suspects:?}");
    host.handle(Event::Suspected(WEAK));
    host.handle(Event::Quarantined(QUARANTINE));
    let (id, actions) = arrive(&mut host, 3, CONTENT);
    assert_eq!(sent(&actions, id).len(), 1);
}

/// While the upstream of a broken attempt is probed, no second request with the content is sent:
/// otherwise four hosts would crash four runners with the first content alone.
#[test]
fn one_attempt_during_probe() {
    let mut host = host();
    let (id, _) = arrive(&mut host, 1, CONTENT);
    let actions = host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: true });
    let upstream = actions.iter().find_map(|action| match action {
        Action::Probe { upstream, .. } => Some(upstream.clone()),
        _ => None,
    });
    let upstream = upstream.expect("its upstream is probed");
    let (second, actions) = arrive(&mut host, 2, CONTENT);
    assert!(sent(&actions, second).is_empty() && refusal(&actions, second).is_none());
    let (other, actions) = arrive(&mut host, 3, CONTENT + 1);
    assert_eq!(sent(&actions, other).len(), 1, "other contents are sent");
    let probed = Event::Probed { upstream, contents: vec![CONTENT], sign: None };
    let actions = host.handle(probed);
    assert_eq!(sent(&actions, second).len(), 1, "the upstream is alive, so the content is sent");
}

/// Requests that waited for the verdict on a crash are sent one at a time, until one is answered: all at
/// once, they crash as many upstreams.
#[test]
fn one_attempt_after_crash() {
    let mut host = host();
    let (id, _) = arrive(&mut host, 1, CONTENT);
    let actions = host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: true });
    let upstream = actions.iter().find_map(|action| match action {
        Action::Probe { upstream, .. } => Some(upstream.clone()),
        _ => None,
    });
    let upstream = upstream.expect("its upstream is probed");
    let waiting: Vec<RequestId> =
        (2..5).map(|number| arrive(&mut host, number, CONTENT).0).collect();
    let sign = Some(CrashSign::Silent);
    host.handle(Event::Probed { upstream, contents: vec![CONTENT], sign });
    let sent_of = |actions: &[Action]| -> Vec<RequestId> {
        waiting.iter().copied().filter(|id| !sent(actions, *id).is_empty()).collect()
    };
    host.now = host.now + 200;
    let first = sent_of(&host.handle(Event::Tick));
    assert_eq!(first.len(), 1, "one of the waiting requests");
    assert!(host.dispatch.may_send(host.now, first[0]));
    host.now = host.now + 200;
    assert!(sent_of(&host.handle(Event::Tick)).is_empty(), "the first is not answered yet");
    let served = Event::AttemptEnded { id: first[0], end: AttemptEnd::Served, answered: true };
    let others = sent_of(&host.handle(served));
    assert_eq!(others.len(), 2, "it is answered, so the content crashes nothing");
}

/// An upstream that does not respond gets no requests while others are available.
#[test]
fn unresponsive_upstream() {
    let mut host = host();
    let upstream: vanetally_types::Incarnation = "i-1".into();
    let probed = Event::Probed {
        upstream: upstream.clone(),
        contents: vec![],
        sign: Some(CrashSign::Silent),
    };
    host.handle(probed);
    for number in 0..7 {
        let (id, actions) = arrive(&mut host, number, 1_000 + number);
        assert!(sent(&actions, id).iter().all(|attempt| attempt.upstream != upstream));
    }
}

/// Another incarnation is announced while an attempt is open that was not answered: the previous
/// one crashed under it, although its connection stays open, as after a power loss.
#[test]
fn next_incarnation_announced() {
    let mut host = host();
    let (id, actions) = arrive(&mut host, 1, CONTENT);
    let upstream = sent(&actions, id).pop().expect("an attempt").upstream;
    let actions = host.handle(Event::UpstreamEnded { id: upstream.clone() });
    let suspect = SuspectedContent { content: CONTENT, is_common: false, sent_at: host.now };
    let sign = CrashSign::Ended;
    let report = Action::ReportCrash { upstream, sign, suspects: vec![suspect] };
    assert!(actions.contains(&report), "{actions:?}");
    let actions = host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: false });
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Probe { .. })),
        "no probe after a known crash"
    );
}

/// A request that was sent before its content was suspected is not sent again, nor one that was chosen and not yet sent.
#[test]
fn suspected_after_choice() {
    let mut host = host();
    let (id, actions) = arrive(&mut host, 1, CONTENT);
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(host.dispatch.may_send(host.now, id));
    host.handle(Event::Suspected(WEAK));
    assert!(!host.dispatch.may_send(host.now, id), "it has no try");
    let actions =
        host.handle(Event::AttemptEnded { id, end: AttemptEnd::Withdrawn, answered: false });
    let contents = asked(&actions, id).expect("it asks for a try");
    let actions = host.handle(Event::TriesAnswered { id, contents, is_granted: true });
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(host.dispatch.may_send(host.now, id));
}

/// The try of a request that ends without a verdict is returned; one that is not granted is asked for again.
#[test]
fn tries_are_returned() {
    let mut host = host();
    host.handle(Event::Suspected(WEAK));
    let (id, actions) = arrive(&mut host, 1, CONTENT);
    let contents = asked(&actions, id).expect("it asks for a try");
    let refused = Event::TriesAnswered { id, contents: contents.clone(), is_granted: false };
    host.handle(refused);
    let actions = host.advance(200);
    assert!(asked(&actions, id).is_some(), "it asks again");
    host.handle(Event::TriesAnswered { id, contents: contents.clone(), is_granted: true });
    let actions = host.handle(Event::CallerLeft { id });
    assert!(actions.contains(&Action::EndTries { contents }), "{actions:?}");
}

/// An answer that goes on for a while clears its contents, one that has only begun does not: an upstream may crash just
/// then.
#[test]
fn survived_answer_clears() {
    let mut host = host();
    let (id, _) = arrive(&mut host, 1, CONTENT);
    host.now = host.now + 10;
    host.handle(Event::Suspected(Suspicion { age_ms: 5, ..WEAK }));
    host.handle(Event::FirstPiece { id });
    let is_report = |action: &Action| matches!(action, Action::ReportAnswers { .. });
    assert!(!host.advance(100).iter().any(is_report));
    host.handle(Event::AnswerContinues { id });
    let reports: Vec<Action> = host.advance(100).into_iter().filter(is_report).collect();
    let answers = vec![(CONTENT, 120)];
    assert_eq!(reports, [Action::ReportAnswers { answers }]);
}

/// An attempt is not repeated while it is unclear whether its upstream has crashed.
#[test]
fn unclear_end_is_awaited() {
    let mut draft = route("draft", RequestKind::Stream, "llm");
    draft.resumable = true;
    let mut host = Host::new(vec![draft]);
    let versions = Some(Versions::One("v1".into()));
    host.handle(Event::VersionsStored { service: "llm".into(), versions });
    for port in 1..=8 {
        host.announce(&format!("i-{port}"), upstream("llm", port, &["m1"]));
    }
    let id = RequestId(1);
    let request = request("r1", "draft", Some("m1"));
    let actions = host.handle(Event::Arrived { id, request, contents: [CONTENT].into() });
    let upstream = sent(&actions, id).pop().expect("an attempt").upstream;
    host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: false });
    assert!(sent(&host.advance(500), id).is_empty());
    let contents = vec![CONTENT];
    let actions = host.handle(Event::Probed { upstream, contents, sign: None });
    assert_eq!(sent(&actions, id).len(), 1, "the upstream is alive");
}

/// Nobody can tell what became of the upstream of a try: neither the request nor another one with its content is sent.
#[test]
fn unjudged_try() {
    let mut host = host();
    host.handle(Event::Suspected(WEAK));
    let (id, actions) = arrive(&mut host, 1, CONTENT);
    let contents = asked(&actions, id).expect("it asks for a try");
    let actions = host.handle(Event::TriesAnswered { id, contents, is_granted: true });
    let upstream = sent(&actions, id).pop().expect("it is sent").upstream;
    host.handle(Event::AttemptEnded { id, end: AttemptEnd::Lost, answered: true });
    let contents = vec![CONTENT];
    let actions = host.handle(Event::Unjudged { upstream, contents: contents.clone() });
    assert!(!actions.contains(&Action::EndTries { contents }), "{actions:?}");
    let (other, actions) = arrive(&mut host, 2, CONTENT);
    assert!(sent(&actions, other).is_empty() && asked(&actions, other).is_none());
    let actions = host.advance(2_000);
    assert!(sent(&actions, other).is_empty() && asked(&actions, other).is_none());
}
