//! The time of a refusal does not grow with the queue.

mod common;

use common::{RATE, START, grantor, request, spend_all};
use std::time::{Duration, Instant};
use vanetally_quota::{QuotaAnswer, Rank};

/// Returns the time of 5,000 refusals while `waiting` requests wait.
fn refusals(waiting: u64) -> Duration {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    let cost = (RATE * 2.0 / waiting as f64) as u32;
    for number in 0..waiting {
        let _ = grantor.request(START, request(number, Rank(1, 0), cost, 1_900 + number % 100));
    }
    assert!(grantor.waiting() as u64 >= waiting * 9 / 10, "{}", grantor.waiting());
    let began = Instant::now();
    for number in 10_000..15_000 {
        let answer = grantor.request(START, request(number, Rank(1, 1), 100, 1_000));
        assert!(matches!(answer, QuotaAnswer::Refused { .. }), "{answer:?}");
    }
    began.elapsed()
}

/// Thousands of refusals in a few seconds must not take the grantor's processor: with a cost in
/// proportion to the queue, the long one would take 50 times as long.
#[test]
fn independent_of_queue() {
    let shortest = |waiting| (0..5).map(|_| refusals(waiting)).min().expect("runs");
    let (short, long) = (shortest(20), shortest(1_000));
    println!("5,000 refusals: {short:?} with 20 waiting, {long:?} with 1,000");
    assert!(long < short * 6, "{long:?} {short:?}");
}
