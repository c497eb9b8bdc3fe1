//! The lease of the host that gives orders.

use rstest::rstest;
use vanetally_placement::{Tenure, TenureAction, TenureEvent, TenureOptions};
use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);
const OPTIONS: TenureOptions = TenureOptions { ttl_ms: 2_000, settle_ms: 300, resettle_ms: 3_300 };
const LEASE: LeaseId = LeaseId::new(Era(0), 7);

/// A process that started long ago and hears that nobody holds the key.
fn follower() -> Tenure {
    let mut tenure = Tenure::new(Tick(0), OPTIONS);
    tenure.handle(START, TenureEvent::HolderSeen(None));
    tenure
}

/// Takes the key at `now`.
fn take(tenure: &mut Tenure, now: Tick, token: u64) {
    assert_eq!(tenure.handle(now, TenureEvent::Tick), [TenureAction::Grant { ttl_ms: 2_000 }]);
    let granted = TenureEvent::Granted { sent: now, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(tenure.handle(now, granted), [TenureAction::Take { lease: LEASE }]);
    tenure.handle(now, TenureEvent::Taken(Revision::without_era(token)));
}

fn holder() -> Tenure {
    let mut tenure = follower();
    take(&mut tenure, START, 40);
    tenure
}

#[test]
fn unknown_holder_waits() {
    let mut tenure = Tenure::new(Tick(0), OPTIONS);
    assert!(tenure.handle(START, TenureEvent::Tick).is_empty(), "nobody told whether one lives");
    tenure.handle(START, TenureEvent::HolderSeen(Some("other".into())));
    assert!(tenure.handle(START, TenureEvent::Tick).is_empty());
}

#[test]
fn lost_store_waits() {
    let mut tenure = follower();
    tenure.handle(START, TenureEvent::StoreLost);
    assert!(tenure.handle(START, TenureEvent::Tick).is_empty());
}

#[test]
fn settles_first() {
    let tenure = holder();
    assert_eq!(tenure.token(START + 299), None);
    assert_eq!(tenure.token(START + 300), Some(FencingToken(40)));
}

#[test]
fn young_process_settles_longer() {
    let mut tenure = Tenure::new(START, OPTIONS);
    tenure.handle(START, TenureEvent::HolderSeen(None));
    take(&mut tenure, START, 40);
    tenure.handle(START + 1_000, TenureEvent::Renewed { sent: START + 1_000 });
    tenure.handle(START + 2_000, TenureEvent::Renewed { sent: START + 2_000 });
    assert_eq!(tenure.token(START + 3_200), None, "an earlier life may have ordered just before");
    assert_eq!(tenure.token(START + 3_300), Some(FencingToken(40)));
}

#[test]
fn retaken_settles_longer() {
    let mut tenure = holder();
    assert_eq!(
        tenure.handle(START + 500, TenureEvent::LeaseOver),
        [TenureAction::End { lease: LEASE }]
    );
    let again = START + 1_000;
    take(&mut tenure, again, 50);
    tenure.handle(again, TenureEvent::Renewed { sent: again + 1_500 });
    tenure.handle(again, TenureEvent::Renewed { sent: again + 3_000 });
    assert_eq!(tenure.token(again + 3_200), None, "it must not take turns with the one between");
    assert_eq!(tenure.token(again + 3_300), Some(FencingToken(50)));
}

/// A holder that is paused, or whose renewals go unanswered, stops before the store ends its lease.
#[rstest]
#[case(1_599, true)]
#[case(1_600, false)]
#[case(60_000, false)]
fn unrenewed_stops(#[case] after: u64, #[case] may_order: bool) {
    let tenure = holder();
    assert_eq!(tenure.token(START + after).is_some(), may_order);
}

/// The store is away for eight seconds and no lease runs out meanwhile: the first renewal that it answers is enough.
#[test]
fn outlives_outage() {
    let mut tenure = holder();
    let mut renewals = 0;
    for at in (0..8_000).step_by(20).map(|ms| START + ms) {
        for action in tenure.handle(at, TenureEvent::Tick) {
            assert_eq!(action, TenureAction::Renew { lease: LEASE });
            renewals += 1;
            tenure.handle(at, TenureEvent::RenewFailed);
        }
        assert_eq!(
            tenure.token(at).is_some(),
            (START + 300..START + 1_600).contains(&at),
            "{at:?}"
        );
    }
    assert!(renewals <= 33, "{renewals} calls");
    tenure.handle(START + 8_010, TenureEvent::Renewed { sent: START + 8_000 });
    assert_eq!(tenure.token(START + 8_010), Some(FencingToken(40)));
    let actions = tenure.handle(START + 8_020, TenureEvent::LeaseOver);
    assert_eq!(actions, [TenureAction::End { lease: LEASE }], "another one may have the key");
}

#[test]
fn renewal_counts_from_sending() {
    let mut tenure = holder();
    let late = TenureEvent::Renewed { sent: START + 100 };
    tenure.handle(START + 1_500, late);
    assert!(tenure.token(START + 1_699).is_some());
    assert!(tenure.token(START + 1_700).is_none());
}

#[rstest]
#[case(TenureEvent::Fenced)]
#[case(TenureEvent::LeaseOver)]
#[case(TenureEvent::Stop)]
fn ends_at_once(#[case] event: TenureEvent) {
    let mut tenure = holder();
    let actions = tenure.handle(START + 400, event);
    assert_eq!(actions, [TenureAction::End { lease: LEASE }]);
    assert_eq!(tenure.token(START + 400), None);
}

#[test]
fn stopped_stays_out() {
    let mut tenure = holder();
    tenure.handle(START + 400, TenureEvent::Stop);
    tenure.handle(START + 400, TenureEvent::HolderSeen(None));
    assert!(tenure.handle(START + 10_000, TenureEvent::Tick).is_empty());
}

/// Without an answer the key may be written later: its lease is given back, the token never used.
#[test]
fn unanswered_take() {
    let mut tenure = follower();
    tenure.handle(START, TenureEvent::Tick);
    tenure.handle(START, TenureEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 });
    let actions = tenure.handle(START + 1_200, TenureEvent::NotTaken);
    assert_eq!(actions, [TenureAction::End { lease: LEASE }]);
    tenure.handle(START + 1_300, TenureEvent::Taken(Revision::without_era(60)));
    assert_eq!(tenure.token(START + 1_700), None);
}

#[test]
fn late_grant_given_back() {
    let mut tenure = follower();
    tenure.handle(START, TenureEvent::Tick);
    tenure.handle(START + 1_200, TenureEvent::GrantFailed);
    let late = TenureEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(tenure.handle(START + 1_300, late), [TenureAction::End { lease: LEASE }]);
}

#[test]
fn ranks_try_in_turn() {
    let mut tenure = Tenure::new(Tick(0), OPTIONS);
    tenure.set_rank(5);
    tenure.handle(START, TenureEvent::HolderSeen(Some("other".into())));
    tenure.handle(START, TenureEvent::HolderSeen(None));
    assert!(tenure.handle(START + 100, TenureEvent::Tick).is_empty());
    assert!(!tenure.handle(START + 200, TenureEvent::Tick).is_empty());
}

fn returned(own: Option<u64>) -> TenureEvent {
    let era = Era(1);
    TenureEvent::Returned { era, own: own.map(|number| Revision::new(era, number)) }
}

/// Takes the key of era 1 at `now`; gives back the first moment at which orders are given, within ten seconds.
fn take_again(tenure: &mut Tenure, now: Tick) -> Option<u64> {
    assert_eq!(tenure.handle(now, TenureEvent::Tick), [TenureAction::Grant { ttl_ms: 2_000 }]);
    let lease = LeaseId::new(Era(1), 8);
    let granted = TenureEvent::Granted { sent: now, lease, ttl_ms: 2_000 };
    assert_eq!(tenure.handle(now, granted), [TenureAction::Take { lease }]);
    tenure.handle(now, TenureEvent::Taken(Revision::new(Era(1), 5)));
    (0..10_000).step_by(100).find(|ms| {
        let then = now + *ms;
        tenure.handle(then, TenureEvent::Renewed { sent: then });
        tenure.token(then).is_some()
    })
}

/// The copy has the key, and the last renewal still covers: orders go on, with the same token.
#[test]
fn returned_with_key() {
    let mut tenure = holder();
    tenure.handle(START + 1_000, TenureEvent::Renewed { sent: START + 1_000 });
    assert_eq!(tenure.handle(START + 1_500, returned(Some(40))), []);
    tenure.handle(START + 1_500, TenureEvent::HolderSeen(Some("me".into())));
    assert_eq!(tenure.token(START + 1_600), Some(FencingToken(40)));
    let renew = [TenureAction::Renew { lease: LeaseId::new(Era(1), 7) }];
    assert_eq!(tenure.handle(START + 1_600, TenureEvent::Tick), renew, "in the new era");
}

/// The copy has the key, but another host may have had it since: it is given up first.
#[test]
fn returned_with_key_too_late() {
    let mut tenure = holder();
    let end = [TenureAction::End { lease: LeaseId::new(Era(1), 7) }];
    assert_eq!(tenure.handle(START + 1_700, returned(Some(40))), end);
    tenure.handle(START + 1_700, TenureEvent::HolderSeen(None));
    assert_eq!(take_again(&mut tenure, START + 1_700), Some(3_300));
}

/// The copy has a key of this host's from before.
#[test]
fn returned_with_older_key() {
    let mut tenure = holder();
    assert_eq!(tenure.handle(START + 1_000, returned(Some(12))), []);
    tenure.handle(START + 1_000, TenureEvent::HolderSeen(Some("me".into())));
    assert_eq!(tenure.token(START + 1_000), None);
    assert!(tenure.handle(START + 1_100, TenureEvent::Tick).is_empty(), "it runs out first");
}

/// Nobody can have given orders since: it goes on with the next key, and a higher token.
#[test]
fn returned_without_key() {
    let mut tenure = holder();
    tenure.handle(START + 1_000, TenureEvent::Renewed { sent: START + 1_000 });
    assert_eq!(tenure.handle(START + 1_500, returned(None)), []);
    assert_eq!(tenure.token(START + 1_500), None);
    tenure.handle(START + 1_500, TenureEvent::HolderSeen(None));
    assert_eq!(take_again(&mut tenure, START + 1_500), Some(0));
    assert_eq!(tenure.token(START + 1_500), Some(FencingToken((1 << 40) + 5)));
}

/// Its cover is over: it waits as others do, and as one that has held before.
#[test]
fn returned_without_key_too_late() {
    let mut tenure = holder();
    tenure.handle(START + 1_500, returned(None));
    tenure.handle(START + 1_500, TenureEvent::HolderSeen(None));
    assert_eq!(take_again(&mut tenure, START + 1_700), Some(3_300));
}

/// Another host lets the one that held try first, then waits until it can't act any more.
#[test]
fn successor_waits_out() {
    let mut tenure = follower();
    tenure.handle(START, TenureEvent::HolderSeen(Some("other".into())));
    tenure.handle(START + 1_000, returned(None));
    tenure.handle(START + 1_000, TenureEvent::HolderSeen(None));
    assert!(tenure.handle(START + 1_240, TenureEvent::Tick).is_empty(), "the holder goes first");
    assert_eq!(take_again(&mut tenure, START + 1_250), Some(2_100), "a lease after the return");
}

/// A lease of an era that is over is another host's now.
#[test]
fn granted_before_return() {
    let mut tenure = follower();
    tenure.handle(START, TenureEvent::Tick);
    tenure.handle(START + 100, returned(None));
    let granted = TenureEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(tenure.handle(START + 200, granted), []);
}

/// Two eras in a row: another host may have held the key in the one between.
#[test]
fn returned_twice() {
    let mut tenure = holder();
    tenure.handle(START + 1_000, TenureEvent::Renewed { sent: START + 1_000 });
    tenure.handle(START + 1_100, TenureEvent::Returned { era: Era(2), own: None });
    tenure.handle(START + 1_100, TenureEvent::HolderSeen(None));
    tenure.handle(START + 1_100, TenureEvent::Tick);
    let lease = LeaseId::new(Era(2), 8);
    tenure
        .handle(START + 1_100, TenureEvent::Granted { sent: START + 1_100, lease, ttl_ms: 2_000 });
    tenure.handle(START + 1_100, TenureEvent::Taken(Revision::new(Era(2), 5)));
    assert_eq!(tenure.token(START + 1_400), None);
}
