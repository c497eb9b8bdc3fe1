//! The holder's part: granting, remembering, writing.

use crate::{
    Action, ClaimRequest, Id, Outcome, Record, Reply, Slot, Ticket,
    slot::{Claim, Mode, Role, State},
};
use std::collections::BTreeMap;
use vanetally_types::{HostId, Tick};

/// When to ask again after a slot was full or could neither write nor grant from memory.
const RETRY_MILLIS: u64 = 2_000;

/// Between two looks for ids to forget, in milliseconds.
const FORGET_EVERY: u64 = 5_000;

impl Slot {
    pub(crate) fn ask(&mut self, now: Tick, ask: ClaimRequest, out: &mut Vec<Action>) {
        match self.judge(now, &ask) {
            Some(reply) => out.push(Action::Reply { ticket: ask.ticket, id: ask.id, reply }),
            None => self.wait(ask),
        }
    }

    /// The reply that can be given at once; `None` when the attempt has to wait.
    fn judge(&mut self, now: Tick, ask: &ClaimRequest) -> Option<Reply> {
        if self.role != Role::Holder {
            let holder = self.record().map(|r| r.holder.clone());
            return Some(Reply::NotHolder(holder.filter(|h| *h != self.me)));
        }
        let Some(claim) = self.claims.get_mut(&ask.id) else {
            return self.judge_new(now, ask);
        };
        match &claim.state {
            State::Ran(Some(answer)) => Some(Reply::Replay(answer.clone())),
            State::Ran(None) => Some(Reply::AlreadyRan),
            State::Unknown => Some(Reply::MayHaveRun),
            State::Running(ticket) if *ticket == ask.ticket => Some(Reply::Grant),
            State::Running(_) | State::Pending(..) => None,
            State::Free => {
                claim.state = State::Running(ask.ticket.clone());
                Some(Reply::Grant)
            }
        }
    }

    fn judge_new(&mut self, now: Tick, ask: &ClaimRequest) -> Option<Reply> {
        if ask.deadline <= self.expired_until || self.is_doubtful(ask.deadline) {
            return Some(Reply::MayHaveRun);
        }
        if self.claims.len() >= self.options.max_ids {
            return Some(Reply::RetryAfter(RETRY_MILLIS));
        }
        let at_once = self.mode == Mode::Memory || !self.options.guards.record_first;
        let ticket = ask.ticket.clone();
        let state = match at_once {
            true => State::Running(ticket),
            false => State::Pending(ticket, now),
        };
        let claim = Claim { deadline: ask.deadline, state, waiters: Vec::new() };
        self.claims.insert(ask.id, claim);
        self.unrecorded.insert(ask.id);
        at_once.then_some(Reply::Grant)
    }

    /// Whether an earlier holder may have granted an unknown id with this deadline.
    fn is_doubtful(&self, deadline: u64) -> bool {
        let covers = |until: &Option<u64>| until.is_none_or(|u| deadline <= u);
        self.options.guards.unresolved && self.unresolved.values().any(covers)
    }

    fn wait(&mut self, ask: ClaimRequest) {
        let Some(claim) = self.claims.get_mut(&ask.id) else {
            return;
        };
        let own = matches!(&claim.state, State::Pending(t, _) if *t == ask.ticket);
        if !own && !claim.waiters.contains(&ask.ticket) {
            claim.waiters.push(ask.ticket);
        }
    }

    pub(crate) fn finished(
        &mut self,
        id: Id,
        ticket: Ticket,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if self.role == Role::Other {
            let holder = self.record().map(|r| r.holder.clone());
            if let Some(to) = holder.filter(|h| *h != self.me) {
                out.push(Action::Forward { to, id, ticket, outcome });
            }
            return;
        }
        let checks = self.options.guards.ticket;
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        claim.waiters.retain(|t| *t != ticket);
        if matches!(&claim.state, State::Pending(t, _) if *t == ticket) {
            return self.withdraw(id);
        }
        let last = matches!(&claim.state, State::Running(t) if *t == ticket);
        let unknown = claim.state == State::Unknown;
        match outcome {
            Outcome::Ran(answer) if last || unknown => claim.state = State::Ran(answer),
            Outcome::NotRun if last || !checks => claim.state = State::Free,
            Outcome::Unknown if last => claim.state = State::Unknown,
            _ => return,
        }
        self.answer_waiters(id, out);
    }

    /// An attempt that was never granted is given up: the next one takes its place.
    fn withdraw(&mut self, id: Id) {
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        let State::Pending(ticket, _) = &mut claim.state else {
            return;
        };
        if claim.waiters.is_empty() {
            self.claims.remove(&id);
            self.unrecorded.remove(&id);
            return;
        }
        *ticket = claim.waiters.remove(0);
    }

    /// Answers those who waited for an attempt that has ended.
    fn answer_waiters(&mut self, id: Id, out: &mut Vec<Action>) {
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        for ticket in std::mem::take(&mut claim.waiters) {
            let reply = match &claim.state {
                State::Ran(Some(answer)) => Reply::Replay(answer.clone()),
                State::Ran(None) => Reply::AlreadyRan,
                State::Free => {
                    claim.state = State::Running(ticket.clone());
                    Reply::Grant
                }
                State::Unknown => Reply::MayHaveRun,
                State::Running(_) | State::Pending(..) => {
                    claim.waiters.push(ticket);
                    continue;
                }
            };
            out.push(Action::Reply { ticket, id, reply });
        }
    }

    pub(crate) fn unreachable(&mut self, host: &HostId, out: &mut Vec<Action>) {
        let runs = |c: &Claim| matches!(&c.state, State::Running(t) if t.entry == *host);
        let ids: Vec<Id> = self.claims.iter().filter(|(_, c)| runs(c)).map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.state = State::Unknown;
            }
            self.answer_waiters(id, out);
        }
    }

    /// Grants the waiting attempts on ids for which `ready` holds.
    pub(crate) fn grant_pending(&mut self, ready: impl Fn(&Id) -> bool, out: &mut Vec<Action>) {
        for (id, claim) in &mut self.claims {
            let State::Pending(ticket, _) = &claim.state else {
                continue;
            };
            if !ready(id) {
                continue;
            }
            let ticket = ticket.clone();
            claim.state = State::Running(ticket.clone());
            out.push(Action::Reply { ticket, id: *id, reply: Reply::Grant });
        }
    }

    /// Gives up on attempts that have waited too long, and forgets old ids.
    pub(crate) fn tick(&mut self, now: Tick, out: &mut Vec<Action>) {
        self.held_back = false;
        self.repeat_asking(out);
        if let Some((to, message)) = &self.handover {
            out.push(Action::Send { to: to.clone(), message: message.clone() });
        }
        if self.role != Role::Holder {
            return;
        }
        self.refuse_late(now, out);
        if now >= self.next_forget {
            self.next_forget = now + FORGET_EVERY;
            self.forget(now);
        }
    }

    fn refuse_late(&mut self, now: Tick, out: &mut Vec<Action>) {
        let wait_limit_ms = self.options.wait_limit_ms;
        let mut late = Vec::new();
        // Ids that wait to be written are among those that the record lacks.
        for id in &self.unrecorded {
            let state = self.claims.get(id).map(|c| &c.state);
            if matches!(state, Some(State::Pending(_, since)) if now.since(*since) > wait_limit_ms)
            {
                late.push(*id);
            }
        }
        for id in late {
            self.refuse_pending(id, Reply::RetryAfter(RETRY_MILLIS), out);
        }
    }

    /// Drops an id that was never granted, with `reply` to all who wait for it.
    pub(crate) fn refuse_pending(&mut self, id: Id, reply: Reply, out: &mut Vec<Action>) {
        let Some(claim) = self.claims.remove(&id) else {
            return;
        };
        self.unrecorded.remove(&id);
        let first = match claim.state {
            State::Pending(ticket, _) => Some(ticket),
            _ => None,
        };
        for ticket in first.into_iter().chain(claim.waiters) {
            out.push(Action::Reply { ticket, id, reply: reply.clone() });
        }
    }

    fn forget(&mut self, now: Tick) {
        let retention_ms = self.options.retention_ms;
        let over = |deadline: u64| deadline.saturating_add(retention_ms) < now.0;
        let unrecorded = &self.unrecorded;
        let mut expired_until = self.expired_until;
        self.claims.retain(|id, claim| {
            let waits = matches!(claim.state, State::Pending(..) | State::Running(_));
            if waits || unrecorded.contains(id) || !over(claim.deadline) {
                return true;
            }
            expired_until = expired_until.max(claim.deadline);
            false
        });
        self.expired_until = expired_until;
        self.unresolved.retain(|_, until| until.is_none_or(|u| u >= now.0));
    }

    /// The record as it should stand, under `epoch` and `holder`.
    pub(crate) fn draft(&self, epoch: u64, holder: HostId, backup: Option<HostId>) -> Record {
        let seqs = [self.stored.as_ref().map(|s| s.record.seq), self.lost.as_ref().map(|r| r.seq)];
        let claims: BTreeMap<Id, u64> =
            self.claims.iter().map(|(id, claim)| (*id, claim.deadline)).collect();
        Record {
            epoch,
            holder,
            backup,
            seq: 1 + seqs.into_iter().flatten().max().unwrap_or(0),
            claims,
            expired_until: self.expired_until,
            unresolved: self.unresolved.clone(),
        }
    }

    /// Writes when there is something to write and the write_interval_ms allows it.
    pub(crate) fn step(&mut self, now: Tick, out: &mut Vec<Action>) {
        let quiet = self.writing.is_some() || self.held_back || now < self.next_write;
        if quiet {
            return;
        }
        let Some(stored) = &self.stored else { return };
        let (base, epoch) = (stored.version, stored.record.epoch);
        let record = match (self.role, &self.heir) {
            (Role::Holder, _) => {
                let due = self.stale || !self.unrecorded.is_empty() || self.lost.is_some();
                let memory = self.mode != Mode::Recorded;
                if !due && !memory {
                    return;
                }
                // The backup stays while promises count on it.
                let backup =
                    if memory { stored.record.backup.clone() } else { self.backup.clone() };
                self.draft(epoch, self.me.clone(), backup)
            }
            (Role::Releasing, Some((heir, backup))) => {
                self.draft(epoch + 1, heir.clone(), backup.clone())
            }
            _ => return,
        };
        self.stale = false;
        self.next_write = now + self.options.write_interval_ms;
        self.writing = Some(record.clone());
        out.push(Action::Write { base, record });
    }
}
