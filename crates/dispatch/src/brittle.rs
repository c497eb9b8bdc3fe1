//! Brittle services, whose upstreams crash when they have to reject too many requests in a second.
//!
//! What a single host sees of rejections says little: all hosts together must stay within what an
//! upstream survives. So owners grant the slots of a brittle service, and no more than there are. A host
//! sends a single request to a plain service from which it has heard nothing yet, and waits for the
//! answer: hosts that start together would otherwise find out by pushing upstreams over.

use crate::{Dispatch, request::Stage};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Incarnation, Name, Tick};

/// What is known of the brittleness of services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Brittleness {
    services: BTreeMap<Name, Brittle>,
    /// Services whose upstreams have answered this host, or of which other hosts told.
    heard: BTreeSet<Name>,
    /// When each service last lacked room.
    crowded: BTreeMap<Name, Tick>,
}

#[derive(Clone, Copy, Debug)]
struct Brittle {
    /// Rejections in a second that an upstream survives.
    max_rejections: u32,
    /// When it was last stated.
    stated_at: Tick,
}

/// Time after the last statement until the service is no longer taken for brittle.
const STATEMENT_MS: u64 = 30_000;
/// How long the first answer of a service is waited for before another request is sent.
const FIRST_ANSWER_MS: u64 = 250;
/// Time after a lack of room within which the crash of a brittle upstream is put down to it.
const CROWDED_MS: u64 = 3_000;

impl Brittleness {
    /// Records that upstreams of a service survive this number of rejections in a second.
    pub(crate) fn record(&mut self, now: Tick, service: &Name, max_rejections: u32) {
        let brittle = Brittle { max_rejections, stated_at: now };
        self.services.insert(service.clone(), brittle);
        self.record_heard(service);
    }

    /// Records that an upstream of a service has answered.
    pub(crate) fn record_heard(&mut self, service: &Name) {
        if !self.heard.contains(service) {
            self.heard.insert(service.clone());
        }
    }

    /// Records that the upstreams of a service had no room for a request.
    pub(crate) fn record_crowded(&mut self, now: Tick, service: &Name) {
        self.crowded.insert(service.clone(), now);
    }

    /// Returns the rejections in a second that upstreams of a service survive, if they are brittle.
    pub(crate) fn max_rejections(&self, service: &Name) -> Option<u32> {
        self.services.get(service).map(|brittle| brittle.max_rejections)
    }

    /// Whether nothing was heard from a service yet.
    fn is_unheard(&self, service: &Name) -> bool {
        !self.heard.contains(service)
    }

    /// Returns when the brittleness of a service was last stated.
    pub(crate) fn stated_at(&self, service: &Name) -> Option<Tick> {
        self.services.get(service).map(|brittle| brittle.stated_at)
    }

    /// Whether a crash of an upstream of this service says nothing of the requests that ran there.
    pub(crate) fn explains_crash(&self, now: Tick, service: &Name) -> bool {
        let is_crowded = self.crowded.get(service).is_some_and(|at| now.since(*at) <= CROWDED_MS);
        is_crowded && self.services.contains_key(service)
    }

    /// Forgets services of which nothing was stated for long.
    pub(crate) fn expire(&mut self, now: Tick) {
        self.services.retain(|_, brittle| now.since(brittle.stated_at) <= STATEMENT_MS);
    }
}

impl Dispatch {
    /// Returns the rejections in a second that upstreams of a service survive, if they are brittle, and
    /// when that was last stated.
    pub fn brittleness(&self, service: &Name) -> Option<(u32, Tick)> {
        let stated_at = self.brittleness.stated_at(service)?;
        Some((self.brittleness.max_rejections(service)?, stated_at))
    }

    /// Returns the brittle services.
    pub fn brittle_services(&self) -> Vec<(Name, u32)> {
        let services = self.configuration.iter().flat_map(|known| known.services.keys());
        let brittle =
            |service: &Name| Some((service.clone(), self.brittleness.max_rejections(service)?));
        services.filter_map(brittle).collect()
    }

    /// Whether a request waits for the first answer of its service. A single host finds out without
    /// harm, engines have pacers, and owners keep within the slots anyway.
    pub(crate) fn awaits_first_answer(&self, now: Tick, service: &Name) -> bool {
        let is_unheard = self.hosts > 1 && self.brittleness.is_unheard(service);
        let is_bounded = || self.is_engine(service) || self.grants_slots(service);
        is_unheard && !is_bounded() && self.has_recent_attempt(now, service)
    }

    fn has_recent_attempt(&self, now: Tick, service: &Name) -> bool {
        let own = self.requests.values().filter(|request| request.service == *service);
        own.into_iter().any(|request| match &request.stage {
            Stage::Sent(attempt) => now.since(attempt.sent_at) < FIRST_ANSWER_MS,
            Stage::Waiting | Stage::Reserving(_) => false,
        })
    }

    /// Whether an upstream that has ended may have done so for lack of room or as announced, so that its end
    /// says nothing of the requests that ran there.
    pub fn explains_crash(&self, now: Tick, upstream: &Incarnation) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|known| {
            known.has_announced_end(now)
                || self.brittleness.explains_crash(now, &known.state.service)
        })
    }
}
