//! Takeover and handover of a slot, and handling of the platform's answers.

use crate::{
    Action, Id, Message, Record, Reply, Slot, VersionedRecord,
    slot::{Claim, Mode, Role, State},
};
use vanetally_types::{HostId, Tick};

/// Maximum assumed difference between the clocks of two hosts.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

impl Slot {
    /// Starts to take the slot over, based on the record as last read.
    pub(crate) fn take_over(&mut self, backup: Option<HostId>, actions: &mut Vec<Action>) {
        if self.role != Role::Other || self.writing.is_some() {
            return;
        }
        let backup = backup.filter(|b| *b != self.host_id);
        let (base, epoch) = self.stored.as_ref().map_or((0, 0), |s| (s.version, s.record.epoch));
        let record = self.successor_record(backup);
        self.takeover_attempt = Some((epoch, base));
        self.role = Role::Taking;
        self.writing = Some(record.clone());
        actions.push(Action::Write { base, record });
    }

    /// Returns the record that makes this host the successor of the last known holder.
    fn successor_record(&self, backup: Option<HostId>) -> Record {
        let mut next = match &self.stored {
            None => self.draft_record(0, self.host_id.clone(), None),
            Some(stored) => stored.record.clone(),
        };
        // Without the promise of its backup the holder can't have granted ids from memory.
        let has_promised = self.promised.is_some_and(|(epoch, _)| epoch == next.epoch);
        let has_proof = next.backup.as_ref() == Some(&self.host_id) && !has_promised;
        if !has_proof && next.holder != self.host_id {
            next.unresolved.insert(next.holder.clone(), None);
        }
        if let Some((epoch, holder)) = &self.highest_epoch
            && *epoch > next.epoch
        {
            // The platform was restored to an older state, which lacks the ids that `holder`
            // granted.
            next.epoch = *epoch;
            next.unresolved.insert(holder.clone(), None);
        }
        if let Some((_, Message::Handover { claims, .. })) = &self.handover {
            // Ids that this host granted as an earlier holder may be recorded nowhere yet.
            next.claims.extend(claims.iter().copied());
            next.unresolved.remove(&self.host_id);
        }
        next.epoch += 1;
        next.holder = self.host_id.clone();
        next.backup = backup;
        next.seq += 1;
        next
    }

    /// Adopts `stored` as a host that doesn't hold the slot.
    fn follow(&mut self, stored: VersionedRecord) {
        if self.takeover_attempt.is_some_and(|(_, version)| stored.version != version) {
            self.takeover_attempt = None;
        }
        self.stored = Some(stored);
    }

    /// Continues as holder from `stored`; ids missing from it will be written.
    fn rebase(&mut self, stored: VersionedRecord) {
        let recorded = &stored.record.claims;
        let missing = self.claims.keys().filter(|id| !recorded.contains_key(id));
        self.unrecorded = missing.copied().collect();
        self.needs_write = true;
        self.stored = Some(stored);
    }

    /// Becomes the holder according to `stored`.
    fn become_holder(&mut self, stored: VersionedRecord) {
        let record = &stored.record;
        for (id, deadline) in &record.claims {
            let claim = Claim { deadline: *deadline, state: State::Unknown, waiters: Vec::new() };
            self.claims.entry(*id).or_insert(claim);
        }
        self.role = Role::Holder;
        self.mode = Mode::Recorded;
        self.expired_until = self.expired_until.max(record.expired_until);
        self.unresolved = record.unresolved.clone();
        self.backup = record.backup.clone();
        self.unconfirmed = None;
        self.successor = None;
        self.stored = Some(stored);
        self.restore_handover();
    }

    /// Restores the ids that this host granted when it held the slot before.
    fn restore_handover(&mut self) {
        let Some((_, Message::Handover { claims, .. })) = self.handover.take() else { return };
        for (id, deadline) in claims {
            self.merge_claim(id, deadline, State::Unknown);
        }
        if self.unresolved.remove(&self.host_id).is_some() {
            self.needs_write = true;
        }
    }

    pub(crate) fn record_read(
        &mut self,
        stored: Option<VersionedRecord>,
        actions: &mut Vec<Action>,
    ) {
        if self.writing.is_some() {
            return;
        }
        let Some(current) = stored else { return };
        if self.is_outdated(&current.record) {
            return;
        }
        let is_own = current.record.holder == self.host_id;
        match self.role {
            Role::Other if is_own => self.become_holder(current),
            Role::Other => self.follow(current),
            _ if !is_own => self.step_down(current, actions),
            _ => {}
        }
    }

    /// Whether `record` is older than one that this host knows of and must not be followed.
    fn is_outdated(&self, record: &Record) -> bool {
        let position = |r: &Record| (r.epoch, r.seq);
        let is_older_than_stored =
            self.stored.as_ref().is_some_and(|s| position(&s.record) > position(record));
        let is_older_than_announced =
            self.highest_epoch.as_ref().is_some_and(|(epoch, _)| *epoch > record.epoch);
        let may_follow_older = self.role == Role::Other && record.holder != self.host_id;
        self.options.guards.epoch
            && (is_older_than_stored || is_older_than_announced)
            && !may_follow_older
    }

    pub(crate) fn write_succeeded(&mut self, version: u64, actions: &mut Vec<Action>) {
        let Some(record) = self.writing.take() else {
            return;
        };
        self.write_confirmed(VersionedRecord { version, record }, actions);
    }

    /// Handles the confirmation that this host's write of `stored` took effect.
    fn write_confirmed(&mut self, stored: VersionedRecord, actions: &mut Vec<Action>) {
        self.unconfirmed = None;
        match self.role {
            Role::Taking => self.become_holder(stored),
            Role::Releasing => self.step_down(stored, actions),
            Role::Holder => self.record_written(stored, actions),
            Role::Other => {}
        }
    }

    fn record_written(&mut self, stored: VersionedRecord, actions: &mut Vec<Action>) {
        let claims = &stored.record.claims;
        self.unrecorded.retain(|id| !claims.contains_key(id));
        let claims = claims.clone();
        let (epoch, backup) = (stored.record.epoch, stored.record.backup.clone());
        self.stored = Some(stored);
        self.grant_pending(|id| claims.contains_key(id), actions);
        if self.mode == Mode::Recorded || !self.unrecorded.is_empty() {
            return;
        }
        self.mode = Mode::Recorded;
        if let Some(to) = backup {
            let message = Message::ReleasePromise { epoch, term: self.term };
            actions.push(Action::Send { to, message });
        }
    }

    pub(crate) fn write_unconfirmed(&mut self, actions: &mut Vec<Action>) {
        let Some(record) = self.writing.take() else {
            return;
        };
        self.is_write_deferred = true;
        match self.role {
            Role::Taking => self.role = Role::Other,
            Role::Holder => {
                self.unconfirmed = Some(record);
                self.request_promises(actions);
            }
            Role::Releasing | Role::Other => {}
        }
    }

    pub(crate) fn write_conflict(
        &mut self,
        stored: Option<VersionedRecord>,
        actions: &mut Vec<Action>,
    ) {
        let Some(written) = self.writing.take() else {
            return;
        };
        let Some(current) = stored else {
            self.is_write_deferred = true;
            return self.record_missing(actions);
        };
        let is_same = |r: &Record| r.epoch == current.record.epoch && r.seq == current.record.seq;
        let is_ours = current.record.holder == written.holder;
        if is_ours && (is_same(&written) || self.unconfirmed.as_ref().is_some_and(is_same)) {
            return self.write_confirmed(current, actions);
        }
        let is_own = current.record.holder == self.host_id;
        let is_older = self.record().is_some_and(|r| current.record.epoch < r.epoch);
        match self.role {
            Role::Taking if is_own && !is_older => self.become_holder(current),
            Role::Taking => {
                self.role = Role::Other;
                self.follow(current);
            }
            Role::Holder | Role::Releasing if is_older => self.overwrite_restored(current),
            Role::Holder | Role::Releasing if is_own => self.rebase(current),
            _ => self.step_down(current, actions),
        }
    }

    /// Prepares to overwrite the record of a platform that was restored to an older state.
    fn overwrite_restored(&mut self, restored: VersionedRecord) {
        let Some(stored) = &self.stored else { return };
        let mut record = stored.record.clone();
        record.claims = restored.record.claims;
        record.seq = record.seq.max(restored.record.seq);
        self.rebase(VersionedRecord { version: restored.version, record });
    }

    /// Handles a missing record: the platform was restored to an older state.
    fn record_missing(&mut self, actions: &mut Vec<Action>) {
        match self.role {
            Role::Taking => self.role = Role::Other,
            Role::Holder => {
                if let Some(stored) = &mut self.stored {
                    stored.version = 0;
                }
                self.request_promises(actions);
            }
            Role::Releasing | Role::Other => {}
        }
    }

    pub(crate) fn epoch_announced(
        &mut self,
        epoch: u64,
        holder: HostId,
        actions: &mut Vec<Action>,
    ) {
        if self.highest_epoch.as_ref().is_none_or(|(e, _)| epoch > *e) {
            self.highest_epoch = Some((epoch, holder.clone()));
        }
        let known_epoch = self.record().map_or(0, |r| r.epoch);
        let is_holder = matches!(self.role, Role::Holder | Role::Releasing);
        if epoch <= known_epoch || !is_holder || holder == self.host_id || self.writing.is_some() {
            return;
        }
        let Some(stored) = &self.stored else { return };
        let mut current = stored.clone();
        current.record.epoch = epoch;
        current.record.holder = holder;
        self.step_down(current, actions);
    }

    /// Stops holding the slot, hands its state over to the present holder, and redirects waiting
    /// attempts there.
    fn step_down(&mut self, stored: VersionedRecord, actions: &mut Vec<Action>) {
        let holder = stored.record.holder.clone();
        let pending: Vec<Id> = self.ids_in_state(|s| matches!(s, State::Pending(..)));
        for id in pending {
            self.refuse_pending(id, Reply::NotHolder(Some(holder.clone())), actions);
        }
        let message = self.handover_message();
        self.redirect_waiters(&holder, actions);
        actions.push(Action::Send { to: holder.clone(), message: message.clone() });
        self.handover = Some((holder, message));
        self.role = Role::Other;
        self.mode = Mode::Recorded;
        self.claims.clear();
        self.unrecorded.clear();
        self.unresolved.clear();
        self.unconfirmed = None;
        self.successor = None;
        self.needs_write = false;
        self.stored = Some(stored);
    }

    fn ids_in_state(&self, test: impl Fn(&State) -> bool) -> Vec<Id> {
        self.claims.iter().filter(|(_, c)| test(&c.state)).map(|(id, _)| *id).collect()
    }

    fn handover_message(&self) -> Message {
        let mut running = Vec::new();
        let mut answers = Vec::new();
        for (id, claim) in &self.claims {
            match &claim.state {
                State::Running(ticket) => running.push((*id, ticket.clone())),
                State::Ran(Some(answer)) => answers.push((*id, answer.clone())),
                _ => {}
            }
        }
        let claims = self.claims.iter().map(|(id, c)| (*id, c.deadline)).collect();
        Message::Handover { claims, running, answers }
    }

    fn redirect_waiters(&mut self, holder: &HostId, actions: &mut Vec<Action>) {
        for (id, claim) in &mut self.claims {
            for ticket in std::mem::take(&mut claim.waiters) {
                let reply = Reply::NotHolder(Some(holder.clone()));
                actions.push(Action::Reply { ticket, id: *id, reply });
            }
        }
    }

    /// Handles proof that a process has ended: it grants no ids and runs no attempts any more.
    pub(crate) fn host_ended(&mut self, now: Tick, host: &HostId, actions: &mut Vec<Action>) {
        self.unreachable(host, actions);
        if let Some(until) = self.unresolved.get_mut(host)
            && until.is_none()
        {
            *until = Some(now.0.saturating_add(self.options.retention_ms + MAX_CLOCK_SKEW_MS));
            self.needs_write = true;
        }
        if self.handover.as_ref().is_some_and(|(to, _)| to == host) {
            self.handover = None;
        }
        // A backup that has ended may have taken the slot over before, so its end doesn't replace
        // its promise.
    }

    pub(crate) fn set_backup(&mut self, backup: Option<HostId>) {
        let backup = backup.filter(|b| *b != self.host_id);
        if self.role == Role::Holder && self.backup != backup {
            self.backup = backup;
            self.needs_write = true;
        }
    }

    pub(crate) fn release(&mut self, to: HostId, backup: Option<HostId>) {
        let is_idle = self.writing.is_none() && self.mode == Mode::Recorded;
        if self.role == Role::Holder && is_idle && to != self.host_id {
            self.role = Role::Releasing;
            self.successor = Some((to.clone(), backup.filter(|b| *b != to)));
        }
    }
}
