//! Order and bounds of the requests that wait at the grantor.

mod common;

use common::{RATE, START, grantor, replies, request, spend_all};
use vanetally_quota::{QuotaAnswer, Rank};

/// An urgent request must not wait behind routine ones of the same organisation that came before.
#[test]
fn rank_goes_first() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    for number in 0..3 {
        let answer = grantor.request(START, request(number, Rank(1, 2), 1_000, 2_000));
        assert!(matches!(answer, QuotaAnswer::Queued { .. }), "{answer:?}");
    }
    let urgent = grantor.request(START, request(9, Rank(1, 0), 1_000, 2_000));
    assert!(
        matches!(urgent, QuotaAnswer::Queued { expected_ms } if expected_ms <= 10),
        "{urgent:?}"
    );
    let granted = replies(&mut grantor, START, 420);
    let order: Vec<u64> = granted.iter().map(|(_, number, _)| *number).collect();
    assert_eq!(order, [9, 0, 1, 2]);
}

/// Of two requests of the same rank, the one with the nearer deadline goes first.
#[test]
fn nearer_deadline_goes_first() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    grantor.request(START, request(1, Rank(1, 1), 1_000, 3_000));
    grantor.request(START, request(2, Rank(1, 1), 1_000, 500));
    let granted = replies(&mut grantor, START, 400);
    assert_eq!(granted.iter().map(|(_, number, _)| *number).collect::<Vec<_>>(), [2, 1]);
}

/// Many small requests must not starve a costly urgent one, and the costly one must not block the
/// others for longer than the bucket takes for it.
#[test]
fn costly_request() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    grantor.request(START, request(1_000, Rank(1, 0), 5_000, 2_000));
    let (mut costly_at, mut small_at) = (None, None);
    for ms in (0..1_500).step_by(5) {
        let now = START + ms;
        grantor.request(now, request(ms, Rank(1, 1), 10, 1_000));
        grantor.serve(now);
        for reply in grantor.take_replies() {
            let is_granted = matches!(reply.answer, QuotaAnswer::Granted { .. });
            match reply.to.number {
                _ if !is_granted => {}
                1_000 => costly_at = costly_at.or(Some(ms)),
                _ => small_at = small_at.or(Some(ms)),
            }
        }
    }
    assert!(costly_at.expect("granted") <= 110, "{costly_at:?}");
    let turn_ms = (5_000.0 / RATE * 1_000.0) as u64;
    let small_at = small_at.expect("granted");
    assert!((turn_ms..turn_ms + 130).contains(&small_at), "{small_at}");
}

/// A routine request must not wait for a turn that the more urgent ones yet to come will take.
#[test]
fn forecast_counts_urgent_flow() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    for ms in (0..2_000).step_by(10) {
        // Nine tenths of the quota.
        grantor.request(START + ms, request(ms, Rank(1, 0), 90, 300));
    }
    let now = START + 2_000;
    spend_all(&mut grantor, now);
    let queued = (0..40).filter(|number| {
        let answer = grantor.request(now, request(5_000 + number, Rank(1, 2), 1_000, 2_000));
        matches!(answer, QuotaAnswer::Queued { .. })
    });
    // The whole rate would serve 20 of them in time.
    assert!((3..=6).contains(&queued.count()));
}

/// A request that would wait for longer than it may is refused at once, with the time at which the
/// requests before it have been served.
#[test]
fn refused_at_once() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    for number in 0..5 {
        grantor.request(START, request(number, Rank(1, 1), 1_000, 1_000));
    }
    let answer = grantor.request(START, request(7, Rank(1, 1), 1_000, 300));
    // With a deadline before those of the others it would be granted first.
    assert!(matches!(answer, QuotaAnswer::Queued { .. }), "{answer:?}");
    let answer = grantor.request(START, request(8, Rank(1, 2), 1_000, 300));
    let QuotaAnswer::Refused { retry_ms } = answer else { panic!("{answer:?}") };
    assert!((600..=1_000).contains(&retry_ms), "{retry_ms}");
}

/// The queue holds what the quota serves within the longest wait that its requests state; a more
/// urgent request displaces the last of the least urgent ones, which is refused.
#[test]
fn displaced_by_more_urgent() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    let mut queued = 0;
    for number in 0..40 {
        let answer = grantor.request(START, request(number, Rank(1, 2), 1_000, 1_000));
        queued += usize::from(matches!(answer, QuotaAnswer::Queued { .. }));
    }
    assert!((9..=11).contains(&queued), "{queued}");
    let urgent = grantor.request(START, request(99, Rank(1, 0), 1_000, 1_000));
    assert!(matches!(urgent, QuotaAnswer::Queued { .. }), "{urgent:?}");
    let replies = grantor.take_replies();
    assert_eq!(replies.len(), 1, "{replies:?}");
    assert_eq!(replies[0].to.number, queued as u64 - 1);
    assert!(matches!(replies[0].answer, QuotaAnswer::Refused { .. }));
    assert_eq!(grantor.waiting(), queued);
}

/// A routine request that more urgent ones delay is told so before its host gives up, and is refused
/// once it can't be granted in time.
#[test]
fn delayed_by_more_urgent() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    grantor.request(START, request(1, Rank(1, 2), 1_000, 600));
    let mut told = Vec::new();
    for ms in (0..700).step_by(20) {
        let now = START + ms;
        if ms < 500 {
            grantor.request(now, request(100 + ms, Rank(1, 0), 400, 300));
        }
        grantor.serve(now);
        let replies = grantor.take_replies().into_iter().filter(|reply| reply.to.number == 1);
        told.extend(replies.map(|reply| (ms, reply.answer)));
    }
    assert!(
        matches!(told.first(), Some((ms, QuotaAnswer::Queued { .. })) if *ms <= 260),
        "{told:?}"
    );
    assert!(
        matches!(told.last(), Some((ms, QuotaAnswer::Refused { .. })) if *ms <= 640),
        "{told:?}"
    );
}

/// Requests that cost nothing, and so wait for no time, are bounded by their number.
#[test]
fn bounded_in_number() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    grantor.request(START, request(0, Rank(1, 0), 2_000, 2_000));
    let waits = (1..5_000).filter(|number| {
        let answer = grantor.request(START, request(*number, Rank(1, 1), 0, 2_000));
        matches!(answer, QuotaAnswer::Queued { .. })
    });
    assert_eq!(waits.count(), 1_023);
}

/// Without the setting, and for hosts of earlier builds, the answer is given at once.
#[test]
fn no_wait_for_earlier_builds() {
    let mut plain = vanetally_quota::Grantor::default();
    plain.configure(START, common::quotas());
    plain.set_granting(START, true);
    let mut with_queue = grantor();
    for grantor in [&mut plain, &mut with_queue] {
        spend_all(grantor, START);
        let earlier =
            vanetally_quota::SpendRequest { rank: None, ..request(1, Rank(0, 0), 1_000, 0) };
        let answer = grantor.request(START, earlier);
        let QuotaAnswer::Refused { retry_ms } = answer else { panic!("{answer:?}") };
        assert!((90..=110).contains(&retry_ms), "{retry_ms}");
    }
    let answer = plain.request(START, request(2, Rank(0, 0), 1_000, 2_000));
    assert!(matches!(answer, QuotaAnswer::Refused { .. }), "{answer:?}");
}

/// A quota that is removed no longer limits what waits for it; one that is lowered delays it.
#[test]
fn changed_quota() {
    let mut grantor = grantor();
    spend_all(&mut grantor, START);
    grantor.request(START, request(1, Rank(1, 1), 1_000, 2_000));
    grantor.configure(START, std::collections::HashMap::new());
    let replies = grantor.take_replies();
    assert!(matches!(replies[0].answer, QuotaAnswer::Granted { .. }), "{replies:?}");
    assert_eq!(grantor.waiting(), 0);
}
