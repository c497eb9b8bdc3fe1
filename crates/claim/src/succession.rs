//! How a slot changes hands, and what answers of the platform mean.

use crate::{
    Action, Id, Message, Record, Reply, Slot, VersionedRecord,
    slot::{Claim, Mode, Role, State},
};
use vanetally_types::{HostId, Tick};

/// Allowance for hosts whose clocks differ, in milliseconds.
const CLOCK_SKEW: u64 = 60_000;

impl Slot {
    /// Begins to take the slot over from the record as last read.
    pub(crate) fn take(&mut self, backup: Option<HostId>, out: &mut Vec<Action>) {
        if self.role != Role::Other || self.writing.is_some() {
            return;
        }
        let backup = backup.filter(|d| *d != self.me);
        let (base, epoch) = self.stored.as_ref().map_or((0, 0), |s| (s.version, s.record.epoch));
        let record = self.succeed(backup);
        self.barred = Some((epoch, base));
        self.role = Role::Taking;
        self.writing = Some(record.clone());
        out.push(Action::Write { base, record });
    }

    /// The record that makes this host the successor of the holder last known.
    fn succeed(&self, backup: Option<HostId>) -> Record {
        let mut next = match &self.stored {
            None => self.draft(0, self.me.clone(), None),
            Some(stored) => stored.record.clone(),
        };
        let promised = self.promised.is_some_and(|(epoch, _)| epoch == next.epoch);
        let proved = next.backup.as_ref() == Some(&self.me) && !promised;
        if !proved && next.holder != self.me {
            next.unresolved.insert(next.holder.clone(), None);
        }
        if let Some((epoch, holder)) = &self.highest
            && *epoch > next.epoch
        {
            // The platform was restored to an older state: what `holder` granted is not there.
            next.epoch = *epoch;
            next.unresolved.insert(holder.clone(), None);
        }
        if let Some((_, Message::Handover { claims, .. })) = &self.handover {
            // What this host granted before is known here and nowhere else yet.
            next.claims.extend(claims.iter().copied());
            next.unresolved.remove(&self.me);
        }
        next.epoch += 1;
        next.holder = self.me.clone();
        next.backup = backup;
        next.seq += 1;
        next
    }

    /// Follows `stored` as a host that does not hold the slot.
    fn follow(&mut self, stored: VersionedRecord) {
        if self.barred.is_some_and(|(_, version)| stored.version != version) {
            self.barred = None;
        }
        self.stored = Some(stored);
    }

    /// Goes on from `stored` as its holder: what it lacks is to be written.
    fn rebase(&mut self, stored: VersionedRecord) {
        let recorded = &stored.record.claims;
        let lacking = self.claims.keys().filter(|id| !recorded.contains_key(id));
        self.unrecorded = lacking.copied().collect();
        self.stale = true;
        self.stored = Some(stored);
    }

    /// Starts to hold the slot by the record `stored`.
    fn hold(&mut self, stored: VersionedRecord) {
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
        self.lost = None;
        self.heir = None;
        self.stored = Some(stored);
        self.recall();
    }

    /// Takes back what this host granted when it held the slot before.
    fn recall(&mut self) {
        let Some((_, Message::Handover { claims, .. })) = self.handover.take() else { return };
        for (id, deadline) in claims {
            self.learn(id, deadline, State::Unknown);
        }
        if self.unresolved.remove(&self.me).is_some() {
            self.stale = true;
        }
    }

    pub(crate) fn read(&mut self, stored: Option<VersionedRecord>, out: &mut Vec<Action>) {
        if self.writing.is_some() {
            return;
        }
        let Some(new) = stored else { return };
        if self.is_older(&new.record) {
            return;
        }
        let mine = new.record.holder == self.me;
        match self.role {
            Role::Other if mine => self.hold(new),
            Role::Other => self.follow(new),
            _ if !mine => self.depose(new, out),
            _ => {}
        }
    }

    /// Whether `record` stands before one that this host has seen.
    fn is_older(&self, record: &Record) -> bool {
        let place = |r: &Record| (r.epoch, r.seq);
        let known = self.stored.as_ref().is_some_and(|s| place(&s.record) > place(record));
        let heard = self.highest.as_ref().is_some_and(|(epoch, _)| *epoch > record.epoch);
        let restored = self.role == Role::Other && record.holder != self.me;
        self.options.guards.epoch && (known || heard) && !restored
    }

    pub(crate) fn wrote(&mut self, version: u64, out: &mut Vec<Action>) {
        let Some(record) = self.writing.take() else {
            return;
        };
        self.confirm(VersionedRecord { version, record }, out);
    }

    /// The record `stored` is known to stand, and this host wrote it.
    fn confirm(&mut self, stored: VersionedRecord, out: &mut Vec<Action>) {
        self.lost = None;
        match self.role {
            Role::Taking => self.hold(stored),
            Role::Releasing => self.depose(stored, out),
            Role::Holder => self.recorded(stored, out),
            Role::Other => {}
        }
    }

    fn recorded(&mut self, stored: VersionedRecord, out: &mut Vec<Action>) {
        let claims = &stored.record.claims;
        self.unrecorded.retain(|id| !claims.contains_key(id));
        let claims = claims.clone();
        let (epoch, backup) = (stored.record.epoch, stored.record.backup.clone());
        self.stored = Some(stored);
        self.grant_pending(|id| claims.contains_key(id), out);
        if self.mode == Mode::Recorded || !self.unrecorded.is_empty() {
            return;
        }
        self.mode = Mode::Recorded;
        if let Some(to) = backup {
            let message = Message::ReleasePromise { epoch, term: self.term };
            out.push(Action::Send { to, message });
        }
    }

    pub(crate) fn write_lost(&mut self, out: &mut Vec<Action>) {
        let Some(record) = self.writing.take() else {
            return;
        };
        self.held_back = true;
        match self.role {
            Role::Taking => self.role = Role::Other,
            Role::Holder => {
                self.lost = Some(record);
                self.ask_promises(out);
            }
            Role::Releasing | Role::Other => {}
        }
    }

    pub(crate) fn write_refused(&mut self, stored: Option<VersionedRecord>, out: &mut Vec<Action>) {
        let Some(wrote) = self.writing.take() else {
            return;
        };
        let Some(new) = stored else {
            self.held_back = true;
            return self.lose_record(out);
        };
        let own = |r: &Record| r.epoch == new.record.epoch && r.seq == new.record.seq;
        let ours = new.record.holder == wrote.holder;
        if ours && (own(&wrote) || self.lost.as_ref().is_some_and(own)) {
            return self.confirm(new, out);
        }
        let mine = new.record.holder == self.me;
        let older = self.record().is_some_and(|r| new.record.epoch < r.epoch);
        match self.role {
            Role::Taking if mine && !older => self.hold(new),
            Role::Taking => {
                self.role = Role::Other;
                self.follow(new);
            }
            Role::Holder | Role::Releasing if older => self.write_over(new),
            Role::Holder | Role::Releasing if mine => self.rebase(new),
            _ => self.depose(new, out),
        }
    }

    /// The platform was restored to an older state: this holder's record goes over it.
    fn write_over(&mut self, old: VersionedRecord) {
        let Some(stored) = &self.stored else { return };
        let mut record = stored.record.clone();
        record.claims = old.record.claims;
        record.seq = record.seq.max(old.record.seq);
        self.rebase(VersionedRecord { version: old.version, record });
    }

    /// The platform has no record: it was restored to an older state.
    fn lose_record(&mut self, out: &mut Vec<Action>) {
        match self.role {
            Role::Taking => self.role = Role::Other,
            Role::Holder => {
                if let Some(stored) = &mut self.stored {
                    stored.version = 0;
                }
                self.ask_promises(out);
            }
            Role::Releasing | Role::Other => {}
        }
    }

    pub(crate) fn heard(&mut self, epoch: u64, holder: HostId, out: &mut Vec<Action>) {
        if self.highest.as_ref().is_none_or(|(e, _)| epoch > *e) {
            self.highest = Some((epoch, holder.clone()));
        }
        let known = self.record().map_or(0, |r| r.epoch);
        let held = matches!(self.role, Role::Holder | Role::Releasing);
        if epoch <= known || !held || holder == self.me || self.writing.is_some() {
            return;
        }
        let Some(stored) = &self.stored else { return };
        let mut new = stored.clone();
        new.record.epoch = epoch;
        new.record.holder = holder;
        self.depose(new, out);
    }

    /// Stops holding the slot, tells the present holder what this host knows, and sends those
    /// who wait there.
    fn depose(&mut self, stored: VersionedRecord, out: &mut Vec<Action>) {
        let holder = stored.record.holder.clone();
        let pending: Vec<Id> = self.ids_where(|s| matches!(s, State::Pending(..)));
        for id in pending {
            self.refuse_pending(id, Reply::NotHolder(Some(holder.clone())), out);
        }
        let message = self.handover_message();
        self.turn_waiters_away(&holder, out);
        out.push(Action::Send { to: holder.clone(), message: message.clone() });
        self.handover = Some((holder, message));
        self.role = Role::Other;
        self.mode = Mode::Recorded;
        self.claims.clear();
        self.unrecorded.clear();
        self.unresolved.clear();
        self.lost = None;
        self.heir = None;
        self.stale = false;
        self.stored = Some(stored);
    }

    fn ids_where(&self, test: impl Fn(&State) -> bool) -> Vec<Id> {
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

    fn turn_waiters_away(&mut self, holder: &HostId, out: &mut Vec<Action>) {
        for (id, claim) in &mut self.claims {
            for ticket in std::mem::take(&mut claim.waiters) {
                let reply = Reply::NotHolder(Some(holder.clone()));
                out.push(Action::Reply { ticket, id: *id, reply });
            }
        }
    }

    /// A process is proved to have ended: it grants no more and runs nothing more.
    pub(crate) fn ended(&mut self, now: Tick, host: &HostId, out: &mut Vec<Action>) {
        self.unreachable(host, out);
        if let Some(until) = self.unresolved.get_mut(host)
            && until.is_none()
        {
            *until = Some(now.0.saturating_add(self.options.retention_ms + CLOCK_SKEW));
            self.stale = true;
        }
        if self.handover.as_ref().is_some_and(|(to, _)| to == host) {
            self.handover = None;
        }
        // A backup that has ended may have taken the slot over before: its end is no promise.
    }

    pub(crate) fn set_backup(&mut self, backup: Option<HostId>) {
        let backup = backup.filter(|d| *d != self.me);
        if self.role == Role::Holder && self.backup != backup {
            self.backup = backup;
            self.stale = true;
        }
    }

    pub(crate) fn release(&mut self, to: HostId, backup: Option<HostId>) {
        let idle = self.writing.is_none() && self.mode == Mode::Recorded;
        if self.role == Role::Holder && idle && to != self.me {
            self.role = Role::Releasing;
            self.heir = Some((to.clone(), backup.filter(|d| *d != to)));
        }
    }
}
