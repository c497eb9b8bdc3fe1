//! One host gives out the moments at which requests go to an upstream in need.

use proptest::prelude::*;
use vanetally_limit::{Grantor, PermitAnswer, PermitRequest};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);
/// A grantor that begins gives out nothing before.
const BEGUN: Tick = Tick(1_001_500);
const WINDOW_MS: u64 = 4_000;

fn grantor() -> Grantor {
    let mut grantor = Grantor::default();
    grantor.set_granting(START, true);
    grantor
}

fn question(rate: f64, max_wait_ms: u32) -> PermitRequest {
    PermitRequest { upstream: "r1".into(), rate, max_wait_ms }
}

/// The most moments within one window.
fn most_in_window(sent: &[u64]) -> usize {
    let within =
        |from: &u64| sent.iter().filter(|at| *at >= from && **at < from + WINDOW_MS).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// When the requests go that ask every `pause_ms` for `for_ms`.
fn play(
    grantor: &mut Grantor,
    rate: f64,
    max_wait_ms: u32,
    pause_ms: u64,
    for_ms: u64,
) -> Vec<u64> {
    let moments = (0..for_ms).step_by(pause_ms as usize).filter_map(|at| {
        let now = BEGUN + at;
        match grantor.decide(now, &question(rate, max_wait_ms)) {
            PermitAnswer::Granted { delay_ms } => Some((now + u64::from(delay_ms)).0),
            PermitAnswer::Busy { .. } | PermitAnswer::NotGranting => None,
        }
    });
    moments.collect()
}

#[test]
fn rate_kept_and_used() {
    for rate in [0.2, 0.5, 1.3, 1.8, 10.0, 120.0] {
        for max_wait_ms in [0, 800] {
            let sent = play(&mut grantor(), rate, max_wait_ms, 5, 60_000);
            let most = most_in_window(&sent) as f64;
            let window = rate * WINDOW_MS as f64 / 1_000.0;
            assert!(most <= window + rate * 0.25 + 1.0, "{rate}: {most} in a window");
            assert!(sent.len() as f64 >= 0.95 * rate * 60.0, "{rate}: {} in a minute", sent.len());
        }
    }
}

/// One that names nothing at all is still asked now and then: only its answers tell when the need is over.
#[test]
fn zero_asked_seldom() {
    let sent = play(&mut grantor(), 0.0, 0, 10, 60_000);
    assert!((5..=7).contains(&sent.len()), "{sent:?}");
}

/// Those that wait go one behind the other; those that can't are told when there will be room, each its own time.
#[test]
fn told_true_times() {
    let mut grantor = grantor();
    let ask =
        |grantor: &mut Grantor, max_wait_ms| grantor.decide(BEGUN, &question(2.0, max_wait_ms));
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Granted { delay_ms: 0 });
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Granted { delay_ms: 500 });
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Busy { retry_ms: 1_000 });
    assert_eq!(ask(&mut grantor, 800), PermitAnswer::Busy { retry_ms: 1_500 });
    let back = grantor.decide(BEGUN + 1_000, &question(2.0, 800));
    assert_eq!(back, PermitAnswer::Granted { delay_ms: 0 });
}

/// A grantor that follows another one gives out nothing until what that one gave out has gone.
#[test]
fn successor_waits() {
    let mut first = grantor();
    let sent = play(&mut first, 5.0, 5_000, 1, 100);
    let mut second = Grantor::default();
    let begun = BEGUN + 100;
    second.set_granting(begun, true);
    let answer = second.decide(begun, &question(5.0, 5_000));
    let PermitAnswer::Granted { delay_ms } = answer else {
        panic!("{answer:?}");
    };
    let next = (begun + u64::from(delay_ms)).0;
    assert!(sent.iter().all(|at| *at <= next), "{sent:?}, then {next}");
    second.set_granting(begun + 10, false);
    assert_eq!(second.decide(begun + 20, &question(5.0, 0)), PermitAnswer::NotGranting);
}

#[test]
fn given_back() {
    let mut grantor = grantor();
    assert_eq!(grantor.decide(BEGUN, &question(1.0, 0)), PermitAnswer::Granted { delay_ms: 0 });
    assert!(matches!(grantor.decide(BEGUN, &question(1.0, 0)), PermitAnswer::Busy { .. }));
    grantor.return_permit(&"r1".into(), 1.0);
    assert_eq!(grantor.decide(BEGUN, &question(1.0, 0)), PermitAnswer::Granted { delay_ms: 0 });
}

/// Hosts whose requests go elsewhere ask again when told: however many they are, each moment is used and few ask in
/// vain.
#[test]
fn many_hosts_ask() {
    for (rate, most_asked) in [(1.8, 120), (0.4, 40)] {
        let (asked, granted) = asked_and_granted(rate);
        assert!(f64::from(granted) >= 0.93 * rate * 60.0, "{granted} at {rate}");
        assert!(asked <= 60 * most_asked, "{asked} in a minute at {rate}");
    }
}

/// What 300 hosts ask and get within a minute, if each has the next request 50 ms after one that went.
fn asked_and_granted(rate: f64) -> (u32, u32) {
    let mut grantor = grantor();
    let mut next = vec![0_u64; 300];
    let (mut asked, mut granted) = (0, 0);
    for at in 0..60_000 {
        for turn in next.iter_mut().filter(|turn| **turn <= at) {
            asked += 1;
            match grantor.decide(BEGUN + at, &question(rate, 0)) {
                PermitAnswer::Granted { .. } => {
                    granted += 1;
                    *turn = at + 50;
                }
                PermitAnswer::Busy { retry_ms } => *turn = at + u64::from(retry_ms).max(1),
                PermitAnswer::NotGranting => panic!("it grants"),
            }
        }
    }
    (asked, granted)
}

proptest! {
    /// Whatever rates are named, and whoever asks when, a window never holds more than the highest of them allows.
    #[test]
    fn never_beyond(asks in prop::collection::vec((0_u64..400, 1_u32..80, 0_u32..3_000), 1..300)) {
        let mut grantor = grantor();
        let mut now = BEGUN;
        let mut sent = Vec::new();
        for (pause, tenths, max_wait_ms) in asks {
            now = now + pause;
            let rate = f64::from(tenths) / 10.0;
            if let PermitAnswer::Granted { delay_ms } = grantor.decide(now, &question(rate, max_wait_ms)) {
                prop_assert!(delay_ms <= max_wait_ms);
                sent.push((now + u64::from(delay_ms)).0);
            }
        }
        prop_assert!(most_in_window(&sent) as f64 <= 8.0 * 4.0 + 8.0 * 0.25 + 1.0);
    }
}
