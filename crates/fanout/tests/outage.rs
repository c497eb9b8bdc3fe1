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

/// Found by a hunt (trouble-1 --seed 575190724891): a key that went 1.4 s after the store's return was
/// waited for until 3.6 s after it, and the upstream got new work for 2.05 s after it had left.
#[test]
fn waited_for_since_the_return() {
    let mut outage = answering();
    outage.failed(START + 100);
    outage.answered(START + 3_000);
    assert_eq!(outage.wait_ms(START + 3_000), 2_200);
    assert_eq!(outage.wait_ms(START + 4_400), 800);
}

#[test]
fn store_still_away() {
    let mut outage = answering();
    outage.failed(START + 100);
    assert_eq!(outage.wait_ms(START + 1_500), 2_200);
}
