//! Order in which waiting requests get slots.

mod support;

use support::{GRANTED, START, ask, full_owner, host, release, request};
use vanetally_slots::{Owner, Rank, SlotAnswer, SlotEnd, SlotRequest};

/// Ends grants one after the other; returns the numbers in the order in which they were granted.
fn drain(owner: &mut Owner, count: u64) -> Vec<u64> {
    let mut open: Vec<u64> = (0..GRANTED).collect();
    let mut order = Vec::new();
    while (order.len() as u64) < count {
        let next = release(owner, START + 10, open.remove(0), SlotEnd::Used);
        open.extend(&next);
        order.extend(next);
    }
    order
}

/// Guards against service in the order of arrival.
#[test]
fn rank_then_lateness_then_deadline() {
    let mut owner = full_owner(START);
    let requests = [
        (10, SlotRequest { is_late: true, ..request() }),
        (11, SlotRequest { wait_ms: 900, ..request() }),
        (12, SlotRequest { wait_ms: 800, ..request() }),
        (13, SlotRequest { rank: Rank(0, 1), ..request() }),
    ];
    for (number, request) in requests {
        let answer = ask(&mut owner, START, number, &request);
        assert!(matches!(answer, SlotAnswer::Queued { .. }), "{number} {answer:?}");
    }
    assert_eq!(drain(&mut owner, 4), [13, 12, 11, 10]);
}

/// Guards against a queue in which requests wait in vain.
#[test]
fn busy_beyond_wait() {
    let mut owner = full_owner(START);
    let brief = SlotRequest { wait_ms: 0, ..request() };
    let answer = ask(&mut owner, START, 10, &brief);
    assert!(matches!(answer, SlotAnswer::Busy { retry_ms } if retry_ms > 0), "{answer:?}");
    let mut queued = 0;
    let answer = loop {
        let answer = ask(&mut owner, START, 100 + queued, &request());
        match answer {
            SlotAnswer::Queued { .. } => queued += 1,
            other => break other,
        }
    };
    assert!(matches!(answer, SlotAnswer::Busy { retry_ms } if retry_ms > 1_000), "{answer:?}");
    assert!(queued > 30 && owner.waiting() as u64 == queued, "{queued}");
}

/// Guards against a late request that waits behind a queue that is never empty.
#[test]
fn late_one_behind_others() {
    let mut owner = full_owner(START);
    ask(&mut owner, START, 10, &request());
    let late = SlotRequest { is_late: true, ..request() };
    let answer = ask(&mut owner, START, 11, &late);
    assert!(matches!(answer, SlotAnswer::Busy { retry_ms } if retry_ms > 1_000), "{answer:?}");
}

/// Urgent requests arrive all the time. Guards against others that never get a slot.
#[test]
fn least_urgent_gets_share() {
    let mut owner = full_owner(START);
    ask(&mut owner, START, 1_000, &SlotRequest { rank: Rank(2, 2), ..request() });
    let mut open: Vec<u64> = (0..GRANTED).collect();
    let position = (0..100).position(|turn| {
        ask(&mut owner, START, 2_000 + turn, &SlotRequest { rank: Rank(0, 0), ..request() });
        let next = release(&mut owner, START, open.remove(0), SlotEnd::Used);
        open.extend(&next);
        next.contains(&1_000)
    });
    assert!(position.is_some_and(|position| position < 8), "{position:?}");
}

/// Guards against requests that wait longer than they may.
#[test]
fn wait_is_over() {
    let mut owner = full_owner(START);
    ask(&mut owner, START, 10, &SlotRequest { wait_ms: 100, ..request() });
    assert_eq!(owner.waiting(), 1);
    let replies = owner.tick(START + 101, |_| 0);
    assert!(matches!(replies[0].answer, SlotAnswer::Busy { .. }), "{replies:?}");
    assert_eq!(owner.waiting(), 0);
}

/// Guards against a request that finds no place in the queue, is told of a short wait, and so asks
/// again at once, over and over.
#[test]
fn queue_is_full() {
    const MAX_WAITING: u64 = 256;
    let mut owner = full_owner(START);
    // Grants that end at once make the expected waits short.
    for number in 1_000..1_100 {
        ask(&mut owner, START, number, &request());
        release(&mut owner, START, number - if number < 1_003 { 1_000 } else { 3 }, SlotEnd::Used);
    }
    let wait_ms = 2_000;
    let patient = SlotRequest { wait_ms, hold_ms: 9_000, ..request() };
    for number in 0..MAX_WAITING {
        let answer = ask(&mut owner, START, 2_000 + number, &patient);
        assert!(matches!(answer, SlotAnswer::Queued { .. }), "{number} {answer:?}");
    }
    let answer = ask(&mut owner, START, 3_000, &patient);
    assert!(matches!(answer, SlotAnswer::Busy { retry_ms } if retry_ms > wait_ms), "{answer:?}");
    let urgent = SlotRequest { rank: Rank(0, 0), ..patient };
    let replies = owner.acquire(START + 500, (&host(), 4_000), &urgent, 0);
    let displaced = replies.iter().find(|reply| reply.number == 2_255).expect("displaced");
    let is_over = matches!(displaced.answer, SlotAnswer::Busy { retry_ms } if retry_ms > 1_500);
    assert!(is_over, "{displaced:?}");
    assert_eq!(owner.waiting() as u64, MAX_WAITING);
}
