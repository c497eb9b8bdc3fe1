//! The backup's promise and messages between hosts.

use crate::{
    Action, Message, Slot,
    slot::{Claim, Mode, Role, State},
};
use vanetally_types::HostId;

impl Slot {
    pub(crate) fn message(&mut self, from: HostId, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::RequestPromise { epoch, term } => {
                self.promise_requested(from, epoch, term, out)
            }
            Message::Promise { epoch, term, given } => self.promise(&from, epoch, term, given, out),
            Message::ReleasePromise { epoch, term } => self.release_promise(epoch, term),
            Message::Handover { claims, running, answers } => {
                if self.role != Role::Holder {
                    return;
                }
                for (id, deadline) in &claims {
                    self.learn(*id, *deadline, State::Unknown);
                }
                for (id, ticket) in running {
                    self.learn(id, 0, State::Running(ticket));
                }
                for (id, answer) in answers {
                    self.learn(id, 0, State::Ran(Some(answer)));
                }
                if self.unresolved.remove(&from).is_some() {
                    self.stale = true;
                }
                // The earlier holder may forget only what is written down.
                let unwritten = claims.iter().any(|(id, _)| self.unrecorded.contains(id));
                let doubted = self.record().is_none_or(|r| r.unresolved.contains_key(&from));
                if !self.options.guards.handover || !(unwritten || doubted) {
                    out.push(Action::Send { to: from, message: Message::HandoverAck });
                }
            }
            Message::HandoverAck => {
                if self.handover.as_ref().is_some_and(|(to, _)| *to == from) {
                    self.handover = None;
                }
            }
        }
    }

    /// Takes over what an earlier holder knows of `id`, where this host knows less.
    pub(crate) fn learn(&mut self, id: crate::Id, deadline: u64, state: State) {
        if !self.claims.contains_key(&id) {
            self.unrecorded.insert(id);
        }
        let unknown = Claim { deadline, state: State::Unknown, waiters: Vec::new() };
        let claim = self.claims.entry(id).or_insert(unknown);
        if claim.state == State::Unknown {
            claim.state = state;
        }
    }

    fn promise_requested(&mut self, from: HostId, epoch: u64, term: u64, out: &mut Vec<Action>) {
        let known = self.record().map_or(0, |r| r.epoch);
        let barred =
            self.options.guards.takeover_bar && self.barred.is_some_and(|(e, _)| epoch <= e);
        let given = !barred && epoch >= known && matches!(self.role, Role::Other);
        if given && self.promised.is_none_or(|p| p < (epoch, term)) {
            self.promised = Some((epoch, term));
        }
        out.push(Action::Send { to: from, message: Message::Promise { epoch, term, given } });
    }

    fn release_promise(&mut self, epoch: u64, term: u64) {
        let over = |(e, t): (u64, u64)| e == epoch && (t <= term || !self.options.guards.term);
        if self.promised.is_some_and(over) {
            self.promised = None;
        }
    }

    fn promise(
        &mut self,
        from: &HostId,
        epoch: u64,
        term: u64,
        given: bool,
        out: &mut Vec<Action>,
    ) {
        let current = self.record().is_some_and(|r| r.epoch == epoch) && self.term == term;
        if !current || !given {
            return;
        }
        if let Mode::Asking(missing) = &mut self.mode {
            missing.remove(from);
        }
        self.enter_memory(out);
    }

    /// Starts asking for the promises that granting from memory needs.
    pub(crate) fn ask_promises(&mut self, out: &mut Vec<Action>) {
        if self.role != Role::Holder || self.mode != Mode::Recorded {
            return;
        }
        self.term += 1;
        let records = [self.stored.as_ref().map(|s| &s.record), self.lost.as_ref()];
        let backups = records.into_iter().flatten().filter_map(|r| r.backup.clone());
        self.mode = Mode::Asking(backups.collect());
        if !self.options.guards.promise {
            self.mode = Mode::Asking(Default::default());
        }
        self.repeat_asking(out);
        self.enter_memory(out);
    }

    pub(crate) fn repeat_asking(&self, out: &mut Vec<Action>) {
        let Mode::Asking(missing) = &self.mode else {
            return;
        };
        let Some(epoch) = self.record().map(|r| r.epoch) else {
            return;
        };
        for to in missing {
            let message = Message::RequestPromise { epoch, term: self.term };
            out.push(Action::Send { to: to.clone(), message });
        }
    }

    /// Grants from memory once no promise is missing.
    pub(crate) fn enter_memory(&mut self, out: &mut Vec<Action>) {
        if !matches!(&self.mode, Mode::Asking(missing) if missing.is_empty()) {
            return;
        }
        self.mode = Mode::Memory;
        self.grant_pending(|_| true, out);
    }
}
