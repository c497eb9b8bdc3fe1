//! Requests of callers at this entry host.

use crate::{Action, Arrival, Core, Frame, RefusalReason, Refused};
use std::sync::Arc;
use vanetally_claim::{Answer, ClaimRequest, Id, Outcome, Reply, Ticket, slot_of};
use vanetally_route::{
    Action as RouteAction, AttemptEnd, Event as RouteEvent, Reason, Refusal, Request,
};
use vanetally_types::{HostId, Tick, Verdict};

/// A once-only request at this entry host.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    id: Id,
    request: Request,
    /// Whether the holder granted it; then it is the router's.
    pub granted: bool,
    asked: Tick,
    tries: u32,
}

/// After this long without a reply the holder is asked again, in milliseconds.
const CLAIM_RETRY_MS: u64 = 1_000;
/// How often an attempt is passed from host to host before it is refused.
const MAX_CLAIM_TRIES: u32 = 8;
/// When to come back after an id could not be decided, in milliseconds.
const UNDECIDED_RETRY_MS: u64 = 2_000;
/// Between two tellings of a finished attempt, in milliseconds.
const OUTCOME_RESEND_MS: u64 = 1_000;
/// A planned stop waits this long for a holder to confirm them, in milliseconds.
const STOP_ACK_WAIT_MS: u64 = 5_000;

impl Core {
    pub(crate) fn handle_arrival(&mut self, arrival: Arrival) {
        let Some(id) = arrival.claim_id else {
            return self.route(arrival.request);
        };
        let number = arrival.request.id;
        let attempt =
            Attempt { id, request: arrival.request, granted: false, asked: self.now, tries: 0 };
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

    /// The router refuses a request; a granted one is given back to its slot.
    fn request_refused(&mut self, id: u64, refusal: Refusal) {
        if let Some(attempt) = self.attempts.remove(&id) {
            let finish = match refusal.verdict {
                Verdict::NotRun => Outcome::NotRun,
                Verdict::MayHaveRun => Outcome::Unknown,
                Verdict::Ran => Outcome::Ran(None),
            };
            self.report_outcome(attempt.id, id, finish);
        }
        let reason = match refusal.reason {
            Reason::DeadlineUnmeetable => RefusalReason::DeadlineUnmeetable,
            Reason::QueueFull => RefusalReason::Overloaded,
            Reason::NoUpstream => RefusalReason::NoUpstream,
            Reason::UpstreamFailed => RefusalReason::UpstreamFailed,
        };
        let retry = (refusal.verdict == Verdict::NotRun).then_some(refusal.retry_after_ms);
        self.refuse(id, reason, refusal.verdict, retry);
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
        Ticket { entry: self.options.me.clone(), number }
    }

    /// Asks the slot's holder, or `at` if that is given, whether the request may run.
    fn send_claim(&mut self, number: u64, at: Option<HostId>) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        attempt.asked = self.now;
        attempt.tries += 1;
        let (id, deadline, tries) = (attempt.id, attempt.request.deadline, attempt.tries);
        let slot = slot_of(id, self.options.slots);
        let holder = at.or_else(|| self.slot_holders.get(&slot).map(|h| h.1.clone()));
        let ask = ClaimRequest { id, deadline: deadline.0, ticket: self.ticket(number) };
        let serves = |h: &HostId| self.members.is_reachable(self.now, h);
        match holder {
            _ if tries > MAX_CLAIM_TRIES => self.abandon(number),
            // Waiting for a successor would hold the answer back; the caller may come again.
            Some(holder) if !serves(&holder) => self.abandon(number),
            Some(holder) if holder != self.options.me => {
                self.send(&holder.name, Frame::Claim(ask));
            }
            Some(_) => self.handle_claim(ask),
            None => {}
        }
    }

    /// No holder decides: the caller gets a final answer and the holder hears that this attempt
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
        if ticket.entry != self.options.me {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&number) else {
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
            Reply::RetryAfter(millis) => {
                self.decline(number, RefusalReason::IdUndecided, Verdict::MayHaveRun, Some(millis));
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

    /// Tells the slot's holder how an attempt ended, until it has heard.
    fn report_outcome(&mut self, id: Id, number: u64, finish: Outcome) {
        let ticket = self.ticket(number);
        let until = self.now + self.options.horizon_ms;
        self.unacked_outcomes.insert(ticket.clone(), (id, finish, self.now, until));
        self.send_outcome(&ticket);
    }

    fn send_outcome(&mut self, ticket: &Ticket) {
        let Some((id, finish, told, _)) = self.unacked_outcomes.get_mut(ticket) else {
            return;
        };
        *told = self.now;
        let (id, finish) = (*id, finish.clone());
        let slot = slot_of(id, self.options.slots);
        let Some((_, holder)) = self.slot_holders.get(&slot).cloned() else {
            return;
        };
        if holder != self.options.me {
            let ticket = ticket.clone();
            return self.send(&holder.name, Frame::Finished { id, ticket, outcome: finish });
        }
        let event =
            vanetally_claim::Event::Finished { id, ticket: ticket.clone(), outcome: finish };
        self.unacked_outcomes.remove(ticket);
        self.slot_event(slot, event);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        id: u64,
        end: AttemptEnd,
        sent: bool,
        answer: Option<Arc<Answer>>,
    ) {
        let granted = self.attempts.get(&id).is_some_and(|a| a.granted);
        let over = matches!(end, AttemptEnd::Completed | AttemptEnd::CallerGone) || sent;
        let actions =
            self.router.handle(self.now, RouteEvent::Ended { id, end, response_started: sent });
        self.run_route_actions(actions);
        if !over {
            return;
        }
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let finish = match (granted, end) {
            (true, AttemptEnd::Completed) => Outcome::Ran(answer),
            (true, _) => Outcome::Unknown,
            (false, _) => Outcome::NotRun,
        };
        self.report_outcome(attempt.id, id, finish);
    }

    pub(crate) fn tick_requests(&mut self) {
        let actions = self.router.handle(self.now, RouteEvent::Tick);
        self.run_route_actions(actions);
        let (now, mut again, mut late) = (self.now, Vec::new(), Vec::new());
        for (number, attempt) in &self.attempts {
            if attempt.granted {
                continue;
            }
            if now >= attempt.request.deadline {
                late.push(*number);
            } else if now.since(attempt.asked) >= CLAIM_RETRY_MS {
                again.push(*number);
            }
        }
        late.into_iter().for_each(|number| self.abandon(number));
        again.into_iter().for_each(|number| self.retry_claim(number));
        self.resend_outcomes();
    }

    /// A holder may let an attempt wait for another one, as long as the holder is known.
    fn retry_claim(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let slot = slot_of(attempt.id, self.options.slots);
        if self.slot_holders.contains_key(&slot) {
            attempt.tries = 1;
        }
        self.send_claim(number, None);
    }

    /// Whether an attempt's end is unconfirmed and worth delaying a planned stop for.
    pub(crate) fn has_recent_unacked(&self) -> bool {
        let mut ends = self.unacked_outcomes.values();
        ends.any(|(_, _, _, until)| {
            self.now.since(*until - self.options.horizon_ms) < STOP_ACK_WAIT_MS
        })
    }

    fn resend_outcomes(&mut self) {
        let now = self.now;
        self.unacked_outcomes.retain(|_, (_, _, _, until)| now < *until);
        let due = |told: Tick| now.since(told) >= OUTCOME_RESEND_MS;
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
