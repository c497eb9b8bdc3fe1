//! Orders that were not answered and may yet be carried out, by the life of a runner that they were sent to or by
//! one after it.

use vanetally_ports::{Operation, Order};
use vanetally_types::{Name, Tick};

/// Orders that may yet be carried out.
///
/// A runner takes an order if it has taken as many before as the order expects. A runner that starts again under its
/// id counts anew, and the fencing tokens that it saw are forgotten: an order on its way since before is taken when the
/// new life has come to the same count. What it would bring is kept room for until that count has passed. While the
/// count is the expected one, the next order expects the same, and at most one of the two is taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsettledOrders {
    orders: Vec<UnsettledOrder>,
}

#[derive(Clone, Debug)]
struct UnsettledOrder {
    order: Order,
    sent_at: Tick,
    /// Whether the same order was sent again: an answer does not tell which copy is still on its way.
    was_resent: bool,
}

/// An order is not carried out later than this after it was sent, in milliseconds: five times the latest that is
/// known, 12 s.
const ORDER_EXPIRY_MS: u64 = 60_000;

impl UnsettledOrders {
    /// An order was not answered.
    pub(crate) fn add(&mut self, sent_at: Tick, order: Order) {
        if !self.orders.iter().any(|unsettled| unsettled.order == order) {
            self.orders.push(UnsettledOrder { order, sent_at, was_resent: false });
        }
    }

    /// An order is sent; one that was not answered may be the same.
    pub(crate) fn record_resend(&mut self, now: Tick, order: &Order) {
        if let Some(unsettled) = self.orders.iter_mut().find(|unsettled| unsettled.order == *order)
        {
            unsettled.was_resent = true;
            unsettled.sent_at = now;
        }
    }

    /// An order was answered after all.
    pub(crate) fn settle(&mut self, order: &Order) {
        self.orders.retain(|unsettled| unsettled.was_resent || unsettled.order != *order);
    }

    /// Takes in those of a former life, and forgets what can't be carried out any more.
    pub(crate) fn merge(&mut self, now: Tick, other: &UnsettledOrders) {
        for unsettled in &other.orders {
            self.add(unsettled.sent_at, unsettled.order.clone());
            if unsettled.was_resent {
                self.record_resend(unsettled.sent_at, &unsettled.order);
            }
        }
        self.orders.retain(|unsettled| now.since(unsettled.sent_at) < ORDER_EXPIRY_MS);
    }

    /// Whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Models whose weights may yet come to a runner that has taken `count` orders.
    pub(crate) fn models(&self, count: Option<u64>) -> impl Iterator<Item = &Name> {
        let loads = self.loads(count).filter(|order| order.subject.adapter.is_none());
        loads.map(|order| &order.subject.model)
    }

    /// Loads of weights, by the count that they expect.
    pub(crate) fn weight_loads(&self) -> impl Iterator<Item = (u64, &Name)> {
        let loads = self.loads(None).filter(|order| order.subject.adapter.is_none());
        loads.map(|order| (order.orders_before, &order.subject.model))
    }

    /// How many adapters may yet come there.
    pub(crate) fn adapter_count(&self, count: Option<u64>) -> usize {
        self.loads(count).filter(|order| order.subject.adapter.is_some()).count()
    }

    fn loads(&self, count: Option<u64>) -> impl Iterator<Item = &Order> {
        let is_due_later =
            move |order: &&Order| count.is_none_or(|count| order.orders_before > count);
        let orders = self.orders.iter().map(|unsettled| &unsettled.order);
        orders.filter(|order| order.operation == Operation::Load).filter(is_due_later)
    }
}
