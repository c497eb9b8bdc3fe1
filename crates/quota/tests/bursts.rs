//! Bursts above what the bucket holds but within the quota of a second.

use std::collections::HashMap;
use vanetally_ports::{Quota, QuotaUnit};
use vanetally_quota::{Asker, Grantor, Guards, QuotaAnswer, Rank, SpendRequest};
use vanetally_types::{Name, Tick};

const START: Tick = Tick(1_000_000);
const RATE: f64 = 100_000.0;
/// Requests of a burst, sent within 50 ms at the start of each second: four fifths of the quota.
const PER_BURST: u64 = 80;
const COST: u32 = 1_000;

/// Plays ten bursts; returns how many requests were granted, and the longest wait.
fn play(mut grantor: Grantor, wait_ms: u64) -> (usize, u64) {
    let organisation: Name = "o".into();
    let unit = QuotaUnit::Tokens { default_tokens: 200 };
    let quota = Quota { unit, rate: RATE, burst: RATE / 5.0 };
    grantor.configure(START, HashMap::from([(organisation.clone(), quota)]));
    grantor.set_granting(START, true);
    let (mut granted, mut longest_ms) = (0, 0);
    let mut arrivals = HashMap::new();
    for ms in 1_000..11_500 {
        let now = START + ms;
        let index = ms % 1_000;
        let count = if ms < 11_000 && index < 50 {
            PER_BURST / 50 + u64::from(index < PER_BURST % 50)
        } else {
            0
        };
        for part in 0..count {
            let number = ms * 10 + part;
            let asker = Asker { host: "h1".into(), number };
            let (organisation, rank) = (organisation.clone(), Some(Rank(1, 1)));
            arrivals.insert(number, ms);
            let request = SpendRequest { asker, organisation, cost: COST, rank, wait_ms };
            granted +=
                usize::from(matches!(grantor.request(now, request), QuotaAnswer::Granted { .. }));
        }
        grantor.serve(now);
        for reply in grantor.take_replies() {
            if let QuotaAnswer::Granted { .. } = reply.answer {
                granted += 1;
                longest_ms = longest_ms.max(ms - arrivals[&reply.to.number]);
            }
        }
    }
    (granted, longest_ms)
}

/// Requests of a burst must not be refused when the quota of the same second suffices for all.
#[test]
fn burst_waits() {
    let all = PER_BURST as usize * 10;
    let (before, _) = play(Grantor::default(), 1_000);
    let (unwaited, _) = play(Grantor::with_queue(Guards::ON), 0);
    let (after, longest_ms) = play(Grantor::with_queue(Guards::ON), 1_000);
    println!(
        "before {before} wait 0 {unwaited} after {after} of {all}, longest wait {longest_ms} ms"
    );
    assert!(before < all / 2, "the load must show the fault: {before} of {all}");
    assert!(unwaited < all / 2, "{unwaited} of {all}");
    assert_eq!(after, all);
    assert!(longest_ms <= 600, "{longest_ms}");
}
