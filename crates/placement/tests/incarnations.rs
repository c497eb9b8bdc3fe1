//! The placement treats a runner that restarted under its id as a different runner.

mod support;

use support::{Holder, report, state};
use vanetally_placement::Event;
use vanetally_ports::{FencingToken, Operation, Order, OrderOutcome, Report, UpstreamState};
use vanetally_types::Incarnation;

fn incarnation(born: u64) -> Incarnation {
    Incarnation::new("r1", Some(born))
}

/// A holder without runners.
fn holder() -> Holder {
    let mut holder = Holder::configured();
    holder.handle(Event::Token(Some(FencingToken(9))));
    // Loads that an earlier holder may have started no longer count against the load limit.
    holder.advance(6_000);
    holder
}

fn announce(holder: &mut Holder, born: u64, state: UpstreamState) {
    holder.handle(Event::UpstreamSeen { id: incarnation(born), state });
}

fn remove(holder: &mut Holder, born: u64) {
    holder.handle(Event::UpstreamGone { id: incarnation(born) });
}

/// The incarnation `born` answered a report request with `report`.
fn report_from(holder: &mut Holder, born: u64, report: Report) {
    let requested_at = holder.now;
    holder.handle(Event::Reported {
        runner: incarnation(born),
        requested_at,
        report: Some(report),
    });
}

fn born_at(born: u64, report: Report) -> Report {
    Report { born: Some(born), ..report }
}

/// The order that follows a request for `model`.
fn order_for(holder: &mut Holder, model: &str) -> Option<Order> {
    holder.orders.clear();
    holder.request(model, None);
    holder.advance(100);
    holder.loads(model).last().copied().cloned()
}

fn order_for_m1(holder: &mut Holder) -> Option<Order> {
    order_for(holder, "m1")
}

/// The order count of a new incarnation is lower than that of the previous one: its reports must
/// not be ignored as stale.
#[test]
fn next_incarnation_reports() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&["m1"], 3));
    report_from(&mut holder, 1, born_at(1, report(&["m1"], 3)));
    remove(&mut holder, 1);
    announce(&mut holder, 2, state(&[], 0));
    report_from(&mut holder, 2, born_at(2, report(&[], 0)));
    let order = order_for_m1(&mut holder).expect("an order");
    assert_eq!((order.runner, order.orders_before), (incarnation(2), 0));
}

/// Both incarnations have accepted as many orders: models of the first don't count as held by the
/// second.
#[test]
fn equal_order_counts() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&["m1"], 0));
    report_from(&mut holder, 1, born_at(1, report(&["m1"], 0)));
    assert_eq!(order_for_m1(&mut holder), None, "it is held");
    remove(&mut holder, 1);
    announce(&mut holder, 2, state(&[], 0));
    report_from(&mut holder, 2, born_at(2, report(&[], 0)));
    assert_eq!(order_for_m1(&mut holder).map(|order| order.runner), Some(incarnation(2)));
}

/// A report of another incarnation says nothing about the one it was requested from.
#[test]
fn report_of_other_incarnation() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&["m2"], 0));
    report_from(&mut holder, 1, born_at(2, report(&[], 0)));
    assert_eq!(order_for_m1(&mut holder), None, "no report of this incarnation");
}

/// An order answer and a report of the previous incarnation arrive late.
#[test]
fn late_answers() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&[], 0));
    report_from(&mut holder, 1, born_at(1, report(&[], 0)));
    let order = order_for_m1(&mut holder).expect("an order");
    remove(&mut holder, 1);
    announce(&mut holder, 2, state(&[], 0));
    report_from(&mut holder, 2, born_at(2, report(&[], 0)));
    holder.answer(order, OrderOutcome::Accepted);
    report_from(&mut holder, 1, born_at(1, report(&["m1"], 1)));
    let order = order_for_m1(&mut holder).expect("an order");
    assert_eq!((order.runner, order.orders_before), (incarnation(2), 0));
}

/// A runner whose announcement can't be decoded gets no orders until it can.
#[test]
fn unreadable_announcement() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&[], 0));
    report_from(&mut holder, 1, born_at(1, report(&[], 0)));
    holder.handle(Event::UpstreamUnreadable { id: incarnation(1) });
    assert_eq!(order_for_m1(&mut holder), None);
    announce(&mut holder, 1, state(&[], 0));
    assert!(order_for_m1(&mut holder).is_some());
}

/// A report without a start time counts as one of the current incarnation.
#[test]
fn report_without_start() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&[], 0));
    report_from(&mut holder, 1, report(&[], 0));
    assert!(order_for_m1(&mut holder).is_some());
}

/// Two models fill a runner. An order for a third one, sent to the previous incarnation at count
/// two, may be executed once the new one has accepted two orders: memory stays reserved until then.
#[test]
fn unsettled_order() {
    let mut holder = holder();
    announce(&mut holder, 1, state(&[], 2));
    report_from(&mut holder, 1, born_at(1, report(&[], 2)));
    let unsettled = order_for_m1(&mut holder).expect("an order");
    assert_eq!(unsettled.orders_before, 2);
    holder.answer(unsettled, OrderOutcome::Unknown);
    remove(&mut holder, 1);
    announce(&mut holder, 2, state(&[], 0));
    report_from(&mut holder, 2, born_at(2, report(&["m2"], 1)));
    holder.orders.clear();
    // The load limit allows another load.
    holder.advance(6_000);
    holder.request("m3", None);
    holder.advance(100);
    let is_load = |order: &Order| order.operation == Operation::Load;
    assert!(
        !holder.orders.iter().any(is_load),
        "m1 may still be loaded beside m2: {:?}",
        holder.orders
    );
    holder.orders.clear();
    report_from(&mut holder, 2, born_at(2, report(&["m2"], 3)));
    holder.request("m3", None);
    holder.advance(100);
    assert!(
        holder.orders.iter().any(is_load),
        "two orders were accepted since: it can no longer be executed"
    );
}
