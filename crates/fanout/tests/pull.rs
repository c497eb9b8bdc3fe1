//! When a newer version is requested from another host.
//!
//! Each status message of each aggregator, and each version of a rapid series, caused another request for a large
//! configuration, and the copies filled a slow link.

use vanetally_fanout::Pull;
use vanetally_types::{Name, Tick};

fn host(name: &str) -> Name {
    name.into()
}

#[test]
fn requested_once() {
    let mut pull = Pull::default();
    assert!(pull.should_request(Tick(0), &host("a")));
    assert!(!pull.should_request(Tick(100), &host("a")), "for a newer version");
    assert!(!pull.should_request(Tick(100), &host("b")), "from another host");
    assert!(!pull.should_request(Tick(1_400), &host("a")));
}

#[test]
fn retried_without_response() {
    let mut pull = Pull::default();
    pull.should_request(Tick(0), &host("a"));
    assert!(pull.should_request(Tick(1_500), &host("a")));
    assert!(!pull.should_request(Tick(1_600), &host("a")));
}

/// The host that was asked may be unreachable: another one with a newer version is asked earlier than the same one
/// again.
#[test]
fn other_host_earlier() {
    let mut pull = Pull::default();
    pull.should_request(Tick(0), &host("a"));
    assert!(pull.should_request(Tick(400), &host("b")));
    assert!(!pull.should_request(Tick(500), &host("a")));
}

/// Once a value was received, the next version of a rapid series is requested at once.
#[test]
fn next_version_at_once() {
    let mut pull = Pull::default();
    pull.should_request(Tick(0), &host("a"));
    pull.received();
    assert!(pull.should_request(Tick(100), &host("a")));
}

/// The response with a small value was lost. Guards against a host that follows an older version for another second and
/// a half, at each of the hosts through which it hears of newer ones.
#[test]
fn lost_response_of_small_value() {
    let mut pull = Pull::default();
    pull.set_bytes(6_000);
    assert!(pull.should_request(Tick(0), &host("a")));
    assert!(!pull.should_request(Tick(300), &host("a")));
    assert!(pull.should_request(Tick(400), &host("a")));
    pull.set_bytes(800_000);
    assert!(!pull.should_request(Tick(1_800), &host("a")), "a large one is still being sent");
}
