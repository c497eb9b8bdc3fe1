//! Grants of one grantor, and across successive grantors.

use proptest::prelude::*;
use std::collections::HashMap;
use vanetally_ports::{Quota, QuotaUnit};
use vanetally_quota::{Grantor, QuotaAnswer};
use vanetally_types::{Name, Tick};

const START: Tick = Tick(1_000_000);
const RATE: f64 = 10_000.0;
const UNIT: QuotaUnit = QuotaUnit::Tokens { default_tokens: 200 };

fn quota(rate: f64) -> HashMap<Name, Quota> {
    HashMap::from([("o".into(), Quota { unit: UNIT, rate, burst: rate })])
}

fn grantor(at: Tick, rate: f64) -> Grantor {
    let mut grantor = Grantor::default();
    grantor.configure(at, quota(rate));
    grantor.set_granting(at, true);
    grantor
}

/// Spends requests of 1,000 tokens every 10 ms, ten times the quota. Returns what was granted, by
/// time.
fn overload(grantor: &mut Grantor, from: Tick, millis: u64) -> Vec<(Tick, u32)> {
    let mut granted = Vec::new();
    for ms in (0..millis).step_by(10) {
        let now = from + ms;
        if let QuotaAnswer::Granted { .. } = grantor.spend(now, &"o".into(), 1_000) {
            granted.push((now, 1_000));
        }
    }
    granted
}

fn total(granted: &[(Tick, u32)]) -> f64 {
    granted.iter().map(|(_, cost)| f64::from(*cost)).sum()
}

#[test]
fn overload_is_held_to_quota() {
    let mut grantor = grantor(START, RATE);
    let first = overload(&mut grantor, START, 8_000);
    let max = RATE * 8.0 + 1_000.0;
    assert!(total(&first) <= max, "{}", total(&first));
    assert!(total(&first) >= RATE * 7.8, "nothing below the quota is refused: {}", total(&first));
}

#[test]
fn refusal_states_retry_time() {
    let mut grantor = grantor(START, RATE);
    let now = START + 1_000;
    let refused = (0..20).find_map(|_| match grantor.spend(now, &"o".into(), 1_000) {
        QuotaAnswer::Refused { retry_ms } => Some(retry_ms),
        _ => None,
    });
    let retry_ms = refused.expect("the quota is spent");
    assert!((50..=300).contains(&retry_ms), "{retry_ms}");
    let later = grantor.spend(now + retry_ms, &"o".into(), 1_000);
    assert!(matches!(later, QuotaAnswer::Granted { .. }), "{later:?}");
}

/// The lease holder is killed and another host takes over: both together stay within the quota.
#[test]
fn successor_starts_empty() {
    let mut first = Grantor::default();
    first.configure(START, quota(RATE));
    first.set_granting(START, true);
    let mut granted = overload(&mut first, START, 4_000);
    let mut second = grantor(START + 4_000, RATE);
    granted.extend(overload(&mut second, START + 4_000, 4_000));
    assert!(total(&granted) <= RATE * 8.0 + RATE + 2_000.0, "{}", total(&granted));
}

#[test]
fn no_lease_no_grant() {
    let mut grantor = grantor(START, RATE);
    grantor.set_granting(START + 10, false);
    assert_eq!(grantor.spend(START + 20, &"o".into(), 1), QuotaAnswer::NotGranting);
}

/// The store is unavailable for all: the lease can't be renewed, no other host can take it, and all
/// hosts continue to ask.
#[test]
fn store_unavailable_for_all() {
    let mut grantor = grantor(START, RATE);
    let hosts: Vec<Name> = (0..20).map(|number| format!("h{number}").as_str().into()).collect();
    hosts.iter().for_each(|host| grantor.record_client(START, host));
    assert!(grantor.may_continue(START + 1_500, 20));
    assert!(grantor.may_continue(START + 1_500, 22));
    assert!(!grantor.may_continue(START + 1_500, 23), "three may have another grantor");
    assert!(!grantor.may_continue(START + 2_001, 20), "the hosts stopped asking");
}

/// A host that never held the lease grants nothing.
#[test]
fn never_held_the_lease() {
    let mut grantor = Grantor::default();
    grantor.configure(START, quota(RATE));
    grantor.record_client(START, &"h1".into());
    assert!(!grantor.may_continue(START, 1));
}

#[test]
fn refund_is_spendable() {
    let mut grantor = grantor(START, RATE);
    let now = START + 1_000;
    let mut count = 0;
    while let QuotaAnswer::Granted { .. } = grantor.spend(now, &"o".into(), 1_000) {
        count += 1;
    }
    assert_eq!(count, 10);
    grantor.refund(&"o".into(), 1_000);
    assert!(matches!(grantor.spend(now, &"o".into(), 1_000), QuotaAnswer::Granted { .. }));
    assert!(matches!(grantor.spend(now, &"o".into(), 1_000), QuotaAnswer::Refused { .. }));
}

/// A lowered quota limits what is left of the earlier one at once.
#[test]
fn lowered_quota() {
    let mut grantor = grantor(START, RATE);
    let now = START + 2_000;
    grantor.configure(now, quota(RATE / 10.0));
    let granted = overload(&mut grantor, now, 8_000);
    assert!(total(&granted) <= RATE / 10.0 * 9.0 + 1_000.0, "{}", total(&granted));
}

#[test]
fn unlimited_organisation() {
    let mut grantor = grantor(START, RATE);
    let answer = grantor.spend(START, &"other".into(), 1_000_000);
    assert_eq!(answer, QuotaAnswer::Granted { is_below_quota: true });
}

proptest! {
    /// Whatever is requested, no window is granted more than the quota plus one request.
    #[test]
    fn any_load(asked in proptest::collection::vec((0_u64..200, 1_u32..4_000), 1..400)) {
        let mut grantor = grantor(START, RATE);
        let mut now = START;
        let mut granted: Vec<(Tick, u32)> = Vec::new();
        for (pause, cost) in asked {
            now = now + pause;
            if let QuotaAnswer::Granted { .. } = grantor.spend(now, &"o".into(), cost) {
                granted.push((now, cost));
            }
        }
        for (first, (from, _)) in granted.iter().enumerate() {
            let window: Vec<(Tick, u32)> =
                granted[first..].iter().copied().filter(|(at, _)| at.since(*from) <= 8_000).collect();
            prop_assert!(total(&window) <= RATE * 9.0 + 4_000.0);
        }
    }
}
