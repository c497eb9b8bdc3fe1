//! Requests of callers on this entry host: claiming once-only ids, routing, reporting outcomes.

use crate::{Action, Arrival, Core, Frame, RefusalReason, Refused};
use std::sync::Arc;
use vanetally_claim::{Answer, ClaimRequest, Id, Outcome, Reply, Ticket, slot_of};
use vanetally_route::{
    Action as RouteAction, AttemptEnd, Event as RouteEvent, Reason, Refusal, Request,
};
use vanetally_types::{HostId, Tick, Verdict};

/// A once-only request on this entry host.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    id: Id,
    request: Request,
    /// Whether the slot's holder granted it and it was passed to the router.
    pub granted: bool,
    claimed_at: Tick,
    tries: u32,
}

/// Time without a reply after which a claim is sent again.
const CLAIM_RETRY_MS: u64 = 1_000;
/// Maximum number of tries of a claim before the attempt is refused: at one host after another, or
/// while no holder is known.
const MAX_CLAIM_TRIES: u32 = 8;
/// Retry delay for callers whose id could not be decided.
const UNDECIDED_RETRY_MS: u64 = 2_000;
/// Interval at which an unacknowledged outcome is sent again.
const OUTCOME_RESEND_MS: u64 = 1_000;
/// Maximum time that a planned stop waits for an outcome to be acknowledged.
const STOP_ACK_WAIT_MS: u64 = 5_000;

impl Core {
    pub(crate) fn handle_arrival(&mut self, arrival: Arrival) {
        let Some(id) = arrival.claim_id else {
            return self.route(arrival.request);
        };
        let number = arrival.request.id;
        let attempt = Attempt {
            id,
            request: arrival.request,
            granted: false,
            claimed_at: self.now,
            tries: 0,
        };
        self.attempts.insert(number, attempt);
        self.send_claim(number, None);
    }

    fn route(&mut self, request: Request) {
        let actions = self.router.handle(self.now, RouteEvent::Arrive(request));
        self.run_route_actions(actions);
    }

    pub(crate) fn run_route_actions(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Call { id, upstream, url, entry } => {
                    self.actions.push(Action::Call { id, upstream, url, entry });
                }
                RouteAction::Refuse { id, refusal } => self.request_refused(id, refusal),
            }
        }
    }

    /// Refuses a request on behalf of the router; reports the outcome of a granted one to its slot.
    fn request_refused(&mut self, id: u64, refusal: Refusal) {
        if let Some(attempt) = self.attempts.remove(&id) {
            let outcome = match refusal.verdict {
                Verdict::NotRun => Outcome::NotRun,
                Verdict::MayHaveRun => Outcome::Unknown,
                Verdict::Ran => Outcome::Ran(None),
            };
            self.report_outcome(attempt.id, id, outcome);
        }
        let reason = match refusal.reason {
            Reason::DeadlineUnmeetable => RefusalReason::DeadlineUnmeetable,
            Reason::QueueFull => RefusalReason::Overloaded,
            Reason::NoUpstream => RefusalReason::NoUpstream,
            Reason::UpstreamFailed => RefusalReason::UpstreamFailed,
        };
        let retry_after_ms = (refusal.verdict == Verdict::NotRun).then_some(refusal.retry_after_ms);
        self.refuse(id, reason, refusal.verdict, retry_after_ms);
    }

    fn refuse(
        &mut self,
        id: u64,
        reason: RefusalReason,
        verdict: Verdict,
        retry_after_ms: Option<u64>,
    ) {
        self.actions.push(Action::Refuse(id, Refused { reason, verdict, retry_after_ms }));
    }

    fn ticket(&self, number: u64) -> Ticket {
        Ticket { entry: self.options.host_id.clone(), number }
    }

    /// Sends a claim for the request's id to the slot's holder, or to `to` if that is given.
    fn send_claim(&mut self, number: u64, to: Option<HostId>) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        attempt.claimed_at = self.now;
        attempt.tries += 1;
        let (id, deadline, tries) = (attempt.id, attempt.request.deadline, attempt.tries);
        let slot = slot_of(id, self.options.slots);
        let holder = to.or_else(|| self.slot_holders.get(&slot).map(|h| h.1.clone()));
        let claim = ClaimRequest { id, deadline: deadline.0, ticket: self.ticket(number) };
        let is_reachable = |h: &HostId| self.members.is_reachable(self.now, h);
        match holder {
            _ if tries > MAX_CLAIM_TRIES => self.abandon(number),
            // The caller may retry; waiting here for a new holder would delay the answer.
            Some(holder) if !is_reachable(&holder) => self.abandon(number),
            Some(holder) if holder != self.options.host_id => {
                self.send(&holder.name, Frame::Claim(claim));
            }
            Some(_) => self.handle_claim(claim),
            None => {}
        }
    }

    /// Refuses a request whose id no holder decided, and reports to the holder that this attempt
    /// will not run.
    fn abandon(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        self.report_outcome(attempt.id, number, Outcome::NotRun);
        // Another attempt with this id may have run elsewhere.
        self.refuse(
            number,
            RefusalReason::IdUndecided,
            Verdict::MayHaveRun,
            Some(UNDECIDED_RETRY_MS),
        );
    }

    pub(crate) fn claim_replied(&mut self, from: HostId, ticket: Ticket, id: Id, reply: Reply) {
        let number = ticket.number;
        if ticket.entry != self.options.host_id {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&number) else {
            // The grant is for an attempt that has already ended on this host.
            if reply == Reply::Grant && !self.unacked_outcomes.contains_key(&ticket) {
                self.report_outcome(id, number, Outcome::NotRun);
            }
            return;
        };
        if attempt.granted {
            return;
        }
        match reply {
            Reply::Grant => {
                attempt.granted = true;
                let request = attempt.request.clone();
                self.route(request);
            }
            Reply::Replay(answer) => {
                self.attempts.remove(&number);
                self.actions.push(Action::Replay(number, answer));
            }
            Reply::AlreadyRan => {
                self.decline(number, RefusalReason::AlreadyRan, Verdict::Ran, None)
            }
            Reply::MayHaveRun => {
                self.decline(number, RefusalReason::IdUncertain, Verdict::MayHaveRun, None);
            }
            Reply::RetryAfter(delay_ms) => {
                self.decline(
                    number,
                    RefusalReason::IdUndecided,
                    Verdict::MayHaveRun,
                    Some(delay_ms),
                );
            }
            Reply::NotHolder(Some(holder)) if holder != from => {
                self.send_claim(number, Some(holder))
            }
            Reply::NotHolder(_) => {}
        }
    }

    fn decline(
        &mut self,
        number: u64,
        reason: RefusalReason,
        verdict: Verdict,
        retry_after_ms: Option<u64>,
    ) {
        self.attempts.remove(&number);
        self.refuse(number, reason, verdict, retry_after_ms);
    }

    /// Sends an attempt's outcome to the slot's holder until that acknowledges it.
    fn report_outcome(&mut self, id: Id, number: u64, outcome: Outcome) {
        let ticket = self.ticket(number);
        let until = self.now + self.options.horizon_ms;
        self.unacked_outcomes.insert(ticket.clone(), (id, outcome, self.now, until));
        self.send_outcome(&ticket);
    }

    fn send_outcome(&mut self, ticket: &Ticket) {
        let Some((id, outcome, sent_at, _)) = self.unacked_outcomes.get_mut(ticket) else {
            return;
        };
        *sent_at = self.now;
        let (id, outcome) = (*id, outcome.clone());
        let slot = slot_of(id, self.options.slots);
        let Some((_, holder)) = self.slot_holders.get(&slot).cloned() else {
            return;
        };
        if holder != self.options.host_id {
            let ticket = ticket.clone();
            return self.send(&holder.name, Frame::Finished { id, ticket, outcome });
        }
        let event = vanetally_claim::Event::Finished { id, ticket: ticket.clone(), outcome };
        self.unacked_outcomes.remove(ticket);
        self.slot_event(slot, event);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        id: u64,
        end: AttemptEnd,
        response_started: bool,
        answer: Option<Arc<Answer>>,
    ) {
        let granted = self.attempts.get(&id).is_some_and(|a| a.granted);
        let is_final =
            matches!(end, AttemptEnd::Completed | AttemptEnd::CallerGone) || response_started;
        let actions = self.router.handle(self.now, RouteEvent::Ended { id, end, response_started });
        self.run_route_actions(actions);
        if !is_final {
            return;
        }
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let outcome = match (granted, end) {
            (true, AttemptEnd::Completed) => Outcome::Ran(answer),
            (true, _) => Outcome::Unknown,
            (false, _) => Outcome::NotRun,
        };
        self.report_outcome(attempt.id, id, outcome);
    }

    pub(crate) fn tick_requests(&mut self) {
        let actions = self.router.handle(self.now, RouteEvent::Tick);
        self.run_route_actions(actions);
        let (now, mut overdue, mut expired) = (self.now, Vec::new(), Vec::new());
        for (number, attempt) in &self.attempts {
            if attempt.granted {
                continue;
            }
            if now >= attempt.request.deadline {
                expired.push(*number);
            } else if now.since(attempt.claimed_at) >= CLAIM_RETRY_MS {
                overdue.push(*number);
            }
        }
        expired.into_iter().for_each(|number| self.abandon(number));
        overdue.into_iter().for_each(|number| self.retry_claim(number));
        self.resend_outcomes();
    }

    /// Sends a claim again. A known holder may keep an attempt waiting for another one, so the
    /// count of tries restarts at one.
    fn retry_claim(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let slot = slot_of(attempt.id, self.options.slots);
        if self.slot_holders.contains_key(&slot) {
            attempt.tries = 1;
        }
        self.send_claim(number, None);
    }

    /// Whether an outcome is unacknowledged and recent enough to delay a planned stop.
    pub(crate) fn has_recent_unacked(&self) -> bool {
        let mut outcomes = self.unacked_outcomes.values();
        outcomes.any(|(_, _, _, until)| {
            self.now.since(*until - self.options.horizon_ms) < STOP_ACK_WAIT_MS
        })
    }

    fn resend_outcomes(&mut self) {
        let now = self.now;
        self.unacked_outcomes.retain(|_, (_, _, _, until)| now < *until);
        let due = |sent_at: Tick| now.since(sent_at) >= OUTCOME_RESEND_MS;
        let tickets: Vec<Ticket> = self
            .unacked_outcomes
            .iter()
            .filter(|(_, u)| due(u.2))
            .map(|(t, _)| t.clone())
            .collect();
        for ticket in tickets {
            self.send_outcome(&ticket);
        }
    }
}
