//! End of attempts and requests: what is learned from it, whether the request is retried, and the
//! final answer.

use crate::{
    Action, AttemptEnd, Dispatch, RefusalContext, RequestId,
    refusing::MODEL_REQUEST_INTERVAL_MS,
    request::{ActiveAttempt, Request, Stage},
};
use vanetally_ports::{Refusal, RefusalCause, RequestKind};
use vanetally_types::{Incarnation, Tick, Verdict};

/// How long an upstream that was full gets no requests.
const FULL_PAUSE_MS: u64 = 60;
/// Maximum number of times that [`FULL_PAUSE_MS`] is doubled while an upstream rejects one request
/// after another. With a constant pause of 60 ms, 69 hosts would send one upstream a thousand
/// requests per second and use up their retry budget.
const MAX_DOUBLINGS: u32 = 3;
/// How long an upstream that could not be reached gets no requests.
const UNREACHABLE_PAUSE_MS: u64 = 250;
/// How long a rejected request waits before it is sent again.
const RETRY_DELAY_MS: u64 = 30;
/// Time past the deadline in which the upstream's answer is awaited before the final answer.
const DEADLINE_GRACE_MS: u64 = 120;
/// How long a request that was rejected by all upstreams allowed to it waits for one of them.
const EXHAUSTED_WAIT_MS: u64 = 150;
/// Maximum number of attempts of one request, including rejected ones.
const MAX_ATTEMPTS: u32 = 4;
/// Minimum time left at which an attempt makes sense.
const MIN_REMAINING_MS: u64 = 20;
/// Default `Retry-After`.
pub(crate) const RETRY_AFTER_MS: u64 = 500;
/// Time from the start of a host until it has a configuration: 270 to 550 ms when 295 hosts start
/// together.
const STARTUP_MS: u64 = 550;
/// Minimum `Retry-After` of a host without a configuration. A host that is late already is rarely
/// ready sooner.
const MIN_STARTUP_RETRY_MS: u64 = 250;
/// Time within which a reachable store has answered the first call of a process. The call is sent
/// at the first tick after 20 ms; an answer takes 4 ms plus the network latency.
const STORE_ANSWER_MS: u64 = 60;
/// `Retry-After` of a host whose store is unavailable.
const STORE_RETRY_AFTER_MS: u64 = 1_000;
/// `Retry-After` of a host that is stopping.
pub(crate) const STOP_RETRY_AFTER_MS: u64 = 50;
/// `Retry-After` for a model that no upstream holds.
const LOAD_RETRY_AFTER_MS: u64 = 3_000;

/// Returns the `Retry-After` of a host without a configuration, `age_ms` after its start.
///
/// With it, callers that were refused while all hosts started together are served within their
/// objective of one second; a fixed second for all made nearly half of them late. If the store is unavailable, callers that
/// return earlier are only refused again.
pub(crate) fn startup_retry_ms(age_ms: u64, has_store: bool) -> u64 {
    if !is_configuration_expected(age_ms, has_store) {
        return STORE_RETRY_AFTER_MS;
    }
    STARTUP_MS.saturating_sub(age_ms).max(MIN_STARTUP_RETRY_MS)
}

/// Whether a host that started `age_ms` ago without a configuration has one soon: the store has answered, or has had no
/// time to.
pub(crate) fn is_configuration_expected(age_ms: u64, has_store: bool) -> bool {
    let is_store_late = age_ms > STORE_ANSWER_MS && !has_store;
    !is_store_late && age_ms <= STARTUP_MS + MIN_STARTUP_RETRY_MS
}

impl Dispatch {
    pub(crate) fn attempt_ended(
        &mut self,
        now: Tick,
        id: RequestId,
        end: AttemptEnd,
        answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let Stage::Sent(attempt) = std::mem::replace(&mut request.stage, Stage::Waiting) else {
            self.requests.insert(id, request);
            return;
        };
        if end.is_unsent() {
            let upstream = attempt.upstream.clone();
            actions.extend(attempt.permit_rate.map(|rate| Action::ReturnPermit { upstream, rate }));
        }
        actions.extend(attempt.slot_release(id, end));
        self.record_end(now, &request, &attempt, end, actions);
        self.report_outcome(&request, &attempt, end, actions);
        self.update_quarantine(now, &mut request, &attempt, end, actions);
        if !matches!(end, AttemptEnd::Broken | AttemptEnd::Lost) {
            self.end_tries_of(id);
        }
        match end {
            AttemptEnd::Served => return self.record_answer_time(now, &request),
            // The upstream's error was passed to the caller, unless the request may be retried.
            AttemptEnd::Failed if answered || !request.route.is_repeatable() => return,
            AttemptEnd::Failed => request.verdict = Verdict::Ran,
            AttemptEnd::Unreachable
            | AttemptEnd::NoPath
            | AttemptEnd::CutOff
            | AttemptEnd::Withdrawn => {
                request.without_path += u32::from(end == AttemptEnd::NoPath);
                if request.attempts == 1 {
                    request.tried.clear();
                }
            }
            AttemptEnd::Broken | AttemptEnd::Lost => request.verdict = Verdict::MayHaveRun,
            // Another upstream is asked for a slot first, so there is no need to wait.
            AttemptEnd::Full if attempt.slot.is_some() && !request.is_exhausted() => {}
            AttemptEnd::Full | AttemptEnd::Absent | AttemptEnd::Replaced => {
                request.not_before = now + RETRY_DELAY_MS;
            }
        }
        if request.verdict == Verdict::NotRun && request.is_exhausted() {
            // The request may only be sent again to upstreams that rejected it; the caller has
            // better chances at another host.
            request.wait_limit = request.wait_limit.min(now + EXHAUSTED_WAIT_MS);
        }
        let blocked =
            self.send_refusal(now, &request).map(|refusal| refusal.with_verdict(request.verdict));
        match blocked.or_else(|| self.retry_refusal(now, &request, end, answered)) {
            Some(refusal) => {
                let context = RefusalContext::from(&request);
                actions.push(Action::Refuse { id, refusal, context });
            }
            None => {
                self.queue.insert(id, &request);
                self.requests.insert(id, request);
            }
        }
    }

    /// Counts the failures at an upstream whose cause was unknown as its own, and reports them.
    pub(crate) fn confirm_failures(&mut self, upstream: &Incarnation, actions: &mut Vec<Action>) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let confirmed = known.health.confirm();
        let service = known.state.service.clone();
        if self.is_engine(&service) {
            let report = Action::ReportOutcome { upstream: upstream.clone(), is_good: false };
            actions.extend(std::iter::repeat_n(report, confirmed));
        }
    }

    fn record_end(
        &mut self,
        now: Tick,
        request: &Request,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        if end == AttemptEnd::Full {
            self.brittleness.record_crowded(now, &request.service);
        }
        if matches!(end, AttemptEnd::Served | AttemptEnd::Failed | AttemptEnd::Full) {
            self.brittleness.record_heard(&request.service);
        }
        if end == AttemptEnd::Served && !self.is_engine(&request.service) {
            let answer_times = self.answer_times.entry(request.service.clone()).or_default();
            answer_times.record(now.since(attempt.sent_at));
        }
        let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) else {
            return;
        };
        self.loads.mark_active(&attempt.upstream);
        upstream.own_load.subtract(attempt.load);
        let is_answered = !end.is_unsent() && !matches!(end, AttemptEnd::Broken | AttemptEnd::Lost);
        upstream.cooldown.record_end(now, attempt.sent_at, is_answered);
        match end {
            AttemptEnd::Served => {
                upstream.health.record(now, true);
                upstream.consecutive_rejections = 0;
            }
            // An error for an idempotent request says little about the upstream: if the request is
            // at fault, other upstreams fail as well.
            AttemptEnd::Failed if request.route.kind == RequestKind::Idempotent => {}
            AttemptEnd::Withdrawn => {}
            AttemptEnd::Failed | AttemptEnd::Broken => upstream.health.record(now, false),
            AttemptEnd::Lost => upstream.health.record_unconfirmed(now),
            AttemptEnd::NoPath | AttemptEnd::CutOff => {
                upstream.full_until = now + UNREACHABLE_PAUSE_MS;
            }
            AttemptEnd::Unreachable => {
                upstream.health.record(now, false);
                upstream.full_until = now + UNREACHABLE_PAUSE_MS;
            }
            AttemptEnd::Full => {
                upstream.full_until =
                    now + (FULL_PAUSE_MS << upstream.consecutive_rejections.min(MAX_DOUBLINGS));
                upstream.consecutive_rejections += 1;
                let load = upstream.total(now);
                // An upstream that rejects requests as full although it has free slots is at fault.
                upstream.health.record(now, load.running * 2 >= upstream.state.slots);
            }
            AttemptEnd::Replaced => upstream.is_replaced = true,
            AttemptEnd::Absent => {
                if let Some(subject) = request.head.model.clone() {
                    upstream.answered_absent(subject, now);
                }
            }
        }
        actions.extend(upstream.review(now, &attempt.upstream));
    }

    /// Reports failed attempts to the engine's pacer, so that other hosts stop sending there at
    /// once, and the outcome of a trial. An engine that rejected the request has answered.
    fn report_outcome(
        &self,
        request: &Request,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let is_good = match end {
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Unreachable => false,
            // Reported once a probe has confirmed it.
            AttemptEnd::Lost | AttemptEnd::NoPath | AttemptEnd::CutOff | AttemptEnd::Withdrawn => {
                return;
            }
            AttemptEnd::Served | AttemptEnd::Full | AttemptEnd::Absent | AttemptEnd::Replaced => {
                true
            }
        };
        let is_relevant = !is_good || (attempt.is_trial && attempt.begun_at.is_none());
        if is_relevant && self.is_engine(&request.service) {
            actions.push(Action::ReportOutcome { upstream: attempt.upstream.clone(), is_good });
        }
    }

    /// Returns the final answer of a request that can't be retried.
    fn retry_refusal(
        &mut self,
        now: Tick,
        request: &Request,
        end: AttemptEnd,
        answered: bool,
    ) -> Option<Refusal> {
        let cause = RefusalCause::UpstreamFailed;
        let may_run_again = request.verdict == Verdict::NotRun || request.route.is_repeatable();
        if answered && !(request.route.kind == RequestKind::Stream && request.route.resumable) {
            return Some(Refusal::may_have_run(cause));
        }
        if !may_run_again {
            return Some(Refusal::may_have_run(cause));
        }
        let cannot_serve = matches!(end, AttemptEnd::Absent | AttemptEnd::Replaced);
        if cannot_serve && request.is_exhausted() && request.verdict == Verdict::NotRun {
            // No upstream is left that may take the request; the caller retries it as a new
            // request.
            return Some(self.refusal(
                request,
                RefusalCause::NoUpstream,
                Some(STOP_RETRY_AFTER_MS),
            ));
        }
        // The path may be back soon, unless none was found for a while.
        let is_at_max_attempts = request.attempts - request.without_path >= MAX_ATTEMPTS;
        if is_at_max_attempts
            || end == AttemptEnd::CutOff
            || (end == AttemptEnd::Failed && request.attempts > 1)
        {
            return Some(self.refusal(request, cause, Some(RETRY_AFTER_MS)));
        }
        // A retry is charged here. An attempt that was never sent costs nothing.
        let service = &request.service;
        let is_charged = end.is_unsent()
            || self.retry_budgets.get_mut(service).is_some_and(|budget| budget.try_spend(now));
        if !is_charged || now + MIN_REMAINING_MS >= request.deadline {
            return Some(self.refusal(request, cause, Some(RETRY_AFTER_MS)));
        }
        None
    }

    fn refusal(&self, request: &Request, cause: RefusalCause, retry: Option<u64>) -> Refusal {
        match request.verdict {
            Verdict::NotRun => Refusal::not_run(cause, retry),
            _ => Refusal::may_have_run(cause),
        }
    }

    /// Ends requests that are out of time, and reviews the health of the upstreams.
    pub(crate) fn expire(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let refuses_new = self.refuses_new_requests(now);
        let late = self.requests.iter().filter_map(|(id, request)| {
            let is_late = match request.stage {
                Stage::Sent(_) => now >= request.deadline + DEADLINE_GRACE_MS,
                // A request that has not begun by now might not end before the process does.
                _ if refuses_new => true,
                _ if request.verdict == Verdict::NotRun => {
                    now >= request.wait_limit || request.lacks_upstream_too_long(now)
                }
                _ => now + MIN_REMAINING_MS >= request.deadline,
            };
            is_late
                .then(|| (*id, self.timeout_refusal(now, request), RefusalContext::from(request)))
        });
        let late: Vec<(RequestId, Refusal, RefusalContext)> = late.collect();
        for (id, refusal, context) in late {
            self.end(id);
            actions.push(Action::Refuse { id, refusal, context });
        }
        self.brittleness.expire(now);
        self.review_suspects(now, actions);
        self.review_active(now, actions);
        self.requested_models.retain(|_, at| now.since(*at) < MODEL_REQUEST_INTERVAL_MS);
    }

    fn timeout_refusal(&self, now: Tick, request: &Request) -> Refusal {
        if !request.stage.is_sent() && self.refuses_new_requests(now) {
            return self.refusal(request, RefusalCause::Stopping, Some(STOP_RETRY_AFTER_MS));
        }
        if request.stage.is_sent() {
            return Refusal::may_have_run(RefusalCause::TimedOut);
        }
        let is_held = request.head.model.as_ref().is_none_or(|subject| {
            self.upstreams.values().any(|upstream| upstream.holds(subject, now))
        });
        let retry = match is_held {
            true if request.is_exhausted() => EXHAUSTED_WAIT_MS,
            true => request
                .forecast
                .map_or(RETRY_AFTER_MS, |forecast| forecast.wait_ms.max(STOP_RETRY_AFTER_MS)),
            false => LOAD_RETRY_AFTER_MS,
        };
        self.refusal(request, RefusalCause::Overloaded, Some(retry))
    }
}
