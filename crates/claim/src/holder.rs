//! The holder's side: granting ids, keeping them and writing the record.

use crate::{
    Action, ClaimRequest, Id, Outcome, Record, Reply, Slot, Ticket,
    slot::{Claim, Mode, Role, State},
};
use std::collections::BTreeMap;
use vanetally_types::{HostId, Tick};

/// Retry delay sent to entry hosts when the slot is full or can neither write nor grant from
/// memory.
const RETRY_AFTER_MS: u64 = 2_000;

/// Time between two checks for expired ids.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

impl Slot {
    pub(crate) fn request(&mut self, now: Tick, request: ClaimRequest, actions: &mut Vec<Action>) {
        match self.decide(now, &request) {
            Some(reply) => {
                actions.push(Action::Reply { ticket: request.ticket, id: request.id, reply })
            }
            None => self.add_waiter(request),
        }
    }

    /// Returns the reply that can be given at once, or `None` if the attempt has to wait.
    fn decide(&mut self, now: Tick, request: &ClaimRequest) -> Option<Reply> {
        if self.role != Role::Holder {
            let holder = self.record().map(|r| r.holder.clone());
            return Some(Reply::NotHolder(holder.filter(|h| *h != self.host_id)));
        }
        let Some(claim) = self.claims.get_mut(&request.id) else {
            return self.decide_new(now, request);
        };
        match &claim.state {
            State::Ran(Some(answer)) => Some(Reply::Replay(answer.clone())),
            State::Ran(None) => Some(Reply::AlreadyRan),
            State::Unknown => Some(Reply::MayHaveRun),
            State::Running(ticket) if *ticket == request.ticket => Some(Reply::Grant),
            State::Running(_) | State::Pending(..) => None,
            State::NotRun => {
                claim.state = State::Running(request.ticket.clone());
                Some(Reply::Grant)
            }
        }
    }

    fn decide_new(&mut self, now: Tick, request: &ClaimRequest) -> Option<Reply> {
        if request.deadline <= self.expired_until || self.is_unresolved(request.deadline) {
            return Some(Reply::MayHaveRun);
        }
        if self.claims.len() >= self.options.max_ids {
            return Some(Reply::RetryAfter(RETRY_AFTER_MS));
        }
        let grant_now = self.mode == Mode::Memory || !self.options.guards.record_first;
        let ticket = request.ticket.clone();
        let state = match grant_now {
            true => State::Running(ticket),
            false => State::Pending(ticket, now),
        };
        let claim = Claim { deadline: request.deadline, state, waiters: Vec::new() };
        self.claims.insert(request.id, claim);
        self.unrecorded.insert(request.id);
        grant_now.then_some(Reply::Grant)
    }

    /// Whether an earlier holder may have granted an unknown id with this deadline.
    fn is_unresolved(&self, deadline: u64) -> bool {
        let covers = |until: &Option<u64>| until.is_none_or(|u| deadline <= u);
        self.options.guards.unresolved && self.unresolved.values().any(covers)
    }

    fn add_waiter(&mut self, request: ClaimRequest) {
        let Some(claim) = self.claims.get_mut(&request.id) else {
            return;
        };
        let is_requester = matches!(&claim.state, State::Pending(t, _) if *t == request.ticket);
        if !is_requester && !claim.waiters.contains(&request.ticket) {
            claim.waiters.push(request.ticket);
        }
    }

    pub(crate) fn finished(
        &mut self,
        id: Id,
        ticket: Ticket,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if self.role == Role::Other {
            let holder = self.record().map(|r| r.holder.clone());
            if let Some(to) = holder.filter(|h| *h != self.host_id) {
                actions.push(Action::Forward { to, id, ticket, outcome });
            }
            return;
        }
        let checks_ticket = self.options.guards.ticket;
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        claim.waiters.retain(|t| *t != ticket);
        if matches!(&claim.state, State::Pending(t, _) if *t == ticket) {
            return self.withdraw(id);
        }
        let is_current = matches!(&claim.state, State::Running(t) if *t == ticket);
        let is_unknown = claim.state == State::Unknown;
        match outcome {
            Outcome::Ran(answer) if is_current || is_unknown => claim.state = State::Ran(answer),
            Outcome::NotRun if is_current || !checks_ticket => claim.state = State::NotRun,
            Outcome::Unknown if is_current => claim.state = State::Unknown,
            _ => return,
        }
        self.answer_waiters(id, actions);
    }

    /// Withdraws an attempt that was never granted in favour of the next waiter.
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

    /// Answers the attempts that waited for one that has ended.
    fn answer_waiters(&mut self, id: Id, actions: &mut Vec<Action>) {
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        for ticket in std::mem::take(&mut claim.waiters) {
            let reply = match &claim.state {
                State::Ran(Some(answer)) => Reply::Replay(answer.clone()),
                State::Ran(None) => Reply::AlreadyRan,
                State::NotRun => {
                    claim.state = State::Running(ticket.clone());
                    Reply::Grant
                }
                State::Unknown => Reply::MayHaveRun,
                State::Running(_) | State::Pending(..) => {
                    claim.waiters.push(ticket);
                    continue;
                }
            };
            actions.push(Action::Reply { ticket, id, reply });
        }
    }

    pub(crate) fn unreachable(&mut self, host: &HostId, actions: &mut Vec<Action>) {
        let is_running_there =
            |c: &Claim| matches!(&c.state, State::Running(t) if t.entry == *host);
        let ids: Vec<Id> =
            self.claims.iter().filter(|(_, c)| is_running_there(c)).map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.state = State::Unknown;
            }
            self.answer_waiters(id, actions);
        }
    }

    /// Grants the pending attempts on ids for which `is_ready` returns true.
    pub(crate) fn grant_pending(
        &mut self,
        is_ready: impl Fn(&Id) -> bool,
        actions: &mut Vec<Action>,
    ) {
        for (id, claim) in &mut self.claims {
            let State::Pending(ticket, _) = &claim.state else {
                continue;
            };
            if !is_ready(id) {
                continue;
            }
            let ticket = ticket.clone();
            claim.state = State::Running(ticket.clone());
            actions.push(Action::Reply { ticket, id: *id, reply: Reply::Grant });
        }
    }

    /// Refuses attempts that have waited too long, and drops expired ids.
    pub(crate) fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.is_write_deferred = false;
        self.resend_promise_requests(actions);
        if let Some((to, message)) = &self.handover {
            actions.push(Action::Send { to: to.clone(), message: message.clone() });
        }
        if self.role != Role::Holder {
            return;
        }
        self.refuse_overdue(now, actions);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL_MS;
            self.expire_ids(now);
        }
    }

    fn refuse_overdue(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let wait_limit_ms = self.options.wait_limit_ms;
        let mut overdue = Vec::new();
        // Ids that wait to be written are among the unrecorded ones.
        for id in &self.unrecorded {
            let state = self.claims.get(id).map(|c| &c.state);
            if matches!(state, Some(State::Pending(_, since)) if now.since(*since) > wait_limit_ms)
            {
                overdue.push(*id);
            }
        }
        for id in overdue {
            self.refuse_pending(id, Reply::RetryAfter(RETRY_AFTER_MS), actions);
        }
    }

    /// Drops an id that was never granted, and sends `reply` to all attempts that wait for it.
    pub(crate) fn refuse_pending(&mut self, id: Id, reply: Reply, actions: &mut Vec<Action>) {
        let Some(claim) = self.claims.remove(&id) else {
            return;
        };
        self.unrecorded.remove(&id);
        let first = match claim.state {
            State::Pending(ticket, _) => Some(ticket),
            _ => None,
        };
        for ticket in first.into_iter().chain(claim.waiters) {
            actions.push(Action::Reply { ticket, id, reply: reply.clone() });
        }
    }

    fn expire_ids(&mut self, now: Tick) {
        let retention_ms = self.options.retention_ms;
        let is_expired = |deadline: u64| deadline.saturating_add(retention_ms) < now.0;
        let unrecorded = &self.unrecorded;
        let mut expired_until = self.expired_until;
        self.claims.retain(|id, claim| {
            let is_active = matches!(claim.state, State::Pending(..) | State::Running(_));
            if is_active || unrecorded.contains(id) || !is_expired(claim.deadline) {
                return true;
            }
            expired_until = expired_until.max(claim.deadline);
            false
        });
        self.expired_until = expired_until;
        self.unresolved.retain(|_, until| until.is_none_or(|u| u >= now.0));
    }

    /// Returns the record to write under `epoch` and `holder`.
    pub(crate) fn draft_record(
        &self,
        epoch: u64,
        holder: HostId,
        backup: Option<HostId>,
    ) -> Record {
        let seqs =
            [self.stored.as_ref().map(|s| s.record.seq), self.unconfirmed.as_ref().map(|r| r.seq)];
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

    /// Writes the record if it has changed and the write interval has passed.
    pub(crate) fn write_if_due(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let is_blocked = self.writing.is_some() || self.is_write_deferred || now < self.next_write;
        if is_blocked {
            return;
        }
        let Some(stored) = &self.stored else { return };
        let (base, epoch) = (stored.version, stored.record.epoch);
        let record = match (self.role, &self.successor) {
            (Role::Holder, _) => {
                let has_changes =
                    self.needs_write || !self.unrecorded.is_empty() || self.unconfirmed.is_some();
                let in_memory_mode = self.mode != Mode::Recorded;
                if !has_changes && !in_memory_mode {
                    return;
                }
                // The backup must not change while its promise is in use.
                let backup =
                    if in_memory_mode { stored.record.backup.clone() } else { self.backup.clone() };
                self.draft_record(epoch, self.host_id.clone(), backup)
            }
            (Role::Releasing, Some((successor, backup))) => {
                self.draft_record(epoch + 1, successor.clone(), backup.clone())
            }
            _ => return,
        };
        self.needs_write = false;
        self.next_write = now + self.options.write_interval_ms;
        self.writing = Some(record.clone());
        actions.push(Action::Write { base, record });
    }
}
