//! The clock that all ages, leases and time windows of a host are measured with.

use std::time::{Duration, Instant};
use vanetally_clock::Clock;
use vanetally_types::Tick;

#[test]
fn advances_with_time() {
    let started = Instant::now();
    let clock = Clock::starting_at(Tick(7_000));
    let first = clock.now();
    assert!(first >= Tick(7_000));
    std::thread::sleep(Duration::from_millis(30));
    let elapsed_ms = clock.now().since(first);
    assert!(elapsed_ms >= 29, "{elapsed_ms}");
    assert!(clock.now().0 - 7_000 <= started.elapsed().as_millis() as u64 + 1);
}
