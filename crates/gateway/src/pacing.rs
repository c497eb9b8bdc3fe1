//! Requests send times for prompts from pacers, and assigns them when this host is the pacer.

use crate::{hub::Hub, peers::PeerMessage};
use std::{collections::HashMap, rc::Rc};
use vanetally_dispatch::{self as dispatch, RequestId};
use vanetally_pacing::{BreakerTransition, Pacer, Pacers, Prompt, SlotReply};
use vanetally_types::{Incarnation, Name, Tick};

/// Timeout of a pacer's answer, after which this host decides alone.
const ANSWER_TIMEOUT_MS: u64 = 40;

/// A reservation that the pacer has not answered yet.
struct PendingReservation {
    id: RequestId,
    reservation: u32,
    prompt: Prompt,
    host: Name,
    requested_at: Tick,
}

/// This host's pacing state, as client and as pacer.
pub(crate) struct Pacing {
    pacer: Pacer,
    pacers: Pacers,
    pending: HashMap<u64, PendingReservation>,
    next_number: u64,
}

impl Pacing {
    /// Creates the state with this host as the only pacer.
    pub(crate) fn new(own: Name) -> Self {
        Self {
            pacer: Pacer::default(),
            pacers: Pacers::new(own),
            pending: HashMap::new(),
            next_number: 0,
        }
    }

    /// Sets the live hosts with their capacities.
    pub(crate) fn set_hosts(&mut self, hosts: Vec<(Name, u32)>) {
        self.pacers.set_hosts(hosts);
    }

    /// Records that an engine unloaded a model.
    pub(crate) fn drop_model(&mut self, upstream: &Incarnation, model: &Name) {
        self.pacer.drop_model(upstream, model);
    }

    /// Removes an engine.
    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.pacer.forget(upstream);
    }

    /// Stores a pending reservation and returns its number.
    fn add_pending(&mut self, pending: PendingReservation) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.pending.insert(number, pending);
        number
    }

    /// Removes and returns the reservations that were not answered in time.
    fn take_unanswered(&mut self, now: Tick) -> Vec<PendingReservation> {
        let unanswered = self
            .pending
            .extract_if(|_, pending| now.since(pending.requested_at) > ANSWER_TIMEOUT_MS);
        unanswered.map(|(_, pending)| pending).collect()
    }
}

impl Hub {
    /// Requests a send time from the pacer of the prompt's engine.
    pub(crate) fn reserve(self: &Rc<Self>, id: RequestId, reservation: u32, prompt: Prompt) {
        let now = self.clock.now();
        let host = self.pacing.borrow_mut().pacers.pacer_of(now, &prompt.upstream.id).clone();
        if host == self.settings.host {
            return self.reserve_locally(id, reservation, &prompt);
        }
        let pending =
            PendingReservation { id, reservation, prompt: prompt.clone(), host, requested_at: now };
        let host = pending.host.clone();
        let number = self.pacing.borrow_mut().add_pending(pending);
        self.send(&host, &PeerMessage::Reserve { number, prompt });
    }

    fn reserve_locally(self: &Rc<Self>, id: RequestId, reservation: u32, prompt: &Prompt) {
        let slot = self.pacing.borrow_mut().pacer.reserve(self.clock.now(), prompt);
        self.request_event(dispatch::Event::Reserved { id, reservation, slot });
    }

    /// Assigns a send time for another host.
    pub(crate) fn reserve_for_peer(&self, host: &Name, number: u64, prompt: &Prompt) {
        let slot = self.pacing.borrow_mut().pacer.reserve(self.clock.now(), prompt);
        self.send(host, &PeerMessage::Reserved { number, slot });
    }

    /// Handles the answer of a pacer.
    pub(crate) fn reserved(self: &Rc<Self>, number: u64, slot: SlotReply) {
        let pending = self.pacing.borrow_mut().pending.remove(&number);
        if let Some(PendingReservation { id, reservation, .. }) = pending {
            self.request_event(dispatch::Event::Reserved { id, reservation, slot });
        }
    }

    /// Reports the end of a request to the pacer of its engine.
    pub(crate) fn report_end(&self, upstream: Incarnation, is_good: bool) {
        let now = self.clock.now();
        let host = self.pacing.borrow_mut().pacers.pacer_of(now, &upstream.id).clone();
        if host == self.settings.host {
            return self.record_end(&host, &upstream, is_good);
        }
        self.send(&host, &PeerMessage::Ended { upstream, is_good });
    }

    /// Records how a request ended at an engine paced by this host.
    pub(crate) fn record_end(&self, from: &Name, upstream: &Incarnation, is_good: bool) {
        let transition =
            self.pacing.borrow_mut().pacer.record_outcome(self.clock.now(), upstream, is_good);
        match transition {
            None => {}
            Some(BreakerTransition::Opened { pause_ms }) => {
                log::info!(
                    "event=engine_avoided upstream={upstream} by={from} pause_ms={pause_ms}"
                );
            }
            Some(BreakerTransition::Closed) => {
                log::info!("event=engine_answers upstream={upstream} by={from}")
            }
        }
    }

    /// Decides locally on the reservations that pacers did not answer.
    pub(crate) fn decide_unanswered(self: &Rc<Self>) {
        let now = self.clock.now();
        let unanswered = self.pacing.borrow_mut().take_unanswered(now);
        for pending in unanswered {
            log::info!(
                "event=pacer_silent host={} upstream={} after_ms={}",
                pending.host,
                pending.prompt.upstream,
                now.since(pending.requested_at)
            );
            self.pacing.borrow_mut().pacers.mark_silent(now, &pending.host);
            self.reserve_locally(pending.id, pending.reservation, &pending.prompt);
        }
    }
}
