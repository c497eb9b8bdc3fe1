//! Intervals of an aggregator's messages.
//!
//! In a deployment of 71 hosts with links of 10 Mbit/s each aggregator sent 24 others the load total, 4.5 KB, ten times
//! a second: nine tenths of its link. After the first large configuration the hosts kept switching their source, 65
//! times a second, since the totals arrived too late.

use vanetally_fanout::{Spacing, status_interval_ms};
use vanetally_types::Tick;

/// 10 Mbit/s.
const WEAK_LINK: u64 = 1_250_000;
/// 200 Mbit/s.
const STRONG_LINK: u64 = 25_000_000;
/// One load total for 24 hosts.
const TOTAL_BYTES: usize = 4_500 * 24;

/// Returns the bytes sent in ten seconds, with an opportunity every tenth of a second.
fn sent_bytes(link: Option<u64>) -> usize {
    let mut spacing = Spacing::new(link);
    let mut bytes = 0;
    for turn in 0..100 {
        let now = Tick(turn * 100);
        if spacing.is_due(now) {
            spacing.record_sent(now, TOTAL_BYTES);
            bytes += TOTAL_BYTES;
        }
    }
    bytes
}

#[test]
fn weak_link_limited() {
    let max = WEAK_LINK as usize * 10 / 5;
    let sent = sent_bytes(Some(WEAK_LINK));
    assert!(sent <= max + TOTAL_BYTES, "{sent} bytes of {max}");
    assert!(sent >= max / 2, "{sent} bytes of {max}");
}

#[test]
fn strong_link_unlimited() {
    assert_eq!(sent_bytes(Some(STRONG_LINK)), 100 * TOTAL_BYTES);
    assert_eq!(sent_bytes(None), 100 * TOTAL_BYTES, "a link of unknown capacity");
    assert_eq!(sent_bytes(Some(0)), 100 * TOTAL_BYTES, "a link without a stated capacity");
}

/// With 0.12 of a processor an aggregator needs a tenth of a second to send its status to 24 hosts. At ten times a
/// second the status arrived late, and hosts searched for another source because of its age.
#[test]
fn weak_processor_limited() {
    assert_eq!(status_interval_ms(25, 12), 250);
    assert_eq!(status_interval_ms(10, 12), 138);
    assert_eq!(status_interval_ms(5, 12), 100);
}

#[test]
fn strong_processor_unlimited() {
    assert_eq!(status_interval_ms(25, 50), 100);
    assert_eq!(status_interval_ms(58, 50), 193);
    assert_eq!(status_interval_ms(58, 0), 193, "unknown capacity");
}

/// With very many hosts the interval of a weak aggregator is that of a strong one.
#[test]
fn many_hosts() {
    assert_eq!(status_interval_ms(120, 50), 400);
    assert_eq!(status_interval_ms(120, 12), 400);
}
