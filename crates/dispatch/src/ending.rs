//! How attempts and requests end: what is learned, what may be sent again, what the caller is told.

use crate::{
    Action, AttemptEnd, Dispatch, RefusalContext, RequestId,
    request::{ActiveAttempt, Request, Stage},
    sending::MODEL_REQUEST_INTERVAL_MS,
};
use vanetally_ports::{Refusal, RefusalCause, RequestKind};
use vanetally_quarantine::{ContentHash, CrashSign};
use vanetally_types::{Incarnation, Tick, Verdict};

/// An upstream that was full is left alone for this long, in milliseconds.
const FULL_PAUSE_MS: u64 = 60;
/// Most doublings of that, where it turns one after the other away: 69 hosts that each come back after 60 ms ask one
/// upstream a thousand times a second, and use up what they may repeat.
const MAX_DOUBLINGS: u32 = 3;
/// An upstream that could not be reached is left alone for this long, in milliseconds.
const UNREACHABLE_PAUSE_MS: u64 = 250;
/// A request that was turned away waits this long before it is sent again, in milliseconds.
const RETRY_DELAY_MS: u64 = 30;
/// The final answer at the deadline leaves the upstream this long to give its own, in milliseconds.
const DEADLINE_GRACE_MS: u64 = 120;
/// A request that was turned away by all upstreams allowed to it waits this long for one of them.
const EXHAUSTED_WAIT_MS: u64 = 150;
/// Sendings of one request, those that were turned away included.
const MAX_ATTEMPTS: u32 = 4;
/// Least time left for a sending to make sense, in milliseconds.
const MIN_REMAINING_MS: u64 = 20;
/// A content is not sent while it is looked at what an attempt of it left behind, in milliseconds: at most.
const PROBE_HOLD_MS: u64 = 600;
/// A host that keeps the evidence has said what it thinks of a sign within this time, in milliseconds.
const REPORT_HOLD_MS: u64 = 100;
/// When to come back if nothing better is known, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 500;
/// A host knows a configuration this long after its start, in milliseconds: 0.27 to 0.55 s where all of 295 hosts
/// start together.
const STARTUP_MS: u64 = 550;
/// When to come back to a host that knows no configuration yet, in milliseconds, at least: one that is late already
/// is seldom ready sooner.
const MIN_STARTUP_RETRY_MS: u64 = 250;
/// A store that is there has answered the first call of a process by now, in milliseconds: the call goes out with
/// the first tick, after 20 ms, and answers take four and the way.
const STORE_ANSWER_MS: u64 = 60;
/// When to come back to a host whose store is away, in milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 1_000;
/// When to come back after a refusal by a host that stops, in milliseconds.
pub(crate) const STOP_RETRY_AFTER_MS: u64 = 50;
/// When to come back for a model that nobody holds, in milliseconds.
const LOAD_RETRY_AFTER_MS: u64 = 3_000;

/// When to come back to a host that knows no configuration `age_ms` after its start, in milliseconds.
///
/// Callers that were refused while all hosts started are then served within their objective of a second; with a
/// whole second for all of them 820 of 1,885 were late. Where the store is away, those that come back that soon
/// are refused again.
pub(crate) fn startup_retry_ms(age_ms: u64, has_store: bool) -> u64 {
    let is_store_late = age_ms > STORE_ANSWER_MS && !has_store;
    if is_store_late || age_ms > STARTUP_MS + MIN_STARTUP_RETRY_MS {
        return STORE_RETRY_AFTER_MS;
    }
    STARTUP_MS.saturating_sub(age_ms).max(MIN_STARTUP_RETRY_MS)
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
        if matches!(end, AttemptEnd::Unreachable | AttemptEnd::Withdrawn) {
            let upstream = attempt.upstream.clone();
            actions.extend(attempt.permit_rate.map(|rate| Action::ReturnPermit { upstream, rate }));
        }
        self.record_end(now, &request, &attempt, end);
        self.report_outcome(&request, &attempt, end, actions);
        self.review_content_hash(now, &request, &attempt, end, actions);
        match end {
            AttemptEnd::Served => return,
            // The upstream's own failure went to the caller, unless it may be tried again.
            AttemptEnd::Failed if answered || !request.route.is_repeatable() => return,
            AttemptEnd::Failed => request.verdict = Verdict::Ran,
            AttemptEnd::Unreachable | AttemptEnd::Withdrawn => {
                if request.attempts == 1 {
                    request.tried.clear();
                }
            }
            AttemptEnd::Broken => request.verdict = Verdict::MayHaveRun,
            AttemptEnd::Full | AttemptEnd::Absent | AttemptEnd::Replaced => {
                request.not_before = now + RETRY_DELAY_MS;
            }
        }
        if request.verdict == Verdict::NotRun && request.is_exhausted() {
            // Only where it was turned away may it be sent again: its caller does better elsewhere.
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

    /// An attempt that broke off speaks against its content, unless such requests are answered elsewhere.
    fn review_content_hash(
        &mut self,
        now: Tick,
        request: &Request,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let content = request.content_hash;
        match end {
            AttemptEnd::Served => self.quarantine.record_answer(now, content),
            AttemptEnd::Broken if !self.quarantine.was_answered_recently(now, content) => {
                let upstream = attempt.upstream.clone();
                let Some(known) = self.upstreams.get(&upstream) else {
                    return;
                };
                let is_common = self.is_common(request);
                if !is_common {
                    self.quarantine.suspend(now, content, PROBE_HOLD_MS);
                }
                actions.push(Action::Probe {
                    upstream,
                    address: known.state.address,
                    is_engine: self.is_engine(&request.service),
                    content_hash: content,
                    is_common,
                });
            }
            _ => {}
        }
    }

    /// Whether many callers send what a request says.
    pub(crate) fn is_common(&self, request: &Request) -> bool {
        let is_repeated = request.route.kind == RequestKind::Idempotent;
        is_repeated || self.quarantine.was_answered(request.content_hash)
    }

    /// Somebody looked whether an upstream lives: one that shows no life gets nothing for a while.
    pub(crate) fn probed(
        &mut self,
        now: Tick,
        upstream: &Incarnation,
        contents: &[ContentHash],
        sign: Option<CrashSign>,
    ) {
        if sign.is_none() {
            return contents.iter().for_each(|content| self.quarantine.resume(*content));
        }
        let withheld =
            contents.iter().filter(|content| self.quarantine.is_suspended(now, **content));
        for content in withheld.copied().collect::<Vec<_>>() {
            self.quarantine.suspend(now, content, REPORT_HOLD_MS);
        }
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.health.mark_unresponsive(now);
        }
    }

    fn record_end(
        &mut self,
        now: Tick,
        request: &Request,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
    ) {
        if end == AttemptEnd::Served && !self.is_engine(&request.service) {
            let answer_times = self.answer_times.entry(request.service.clone()).or_default();
            answer_times.record(now.since(attempt.sent_at));
        }
        let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) else {
            return;
        };
        upstream.own.subtract(attempt.load);
        let is_answered =
            !matches!(end, AttemptEnd::Broken | AttemptEnd::Unreachable | AttemptEnd::Withdrawn);
        upstream.cooldown.record_end(now, attempt.sent_at, is_answered);
        match end {
            AttemptEnd::Served => {
                upstream.health.record(now, true);
                upstream.consecutive_refusals = 0;
            }
            // An upstream's own failure of a request that may be repeated says little: others that
            // are asked fail as well, where the request is at fault.
            AttemptEnd::Failed if request.route.kind == RequestKind::Idempotent => {}
            AttemptEnd::Withdrawn => {}
            AttemptEnd::Failed | AttemptEnd::Broken => upstream.health.record(now, false),
            AttemptEnd::Unreachable => {
                upstream.health.record(now, false);
                upstream.full_until = now + UNREACHABLE_PAUSE_MS;
            }
            AttemptEnd::Full => {
                upstream.full_until =
                    now + (FULL_PAUSE_MS << upstream.consecutive_refusals.min(MAX_DOUBLINGS));
                upstream.consecutive_refusals += 1;
                let load = upstream.total(now);
                // An upstream with free places that says it is full is at fault.
                upstream.health.record(now, load.running * 2 >= upstream.state.slots);
            }
            AttemptEnd::Replaced => upstream.is_replaced = true,
            AttemptEnd::Absent => {
                if let Some(subject) = request.head.model.clone() {
                    upstream.set_presence(subject, crate::Presence::Absent, now);
                }
            }
        }
        let (good, bad) = upstream.peer_ends(now);
        upstream.health.review(now, good, bad);
    }

    /// The engine's pacer hears of bad ends, so that other hosts stop sending there at once, and how a trial
    /// ended. One that turned the request away has answered.
    fn report_outcome(
        &self,
        request: &Request,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let is_good = match end {
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Unreachable => false,
            AttemptEnd::Withdrawn => return,
            AttemptEnd::Served | AttemptEnd::Full | AttemptEnd::Absent | AttemptEnd::Replaced => {
                true
            }
        };
        let is_relevant = !is_good || (attempt.is_trial && !attempt.has_begun);
        if is_relevant && self.is_engine(&request.service) {
            actions.push(Action::ReportOutcome { upstream: attempt.upstream.clone(), is_good });
        }
    }

    /// The final answer to a request that may not be sent again.
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
            // Nobody is left who may take it: its caller comes back as a new request.
            return Some(self.refusal(
                request,
                RefusalCause::NoUpstream,
                Some(STOP_RETRY_AFTER_MS),
            ));
        }
        let is_at_max_attempts = request.attempts >= MAX_ATTEMPTS;
        if is_at_max_attempts || (end == AttemptEnd::Failed && request.attempts > 1) {
            return Some(self.refusal(request, cause, Some(RETRY_AFTER_MS)));
        }
        // The next sending is paid for here: one that never was sent costs nothing.
        let service = &request.service;
        let is_unsent = matches!(end, AttemptEnd::Unreachable | AttemptEnd::Withdrawn);
        let is_paid =
            is_unsent || self.budgets.get_mut(service).is_some_and(|budget| budget.try_spend(now));
        if !is_paid || now + MIN_REMAINING_MS >= request.deadline {
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

    /// Ends what has no time left, and reviews the upstreams' health.
    pub(crate) fn expire(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let is_leaving = self.stop_accept_over(now);
        let late = self.requests.iter().filter_map(|(id, request)| {
            let is_late = match request.stage {
                Stage::Sent(_) => now >= request.deadline + DEADLINE_GRACE_MS,
                // What has not begun by now might not end before the process does.
                _ if is_leaving => true,
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
        for upstream in self.upstreams.values_mut() {
            let (good, bad) = upstream.peer_ends(now);
            upstream.health.review(now, good, bad);
        }
        self.requested_models.retain(|_, at| now.since(*at) < MODEL_REQUEST_INTERVAL_MS);
    }

    fn timeout_refusal(&self, now: Tick, request: &Request) -> Refusal {
        if !request.stage.is_sent() && self.stop_accept_over(now) {
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
            true => RETRY_AFTER_MS,
            false => LOAD_RETRY_AFTER_MS,
        };
        self.refusal(request, RefusalCause::Overloaded, Some(retry))
    }
}
