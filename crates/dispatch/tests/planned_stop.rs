//! A planned stop: what is taken, what is refused.

mod support;

use support::{Host, refusal, request, route, sent, upstream};
use vanetally_dispatch::Event;
use vanetally_ports::{RefusalCause, RequestKind};
use vanetally_types::Verdict;

fn host() -> Host {
    Host::new(vec![route("offer", RequestKind::Stream, "llm")])
}

/// Found by a hunt: a request that waited for a model got no answer when the process ended.
#[test]
fn waiting_is_refused() {
    let mut host = host();
    host.see("i-1", upstream("llm", 1, &["m2"]));
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert!(sent(&actions, id).is_empty() && refusal(&actions, id).is_none());
    host.tell(Event::Stopping);
    let refused = refusal(&host.pass(2_600), id).expect("refused before the end");
    assert_eq!(refused.cause, RefusalCause::Stopping);
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert!(refused.retry_after_ms.is_some());
}

#[test]
fn early_is_taken() {
    let mut host = host();
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host.tell(Event::Stopping);
    host.pass(1_000);
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    assert_eq!(sent(&actions, id).len(), 1);
    assert!(!host.dispatch.is_ready(host.now));
}

#[test]
fn late_is_refused() {
    let mut host = host();
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host.tell(Event::Stopping);
    host.pass(3_000);
    let (id, actions) = host.arrive(request("a", "offer", Some("m1")));
    let refused = refusal(&actions, id).expect("refused at once");
    assert_eq!((refused.cause, refused.verdict), (RefusalCause::Stopping, Verdict::NotRun));
}

#[test]
fn running_goes_on() {
    let mut host = host();
    host.see("i-1", upstream("llm", 1, &["m1"]));
    let (id, _) = host.arrive(request("a", "offer", Some("m1")));
    host.tell(Event::FirstPiece { id });
    host.tell(Event::Stopping);
    assert_eq!(refusal(&host.pass(7_000), id), None);
}
