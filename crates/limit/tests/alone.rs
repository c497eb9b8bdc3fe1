//! Hosts that can ask nobody keep to a small part of the limit in sum.

use vanetally_limit::{PermitAnswer, PermitRequest, Shares};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

/// Requests that all hosts send within `for_ms` if each is asked for one every 50 ms.
fn sent(hosts: usize, rate: f64, for_ms: u64) -> usize {
    let mut count = 0;
    for seed in 0..hosts as u64 {
        let mut shares = Shares::new(seed);
        for at in (0..for_ms).step_by(50) {
            let question = PermitRequest { upstream: "r1".into(), rate, max_wait_ms: 0 };
            let answer = shares.decide(START + at, &question, hosts);
            count += usize::from(matches!(answer, PermitAnswer::Granted { .. }));
        }
    }
    count
}

#[test]
fn small_in_sum() {
    for (hosts, rate) in [(9, 1.8), (9, 0.5), (69, 2.0), (300, 1.0), (300, 20.0)] {
        let most = 0.3 * rate * 20.0;
        let sent = sent(hosts, rate, 20_000) as f64;
        let chance = 3.0 * most.sqrt() + 1.0;
        assert!(sent <= most + chance, "{hosts} hosts sent {sent} of {most} at {rate}");
        assert!(sent >= most - chance, "{hosts} hosts sent {sent} of {most} at {rate}");
    }
}

/// A third of the hosts is cut off from the grantor, and all of the rest ask it: a window stays within what the
/// operators allow.
#[test]
fn cut_off_beside_grantor() {
    let most = sent(300, 10.0, 4_000) as f64 / 3.0 + 10.0 * 4.25 + 1.0;
    assert!(most <= 1.5 * 10.0 * 4.0 + 5.0, "{most}");
}
