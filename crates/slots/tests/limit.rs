//! Upstreams that reject requests although their slots are granted.

mod support;

use support::{GRANTED, START, ask, full_owner, release, request};
use vanetally_slots::{Change, Owner, SlotAnswer, SlotEnd, SlotRequest};
use vanetally_types::Tick;

/// Returns how many slots are granted at the same time.
fn limit(owner: &mut Owner, now: Tick) -> u64 {
    let brief = SlotRequest { wait_ms: 0, ..request() };
    // Numbers do not repeat.
    let first = now.0 * 100;
    let granted = (first..)
        .take_while(|number| ask(owner, now, *number, &brief) == SlotAnswer::Granted)
        .count() as u64;
    (first..first + granted).for_each(|number| drop(release(owner, now, number, SlotEnd::Unused)));
    granted
}

/// Guards against an owner that goes on granting slots which other users of the upstream take.
#[test]
fn rejections_lower_limit_for_a_while() {
    let mut owner = full_owner(START);
    for number in 0..GRANTED {
        release(&mut owner, START, number, SlotEnd::Full);
    }
    assert!(matches!(owner.take_changes()[..], [(_, Change::Lowered { .. })]));
    // One request is always let through, so that the end of the shortage shows.
    let mut owner_later = owner.clone();
    assert_eq!(ask(&mut owner, START + 1, 500, &request()), SlotAnswer::Granted);
    let answer = ask(&mut owner, START + 1, 501, &request());
    assert!(matches!(answer, SlotAnswer::Queued { .. }), "{answer:?}");
    for second in 1..=2 {
        let now = START + 1_000 * second;
        owner_later.tick(now, |_| 0);
        assert_eq!(limit(&mut owner_later, now), second + 1);
    }
    assert!(owner_later.take_changes().iter().any(|(_, change)| *change == Change::Raised));
}

/// Guards against a limit that other ends of attempts lower.
#[test]
fn other_ends_leave_limit() {
    let mut owner = full_owner(START);
    release(&mut owner, START, 0, SlotEnd::Used);
    release(&mut owner, START, 1, SlotEnd::Unused);
    release(&mut owner, START, 2, SlotEnd::Used);
    assert_eq!(limit(&mut owner, START), GRANTED);
}

/// An upstream takes one request less than is granted, for long. Guards against a rejection at each
/// of many attempts to find out.
#[test]
fn lasting_shortage() {
    let mut owner = full_owner(START);
    release(&mut owner, START, 0, SlotEnd::Full);
    let mut rejections = 0;
    for step in 1..=200 {
        let now = START + 50 * step;
        if let SlotAnswer::Granted =
            ask(&mut owner, now, 1_000_000 + step, &SlotRequest { wait_ms: 0, ..request() })
        {
            release(&mut owner, now, 1_000_000 + step, SlotEnd::Full);
            rejections += 1;
        }
        // The other two are answered and replaced by others all the time.
        for number in [1, 2] {
            release(&mut owner, now, number + 10 * (step - 1), SlotEnd::Used);
            ask(&mut owner, now, number + 10 * step, &request());
        }
    }
    assert!((3..=8).contains(&rejections), "{rejections} in 10 s");
}
