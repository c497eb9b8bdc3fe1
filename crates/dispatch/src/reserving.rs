//! Reserving a send time: a permit before a request is sent to a rate-limited upstream, and a slot
//! of the engine's pacer before a prompt is sent to an engine.

use crate::{
    Action, Dispatch, RequestId, Shortage, ShortageKind,
    choice::{Choice, ReadEstimate},
    machine::MICROS_PER_MILLI,
    refusing::SATURATED_MS,
    request::{Reservation, Stage},
};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_pacing::{Prompt, SendSlot, SlotReply};
use vanetally_ports::RefusalCause;
use vanetally_types::Tick;

impl Dispatch {
    /// Asks the engine's pacer for a slot. The request counts as load of the engine meanwhile.
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

    /// Moves a request from the queue to a reservation at the chosen upstream, where it counts as
    /// load. Returns the number of the reservation.
    fn open_reservation(&mut self, now: Tick, id: RequestId, choice: Choice) -> Option<u32> {
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        self.queue.remove(id, request);
        let load = request.load(choice.expected.unread_tokens);
        upstream.own_load.add(load);
        self.loads.mark_active(&choice.upstream);
        upstream.cooldown.record_send(now);
        request.reservations += 1;
        let reservation = request.reservations;
        request.stage =
            Stage::Reserving(Reservation { reservation, choice, load, awaits_slot: false });
        Some(reservation)
    }

    /// Handles the pacer's answer: sends the request, or queues it again for this or another
    /// engine.
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
        // An upstream that is gone or leaving takes nothing new, whatever its pacer answered.
        let Some(upstream) = self.upstreams.get_mut(&choice.upstream) else {
            return;
        };
        let is_open = upstream.accepts_now(now) && upstream.is_permitted(now, &choice);
        match slot {
            SlotReply::Granted(SendSlot {
                delay_ms,
                unread: unread_tokens,
                ahead_ms,
                is_trial,
            }) if is_open => {
                let expected = ReadEstimate { unread_tokens, ahead_ms };
                let choice = Choice { expected, is_trial, ..choice };
                if self.needs_engine_slot(id) {
                    let send_at = Some(now + u64::from(delay_ms));
                    actions.extend(self.acquire_slot(now, id, Choice { send_at, ..choice }));
                } else {
                    actions.extend(self.send(now, id, choice, delay_ms));
                }
                return;
            }
            SlotReply::Granted(_) => {}
            SlotReply::Busy { retry_ms } => upstream.paced_until = now + u64::from(retry_ms),
        }
        upstream.cooldown.record_end(now, now, false);
        actions.extend(choice.unused_permit());
    }

    /// Asks the grantor for a permit. The request counts as load of the upstream meanwhile.
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
        let request = PermitRequest { upstream, rate: limit.rate, max_wait_ms };
        Some(Action::RequestPermit { id, reservation, request })
    }

    /// Handles the grantor's answer: the request is sent, queued again for another upstream, or
    /// refused with the time after which there is capacity.
    pub(crate) fn permit_answered(
        &mut self,
        now: Tick,
        (id, reservation): (RequestId, u32),
        request: PermitRequest,
        answer: PermitAnswer,
        actions: &mut Vec<Action>,
    ) {
        let granted = match answer {
            PermitAnswer::Granted { delay_ms } => Some(delay_ms),
            PermitAnswer::Busy { .. } | PermitAnswer::NotGranting => None,
        };
        let Some(mut choice) = self.close_reservation(id, reservation) else {
            let PermitRequest { upstream, rate, .. } = request;
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
            // A request that waited for its permit meets few other prompts, so no pacer slot is
            // needed.
            PermitAnswer::Granted { delay_ms } => {
                actions.extend(self.send(now, id, choice, delay_ms))
            }
            PermitAnswer::Busy { retry_ms } if request.max_wait_ms > 0 => {
                self.refuse_limited(now, id, retry_ms, actions);
            }
            PermitAnswer::Busy { retry_ms } => upstream.limited_until = now + u64::from(retry_ms),
            PermitAnswer::NotGranting => {}
        }
    }

    /// Refuses a request that only rate-limited upstreams could take.
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
        self.refuse_at_once(
            id,
            shortage,
            RefusalCause::RateLimited,
            Some(retry_ms.into()),
            actions,
        );
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

    /// Closes the reservation if it is open, and queues the request again.
    pub(crate) fn close_reservation(&mut self, id: RequestId, reservation: u32) -> Option<Choice> {
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
            upstream.own_load.subtract(load);
        }
        Some(choice)
    }

    /// Whether an owner grants the slots of the engines that may take the request.
    fn needs_engine_slot(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| self.grants_slots(&request.service))
    }

    fn is_engine_of(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| self.is_engine(&request.service))
    }
}
