//! Found in played days: each message of each aggregator, and each version of a storm, asked for a large
//! configuration once more, and its copies filled a slow link.

use vanetally_fanout::Pull;
use vanetally_types::Tick;

#[test]
fn asked_once() {
    let mut pull = Pull::default();
    assert!(pull.should_ask(Tick(0)));
    assert!(!pull.should_ask(Tick(100)), "from another host, or for a newer version");
    assert!(!pull.should_ask(Tick(1_400)));
}

#[test]
fn asked_again_if_it_does_not_come() {
    let mut pull = Pull::default();
    pull.should_ask(Tick(0));
    assert!(pull.should_ask(Tick(1_500)));
    assert!(!pull.should_ask(Tick(1_600)));
}

/// What came is no reason to wait: the next version of a quick series is asked for at once.
#[test]
fn next_one_at_once() {
    let mut pull = Pull::default();
    pull.should_ask(Tick(0));
    pull.came();
    assert!(pull.should_ask(Tick(100)));
}
