//! On a deployment of 71 hosts with links of 10 Mbit/s each aggregator told 24 others the sum of all loads ten
//! times a second: 4.5 KB, 1.1 MB a second, nine tenths of its link. From the first large configuration on the
//! hosts changed their source 65 times a second, in calm times too.

use vanetally_fanout::{Spacing, status_interval_ms};
use vanetally_types::Tick;

/// Ten megabits a second.
const WEAK: u64 = 1_250_000;
/// Two hundred.
const STRONG: u64 = 25_000_000;
const SUM: usize = 4_500 * 24;

/// Bytes that are sent in ten seconds, with a turn each tenth of a second.
fn sent(link: Option<u64>) -> usize {
    let mut spacing = Spacing::new(link);
    let mut sum = 0;
    for turn in 0..100 {
        let now = Tick(turn * 100);
        if spacing.is_due(now) {
            spacing.record_sent(now, SUM);
            sum += SUM;
        }
    }
    sum
}

#[test]
fn weak_link_spared() {
    let most = WEAK as usize * 10 / 5;
    let sent = sent(Some(WEAK));
    assert!(sent <= most + SUM, "{sent} bytes of {most}");
    assert!(sent >= most / 2, "{sent} bytes of {most}");
}

#[test]
fn strong_link_unspaced() {
    assert_eq!(sent(Some(STRONG)), 100 * SUM);
    assert_eq!(sent(None), 100 * SUM, "a link of unknown size");
    assert_eq!(sent(Some(0)), 100 * SUM, "a link of no stated size");
}

/// With 0.12 of a processor a word to each of 24 hosts takes an aggregator a tenth of a second, and they were told
/// ten times a second: words came late, and their age made hosts look for another source.
#[test]
fn weak_processor_spared() {
    assert_eq!(status_interval_ms(25, 12), 250);
    assert_eq!(status_interval_ms(10, 12), 138);
    assert_eq!(status_interval_ms(5, 12), 100);
}

#[test]
fn strong_processor_unspaced() {
    assert_eq!(status_interval_ms(25, 50), 100);
    assert_eq!(status_interval_ms(58, 50), 193);
    assert_eq!(status_interval_ms(58, 0), 193, "a share that is not stated");
}

/// Where hosts are very many, a weak aggregator can do no better than a strong one.
#[test]
fn many_hosts() {
    assert_eq!(status_interval_ms(120, 50), 400);
    assert_eq!(status_interval_ms(120, 12), 400);
}
