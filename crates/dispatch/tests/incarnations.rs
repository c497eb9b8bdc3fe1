//! An upstream that restarts under its id is another incarnation, to which no known state passes.

mod support;

use support::{Host, refusal, request, route, sent, sent_to, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Digest, Event, LoadRow, Presence, SuspectedContent};
use vanetally_ports::{ModelRef, RequestKind};
use vanetally_quarantine::CrashSign;
use vanetally_types::{Incarnation, Verdict};

fn incarnation(born: u64) -> Incarnation {
    Incarnation::new("i-1", Some(born))
}

fn announce(host: &mut Host, born: u64, models: &[&str]) -> Vec<Action> {
    host.handle(Event::UpstreamSeen { id: incarnation(born), state: upstream("llm", 1, models) })
}

/// Ends the incarnation that began at 1 and announces one that began at 2.
fn restart(host: &mut Host) -> Vec<Action> {
    let mut actions = host.handle(Event::UpstreamEnded { id: incarnation(1) });
    actions.extend(announce(host, 2, &["m1"]));
    actions
}

fn host(kind: RequestKind) -> Host {
    let mut host = Host::new(vec![route("offer", kind, "llm")]);
    announce(&mut host, 1, &["m1"]);
    host
}

/// Attempts at the ended incarnation are cancelled: its connection may stay silent forever.
#[test]
fn attempts_are_abandoned() {
    let mut host = host(RequestKind::Once);
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(sent_to(&actions, id), incarnation(1));
    let actions = restart(&mut host);
    let suspect = SuspectedContent { content: id.0, is_common: false, sent_at: host.now };
    let report = Action::ReportCrash {
        upstream: incarnation(1),
        sign: CrashSign::Ended,
        suspects: vec![suspect],
    };
    assert_eq!(actions, [Action::Abandon { id, number: 1 }, report]);
    let actions = host.end_attempt(id, AttemptEnd::Broken);
    let refusal = refusal(&actions, id).expect("a final answer");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// The end of an incarnation that may have ended before its host knew it says nothing of what was sent there, until the
/// upstream has shown which one it is, or would have announced another one.
#[test]
fn unidentified_end_is_no_sign() {
    for (is_identified, later_ms, reports) in [(false, 4_999, 0), (false, 5_000, 1), (true, 0, 1)] {
        let mut host = host(RequestKind::Once);
        host.handle(Event::UpstreamUnidentified { id: incarnation(1) });
        if is_identified {
            host.handle(Event::UpstreamIdentified { id: incarnation(1) });
        }
        host.advance(later_ms);
        let (id, _) = host.arrive(request("a", "offer", Some("m1")));
        let actions = restart(&mut host);
        assert!(actions.contains(&Action::Abandon { id, number: 1 }), "it is cancelled");
        let is_report = |action: &&Action| matches!(action, Action::ReportCrash { .. });
        assert_eq!(
            actions.iter().filter(is_report).count(),
            reports,
            "identified: {is_identified}"
        );
    }
}

/// Attempts elsewhere and ended attempts are not affected.
#[test]
fn other_attempts_continue() {
    let mut host = host(RequestKind::Idempotent);
    let (done, _) = host.arrive(request("a", "offer", Some("m1")));
    host.end_attempt(done, AttemptEnd::Served);
    assert_eq!(restart(&mut host), []);
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(sent_to(&actions, id), incarnation(2));
}

/// An attempt that is withdrawn before its first byte goes to the new incarnation.
#[test]
fn withdrawn_attempt_goes_to_successor() {
    let mut host = host(RequestKind::Once);
    let (id, _) = host.arrive(request("a", "offer", Some("m1")));
    restart(&mut host);
    assert!(!host.dispatch.may_send(host.now, id));
    let actions = host.end_attempt(id, AttemptEnd::Withdrawn);
    assert_eq!(sent_to(&actions, id), incarnation(2));
}

/// Late reports of hosts and of the order holder about the previous incarnation neither affect the
/// new one nor restore the previous one.
#[test]
fn late_reports_are_ignored() {
    let mut host = host(RequestKind::Once);
    host.handle(Event::UpstreamEnded { id: incarnation(1) });
    announce(&mut host, 2, &[]);
    let subject = ModelRef { model: "m1".into(), adapter: None };
    host.handle(Event::PresenceReported {
        runner: incarnation(1),
        subject,
        presence: Presence::Present,
    });
    let row = LoadRow {
        upstream: incarnation(1),
        running: 4,
        unread_tokens: 0,
        held_tokens: 0,
        good: 0,
        bad: 40,
        limit: None,
    };
    let digest = Digest { loads: vec![row], demand: Vec::new(), waiting: Vec::new() };
    host.handle(Event::PeerDigest { host: "front-2".into(), digest });
    let loads = host.dispatch.summaries(host.now);
    assert_eq!(loads.len(), 1, "{loads:?}");
    assert_eq!((&loads[0].upstream, loads[0].running), (&incarnation(2), 0));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(sent(&actions, id), [], "the new incarnation holds no model");
}

/// An upstream whose announcement can't be read gets no new requests, its open attempts continue,
/// and it is used again once the announcement can be read.
#[test]
fn unreadable_announcement() {
    let mut host = host(RequestKind::Idempotent);
    let (open, _) = host.arrive(request("a", "offer", Some("m1")));
    let actions = host.handle(Event::UpstreamUnreadable { id: incarnation(1) });
    assert_eq!(actions, [], "the open attempt continues");
    let (id, actions) = host.arrive(request("b", "offer", Some("m1")));
    assert_eq!(sent(&actions, id), []);
    host.end_attempt(open, AttemptEnd::Served);
    let actions = announce(&mut host, 1, &["m1"]);
    assert_eq!(sent_to(&actions, id), incarnation(1));
}
