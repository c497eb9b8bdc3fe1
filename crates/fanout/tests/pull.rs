//! Found in played days: each message of each aggregator, and each version of a storm, asked for a large
//! configuration once more, and its copies filled a slow link.

use vanetally_fanout::Pull;
use vanetally_types::{Name, Tick};

fn host(name: &str) -> Name {
    name.into()
}

#[test]
fn asked_once() {
    let mut pull = Pull::default();
    assert!(pull.should_request(Tick(0), &host("a")));
    assert!(!pull.should_request(Tick(100), &host("a")), "for a newer version");
    assert!(!pull.should_request(Tick(100), &host("b")), "from another host");
    assert!(!pull.should_request(Tick(1_400), &host("a")));
}

#[test]
fn asked_again_if_it_does_not_come() {
    let mut pull = Pull::default();
    pull.should_request(Tick(0), &host("a"));
    assert!(pull.should_request(Tick(1_500), &host("a")));
    assert!(!pull.should_request(Tick(1_600), &host("a")));
}

/// The host that was asked may be cut off: another one that has a newer version is not passed over.
#[test]
fn other_host_sooner() {
    let mut pull = Pull::default();
    pull.should_request(Tick(0), &host("a"));
    assert!(pull.should_request(Tick(400), &host("b")));
    assert!(!pull.should_request(Tick(500), &host("a")));
}

/// What came is no reason to wait: the next version of a quick series is asked for at once.
#[test]
fn next_one_at_once() {
    let mut pull = Pull::default();
    pull.should_request(Tick(0), &host("a"));
    pull.received();
    assert!(pull.should_request(Tick(100), &host("a")));
}
