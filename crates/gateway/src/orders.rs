//! Holder side of order control: the order lease, placement, orders and runner reports.

use crate::{
    call,
    hub::Hub,
    order_call::{self, ORDER_TIMEOUT},
    order_lease,
    peers::{PeerMessage, holder_name},
    telemetry,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use vanetally_dispatch::{self as dispatch, Presence};
use vanetally_placement::{self as placement, KnownState, OrderLeaseEvent};
use vanetally_ports::{Era, FencingToken, FormatError, Item, ModelRef, Order, OrderOutcome};
use vanetally_types::{Incarnation, Name};

/// Timeout of a report request to a runner.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

impl Hub {
    pub(crate) fn request_model(
        self: &Rc<Self>,
        service: Name,
        subject: ModelRef,
        is_saturated: bool,
    ) {
        let is_holder = self.order_lease.borrow().is_holding(self.clock.now());
        let holder = self.holder.borrow().clone();
        log::info!(
            "event=model_wanted service={service} subject={subject} crowded={is_saturated} holder={}",
            holder.as_deref().unwrap_or("-")
        );
        if is_holder {
            self.placement_event(placement::Event::Requested { service, subject, is_saturated });
        } else if let Some(holder) = holder {
            let ModelRef { model, adapter } = subject;
            self.send(
                &holder,
                &PeerMessage::RequestModel { service, model, adapter, is_saturated },
            );
        }
    }

    /// Handles a change of the order key's holder in the store.
    pub(crate) fn holder_seen(self: &Rc<Self>, holder: Option<Name>) {
        if *self.holder.borrow() != holder {
            log::info!("event=order_holder_seen holder={}", holder.as_deref().unwrap_or("-"));
        }
        *self.holder.borrow_mut() = holder.clone();
        self.quotas.borrow_mut().client.set_grantor(holder.clone());
        self.limits.borrow_mut().contact.set_grantor(holder.clone());
        self.order_lease_event(OrderLeaseEvent::HolderSeen(holder));
    }

    /// Handles a restore of the store from a backup, in which `key` names the holder.
    pub(crate) fn order_key_restored(self: &Rc<Self>, era: Era, key: Option<&Item>) {
        let own = key.filter(|key| holder_name(key).as_ref() == Some(&self.settings.host));
        let own = own.map(|key| key.revision);
        let was_holding = self.order_lease.borrow().is_holding(self.clock.now());
        self.order_lease_event(OrderLeaseEvent::StoreRestored { era, own_key: own });
        if was_holding {
            let is_kept = self.order_lease.borrow().is_holding(self.clock.now());
            log::warn!("event=order_key_returned era={era} kept={is_kept}");
        }
    }

    /// Passes an event to the order lease and starts the store calls it requests.
    pub(crate) fn order_lease_event(self: &Rc<Self>, event: OrderLeaseEvent) {
        let now = self.clock.now();
        let actions = self.order_lease.borrow_mut().handle(now, event);
        telemetry::order_holder(self.order_lease.borrow().is_holding(now));
        for action in actions {
            order_lease::perform(self, action);
        }
    }

    /// Passes an event to the planner and performs the resulting actions.
    pub(crate) fn placement_event(self: &Rc<Self>, event: placement::Event) {
        let now = self.clock.now();
        let token = self.order_lease.borrow().token(now);
        let mut actions = {
            let mut placement = self.placement.borrow_mut();
            let mut actions = placement.handle(now, placement::Event::Token(token));
            actions.extend(placement.handle(now, event));
            actions
        };
        for action in actions.drain(..) {
            self.perform_placement(action);
        }
    }

    fn perform_placement(self: &Rc<Self>, action: placement::Action) {
        match action {
            placement::Action::Order { order, address, known } => {
                tokio::task::spawn_local(send_order(self.clone(), order, address, known));
            }
            placement::Action::RequestReport { runner, address } => {
                tokio::task::spawn_local(request_report(self.clone(), runner, address));
            }
            placement::Action::Announce { runner, subject, is_present, delay_ms } => {
                let hub = self.clone();
                let token = self.order_lease.borrow().token(self.clock.now());
                tokio::task::spawn_local(async move {
                    if delay_ms > 0 {
                        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    }
                    hub.announce(runner, subject, is_present, token);
                });
            }
            placement::Action::Resign => self.order_lease_event(OrderLeaseEvent::Fenced),
        }
    }

    fn announce(
        self: &Rc<Self>,
        runner: Incarnation,
        subject: ModelRef,
        is_present: bool,
        token: Option<FencingToken>,
    ) {
        if !self.admits_announcement(token) {
            return;
        }
        let message = PeerMessage::Placed {
            runner: runner.clone(),
            model: subject.model.clone(),
            adapter: subject.adapter.clone(),
            is_present,
            token: token.map(|token| token.0),
        };
        if self.uses_aggregators() {
            self.send_all(self.sum_receivers().iter(), &message);
            self.relay_placed(&self.settings.host, &message);
        } else {
            self.broadcast(&message);
        }
        self.placed(runner, subject, is_present);
    }

    /// Whether an announcement under `token` is not that of a former holder.
    pub(crate) fn admits_announcement(&self, token: Option<FencingToken>) -> bool {
        let mut fence = self.announcement_fence.get();
        let is_admitted = fence.admits(token);
        self.announcement_fence.set(fence);
        if !is_admitted {
            log::debug!("event=announcement_outdated token={token:?}");
            telemetry::announcement_outdated();
        }
        is_admitted
    }

    /// Forwards the holder's announcement to the subscribers, as an aggregator.
    pub(crate) fn relay_placed(&self, from: &Name, message: &PeerMessage) {
        let hosts: Vec<Name> = self.totals.borrow().subscribers().cloned().collect();
        if !hosts.is_empty() {
            self.send_all(hosts.iter().filter(|host| *host != from), message);
        }
    }

    pub(crate) fn placed(
        self: &Rc<Self>,
        runner: Incarnation,
        subject: ModelRef,
        is_present: bool,
    ) {
        if !is_present && subject.adapter.is_none() {
            self.pacing.borrow_mut().drop_model(&runner, &subject.model);
        }
        let presence = if is_present { Presence::Present } else { Presence::Absent };
        self.request_event(dispatch::Event::PresenceReported { runner, subject, presence });
    }
}

async fn send_order(hub: Rc<Hub>, order: Order, address: SocketAddr, known: KnownState) {
    if hub.await_cooldown(&order.runner, ORDER_TIMEOUT).await {
        // The order's fencing token and the report it is based on may be outdated by now.
        let outcome = OrderOutcome::NotSent;
        return hub.placement_event(placement::Event::OrderAnswered { order, outcome });
    }
    log::info!(
        "event=order_sent runner={} operation={} model={} adapter={} count={} token={} \
         held_models={} held_adapters={} report_age_ms={}",
        order.runner,
        order.operation.as_str(),
        order.subject.model,
        order.subject.adapter.as_deref().unwrap_or("-"),
        order.orders_before,
        order.token,
        known.models.join(","),
        known.adapters,
        known.report_age_ms
    );
    let outcome = match order_call::send_order(&hub, &order, address).await {
        Ok(head) => {
            hub.reach_event(vanetally_reach::Event::Heard(order.runner.clone()));
            hub.handle_reply_head(&order.runner, &head);
            hub.ports.engine.classify_order(head.status)
        }
        Err(order_call::Error::NotSent(reason)) => {
            log::info!("event=order_not_sent runner={} reason=\"{reason}\"", order.runner);
            OrderOutcome::NotSent
        }
        Err(order_call::Error::Unanswered(_)) => OrderOutcome::Unknown,
    };
    log::info!(
        "event=order_answered runner={} count={} token={} outcome={}",
        order.runner,
        order.orders_before,
        order.token,
        outcome.as_str()
    );
    telemetry::order_finished(outcome);
    hub.placement_event(placement::Event::OrderAnswered { order, outcome });
}

async fn request_report(hub: Rc<Hub>, runner: Incarnation, address: SocketAddr) {
    if hub.await_cooldown(&runner, REPORT_TIMEOUT).await {
        let requested_at = hub.clock.now();
        return hub.placement_event(placement::Event::Reported {
            runner,
            requested_at,
            report: None,
        });
    }
    let requested_at = hub.clock.now();
    let reply = match hub.ports.engine.report_request(&runner) {
        Ok(request) => {
            call::ask(&hub.control_pool, &hub.body_room, address, request, REPORT_TIMEOUT).await
        }
        Err(error) => {
            log::error!("event=request_not_built call=report runner={runner} error=\"{error}\"");
            Err(error.into())
        }
    };
    if let Ok(reply) = &reply {
        hub.reach_event(vanetally_reach::Event::Heard(runner.clone()));
        hub.handle_reply_head(&runner, &reply.head);
    }
    let report = match reply {
        Ok(reply) if reply.status().is_success() => {
            let report = hub.ports.engine.read_report(&reply.body);
            report.inspect_err(|e| {
                log::warn!("event=report_unreadable runner={runner} error=\"{e}\"");
            })
        }
        Ok(reply) => Err(FormatError::new("report", reply.status())),
        Err(error) => Err(FormatError::new("report", error)),
    };
    if let Ok(report) = &report {
        log::debug!("event=report runner={runner} report={report:?}");
        match report.born {
            Some(born) if runner.born != Some(born) => {
                log::info!("event=report_of_another runner={runner} born={born}");
            }
            Some(_) => hub.upstream_identified(runner.clone()),
            None => {}
        }
    }
    hub.placement_event(placement::Event::Reported { runner, requested_at, report: report.ok() });
}
