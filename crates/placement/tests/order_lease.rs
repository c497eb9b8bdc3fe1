//! The lease of the host that gives orders.

use rstest::rstest;
use vanetally_placement::{OrderLease, OrderLeaseAction, OrderLeaseEvent, OrderLeaseOptions};
use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);
const OPTIONS: OrderLeaseOptions =
    OrderLeaseOptions { ttl_ms: 2_000, settle_ms: 300, resettle_ms: 3_300 };
const LEASE: LeaseId = LeaseId::new(Era(0), 7);

/// A process that started long ago and hears that nobody holds the key.
fn follower() -> OrderLease {
    let mut order_lease = OrderLease::new(Tick(0), OPTIONS);
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    order_lease
}

/// Takes the key at `now`.
fn take(order_lease: &mut OrderLease, now: Tick, token: u64) {
    assert_eq!(
        order_lease.handle(now, OrderLeaseEvent::Tick),
        [OrderLeaseAction::Grant { ttl_ms: 2_000 }]
    );
    let granted = OrderLeaseEvent::Granted { sent: now, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(now, granted), [OrderLeaseAction::WriteKey { lease: LEASE }]);
    order_lease.handle(now, OrderLeaseEvent::KeyWritten(Revision::without_era(token)));
}

fn holder() -> OrderLease {
    let mut order_lease = follower();
    take(&mut order_lease, START, 40);
    order_lease
}

#[test]
fn unknown_holder_waits() {
    let mut order_lease = OrderLease::new(Tick(0), OPTIONS);
    assert!(
        order_lease.handle(START, OrderLeaseEvent::Tick).is_empty(),
        "nobody told whether one lives"
    );
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(Some("other".into())));
    assert!(order_lease.handle(START, OrderLeaseEvent::Tick).is_empty());
}

#[test]
fn lost_store_waits() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::StoreLost);
    assert!(order_lease.handle(START, OrderLeaseEvent::Tick).is_empty());
}

#[test]
fn settles_first() {
    let order_lease = holder();
    assert_eq!(order_lease.token(START + 299), None);
    assert_eq!(order_lease.token(START + 300), Some(FencingToken(40)));
}

#[test]
fn young_process_settles_longer() {
    let mut order_lease = OrderLease::new(START, OPTIONS);
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    take(&mut order_lease, START, 40);
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    order_lease.handle(START + 2_000, OrderLeaseEvent::Renewed { sent: START + 2_000 });
    assert_eq!(
        order_lease.token(START + 3_200),
        None,
        "an earlier life may have ordered just before"
    );
    assert_eq!(order_lease.token(START + 3_300), Some(FencingToken(40)));
}

#[test]
fn retaken_settles_longer() {
    let mut order_lease = holder();
    assert_eq!(
        order_lease.handle(START + 500, OrderLeaseEvent::LeaseExpired),
        [OrderLeaseAction::End { lease: LEASE }]
    );
    let again = START + 1_000;
    take(&mut order_lease, again, 50);
    order_lease.handle(again, OrderLeaseEvent::Renewed { sent: again + 1_500 });
    order_lease.handle(again, OrderLeaseEvent::Renewed { sent: again + 3_000 });
    assert_eq!(
        order_lease.token(again + 3_200),
        None,
        "it must not take turns with the one between"
    );
    assert_eq!(order_lease.token(again + 3_300), Some(FencingToken(50)));
}

/// A holder that is paused, or whose renewals go unanswered, stops before the store ends its lease.
#[rstest]
#[case(1_599, true)]
#[case(1_600, false)]
#[case(60_000, false)]
fn unrenewed_stops(#[case] after: u64, #[case] may_order: bool) {
    let order_lease = holder();
    assert_eq!(order_lease.token(START + after).is_some(), may_order);
}

/// The store is away for eight seconds and no lease runs out meanwhile: the first renewal that it answers is enough.
#[test]
fn outlives_outage() {
    let mut order_lease = holder();
    let mut renewals = 0;
    for at in (0..8_000).step_by(20).map(|ms| START + ms) {
        for action in order_lease.handle(at, OrderLeaseEvent::Tick) {
            assert_eq!(action, OrderLeaseAction::Renew { lease: LEASE });
            renewals += 1;
            order_lease.handle(at, OrderLeaseEvent::RenewFailed);
        }
        assert_eq!(
            order_lease.token(at).is_some(),
            (START + 300..START + 1_600).contains(&at),
            "{at:?}"
        );
    }
    assert!(renewals <= 33, "{renewals} calls");
    order_lease.handle(START + 8_010, OrderLeaseEvent::Renewed { sent: START + 8_000 });
    assert_eq!(order_lease.token(START + 8_010), Some(FencingToken(40)));
    let actions = order_lease.handle(START + 8_020, OrderLeaseEvent::LeaseExpired);
    assert_eq!(actions, [OrderLeaseAction::End { lease: LEASE }], "another one may have the key");
}

#[test]
fn renewal_counts_from_sending() {
    let mut order_lease = holder();
    let late = OrderLeaseEvent::Renewed { sent: START + 100 };
    order_lease.handle(START + 1_500, late);
    assert!(order_lease.token(START + 1_699).is_some());
    assert!(order_lease.token(START + 1_700).is_none());
}

#[rstest]
#[case(OrderLeaseEvent::Fenced)]
#[case(OrderLeaseEvent::LeaseExpired)]
#[case(OrderLeaseEvent::Stop)]
fn ends_at_once(#[case] event: OrderLeaseEvent) {
    let mut order_lease = holder();
    let actions = order_lease.handle(START + 400, event);
    assert_eq!(actions, [OrderLeaseAction::End { lease: LEASE }]);
    assert_eq!(order_lease.token(START + 400), None);
}

#[test]
fn stopped_stays_out() {
    let mut order_lease = holder();
    order_lease.handle(START + 400, OrderLeaseEvent::Stop);
    order_lease.handle(START + 400, OrderLeaseEvent::HolderSeen(None));
    assert!(order_lease.handle(START + 10_000, OrderLeaseEvent::Tick).is_empty());
}

/// Without an answer the key may be written later: its lease is given back, the token never used.
#[test]
fn unanswered_take() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Tick);
    order_lease
        .handle(START, OrderLeaseEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 });
    let actions = order_lease.handle(START + 1_200, OrderLeaseEvent::KeyNotWritten);
    assert_eq!(actions, [OrderLeaseAction::End { lease: LEASE }]);
    order_lease.handle(START + 1_300, OrderLeaseEvent::KeyWritten(Revision::without_era(60)));
    assert_eq!(order_lease.token(START + 1_700), None);
}

#[test]
fn late_grant_given_back() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Tick);
    order_lease.handle(START + 1_200, OrderLeaseEvent::GrantFailed);
    let late = OrderLeaseEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(START + 1_300, late), [OrderLeaseAction::End { lease: LEASE }]);
}

#[test]
fn ranks_try_in_turn() {
    let mut order_lease = OrderLease::new(Tick(0), OPTIONS);
    order_lease.set_rank(5);
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(Some("other".into())));
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    assert!(order_lease.handle(START + 100, OrderLeaseEvent::Tick).is_empty());
    assert!(!order_lease.handle(START + 200, OrderLeaseEvent::Tick).is_empty());
}

fn returned(own: Option<u64>) -> OrderLeaseEvent {
    let era = Era(1);
    OrderLeaseEvent::StoreRestored { era, own_key: own.map(|number| Revision::new(era, number)) }
}

/// Takes the key of era 1 at `now`; gives back the first moment at which orders are given, within ten seconds.
fn take_again(order_lease: &mut OrderLease, now: Tick) -> Option<u64> {
    assert_eq!(
        order_lease.handle(now, OrderLeaseEvent::Tick),
        [OrderLeaseAction::Grant { ttl_ms: 2_000 }]
    );
    let lease = LeaseId::new(Era(1), 8);
    let granted = OrderLeaseEvent::Granted { sent: now, lease, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(now, granted), [OrderLeaseAction::WriteKey { lease }]);
    order_lease.handle(now, OrderLeaseEvent::KeyWritten(Revision::new(Era(1), 5)));
    (0..10_000).step_by(100).find(|ms| {
        let then = now + *ms;
        order_lease.handle(then, OrderLeaseEvent::Renewed { sent: then });
        order_lease.token(then).is_some()
    })
}

/// The copy has the key, and the last renewal still covers: orders go on, with the same token.
#[test]
fn returned_with_key() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    assert_eq!(order_lease.handle(START + 1_500, returned(Some(40))), []);
    order_lease.handle(START + 1_500, OrderLeaseEvent::HolderSeen(Some("me".into())));
    assert_eq!(order_lease.token(START + 1_600), Some(FencingToken(40)));
    let renew = [OrderLeaseAction::Renew { lease: LeaseId::new(Era(1), 7) }];
    assert_eq!(order_lease.handle(START + 1_600, OrderLeaseEvent::Tick), renew, "in the new era");
}

/// The copy has the key, but another host may have had it since: it is given up first.
#[test]
fn returned_with_key_too_late() {
    let mut order_lease = holder();
    let end = [OrderLeaseAction::End { lease: LeaseId::new(Era(1), 7) }];
    assert_eq!(order_lease.handle(START + 1_700, returned(Some(40))), end);
    order_lease.handle(START + 1_700, OrderLeaseEvent::HolderSeen(None));
    assert_eq!(take_again(&mut order_lease, START + 1_700), Some(3_300));
}

/// The copy has a key of this host's from before.
#[test]
fn returned_with_older_key() {
    let mut order_lease = holder();
    assert_eq!(order_lease.handle(START + 1_000, returned(Some(12))), []);
    order_lease.handle(START + 1_000, OrderLeaseEvent::HolderSeen(Some("me".into())));
    assert_eq!(order_lease.token(START + 1_000), None);
    assert!(
        order_lease.handle(START + 1_100, OrderLeaseEvent::Tick).is_empty(),
        "it runs out first"
    );
}

/// Nobody can have given orders since: it goes on with the next key, and a higher token.
#[test]
fn returned_without_key() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    assert_eq!(order_lease.handle(START + 1_500, returned(None)), []);
    assert_eq!(order_lease.token(START + 1_500), None);
    order_lease.handle(START + 1_500, OrderLeaseEvent::HolderSeen(None));
    assert_eq!(take_again(&mut order_lease, START + 1_500), Some(0));
    assert_eq!(order_lease.token(START + 1_500), Some(FencingToken((1 << 40) + 5)));
}

/// Its cover is over: it waits as others do, and as one that has held before.
#[test]
fn returned_without_key_too_late() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_500, returned(None));
    order_lease.handle(START + 1_500, OrderLeaseEvent::HolderSeen(None));
    assert_eq!(take_again(&mut order_lease, START + 1_700), Some(3_300));
}

/// Another host lets the one that held try first, then waits until it can't act any more.
#[test]
fn successor_waits_out() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(Some("other".into())));
    order_lease.handle(START + 1_000, returned(None));
    order_lease.handle(START + 1_000, OrderLeaseEvent::HolderSeen(None));
    assert!(
        order_lease.handle(START + 1_240, OrderLeaseEvent::Tick).is_empty(),
        "the holder goes first"
    );
    assert_eq!(
        take_again(&mut order_lease, START + 1_250),
        Some(2_100),
        "a lease after the return"
    );
}

/// A lease of an era that is over is another host's now.
#[test]
fn granted_before_return() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Tick);
    order_lease.handle(START + 100, returned(None));
    let granted = OrderLeaseEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(START + 200, granted), []);
}

/// Two eras in a row: another host may have held the key in the one between.
#[test]
fn returned_twice() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    order_lease
        .handle(START + 1_100, OrderLeaseEvent::StoreRestored { era: Era(2), own_key: None });
    order_lease.handle(START + 1_100, OrderLeaseEvent::HolderSeen(None));
    order_lease.handle(START + 1_100, OrderLeaseEvent::Tick);
    let lease = LeaseId::new(Era(2), 8);
    order_lease.handle(
        START + 1_100,
        OrderLeaseEvent::Granted { sent: START + 1_100, lease, ttl_ms: 2_000 },
    );
    order_lease.handle(START + 1_100, OrderLeaseEvent::KeyWritten(Revision::new(Era(2), 5)));
    assert_eq!(order_lease.token(START + 1_400), None);
}
