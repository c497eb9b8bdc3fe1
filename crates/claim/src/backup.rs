//! Messages between hosts, and the backup's promise.

use crate::{
    Action, Message, Slot,
    slot::{Claim, Mode, Role, State},
};
use vanetally_types::HostId;

impl Slot {
    pub(crate) fn handle_message(
        &mut self,
        from: HostId,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::RequestPromise { epoch, term } => {
                self.promise_requested(from, epoch, term, actions)
            }
            Message::Promise { epoch, term, given } => {
                self.promise_answered(&from, epoch, term, given, actions)
            }
            Message::ReleasePromise { epoch, term } => self.release_promise(epoch, term),
            Message::Handover { claims, running, answers } => {
                if self.role != Role::Holder {
                    return;
                }
                for (id, deadline) in &claims {
                    self.merge_claim(*id, *deadline, State::Unknown);
                }
                for (id, ticket) in running {
                    self.merge_claim(id, 0, State::Running(ticket));
                }
                for (id, answer) in answers {
                    self.merge_claim(id, 0, State::Ran(Some(answer)));
                }
                if self.unresolved.remove(&from).is_some() {
                    self.needs_write = true;
                }
                // The earlier holder may drop only what is recorded.
                let is_unrecorded = claims.iter().any(|(id, _)| self.unrecorded.contains(id));
                let is_unresolved = self.record().is_none_or(|r| r.unresolved.contains_key(&from));
                if !self.options.guards.handover || !(is_unrecorded || is_unresolved) {
                    actions.push(Action::Send { to: from, message: Message::HandoverAck });
                }
            }
            Message::HandoverAck => {
                if self.handover.as_ref().is_some_and(|(to, _)| *to == from) {
                    self.handover = None;
                }
            }
        }
    }

    /// Adopts an earlier holder's state of `id`, unless this host knows more.
    pub(crate) fn merge_claim(&mut self, id: crate::Id, deadline: u64, state: State) {
        if !self.claims.contains_key(&id) {
            self.unrecorded.insert(id);
        }
        let new_claim = Claim { deadline, state: State::Unknown, waiters: Vec::new() };
        let claim = self.claims.entry(id).or_insert(new_claim);
        if claim.state == State::Unknown {
            claim.state = state;
        }
    }

    fn promise_requested(
        &mut self,
        from: HostId,
        epoch: u64,
        term: u64,
        actions: &mut Vec<Action>,
    ) {
        let known_epoch = self.record().map_or(0, |r| r.epoch);
        let is_taking_over = self.options.guards.takeover_bar
            && self.takeover_attempt.is_some_and(|(e, _)| epoch <= e);
        let given = !is_taking_over && epoch >= known_epoch && matches!(self.role, Role::Other);
        if given && self.promised.is_none_or(|p| p < (epoch, term)) {
            self.promised = Some((epoch, term));
        }
        actions.push(Action::Send { to: from, message: Message::Promise { epoch, term, given } });
    }

    fn release_promise(&mut self, epoch: u64, term: u64) {
        let is_over = |(e, t): (u64, u64)| e == epoch && (t <= term || !self.options.guards.term);
        if self.promised.is_some_and(is_over) {
            self.promised = None;
        }
    }

    fn promise_answered(
        &mut self,
        from: &HostId,
        epoch: u64,
        term: u64,
        given: bool,
        actions: &mut Vec<Action>,
    ) {
        let is_current = self.record().is_some_and(|r| r.epoch == epoch) && self.term == term;
        if !is_current || !given {
            return;
        }
        if let Mode::AwaitingPromises(missing) = &mut self.mode {
            missing.remove(from);
        }
        self.try_memory_mode(actions);
    }

    /// Starts to request the promises needed to grant from memory.
    pub(crate) fn request_promises(&mut self, actions: &mut Vec<Action>) {
        if self.role != Role::Holder || self.mode != Mode::Recorded {
            return;
        }
        self.term += 1;
        let records = [self.stored.as_ref().map(|s| &s.record), self.unconfirmed.as_ref()];
        let backups = records.into_iter().flatten().filter_map(|r| r.backup.clone());
        self.mode = Mode::AwaitingPromises(backups.collect());
        if !self.options.guards.promise {
            self.mode = Mode::AwaitingPromises(Default::default());
        }
        self.resend_promise_requests(actions);
        self.try_memory_mode(actions);
    }

    pub(crate) fn resend_promise_requests(&self, actions: &mut Vec<Action>) {
        let Mode::AwaitingPromises(missing) = &self.mode else {
            return;
        };
        let Some(epoch) = self.record().map(|r| r.epoch) else {
            return;
        };
        for to in missing {
            let message = Message::RequestPromise { epoch, term: self.term };
            actions.push(Action::Send { to: to.clone(), message });
        }
    }

    /// Grants from memory once no promise is missing.
    pub(crate) fn try_memory_mode(&mut self, actions: &mut Vec<Action>) {
        if !matches!(&self.mode, Mode::AwaitingPromises(missing) if missing.is_empty()) {
            return;
        }
        self.mode = Mode::Memory;
        self.grant_pending(|_| true, actions);
    }
}
