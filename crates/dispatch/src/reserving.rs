//! The moment for a prompt is asked for before it is sent to an engine.

use crate::{
    Action, Dispatch, RequestId,
    choice::{Choice, Expected},
    machine::MICROS_PER_MILLI,
    request::{Reservation, Stage},
};
use vanetally_pacing::{Moment, Prompt, Slot};
use vanetally_types::Tick;

impl Dispatch {
    /// Asks the engine's pacer for the moment; the request counts as the engine's load meanwhile.
    pub(crate) fn reserve(&mut self, id: RequestId, choice: Choice) -> Option<Action> {
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        self.queue.remove(id, request);
        let load = request.load(choice.expected.unread);
        upstream.own.add(load);
        request.reservations += 1;
        let turn = request.reservations;
        let model = request.head.model.as_ref().map(|subject| subject.model.clone());
        let per_token_us = self.pace.per_token(model.as_ref()) * MICROS_PER_MILLI;
        let prompt = Prompt {
            upstream: choice.upstream.clone(),
            model: model.unwrap_or_else(|| "".into()),
            shared: request.shared.clone(),
            tokens: request.head.prompt_tokens,
            per_token_us: per_token_us.round() as u32,
            gap_ms: request.gap_ms() as u32,
        };
        request.stage = Stage::Reserving(Reservation { turn, choice, load });
        Some(Action::Reserve { id, turn, prompt })
    }

    /// The pacer answered: the request goes, or waits for this or another engine.
    pub(crate) fn reserved(
        &mut self,
        now: Tick,
        id: RequestId,
        turn: u32,
        slot: Slot,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(&request.stage, Stage::Reserving(open) if open.turn == turn) {
            return;
        }
        let stage = std::mem::replace(&mut request.stage, Stage::Waiting);
        let Stage::Reserving(Reservation { choice, load, .. }) = stage else {
            return;
        };
        self.queue.insert(id, request);
        let upstream = self.upstreams.get_mut(&choice.upstream);
        // One that has gone or leaves takes nothing new, whatever its pacer says.
        let Some(upstream) = upstream else {
            return;
        };
        upstream.own.take(load);
        match slot {
            Slot::Granted(_) if !upstream.takes_new(now) => {}
            Slot::Granted(Moment { delay_ms, unread, ahead_ms, is_trial }) => {
                let expected = Expected { unread, ahead_ms };
                let choice = Choice { expected, is_trial, ..choice };
                actions.extend(self.send(now, id, choice, delay_ms));
            }
            Slot::Busy { retry_ms } => upstream.paced_until = now + u64::from(retry_ms),
        }
    }
}
