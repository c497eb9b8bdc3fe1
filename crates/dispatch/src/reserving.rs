//! The moment for a request is asked for before it is sent to an upstream in need, and before its prompt is sent to an
//! engine.

use crate::{
    Action, Dispatch, Lack, RequestId, Shortage,
    choice::{Choice, Expected},
    machine::MICROS_PER_MILLI,
    request::{Reservation, Stage},
    sending::CROWDED_MS,
};
use vanetally_limit::{Answer as Permit, Question};
use vanetally_pacing::{Prompt, SendSlot, SlotReply};
use vanetally_ports::RefusalCause;
use vanetally_types::Tick;

impl Dispatch {
    /// Asks the engine's pacer for the moment; the request counts as the engine's load meanwhile.
    pub(crate) fn reserve(&mut self, now: Tick, id: RequestId, choice: Choice) -> Option<Action> {
        let upstream = choice.upstream.clone();
        let turn = self.open_reservation(now, id, choice)?;
        let request = self.requests.get(&id)?;
        let model = request.head.model.as_ref().map(|subject| subject.model.clone());
        let per_token_us = self.pace.per_token(model.as_ref()) * MICROS_PER_MILLI;
        let prompt = Prompt {
            upstream,
            model: model.unwrap_or_else(|| "".into()),
            shared: request.shared.clone(),
            tokens: request.head.prompt_tokens,
            per_token_us: per_token_us.round() as u32,
            gap_ms: request.gap_ms() as u32,
        };
        Some(Action::Reserve { id, turn, prompt })
    }

    /// A request waits no more in the queue, but for a moment at the upstream that was chosen; it counts as that one's
    /// load. Gives back the number of the reservation.
    fn open_reservation(&mut self, now: Tick, id: RequestId, choice: Choice) -> Option<u32> {
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        self.queue.remove(id, request);
        let load = request.load(choice.expected.unread);
        upstream.own.add(load);
        upstream.rest.sent(now);
        request.reservations += 1;
        let turn = request.reservations;
        request.stage = Stage::Reserving(Reservation { turn, choice, load });
        Some(turn)
    }

    /// The pacer answered: the request goes, or waits for this or another engine.
    pub(crate) fn reserved(
        &mut self,
        now: Tick,
        id: RequestId,
        turn: u32,
        slot: SlotReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(choice) = self.take_reservation(id, turn) else {
            return;
        };
        // One that has gone or leaves takes nothing new, whatever its pacer says.
        let Some(upstream) = self.upstreams.get_mut(&choice.upstream) else {
            return;
        };
        let is_open = upstream.takes_now(now) && upstream.is_permitted(&choice);
        match slot {
            SlotReply::Granted(SendSlot { delay_ms, unread, ahead_ms, is_trial }) if is_open => {
                let expected = Expected { unread, ahead_ms };
                let choice = Choice { expected, is_trial, ..choice };
                actions.extend(self.send(now, id, choice, delay_ms));
                return;
            }
            SlotReply::Granted(_) => {}
            SlotReply::Busy { retry_ms } => upstream.paced_until = now + u64::from(retry_ms),
        }
        upstream.rest.ended(now, now, false);
        actions.extend(choice.unused_permit());
    }

    /// Asks when the request may go to an upstream in need; it counts as the upstream's load meanwhile.
    pub(crate) fn ask_permit(
        &mut self,
        now: Tick,
        id: RequestId,
        choice: Choice,
    ) -> Option<Action> {
        let limit = choice.limit?;
        let upstream = choice.upstream.clone();
        let turn = self.open_reservation(now, id, choice)?;
        let waits_ms = self.requests.get(&id)?.waits_ms(now).max(1);
        let most_ms = if limit.may_wait { waits_ms.try_into().unwrap_or(u32::MAX) } else { 0 };
        let question = Question { upstream, rate: limit.rate, most_ms };
        Some(Action::Permit { id, turn, question })
    }

    /// Who grants answered: the request goes, goes elsewhere, or is refused with the time at which there is room.
    pub(crate) fn permitted(
        &mut self,
        now: Tick,
        (id, turn): (RequestId, u32),
        question: Question,
        answer: Permit,
        actions: &mut Vec<Action>,
    ) {
        let granted = match answer {
            Permit::Granted { delay_ms } => Some(delay_ms),
            Permit::Busy { .. } | Permit::NotGranting => None,
        };
        let Some(mut choice) = self.take_reservation(id, turn) else {
            let Question { upstream, rate, .. } = question;
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
        let is_open = upstream.takes_now(now);
        match answer {
            Permit::Granted { .. } if !is_open => actions.extend(choice.unused_permit()),
            Permit::Granted { delay_ms: 0 } if is_engine => {
                actions.extend(self.reserve(now, id, choice));
            }
            // In line its prompt meets few others.
            Permit::Granted { delay_ms } => actions.extend(self.send(now, id, choice, delay_ms)),
            Permit::Busy { retry_ms } if question.most_ms > 0 => {
                self.refuse_limited(now, id, retry_ms, actions);
            }
            Permit::Busy { retry_ms } => upstream.limited_until = now + u64::from(retry_ms),
            Permit::NotGranting => {}
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
        let shortage = Shortage { lack: Lack::Limit, holders };
        let (service, subject) = (request.service.clone(), request.head.model.clone());
        self.refuse_at_once(id, shortage, RefusalCause::RateLimited, retry_ms.into(), actions);
        if let Some(subject) = subject {
            self.tell_shortage(now, &service, subject, Lack::Limit, CROWDED_MS, actions);
        }
    }

    /// Ends the reservation `turn` of a request, if it is open: the request waits again.
    fn take_reservation(&mut self, id: RequestId, turn: u32) -> Option<Choice> {
        let request = self.requests.get_mut(&id)?;
        if !matches!(&request.stage, Stage::Reserving(open) if open.turn == turn) {
            return None;
        }
        let stage = std::mem::replace(&mut request.stage, Stage::Waiting);
        let Stage::Reserving(Reservation { choice, load, .. }) = stage else {
            return None;
        };
        self.queue.insert(id, request);
        if let Some(upstream) = self.upstreams.get_mut(&choice.upstream) {
            upstream.own.take(load);
        }
        Some(choice)
    }

    fn is_engine_of(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| self.is_engine(&request.service))
    }
}
