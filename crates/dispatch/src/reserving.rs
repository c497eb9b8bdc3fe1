//! The moment for a request is asked for before it is sent to an upstream in need, and before its prompt is sent to an
//! engine.

use crate::{
    Action, Dispatch, RequestId, Shortage, ShortageKind,
    choice::{Choice, ReadEstimate},
    machine::MICROS_PER_MILLI,
    request::{Reservation, Stage},
    sending::SATURATED_MS,
};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_pacing::{Prompt, SendSlot, SlotReply};
use vanetally_ports::RefusalCause;
use vanetally_types::Tick;

impl Dispatch {
    /// Asks the engine's pacer for the moment; the request counts as the engine's load meanwhile.
    pub(crate) fn reserve(&mut self, now: Tick, id: RequestId, choice: Choice) -> Option<Action> {
        let upstream = choice.upstream.clone();
        let reservation = self.open_reservation(now, id, choice)?;
        let request = self.requests.get(&id)?;
        let model = request.head.model.as_ref().map(|subject| subject.model.clone());
        let per_token_us = self.pace.per_token_ms(model.as_ref()) * MICROS_PER_MILLI;
        let prompt = Prompt {
            upstream,
            model: model.unwrap_or_else(|| "".into()),
            shared: request.shared_prefixes.clone(),
            tokens: request.head.prompt_tokens,
            per_token_us: per_token_us.round() as u32,
            gap_ms: request.gap_ms() as u32,
        };
        Some(Action::Reserve { id, reservation, prompt })
    }

    /// A request waits no more in the queue, but for a moment at the upstream that was chosen; it counts as that one's
    /// load. Gives back the number of the reservation.
    fn open_reservation(&mut self, now: Tick, id: RequestId, choice: Choice) -> Option<u32> {
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        self.queue.remove(id, request);
        let load = request.load(choice.expected.unread_tokens);
        upstream.own.add(load);
        upstream.cooldown.record_send(now);
        request.reservations += 1;
        let reservation = request.reservations;
        request.stage = Stage::Reserving(Reservation { reservation, choice, load });
        Some(reservation)
    }

    /// The pacer answered: the request goes, or waits for this or another engine.
    pub(crate) fn reserved(
        &mut self,
        now: Tick,
        id: RequestId,
        reservation: u32,
        slot: SlotReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(choice) = self.close_reservation(id, reservation) else {
            return;
        };
        // One that has gone or leaves takes nothing new, whatever its pacer says.
        let Some(upstream) = self.upstreams.get_mut(&choice.upstream) else {
            return;
        };
        let is_open = upstream.accepts_now(now) && upstream.is_permitted(&choice);
        match slot {
            SlotReply::Granted(SendSlot {
                delay_ms,
                unread: unread_tokens,
                ahead_ms,
                is_trial,
            }) if is_open => {
                let expected = ReadEstimate { unread_tokens, ahead_ms };
                let choice = Choice { expected, is_trial, ..choice };
                actions.extend(self.send(now, id, choice, delay_ms));
                return;
            }
            SlotReply::Granted(_) => {}
            SlotReply::Busy { retry_ms } => upstream.paced_until = now + u64::from(retry_ms),
        }
        upstream.cooldown.record_end(now, now, false);
        actions.extend(choice.unused_permit());
    }

    /// Asks when the request may go to an upstream in need; it counts as the upstream's load meanwhile.
    pub(crate) fn request_permit(
        &mut self,
        now: Tick,
        id: RequestId,
        choice: Choice,
    ) -> Option<Action> {
        let limit = choice.limit?;
        let upstream = choice.upstream.clone();
        let reservation = self.open_reservation(now, id, choice)?;
        let remaining_wait_ms = self.requests.get(&id)?.remaining_wait_ms(now).max(1);
        let max_wait_ms =
            if limit.may_wait { remaining_wait_ms.try_into().unwrap_or(u32::MAX) } else { 0 };
        let question = PermitRequest { upstream, rate: limit.rate, max_wait_ms };
        Some(Action::RequestPermit { id, reservation, request: question })
    }

    /// Who grants answered: the request goes, goes elsewhere, or is refused with the time at which there is room.
    pub(crate) fn permit_answered(
        &mut self,
        now: Tick,
        (id, reservation): (RequestId, u32),
        question: PermitRequest,
        answer: PermitAnswer,
        actions: &mut Vec<Action>,
    ) {
        let granted = match answer {
            PermitAnswer::Granted { delay_ms } => Some(delay_ms),
            PermitAnswer::Busy { .. } | PermitAnswer::NotGranting => None,
        };
        let Some(mut choice) = self.close_reservation(id, reservation) else {
            let PermitRequest { upstream, rate, .. } = question;
            actions.extend(granted.map(|_| Action::ReturnPermit { upstream, rate }));
            return;
        };
        let is_engine = self.is_engine_of(id);
        let Some(upstream) = self.upstreams.get_mut(&choice.upstream) else {
            return;
        };
        if let (Some(_), Some(limit)) = (granted, &mut choice.limit) {
            limit.is_granted = true;
        }
        let is_open = upstream.accepts_now(now);
        match answer {
            PermitAnswer::Granted { .. } if !is_open => actions.extend(choice.unused_permit()),
            PermitAnswer::Granted { delay_ms: 0 } if is_engine => {
                actions.extend(self.reserve(now, id, choice));
            }
            // In line its prompt meets few others.
            PermitAnswer::Granted { delay_ms } => {
                actions.extend(self.send(now, id, choice, delay_ms))
            }
            PermitAnswer::Busy { retry_ms } if question.max_wait_ms > 0 => {
                self.refuse_limited(now, id, retry_ms, actions);
            }
            PermitAnswer::Busy { retry_ms } => upstream.limited_until = now + u64::from(retry_ms),
            PermitAnswer::NotGranting => {}
        }
    }

    /// Refuses a request that only upstreams in need could take.
    fn refuse_limited(
        &mut self,
        now: Tick,
        id: RequestId,
        retry_ms: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let holders = request.shortage.map_or(1, |shortage| shortage.holders);
        let shortage = Shortage { kind: ShortageKind::Limit, holders };
        let (service, subject) = (request.service.clone(), request.head.model.clone());
        self.refuse_at_once(id, shortage, RefusalCause::RateLimited, retry_ms.into(), actions);
        if let Some(subject) = subject {
            self.report_shortage(
                now,
                &service,
                subject,
                ShortageKind::Limit,
                SATURATED_MS,
                actions,
            );
        }
    }

    /// Ends the reservation `turn` of a request, if it is open: the request waits again.
    fn close_reservation(&mut self, id: RequestId, reservation: u32) -> Option<Choice> {
        let request = self.requests.get_mut(&id)?;
        if !matches!(&request.stage, Stage::Reserving(open) if open.reservation == reservation) {
            return None;
        }
        let stage = std::mem::replace(&mut request.stage, Stage::Waiting);
        let Stage::Reserving(Reservation { choice, load, .. }) = stage else {
            return None;
        };
        self.queue.insert(id, request);
        if let Some(upstream) = self.upstreams.get_mut(&choice.upstream) {
            upstream.own.subtract(load);
        }
        Some(choice)
    }

    fn is_engine_of(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| self.is_engine(&request.service))
    }
}
