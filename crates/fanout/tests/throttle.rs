//! Work that is done once for all changes of a period.

use vanetally_fanout::Throttle;
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

#[test]
fn first_change_at_once() {
    let mut throttle = Throttle::default();
    assert!(!throttle.take_due(START, 100), "nothing changed");
    throttle.request();
    assert!(throttle.take_due(START, 100));
    assert!(!throttle.take_due(START + 200, 100), "nothing changed since");
    throttle.request();
    assert!(throttle.take_due(START + 200, 100));
}

/// A thousand hosts start within a second; the work is considered fifty times a second.
#[test]
fn many_changes() {
    let mut throttle = Throttle::default();
    let mut rounds = 0;
    for millis in 0..1_000 {
        throttle.request();
        if millis % 20 == 0 {
            rounds += u32::from(throttle.take_due(START + millis, 100));
        }
    }
    assert_eq!(rounds, 10);
    assert!(throttle.take_due(START + 1_100, 100), "the last change is not lost");
}
