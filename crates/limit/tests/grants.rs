//! One host grants the send times at a rate-limited upstream.

use proptest::prelude::*;
use vanetally_limit::{Grantor, PermitAnswer, PermitRequest};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);
/// First send time of a grantor that began at `START`.
const FIRST_GRANT: Tick = Tick(1_001_500);
const WINDOW_MS: u64 = 4_000;

fn grantor() -> Grantor {
    let mut grantor = Grantor::default();
    grantor.set_granting(START, true);
    grantor
}

fn permit_request(rate: f64, max_wait_ms: u32) -> PermitRequest {
    PermitRequest { upstream: "r1".into(), rate, max_wait_ms }
}

/// Returns the maximum number of send times within one window.
fn max_in_window(sent: &[u64]) -> usize {
    let within =
        |from: &u64| sent.iter().filter(|at| *at >= from && **at < from + WINDOW_MS).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Returns the send times of requests that ask every `pause_ms` for `for_ms`.
fn send_times(
    grantor: &mut Grantor,
    rate: f64,
    max_wait_ms: u32,
    pause_ms: u64,
    for_ms: u64,
) -> Vec<u64> {
    let times = (0..for_ms).step_by(pause_ms as usize).filter_map(|at| {
        let now = FIRST_GRANT + at;
        match grantor.decide(now, &permit_request(rate, max_wait_ms)) {
            PermitAnswer::Granted { delay_ms } => Some((now + u64::from(delay_ms)).0),
            PermitAnswer::Busy { .. } | PermitAnswer::NotGranting => None,
        }
    });
    times.collect()
}

#[test]
fn rate_is_kept_and_used() {
    for rate in [0.2, 0.5, 1.3, 1.8, 10.0, 120.0] {
        for max_wait_ms in [0, 800] {
            let sent = send_times(&mut grantor(), rate, max_wait_ms, 5, 60_000);
            let max = max_in_window(&sent) as f64;
            let window = rate * WINDOW_MS as f64 / 1_000.0;
            assert!(max <= window + rate * 0.25 + 1.0, "{rate}: {max} in a window");
            assert!(sent.len() as f64 >= 0.95 * rate * 60.0, "{rate}: {} in a minute", sent.len());
        }
    }
}

/// An upstream that states a rate of zero still gets an occasional request, because only its
/// answers show whether the limit has ended.
#[test]
fn zero_rate_is_probed_rarely() {
    let sent = send_times(&mut grantor(), 0.0, 0, 10, 60_000);
    assert!((5..=7).contains(&sent.len()), "{sent:?}");
}

/// Waiting requests get successive send times; refused ones get successive times to retry.
#[test]
fn refusals_state_retry_times() {
    let mut grantor = grantor();
    let ask = |grantor: &mut Grantor, max_wait_ms| {
        grantor.decide(FIRST_GRANT, &permit_request(2.0, max_wait_ms))
    };
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Granted { delay_ms: 0 });
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Granted { delay_ms: 500 });
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Busy { retry_ms: 1_000 });
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Busy { retry_ms: 1_500 });
    let back = grantor.decide(FIRST_GRANT + 1_000, &permit_request(2.0, 800));
    assert_eq!(back, PermitAnswer::Granted { delay_ms: 0 });
}

/// A new grantor grants nothing until the send times of its predecessor have passed.
#[test]
fn successor_waits_for_granted_times() {
    let mut first = grantor();
    let sent = send_times(&mut first, 5.0, 5_000, 1, 100);
    let mut second = Grantor::default();
    let begun = FIRST_GRANT + 100;
    second.set_granting(begun, true);
    let answer = second.decide(begun, &permit_request(5.0, 5_000));
    let PermitAnswer::Granted { delay_ms } = answer else {
        panic!("{answer:?}");
    };
    let next = (begun + u64::from(delay_ms)).0;
    assert!(sent.iter().all(|at| *at <= next), "{sent:?}, then {next}");
    second.set_granting(begun + 10, false);
    assert_eq!(second.decide(begun + 20, &permit_request(5.0, 0)), PermitAnswer::NotGranting);
}

#[test]
fn returned_permit_is_granted_again() {
    let mut grantor = grantor();
    assert_eq!(
        grantor.decide(FIRST_GRANT, &permit_request(1.0, 0)),
        PermitAnswer::Granted { delay_ms: 0 }
    );
    assert!(matches!(
        grantor.decide(FIRST_GRANT, &permit_request(1.0, 0)),
        PermitAnswer::Busy { .. }
    ));
    grantor.return_permit(&"r1".into(), 1.0);
    assert_eq!(
        grantor.decide(FIRST_GRANT, &permit_request(1.0, 0)),
        PermitAnswer::Granted { delay_ms: 0 }
    );
}

/// Hosts whose requests go to another upstream ask again at the given time: the full limit is used
/// and few permit requests are refused, however many hosts there are.
#[test]
fn many_hosts_ask_rarely() {
    for (rate, max_asked) in [(1.8, 120), (0.4, 40)] {
        let (asked, granted) = asked_and_granted(rate);
        assert!(f64::from(granted) >= 0.93 * rate * 60.0, "{granted} at {rate}");
        assert!(asked <= 60 * max_asked, "{asked} in a minute at {rate}");
    }
}

/// Returns how often 300 hosts ask and are granted within a minute, if each has its next request 50
/// ms after a granted one.
fn asked_and_granted(rate: f64) -> (u32, u32) {
    let mut grantor = grantor();
    let mut next = vec![0_u64; 300];
    let (mut asked, mut granted) = (0, 0);
    for at in 0..60_000 {
        for time in next.iter_mut().filter(|time| **time <= at) {
            asked += 1;
            match grantor.decide(FIRST_GRANT + at, &permit_request(rate, 0)) {
                PermitAnswer::Granted { .. } => {
                    granted += 1;
                    *time = at + 50;
                }
                PermitAnswer::Busy { retry_ms } => *time = at + u64::from(retry_ms).max(1),
                PermitAnswer::NotGranting => panic!("the grantor grants"),
            }
        }
    }
    (asked, granted)
}

proptest! {
    /// No window exceeds the highest stated rate, whatever rates are stated and whenever hosts ask.
    #[test]
    fn rate_holds(asks in prop::collection::vec((0_u64..400, 1_u32..80, 0_u32..3_000), 1..300)) {
        let mut grantor = grantor();
        let mut now = FIRST_GRANT;
        let mut sent = Vec::new();
        for (pause, tenths, max_wait_ms) in asks {
            now = now + pause;
            let rate = f64::from(tenths) / 10.0;
            if let PermitAnswer::Granted { delay_ms } =
                grantor.decide(now, &permit_request(rate, max_wait_ms))
            {
                prop_assert!(delay_ms <= max_wait_ms);
                sent.push((now + u64::from(delay_ms)).0);
            }
        }
        prop_assert!(max_in_window(&sent) as f64 <= 8.0 * 4.0 + 8.0 * 0.25 + 1.0);
    }
}
