//! Whether the store answers this host, and how long it waits for missing keys.

use rstest::rstest;
use vanetally_fanout::{StoreContact, StoreState};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);
const CONTACT_MS: u64 = 3_000;
/// Time after the store's return within which live upstreams have written their keys again.
const REWRITE_MS: u64 = 2_000;
const TICK_MS: u64 = 20;

fn answered_contact() -> StoreContact {
    let mut contact = StoreContact::new(CONTACT_MS);
    contact.record_answer(START, START);
    contact
}

#[test]
fn steady_store() {
    let mut contact = answered_contact();
    for second in 1..10 {
        let now = START + second * 1_000;
        contact.record_answer(now, now);
        assert!(!contact.may_miss_keys(now));
    }
}

/// A single failed call is no outage: the keys read next are complete.
#[test]
fn single_failure() {
    let mut contact = answered_contact();
    contact.record_failure(START + 100);
    contact.record_answer(START + 400, START + 400);
    assert!(!contact.may_miss_keys(START + 400));
}

#[test]
fn outage_by_failures() {
    let mut contact = answered_contact();
    contact.record_failure(START + 100);
    contact.record_failure(START + 900);
    assert_eq!(contact.unanswered_ms(START + 1_200), 1_100);
    assert!(contact.may_miss_keys(START + 1_200));
    contact.record_answer(START + 3_000, START + 3_000);
    assert!(contact.may_miss_keys(START + 5_000));
    assert!(!contact.may_miss_keys(START + 5_300), "an upstream without a key by now has left");
}

/// A call that was lost long ago and is abandoned only now says nothing about the present.
#[test]
fn late_failure() {
    let mut contact = answered_contact();
    contact.record_answer(START + 1_500, START + 1_510);
    contact.record_failure(START + 1_000);
    assert!(!contact.may_miss_keys(START + 2_100));
}

#[test]
fn outage_by_silence() {
    let mut contact = answered_contact();
    contact.record_answer(START + 6_000, START + 6_000);
    assert!(contact.may_miss_keys(START + 6_100));
}

/// The wait counts from the store's return, not from the deletion of the key. Otherwise a key deleted 1.4 s after the
/// return is waited for until 3.6 s after it, and the upstream gets requests for two seconds after it has left.
#[test]
fn wait_counts_from_return() {
    let mut contact = answered_contact();
    contact.record_failure(START + 100);
    contact.record_answer(START + 3_000, START + 3_000);
    assert_eq!(contact.missing_key_wait_ms(START + 3_000), 2_200);
    assert_eq!(contact.missing_key_wait_ms(START + 4_400), 800);
}

#[test]
fn store_still_away() {
    let mut contact = answered_contact();
    contact.record_failure(START + 100);
    assert_eq!(contact.missing_key_wait_ms(START + 1_500), 2_200);
}

/// If a deployment gives hosts less time, the wait is shorter.
#[test]
fn wait_within_contact() {
    let mut contact = StoreContact::new(2_000);
    contact.record_answer(START, START);
    contact.record_failure(START + 100);
    contact.record_answer(START + 3_000, START + 3_000);
    assert!(contact.missing_key_wait_ms(START + 3_000) < 2_000);
}

/// Simulates a store whose calls are lost from `lost` to `back` and that answers in 5 ms otherwise. Returns the times
/// of the first answer after the outage and of the end of the wait for missing keys.
fn outage(lost: u64, back: u64) -> (u64, u64) {
    let mut contact = answered_contact();
    let mut returned = None;
    for at in (0..20_000).step_by(TICK_MS as usize) {
        let now = START + at;
        let is_probe = contact.should_probe(now, false);
        if is_probe && !(lost..back).contains(&at) && contact.record_answer(now, now + 5) {
            returned.get_or_insert(at);
        }
        if let Some(returned) = returned {
            return (returned, returned + contact.missing_key_wait_ms(START + returned));
        }
    }
    panic!("the return was not detected");
}

/// Whenever the store returns, upstreams that have left are known within `CONTACT_MS`, and live ones have had the time
/// to write their keys.
#[rstest]
fn outage_of_any_length(#[values(0, 140, 333, 990)] phase: u64) {
    for length in (1_700..9_000).step_by(110) {
        let (lost, back) = (2_000 + phase, 2_000 + phase + length);
        let (returned, wait_end) = outage(lost, back);
        assert!(returned >= back && returned <= back + 250, "{returned} after {back}");
        assert!(wait_end < back + CONTACT_MS - 400, "{wait_end} after {back}");
        assert!(wait_end >= back + REWRITE_MS, "{wait_end} after {back}");
    }
}

/// Slow answers are no sign of a return: pending calls are not abandoned.
#[test]
fn slow_store() {
    let mut contact = answered_contact();
    for second in 1..5 {
        let sent = START + second * 1_000;
        contact.should_probe(sent, false);
        assert!(!contact.record_answer(sent, sent + 800));
    }
}

#[test]
fn few_probes_while_steady() {
    let mut contact = answered_contact();
    let mut probes = 0;
    for at in (0..10_000).step_by(TICK_MS as usize) {
        let now = START + at;
        if contact.should_probe(now, false) {
            probes += 1;
            contact.record_answer(now, now + 5);
        }
    }
    assert!(probes <= 10, "{probes}");
}

#[test]
fn state_reported_by_source() {
    let mut reader = answered_contact();
    reader.record_failure(START + 100);
    assert_eq!(reader.state(START + 2_000), StoreState::Away);
    reader.record_answer(START + 3_000, START + 3_000);
    assert_eq!(reader.state(START + 3_500), StoreState::Returned { ms_ago: 500 });
    assert_eq!(reader.state(START + 6_000), StoreState::Steady);

    let mut follower = answered_contact();
    follower.record_answer(START + 3_400, START + 3_400);
    follower.record_peer_state(START + 3_500, StoreState::Returned { ms_ago: 500 });
    assert!(follower.may_miss_keys(START + 3_500), "it did not observe the outage itself");
    assert_eq!(follower.missing_key_wait_ms(START + 3_500), 1_700, "counts from the return");
}

/// A host that others depend on renews leases four times a second and still sends its probes.
#[test]
fn probes_despite_renewals() {
    let mut contact = answered_contact();
    let (mut probed, mut longest_ms) = (START, 0);
    for at in (0..6_000).step_by(TICK_MS as usize).map(|ms| START + ms) {
        if at.since(START) % 240 == 0 {
            contact.record_answer(at, at);
        }
        if contact.should_probe(at, true) {
            contact.record_answer(at, at + 4);
            longest_ms = longest_ms.max(at.since(probed));
            probed = at;
        }
    }
    assert!(longest_ms <= 520 && probed > START + 5_000, "{longest_ms} ms, last at {probed:?}");
}
