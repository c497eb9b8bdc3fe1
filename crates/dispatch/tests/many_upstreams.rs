//! A host that knows thousands of upstreams works on the few that its requests and other hosts' failures concern.

mod support;

use support::{Host, request, route, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Digest, Event, LoadRow};
use vanetally_ports::{RequestKind, UpstreamState};

const UPSTREAMS: u16 = 4_000;
/// Time after which an outcome no longer counts.
const WINDOW_MS: u64 = 5_100;

fn host() -> Host {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    for number in 0..UPSTREAMS {
        host.announce(&format!("s-{number}"), upstream("desk", number, &[]));
    }
    host
}

fn row(upstream: &str, bad: u16) -> LoadRow {
    LoadRow {
        upstream: upstream.into(),
        running: 1,
        unread_tokens: 0,
        held_tokens: 0,
        good: 0,
        bad,
        limit: None,
    }
}

fn peer_digest(host: &mut Host, loads: Vec<LoadRow>) {
    host.handle(Event::PeerDigest {
        host: "front-1".into(),
        digest: Digest { loads, demand: Vec::new(), waiting: Vec::new() },
    });
}

#[test]
fn active_while_concerned() {
    let mut host = host();
    host.advance(20);
    assert_eq!(host.dispatch.counts().active, 0);
    let (id, actions) = host.arrive(request("a", "check", None));
    let chosen = sent_to(&actions, id);
    host.advance(20);
    assert_eq!(host.dispatch.counts().active, 1);
    let rows = host.dispatch.digest(host.now).loads;
    assert_eq!(rows.iter().map(|row| &row.upstream).collect::<Vec<_>>(), [&chosen]);
    host.end_attempt(id, AttemptEnd::Served);
    host.advance(WINDOW_MS);
    assert_eq!(host.dispatch.counts().active, 0);
    assert!(host.dispatch.digest(host.now).loads.is_empty());
}

/// Only failures at other hosts need reviews; their load does not.
#[test]
fn failures_elsewhere() {
    let mut host = host();
    peer_digest(&mut host, vec![row("s-1", 0), row("s-2", 3), row("unknown", 3)]);
    assert_eq!(host.dispatch.counts().active, 1);
    host.advance(20);
    assert_eq!(host.dispatch.counts().suspects, 1, "ejected by the failures of another host");
}

#[test]
fn replaced_digest() {
    let mut host = host();
    let running = |host: &Host, id: &str| {
        let known = host.dispatch.summaries(host.now);
        known.into_iter().find(|known| *known.upstream.id == *id).map(|known| known.running)
    };
    peer_digest(&mut host, vec![row("s-1", 0), row("s-2", 0)]);
    peer_digest(&mut host, vec![row("s-2", 0), row("s-3", 0)]);
    let loads = ["s-1", "s-2", "s-3"].map(|id| running(&host, id));
    assert_eq!(loads, [Some(0), Some(1), Some(1)]);
    host.handle(Event::PeerGone { host: "front-1".into() });
    assert_eq!(running(&host, "s-3"), Some(0));
}

/// The successor of an upstream that failed moves to another address: the first one is used again.
#[test]
fn successor_moves() {
    let mut host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
    host.announce("old", upstream("desk", 1, &[]));
    let (id, _) = host.arrive(request("a", "check", None));
    host.end_attempt(id, AttemptEnd::Unreachable);
    let draining = UpstreamState { draining: true, ..upstream("desk", 1, &[]) };
    host.announce("new", draining.clone());
    host.advance(WINDOW_MS);
    let is_sent = |host: &mut Host| {
        let (id, actions) = host.arrive(request("b", "check", None));
        host.handle(Event::CallerLeft { id });
        actions.iter().any(|action| matches!(action, vanetally_dispatch::Action::Send { .. }))
    };
    assert!(!is_sent(&mut host), "another incarnation has its address");
    host.announce("new", UpstreamState { address: ([10, 0, 0, 1], 2).into(), ..draining });
    assert!(is_sent(&mut host));
}
