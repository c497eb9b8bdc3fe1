//! A runner that starts again under its id is another one to the holder of orders.

mod support;

use support::{Holder, report, state};
use vanetally_placement::Event;
use vanetally_ports::{FencingToken, Operation, Order, OrderOutcome, Report, UpstreamState};
use vanetally_types::Incarnation;

fn life(born: u64) -> Incarnation {
    Incarnation::new("r1", Some(born))
}

/// A holder of orders that knows no runner.
fn holder() -> Holder {
    let mut holder = Holder::configured();
    holder.tell(Event::Token(Some(FencingToken(9))));
    // Weights that an earlier holder may have ordered count no more.
    holder.pass(6_000);
    holder
}

fn see(holder: &mut Holder, born: u64, state: UpstreamState) {
    holder.tell(Event::UpstreamSeen { id: life(born), state });
}

fn end(holder: &mut Holder, born: u64) {
    holder.tell(Event::UpstreamGone { id: life(born) });
}

/// The life `of` was asked, and `report` came.
fn answer(holder: &mut Holder, of: u64, report: Report) {
    let asked = holder.now;
    holder.tell(Event::Reported { runner: life(of), requested_at: asked, report: Some(report) });
}

fn by(born: u64, report: Report) -> Report {
    Report { born: Some(born), ..report }
}

/// The order that follows if `model` is missed now.
fn order_for(holder: &mut Holder, model: &str) -> Option<Order> {
    holder.orders.clear();
    holder.want(model, None);
    holder.pass(100);
    holder.loads(model).last().copied().cloned()
}

fn order_for_m1(holder: &mut Holder) -> Option<Order> {
    order_for(holder, "m1")
}

/// Its reports were dropped for as long as the holder lived, since they count fewer orders than were known.
#[test]
fn next_life_reports() {
    let mut holder = holder();
    see(&mut holder, 1, state(&["m1"], 3));
    answer(&mut holder, 1, by(1, report(&["m1"], 3)));
    end(&mut holder, 1);
    see(&mut holder, 2, state(&[], 0));
    answer(&mut holder, 2, by(2, report(&[], 0)));
    let order = order_for_m1(&mut holder).expect("an order");
    assert_eq!((order.runner, order.orders_before), (life(2), 0));
}

/// Both lives have taken as many orders: what the first one held is not believed of the second.
#[test]
fn equal_counts() {
    let mut holder = holder();
    see(&mut holder, 1, state(&["m1"], 0));
    answer(&mut holder, 1, by(1, report(&["m1"], 0)));
    assert_eq!(order_for_m1(&mut holder), None, "it is held");
    end(&mut holder, 1);
    see(&mut holder, 2, state(&[], 0));
    answer(&mut holder, 2, by(2, report(&[], 0)));
    assert_eq!(order_for_m1(&mut holder).map(|order| order.runner), Some(life(2)));
}

/// The answer of another life to a question says nothing of the one that was asked.
#[test]
fn report_of_another() {
    let mut holder = holder();
    see(&mut holder, 1, state(&["m2"], 0));
    answer(&mut holder, 1, by(2, report(&[], 0)));
    assert_eq!(order_for_m1(&mut holder), None, "nothing is known of it");
}

/// An answer to an order of the former life, and a report that was asked of it, come late.
#[test]
fn late_answers() {
    let mut holder = holder();
    see(&mut holder, 1, state(&[], 0));
    answer(&mut holder, 1, by(1, report(&[], 0)));
    let order = order_for_m1(&mut holder).expect("an order");
    end(&mut holder, 1);
    see(&mut holder, 2, state(&[], 0));
    answer(&mut holder, 2, by(2, report(&[], 0)));
    holder.answer(order, OrderOutcome::Accepted);
    answer(&mut holder, 1, by(1, report(&["m1"], 1)));
    let order = order_for_m1(&mut holder).expect("an order");
    assert_eq!((order.runner, order.orders_before), (life(2), 0));
}

/// A runner whose announcement can't be read gets no order until it can.
#[test]
fn unreadable() {
    let mut holder = holder();
    see(&mut holder, 1, state(&[], 0));
    answer(&mut holder, 1, by(1, report(&[], 0)));
    holder.tell(Event::UpstreamUnreadable { id: life(1) });
    assert_eq!(order_for_m1(&mut holder), None);
    see(&mut holder, 1, state(&[], 0));
    assert!(order_for_m1(&mut holder).is_some());
}

/// A runner that does not say in its report when it started is believed as before.
#[test]
fn start_not_told() {
    let mut holder = holder();
    see(&mut holder, 1, state(&[], 0));
    answer(&mut holder, 1, report(&[], 0));
    assert!(order_for_m1(&mut holder).is_some());
}

/// Two models fill a runner. An order to load a third one, sent to the former life when that had taken two orders, is
/// carried out when the new one has taken two: room is kept for it until then.
#[test]
fn stray_order() {
    let mut holder = holder();
    see(&mut holder, 1, state(&[], 2));
    answer(&mut holder, 1, by(1, report(&[], 2)));
    let stray = order_for_m1(&mut holder).expect("an order");
    assert_eq!(stray.orders_before, 2);
    holder.answer(stray, OrderOutcome::Unknown);
    end(&mut holder, 1);
    see(&mut holder, 2, state(&[], 0));
    answer(&mut holder, 2, by(2, report(&["m2"], 1)));
    holder.orders.clear();
    // The weight store's rate allows another load.
    holder.pass(6_000);
    holder.want("m3", None);
    holder.pass(100);
    let is_load = |order: &Order| order.operation == Operation::Load;
    assert!(!holder.orders.iter().any(is_load), "m1 may yet come beside m2: {:?}", holder.orders);
    holder.orders.clear();
    answer(&mut holder, 2, by(2, report(&["m2"], 3)));
    holder.want("m3", None);
    holder.pass(100);
    assert!(
        holder.orders.iter().any(is_load),
        "two orders were taken since: it can't come any more"
    );
}
