//! Found in a played day: each message of each aggregator asked for a large configuration once more, and
//! its copies on a slow link kept the first one from arriving for 5.9 s.

use vanetally_fanout::Pull;
use vanetally_types::Tick;

#[test]
fn asked_once() {
    let mut pull = Pull::default();
    assert!(pull.should_ask(Tick(0), 13));
    assert!(!pull.should_ask(Tick(100), 13), "from another host");
    assert!(!pull.should_ask(Tick(1_400), 13));
}

#[test]
fn asked_again_if_it_does_not_come() {
    let mut pull = Pull::default();
    pull.should_ask(Tick(0), 13);
    assert!(pull.should_ask(Tick(1_500), 13));
    assert!(!pull.should_ask(Tick(1_600), 13));
}

#[test]
fn newer_asked_at_once() {
    let mut pull = Pull::default();
    pull.should_ask(Tick(0), 13);
    assert!(pull.should_ask(Tick(10), 14));
    assert!(!pull.should_ask(Tick(20), 13));
}
