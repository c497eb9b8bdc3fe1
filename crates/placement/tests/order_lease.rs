//! Tests of the lease of the host that sends orders.

use rstest::rstest;
use vanetally_placement::{OrderLease, OrderLeaseAction, OrderLeaseEvent, OrderLeaseOptions};
use vanetally_ports::{Era, FencingToken, LeaseId, Revision};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);
const OPTIONS: OrderLeaseOptions =
    OrderLeaseOptions { ttl_ms: 2_000, settle_ms: 300, resettle_ms: 3_300 };
const LEASE: LeaseId = LeaseId::new(Era(0), 7);
/// Orders that have no answer are revoked before the next holder can begin.
const LEAVE: [OrderLeaseAction; 2] =
    [OrderLeaseAction::RevokeOrders, OrderLeaseAction::End { lease: LEASE }];

/// A process that started long ago and has seen that the key has no holder.
fn follower() -> OrderLease {
    let mut order_lease = OrderLease::new(Tick(0), OPTIONS);
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    order_lease
}

/// Gets a lease and writes the key at `now`.
fn write_key(order_lease: &mut OrderLease, now: Tick, token: u64) {
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
    write_key(&mut order_lease, START, 40);
    order_lease
}

#[test]
fn unknown_holder_waits() {
    let mut order_lease = OrderLease::new(Tick(0), OPTIONS);
    assert!(order_lease.handle(START, OrderLeaseEvent::Tick).is_empty(), "the holder is unknown");
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
fn waits_before_first_order() {
    let order_lease = holder();
    assert_eq!(order_lease.token(START + 299), None);
    assert_eq!(order_lease.token(START + 300), Some(FencingToken(40)));
}

#[test]
fn new_process_waits_longer() {
    let mut order_lease = OrderLease::new(START, OPTIONS);
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    write_key(&mut order_lease, START, 40);
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    order_lease.handle(START + 2_000, OrderLeaseEvent::Renewed { sent: START + 2_000 });
    assert_eq!(
        order_lease.token(START + 3_200),
        None,
        "a previous incarnation may have ordered just before"
    );
    assert_eq!(order_lease.token(START + 3_300), Some(FencingToken(40)));
}

#[test]
fn regained_key_waits_longer() {
    let mut order_lease = holder();
    assert_eq!(order_lease.handle(START + 500, OrderLeaseEvent::LeaseExpired), LEAVE);
    let again = START + 1_000;
    write_key(&mut order_lease, again, 50);
    order_lease.handle(again, OrderLeaseEvent::Renewed { sent: again + 1_500 });
    order_lease.handle(again, OrderLeaseEvent::Renewed { sent: again + 3_000 });
    assert_eq!(
        order_lease.token(again + 3_200),
        None,
        "it must not alternate with a holder in between"
    );
    assert_eq!(order_lease.token(again + 3_300), Some(FencingToken(50)));
}

/// A holder that is paused, or whose renewals are not answered, stops before its lease expires in
/// the store.
#[rstest]
#[case(1_599, true)]
#[case(1_600, false)]
#[case(60_000, false)]
fn stops_without_renewal(#[case] after: u64, #[case] may_order: bool) {
    let order_lease = holder();
    assert_eq!(order_lease.token(START + after).is_some(), may_order);
}

/// The store is unavailable for eight seconds and keeps the lease: orders resume with the first
/// answered renewal.
#[test]
fn survives_outage() {
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
    assert_eq!(actions, LEAVE, "another host may hold the key");
}

#[test]
fn renewal_counts_from_send_time() {
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
    assert_eq!(actions, LEAVE);
    assert_eq!(order_lease.token(START + 400), None);
}

/// Orders may be on their way until the end of the last renewal, and no longer than that, also if a later one is answered.
#[rstest]
#[case::before_first_order(299, 40, None)]
#[case::holding(400, 40, Some(1_600))]
#[case::another_token(400, 39, None)]
#[case::over(1_600, 40, None)]
fn orders_end_with_lease(#[case] after: u64, #[case] token: u64, #[case] until: Option<u64>) {
    let until = until.map(|until| START + until);
    assert_eq!(holder().orders_until(START + after, FencingToken(token)), until);
}

#[test]
fn stopped_never_tries() {
    let mut order_lease = holder();
    order_lease.handle(START + 400, OrderLeaseEvent::Stop);
    order_lease.handle(START + 400, OrderLeaseEvent::HolderSeen(None));
    assert!(order_lease.handle(START + 10_000, OrderLeaseEvent::Tick).is_empty());
}

/// An unanswered key write may take effect later: the lease is ended and the token never used.
#[test]
fn unanswered_key_write() {
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
fn late_grant_ended() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Tick);
    order_lease.handle(START + 1_200, OrderLeaseEvent::GrantFailed);
    let late = OrderLeaseEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(START + 1_300, late), [OrderLeaseAction::End { lease: LEASE }]);
}

#[test]
fn ranks_delay_tries() {
    let mut order_lease = OrderLease::new(Tick(0), OPTIONS);
    order_lease.set_rank(5, 6);
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(Some("other".into())));
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    assert!(order_lease.handle(START + 100, OrderLeaseEvent::Tick).is_empty());
    assert!(!order_lease.handle(START + 200, OrderLeaseEvent::Tick).is_empty());
}

fn restored(own_key: Option<u64>) -> OrderLeaseEvent {
    let era = Era(1);
    OrderLeaseEvent::StoreRestored {
        era,
        own_key: own_key.map(|number| Revision::new(era, number)),
    }
}

/// Writes the key in era 1 at `now`. Returns after how many milliseconds orders may first be sent,
/// within ten seconds.
fn write_key_in_new_era(order_lease: &mut OrderLease, now: Tick) -> Option<u64> {
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

/// The backup contains the key and the last renewal is still valid: orders continue with the same
/// token.
#[test]
fn restored_with_key() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    assert_eq!(order_lease.handle(START + 1_500, restored(Some(40))), []);
    order_lease.handle(START + 1_500, OrderLeaseEvent::HolderSeen(Some("me".into())));
    assert_eq!(order_lease.token(START + 1_600), Some(FencingToken(40)));
    let renew = [OrderLeaseAction::Renew { lease: LeaseId::new(Era(1), 7) }];
    assert_eq!(order_lease.handle(START + 1_600, OrderLeaseEvent::Tick), renew, "in the new era");
}

/// The backup contains the key, but another host may have held it since: the lease is ended first.
#[test]
fn restored_with_key_too_late() {
    let mut order_lease = holder();
    let lease = LeaseId::new(Era(1), 7);
    let leave = [OrderLeaseAction::RevokeOrders, OrderLeaseAction::End { lease }];
    assert_eq!(order_lease.handle(START + 1_700, restored(Some(40))), leave);
    order_lease.handle(START + 1_700, OrderLeaseEvent::HolderSeen(None));
    assert_eq!(write_key_in_new_era(&mut order_lease, START + 1_700), Some(3_300));
}

/// The backup contains an older key of this host.
#[test]
fn restored_with_older_key() {
    let mut order_lease = holder();
    let actions = order_lease.handle(START + 1_000, restored(Some(12)));
    assert_eq!(actions, [OrderLeaseAction::RevokeOrders]);
    order_lease.handle(START + 1_000, OrderLeaseEvent::HolderSeen(Some("me".into())));
    assert_eq!(order_lease.token(START + 1_000), None);
    assert!(
        order_lease.handle(START + 1_100, OrderLeaseEvent::Tick).is_empty(),
        "the old lease has to expire first"
    );
}

/// No other host can have sent orders since: orders continue with a new key and a higher token.
#[test]
fn restored_without_key() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_000, OrderLeaseEvent::Renewed { sent: START + 1_000 });
    let actions = order_lease.handle(START + 1_500, restored(None));
    assert_eq!(actions, [OrderLeaseAction::RevokeOrders]);
    assert_eq!(order_lease.token(START + 1_500), None);
    order_lease.handle(START + 1_500, OrderLeaseEvent::HolderSeen(None));
    assert_eq!(write_key_in_new_era(&mut order_lease, START + 1_500), Some(0));
    assert_eq!(order_lease.token(START + 1_500), Some(FencingToken((1 << 40) + 5)));
}

/// The last renewal is no longer valid: the host waits like any previous holder.
#[test]
fn restored_without_key_too_late() {
    let mut order_lease = holder();
    order_lease.handle(START + 1_500, restored(None));
    order_lease.handle(START + 1_500, OrderLeaseEvent::HolderSeen(None));
    assert_eq!(write_key_in_new_era(&mut order_lease, START + 1_700), Some(3_300));
}

/// Another host lets the previous holder try first, then waits until that one must have stopped.
#[test]
fn successor_waits() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::HolderSeen(Some("other".into())));
    order_lease.handle(START + 1_000, restored(None));
    order_lease.handle(START + 1_000, OrderLeaseEvent::HolderSeen(None));
    assert!(
        order_lease.handle(START + 1_240, OrderLeaseEvent::Tick).is_empty(),
        "the previous holder tries first"
    );
    assert_eq!(
        write_key_in_new_era(&mut order_lease, START + 1_250),
        Some(2_100),
        "one lease duration after the restore"
    );
}

/// A lease granted in a previous era may belong to another host now and is not ended.
#[test]
fn granted_before_restore() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Tick);
    order_lease.handle(START + 100, restored(None));
    let granted = OrderLeaseEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(START + 200, granted), []);
}

/// Two restores in a row: another host may have held the key in the era between.
#[test]
fn restored_twice() {
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

/// A holder that reaches no runner leaves the lease to another host.
#[test]
fn separated_holder_resigns() {
    let mut order_lease = holder();
    let at = START + 1_000;
    let actions = order_lease.handle(at, OrderLeaseEvent::Separated(true));
    assert_eq!(actions, LEAVE);
    assert_eq!(order_lease.token(at), None);
    order_lease.handle(at + 10, OrderLeaseEvent::HolderSeen(None));
    assert!(order_lease.handle(at + 5_000, OrderLeaseEvent::Tick).is_empty(), "others come first");
    order_lease.handle(at + 5_000, OrderLeaseEvent::Separated(false));
    let grant = [OrderLeaseAction::Grant { ttl_ms: 2_000 }];
    assert_eq!(order_lease.handle(at + 5_000, OrderLeaseEvent::Tick), grant);
}

/// Where all hosts are separated, the lease does not go from one to the next.
#[test]
fn separated_hosts_keep_lease() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Separated(true));
    assert!(order_lease.handle(START + 4_000, OrderLeaseEvent::Tick).is_empty());
    write_key(&mut order_lease, START + 6_000, 40);
    assert!(order_lease.handle(START + 6_000, OrderLeaseEvent::Separated(true)).is_empty());
    assert!(order_lease.is_holding(START + 6_000));
}

/// A lease that is granted after the host was separated is ended.
#[test]
fn separated_while_granting() {
    let mut order_lease = follower();
    order_lease.handle(START, OrderLeaseEvent::Tick);
    order_lease.handle(START, OrderLeaseEvent::Separated(true));
    let granted = OrderLeaseEvent::Granted { sent: START, lease: LEASE, ttl_ms: 2_000 };
    assert_eq!(order_lease.handle(START, granted), [OrderLeaseAction::End { lease: LEASE }]);
}

/// In a large fleet the first host that is not separated may come late.
#[test]
fn separated_host_comes_last() {
    const HOSTS: usize = 985;
    let mut last = follower();
    last.set_rank(HOSTS - 1, HOSTS);
    let mut separated = follower();
    separated.set_rank(0, HOSTS);
    for order_lease in [&mut last, &mut separated] {
        order_lease.handle(START, OrderLeaseEvent::HolderSeen(Some("other".into())));
    }
    separated.handle(START, OrderLeaseEvent::Separated(true));
    for order_lease in [&mut last, &mut separated] {
        order_lease.handle(START, OrderLeaseEvent::HolderSeen(None));
    }
    let first_try = |order_lease: &mut OrderLease| {
        let times = (0..60_000).step_by(20).map(|at| START + at);
        times.into_iter().find(|at| !order_lease.handle(*at, OrderLeaseEvent::Tick).is_empty())
    };
    let (last, separated) = (first_try(&mut last), first_try(&mut separated));
    assert!(last.is_some() && last < separated, "{last:?} and {separated:?}");
}
