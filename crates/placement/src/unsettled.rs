//! Unanswered orders that may still be executed, by the runner incarnation they were sent to or by
//! a later one.

use vanetally_ports::{Operation, Order};
use vanetally_types::{Name, Tick};

/// Orders that may still be executed.
///
/// A runner accepts an order if it has accepted as many before as the order expects. A runner that
/// restarts under its id counts from zero and has lost the fencing tokens it saw, so it accepts a
/// delayed order to the previous incarnation once its own count matches. Memory stays reserved for
/// such a load until the count has passed. While the count matches, the next order expects the same
/// count, so that at most one of the two is accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsettledOrders {
    orders: Vec<UnsettledOrder>,
}

#[derive(Clone, Debug)]
struct UnsettledOrder {
    order: Order,
    sent_at: Tick,
    /// Whether the same order was sent again: an answer doesn't say which copy is still in transit.
    was_resent: bool,
}

/// How long after it was sent an order may still be executed: five times the longest known delay,
/// 12 s.
const ORDER_EXPIRY_MS: u64 = 60_000;

impl UnsettledOrders {
    /// Adds an unanswered order.
    pub(crate) fn add(&mut self, sent_at: Tick, order: Order) {
        if !self.orders.iter().any(|unsettled| unsettled.order == order) {
            self.orders.push(UnsettledOrder { order, sent_at, was_resent: false });
        }
    }

    /// Marks an unanswered order as resent if `order`, which is being sent, is the same.
    pub(crate) fn record_resend(&mut self, now: Tick, order: &Order) {
        if let Some(unsettled) = self.orders.iter_mut().find(|unsettled| unsettled.order == *order)
        {
            unsettled.was_resent = true;
            unsettled.sent_at = now;
        }
    }

    /// Removes an order that was answered, unless it was sent twice.
    pub(crate) fn settle(&mut self, order: &Order) {
        self.orders.retain(|unsettled| unsettled.was_resent || unsettled.order != *order);
    }

    /// Adds the orders of a previous incarnation and drops expired ones.
    pub(crate) fn merge(&mut self, now: Tick, other: &UnsettledOrders) {
        for unsettled in &other.orders {
            self.add(unsettled.sent_at, unsettled.order.clone());
            if unsettled.was_resent {
                self.record_resend(unsettled.sent_at, &unsettled.order);
            }
        }
        self.orders.retain(|unsettled| now.since(unsettled.sent_at) < ORDER_EXPIRY_MS);
    }

    /// Whether there are no unsettled orders.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Models whose weights a runner that has accepted `count` orders may still load.
    pub(crate) fn models(&self, count: Option<u64>) -> impl Iterator<Item = &Name> {
        let loads = self.loads(count).filter(|order| order.subject.adapter.is_none());
        loads.map(|order| &order.subject.model)
    }

    /// Loads of weights, with the order count that each expects.
    pub(crate) fn weight_loads(&self) -> impl Iterator<Item = (u64, &Name)> {
        let loads = self.loads(None).filter(|order| order.subject.adapter.is_none());
        loads.map(|order| (order.orders_before, &order.subject.model))
    }

    /// Number of adapters that a runner that has accepted `count` orders may still load.
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
