//! Hosts without a grantor use a small share of the limit in total.

use vanetally_limit::{PermitAnswer, PermitRequest, Shares};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

/// Returns how many requests all hosts send within `for_ms` if each gets one every 50 ms.
fn sent(hosts: usize, rate: f64, for_ms: u64) -> usize {
    let mut count = 0;
    for seed in 0..hosts as u64 {
        let mut shares = Shares::new(seed);
        for at in (0..for_ms).step_by(50) {
            let request = PermitRequest { upstream: "r1".into(), rate, max_wait_ms: 0 };
            let answer = shares.decide(START + at, &request, hosts);
            count += usize::from(matches!(answer, PermitAnswer::Granted { .. }));
        }
    }
    count
}

#[test]
fn total_matches_local_share() {
    for (hosts, rate) in [(9, 1.8), (9, 0.5), (69, 2.0), (300, 1.0), (300, 20.0)] {
        let max = 0.3 * rate * 20.0;
        let sent = sent(hosts, rate, 20_000) as f64;
        let margin = 3.0 * max.sqrt() + 1.0;
        assert!(sent <= max + margin, "{hosts} hosts sent {sent} of {max} at {rate}");
        assert!(sent >= max - margin, "{hosts} hosts sent {sent} of {max} at {rate}");
    }
}

/// A third of the hosts is cut off from the grantor and all others ask it: a window stays within
/// the bound of the operators.
#[test]
fn cut_off_hosts_beside_grantor() {
    let max = sent(300, 10.0, 4_000) as f64 / 3.0 + 10.0 * 4.25 + 1.0;
    assert!(max <= 1.5 * 10.0 * 4.0 + 5.0, "{max}");
}
