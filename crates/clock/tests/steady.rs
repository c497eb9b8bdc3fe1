//! The clock that ages what hosts believe.

use std::time::{Duration, Instant};
use vanetally_clock::Clock;
use vanetally_types::Tick;

#[test]
fn goes_on() {
    let began = Instant::now();
    let clock = Clock::starting_at(Tick(7_000));
    let first = clock.now();
    assert!(first >= Tick(7_000));
    std::thread::sleep(Duration::from_millis(30));
    let passed = clock.now().since(first);
    assert!(passed >= 29, "{passed}");
    assert!(clock.now().0 - 7_000 <= began.elapsed().as_millis() as u64 + 1);
}
