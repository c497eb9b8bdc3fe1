//! The holder's part: tenure, placement, orders and reports.

use crate::{
    call,
    hub::Hub,
    peers::{PeerMessage, holder_name},
    telemetry, tenure,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use vanetally_dispatch::{self as dispatch, Presence};
use vanetally_placement::{self as placement, KnownState, OrderLeaseEvent};
use vanetally_ports::{Era, FormatError, Item, ModelRef, Order, OrderOutcome};
use vanetally_types::{Incarnation, Name};

/// For a runner to answer a report.
const REPORT: Duration = Duration::from_millis(800);
/// For a runner to answer an order.
const ORDER: Duration = Duration::from_millis(1_200);

impl Hub {
    pub(crate) fn want(self: &Rc<Self>, service: Name, subject: ModelRef, is_crowded: bool) {
        let is_holder = self.tenure.borrow().is_holding(self.clock.now());
        let holder = self.holder.borrow().clone();
        log::info!(
            "event=model_wanted service={service} subject={subject} crowded={is_crowded} holder={}",
            holder.as_deref().unwrap_or("-")
        );
        if is_holder {
            self.placement_event(placement::Event::Requested {
                service,
                subject,
                is_saturated: is_crowded,
            });
        } else if let Some(holder) = holder {
            let ModelRef { model, adapter } = subject;
            self.send(&holder, &PeerMessage::Want { service, model, adapter, is_crowded });
        }
    }

    /// The store tells who holds the orders' key.
    pub(crate) fn holder_seen(self: &Rc<Self>, holder: Option<Name>) {
        if *self.holder.borrow() != holder {
            log::info!("event=order_holder_seen holder={}", holder.as_deref().unwrap_or("-"));
        }
        *self.holder.borrow_mut() = holder.clone();
        self.quotas.borrow_mut().client.set_grantor(holder.clone());
        self.limits.borrow_mut().contact.set_grantor(holder.clone());
        self.tenure_event(OrderLeaseEvent::HolderSeen(holder));
    }

    /// The store came back from a copy, in which `key` names the holder.
    pub(crate) fn orders_returned(self: &Rc<Self>, era: Era, key: Option<&Item>) {
        let own = key.filter(|key| holder_name(key).as_ref() == Some(&self.settings.host));
        let own = own.map(|key| key.revision);
        let was_holder = self.tenure.borrow().is_holding(self.clock.now());
        self.tenure_event(OrderLeaseEvent::StoreRestored { era, own_key: own });
        if was_holder {
            let is_kept = self.tenure.borrow().is_holding(self.clock.now());
            log::warn!("event=order_key_returned era={era} kept={is_kept}");
        }
    }

    /// Tells the tenure what happened, and makes the calls that it asks for.
    pub(crate) fn tenure_event(self: &Rc<Self>, event: OrderLeaseEvent) {
        let now = self.clock.now();
        let actions = self.tenure.borrow_mut().handle(now, event);
        for action in actions {
            tokio::task::spawn_local(tenure::carry_out(self.clone(), action));
        }
    }

    /// Tells the placement what happened, and does what it says.
    pub(crate) fn placement_event(self: &Rc<Self>, event: placement::Event) {
        let now = self.clock.now();
        let token = self.tenure.borrow().token(now);
        let mut actions = {
            let mut placement = self.placement.borrow_mut();
            let mut actions = placement.handle(now, placement::Event::Token(token));
            actions.extend(placement.handle(now, event));
            actions
        };
        for action in actions.drain(..) {
            self.place(action);
        }
    }

    fn place(self: &Rc<Self>, action: placement::Action) {
        match action {
            placement::Action::Order { order, address, known } => {
                tokio::task::spawn_local(give_order(self.clone(), order, address, known));
            }
            placement::Action::RequestReport { runner, address } => {
                tokio::task::spawn_local(ask_report(self.clone(), runner, address));
            }
            placement::Action::Announce { runner, subject, is_present, delay_ms } => {
                let hub = self.clone();
                tokio::task::spawn_local(async move {
                    if delay_ms > 0 {
                        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    }
                    hub.announce(runner, subject, is_present);
                });
            }
            placement::Action::Resign => self.tenure_event(OrderLeaseEvent::Fenced),
        }
    }

    fn announce(self: &Rc<Self>, runner: Incarnation, subject: ModelRef, is_present: bool) {
        let message = PeerMessage::Placed {
            runner: runner.clone(),
            model: subject.model.clone(),
            adapter: subject.adapter.clone(),
            is_present,
        };
        if self.is_fleet() {
            self.send_all(self.sum_readers().iter(), &message);
            self.pass_on_placed(&self.settings.host, &message);
        } else {
            self.broadcast(&message);
        }
        self.placed(runner, subject, is_present);
    }

    /// An aggregator tells the hosts that report to it what the holder of orders told.
    pub(crate) fn pass_on_placed(&self, from: &Name, message: &PeerMessage) {
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

async fn give_order(hub: Rc<Hub>, order: Order, address: SocketAddr, known: KnownState) {
    if hub.rests(&order.runner, ORDER).await {
        // Its token and what it rests on may be out of date by now.
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
    let request = hub.ports.engine.order_request(&order);
    let outcome = match call::call(&hub.control, address, request, ORDER).await {
        Ok(reply) => {
            hub.note_reply(&order.runner, &reply.head);
            hub.ports.engine.classify_order(reply.status())
        }
        Err(call::Error::NotSent(_)) => OrderOutcome::NotSent,
        Err(call::Error::Unanswered(_) | call::Error::Hung) => OrderOutcome::Unknown,
    };
    log::info!(
        "event=order_answered runner={} count={} token={} outcome={}",
        order.runner,
        order.orders_before,
        order.token,
        outcome.as_str()
    );
    telemetry::ordered(outcome);
    hub.placement_event(placement::Event::OrderAnswered { order, outcome });
}

async fn ask_report(hub: Rc<Hub>, runner: Incarnation, address: SocketAddr) {
    if hub.rests(&runner, REPORT).await {
        let asked = hub.clock.now();
        return hub.placement_event(placement::Event::Reported {
            runner,
            requested_at: asked,
            report: None,
        });
    }
    let asked = hub.clock.now();
    let request = hub.ports.engine.report_request(&runner);
    let reply = call::call(&hub.control, address, request, REPORT).await;
    if let Ok(reply) = &reply {
        hub.note_reply(&runner, &reply.head);
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
        if let Some(born) = report.born.filter(|born| Some(*born) != runner.born) {
            log::info!("event=report_of_another runner={runner} born={born}");
        }
    }
    hub.placement_event(placement::Event::Reported {
        runner,
        requested_at: asked,
        report: report.ok(),
    });
}
