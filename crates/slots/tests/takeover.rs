//! A host that becomes the owner while requests of other owners run.

mod support;

use support::{GRANTED, START, host, request};
use vanetally_slots::{Change, Owner, SlotAnswer, SlotRequest};
use vanetally_types::Tick;

fn ask(owner: &mut Owner, now: Tick, number: u64, reported: u32) -> SlotAnswer {
    let brief = SlotRequest { wait_ms: 0, ..request() };
    let replies = owner.acquire(now, (&host(), number), &brief, reported);
    replies.last().expect("an answer").answer
}

/// Guards against slots that the new owner grants although requests of the previous one run.
#[test]
fn running_requests_count() {
    let mut owner = Owner::default();
    assert_eq!(ask(&mut owner, START, 0, 2), SlotAnswer::Granted);
    assert!(matches!(ask(&mut owner, START, 1, 2), SlotAnswer::Busy { .. }));
    assert!(matches!(owner.take_changes()[..], [(_, Change::TakenOver { running: 2 })]));
    // One of them has ended by the reports.
    assert_eq!(ask(&mut owner, START + 50, 2, 1), SlotAnswer::Granted);
}

/// Guards against an owner that counts its own requests twice, as grants and by the reports.
#[test]
fn own_grants_count_once() {
    let mut owner = Owner::default();
    for number in 0..GRANTED {
        let now = START + 2_000 + number;
        assert_eq!(ask(&mut owner, now, number, 0), SlotAnswer::Granted);
    }
    assert!(matches!(ask(&mut owner, START + 2_400, 9, GRANTED as u32), SlotAnswer::Busy { .. }));
}

/// Guards against reports that keep an owner from granting for good.
#[test]
fn reports_count_for_a_while() {
    let mut owner = Owner::default();
    assert!(matches!(ask(&mut owner, START, 0, 9), SlotAnswer::Busy { .. }));
    assert!(matches!(ask(&mut owner, START + 400, 1, 9), SlotAnswer::Busy { .. }));
    assert!(matches!(ask(&mut owner, START + 800, 2, 9), SlotAnswer::Busy { .. }));
    assert_eq!(ask(&mut owner, START + 1_100, 3, 9), SlotAnswer::Granted);
}

/// Nobody asked for half a second: other hosts may have asked another owner.
#[test]
fn returning_owner() {
    let mut owner = Owner::default();
    assert_eq!(ask(&mut owner, START, 0, 0), SlotAnswer::Granted);
    assert!(matches!(ask(&mut owner, START + 600, 1, 3), SlotAnswer::Busy { .. }));
}
