//! Brittle services: passes on which there are.

use crate::{
    hub::Hub,
    peers::{BrittleService, Capabilities, HostEntry, PeerMessage},
    telemetry,
};
use std::rc::Rc;
use vanetally_dispatch::Event;
use vanetally_types::{Incarnation, Name};

/// Time after which a host passes the same statement on again. Hosts forget one after three times as
/// long.
const REPEAT_MS: u64 = 10_000;

impl Hub {
    /// Handles the statement of an upstream that it survives `max_rejections` rejections in a second.
    pub(crate) fn brittleness_stated(self: &Rc<Self>, upstream: &Incarnation, max_rejections: u32) {
        let state = self.dispatch.borrow().upstream_state(upstream).cloned();
        let Some(service) = state.map(|state| state.service) else {
            return;
        };
        if self.record_brittle(&service, max_rejections, "answer") {
            let services = vec![BrittleService { service, max_rejections }];
            self.forward_brittle(&self.settings.host, services);
        }
    }

    /// Handles what another host says of brittle services.
    pub(crate) fn brittle_reported(self: &Rc<Self>, from: &Name, services: Vec<BrittleService>) {
        let is_news =
            |one: &BrittleService| self.record_brittle(&one.service, one.max_rejections, from);
        let news: Vec<BrittleService> = services.into_iter().filter(is_news).collect();
        if !news.is_empty() {
            self.forward_brittle(from, news);
        }
    }

    /// Records a statement; returns whether other hosts must be told.
    fn record_brittle(self: &Rc<Self>, service: &Name, max_rejections: u32, by: &str) -> bool {
        let now = self.clock.now();
        let known = self.dispatch.borrow().brittleness(service);
        // Upstreams of one service may state different numbers: only a lower one is news at once.
        let is_covered = known.is_some_and(|(old, _)| old <= max_rejections);
        if is_covered && known.is_some_and(|(_, at)| now.since(at) < REPEAT_MS) {
            return false;
        }
        if known.is_none_or(|(old, _)| old != max_rejections) {
            log::info!(
                "event=brittleness_stated service={service} rejections_per_s={max_rejections} by={by}"
            );
            telemetry::brittleness_stated();
        }
        let service = service.clone();
        self.request_event(Event::BrittlenessStated { service, max_rejections });
        true
    }

    /// Sends what is news about brittle services on to the hosts that pass it on in turn.
    fn forward_brittle(&self, from: &Name, services: Vec<BrittleService>) {
        let message = PeerMessage::Brittle(services);
        let hosts = self.forward_receivers(from);
        let peers = self.peers.borrow();
        let understands = |host: &&Name| {
            let capabilities = peers.get(*host).map(|entry: &HostEntry| entry.capabilities);
            capabilities.is_some_and(|known| known.includes(Capabilities::BRITTLE))
        };
        self.send_all(hosts.iter().filter(understands), &message);
    }

    /// Sends a starting host the known brittle services.
    pub(crate) fn send_brittle(&self, host: &Name) {
        let known = self.dispatch.borrow().brittle_services();
        let entry = self.peers.borrow().get(host).cloned();
        let understands =
            entry.is_some_and(|entry| entry.capabilities.includes(Capabilities::BRITTLE));
        if understands && !known.is_empty() {
            let services = known.into_iter();
            let services = services
                .map(|(service, max_rejections)| BrittleService { service, max_rejections });
            self.send(host, &PeerMessage::Brittle(services.collect()));
        }
    }
}
