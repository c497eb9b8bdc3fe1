//! Requests under which upstreams crash are not sent again.

mod support;

use support::{Host, START, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Event, RequestId};
use vanetally_ports::{RefusalCause, RequestKind};
use vanetally_quarantine::{CrashEvidence, CrashReport, CrashSign, Quarantine};
use vanetally_types::{Tick, Verdict};

const CONTENT: u64 = 7;
const QUARANTINE: Quarantine =
    Quarantine { content: CONTENT, for_ms: 60_000, ended: 2, age_ms: None };

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
    (id, host.handle(Event::Arrived { id, request, content_hash: content }))
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
        let host = &mut hosts[round as usize % 2];
        host.now = now;
        let (id, actions) = arrive(host, round, CONTENT);
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
            Action::Probe { content_hash: content, upstream, .. } => {
                Some((*content, upstream.clone()))
            }
            _ => None,
        });
        let (content, upstream) = probe.expect("its upstream is probed");
        assert_eq!((content, &upstream), (CONTENT, &attempt.upstream));
        // The upstream restarts as another incarnation.
        for host in &mut hosts {
            host.handle(Event::UpstreamGone { id: upstream.clone() });
        }
        let crash_report =
            CrashReport { content, upstream, sign: CrashSign::Ended, is_common: false };
        if let Some(quarantine) = evidence.add(now, crash_report) {
            hosts.iter_mut().for_each(|host| drop(host.handle(Event::Quarantined(quarantine))));
        }
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
    assert_eq!(sent(&actions, id).len(), 1, "sent again");
}

/// A content that is answered again and again is not the cause when upstreams crash under it.
#[test]
fn answered_content_is_not_blamed() {
    let mut host = host();
    let (id, _) = arrive(&mut host, 1, CONTENT);
    host.handle(Event::AttemptEnded { id, end: AttemptEnd::Served, answered: true });
    let (id, _) = arrive(&mut host, 2, CONTENT);
    let actions = host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: true });
    let is_probe = |action: &Action| matches!(action, Action::Probe { .. });
    assert!(!actions.iter().any(is_probe), "{actions:?}");
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
    let probed = Event::Probed { upstream, content_hashes: vec![CONTENT], sign: None };
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
    host.handle(Event::Probed { upstream, content_hashes: vec![CONTENT], sign });
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
        content_hashes: vec![],
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
    let crash_report =
        CrashReport { content: CONTENT, upstream, sign: CrashSign::Ended, is_common: false };
    assert!(actions.contains(&Action::ReportCrash(crash_report)), "{actions:?}");
    let actions = host.handle(Event::AttemptEnded { id, end: AttemptEnd::Broken, answered: false });
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Probe { .. })),
        "no probe after a known crash"
    );
}
