//! Whether the store was away lately.

use vanetally_fanout::Outage;
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

fn answering() -> Outage {
    let mut outage = Outage::default();
    outage.answered(START);
    outage
}

#[test]
fn steady_store() {
    let mut outage = answering();
    for second in 1..10 {
        outage.answered(START + second * 1_000);
        assert!(!outage.is_recent(START + second * 1_000));
    }
}

/// A call that fails alone is no outage: what the store says next is believed.
#[test]
fn single_failure() {
    let mut outage = answering();
    outage.failed(START + 100);
    outage.answered(START + 400);
    assert!(!outage.is_recent(START + 400));
}

#[test]
fn failures_remembered() {
    let mut outage = answering();
    outage.failed(START + 100);
    outage.failed(START + 900);
    assert!(outage.is_recent(START + 1_200));
    outage.answered(START + 3_000);
    assert!(outage.is_recent(START + 5_000));
    assert!(!outage.is_recent(START + 5_300), "who has not written its key by now is gone");
}

#[test]
fn silence_remembered() {
    let mut outage = answering();
    outage.answered(START + 6_000);
    assert!(outage.is_recent(START + 6_100));
}
