//! Contents that may crash upstreams: what is learned from attempts, and which requests may be sent.

use crate::{
    Action, AttemptEnd, Dispatch, RequestId, SuspectedContent,
    request::{ActiveAttempt, Request, Stage},
};
use std::collections::HashMap;
use vanetally_ports::RequestKind;
use vanetally_quarantine::{ContentHash, CrashSign};
use vanetally_types::{Incarnation, Tick};

/// The tries of suspected contents that requests of this host have or ask for, one for each content.
pub(crate) type OwnTries = HashMap<ContentHash, OwnTry>;

/// A try of a suspected content.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnTry {
    request: RequestId,
    /// When it was granted, or asked for.
    since: Tick,
    is_granted: bool,
}

/// Maximum time for which a content is not sent while the upstream of a broken attempt is probed.
const PROBE_HOLD_MS: u64 = 600;
/// Maximum time for which a request is not sent again while it is unclear whether its upstream has crashed.
const UNCLEAR_MS: u64 = 1_500;
/// How long a content stays on hold for the verdict on a crash report from the hosts that keep the evidence.
const REPORT_HOLD_MS: u64 = 100;
/// Time within which a request uses its try, shorter than the hosts that grant it wait for its result.
const TRY_MS: u64 = 4_000;
/// Pause of a request that was granted no try.
const TRY_PAUSE_MS: u64 = 100;

impl Dispatch {
    /// Updates what is known of a request's contents. A broken attempt counts against all of them and has its upstream
    /// probed; a complete answer clears them.
    pub(crate) fn update_quarantine(
        &mut self,
        now: Tick,
        request: &mut Request,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        match end {
            AttemptEnd::Served => {
                let began = attempt.begun_at.unwrap_or(attempt.sent_at);
                self.record_answer(request, began);
            }
            AttemptEnd::Broken | AttemptEnd::Lost => {
                let suspects = self.suspects(now, request, attempt);
                actions.push(Action::AttemptBroken {
                    request: request.head.id.clone(),
                    upstream: attempt.upstream.clone(),
                    suspects: suspects.clone(),
                });
                if !self.upstreams.contains_key(&attempt.upstream) {
                    return;
                }
                request.unclear = Some((attempt.upstream.clone(), now + UNCLEAR_MS));
                for content in request.contents.iter() {
                    if !self.quarantine.was_answered_recently(now, *content) {
                        self.quarantine.suspend(now, *content, PROBE_HOLD_MS);
                    }
                }
                actions.push(Action::Probe { upstream: attempt.upstream.clone(), suspects });
            }
            _ => {}
        }
    }

    /// Records that an upstream survived an answer which began at `began`.
    fn record_answer(&mut self, request: &Request, began: Tick) {
        for content in request.contents.iter() {
            self.quarantine.record_answer(*content, began);
        }
    }

    /// Handles that an upstream still sends the answer to a request some time after it has begun.
    pub(crate) fn answer_continues(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Stage::Sent(attempt) = &request.stage {
            self.record_answer(&request, attempt.begun_at.unwrap_or(attempt.sent_at));
        }
        self.requests.insert(id, request);
    }

    /// Returns the contents of a request that was sent with `attempt`.
    fn suspects(
        &self,
        now: Tick,
        request: &Request,
        attempt: &ActiveAttempt,
    ) -> Vec<SuspectedContent> {
        let is_repeated = request.route.kind == RequestKind::Idempotent;
        let suspect = |content: &ContentHash| SuspectedContent {
            content: *content,
            is_common: is_repeated || self.quarantine.was_answered(now, *content),
            sent_at: attempt.sent_at,
        };
        request.contents.iter().map(suspect).collect()
    }

    /// Returns the requests that were sent to an upstream and have not ended, with their attempts.
    fn sent_to<'a>(
        &'a self,
        upstream: &'a Incarnation,
    ) -> impl Iterator<Item = (RequestId, &'a Request, &'a ActiveAttempt)> {
        self.requests.iter().filter_map(move |(id, request)| match &request.stage {
            Stage::Sent(attempt) if attempt.upstream == *upstream => Some((*id, request, attempt)),
            _ => None,
        })
    }

    /// Returns the contents of all requests that an upstream has under way.
    fn suspects_at(&self, now: Tick, upstream: &Incarnation) -> Vec<SuspectedContent> {
        let sent = self
            .sent_to(upstream)
            .filter(|(_, request, _)| !self.brittleness.explains_crash(now, &request.service));
        sent.flat_map(|(_, request, attempt)| self.suspects(now, request, attempt)).collect()
    }

    /// Cancels the attempts at an upstream that has ended. Its end is a crash sign against their contents, unless it may have
    /// come before them.
    pub(crate) fn abandon_attempts(
        &self,
        now: Tick,
        upstream: &Incarnation,
        is_unidentified: bool,
        actions: &mut Vec<Action>,
    ) {
        let abandon = |(id, request, _): (RequestId, &Request, &ActiveAttempt)| Action::Abandon {
            id,
            number: request.attempts,
        };
        actions.extend(self.sent_to(upstream).map(abandon));
        let suspects = self.suspects_at(now, upstream);
        if !suspects.is_empty() && !is_unidentified {
            let sign = CrashSign::Ended;
            actions.push(Action::ReportCrash { upstream: upstream.clone(), sign, suspects });
        }
    }

    /// Handles the result of a probe, which confirms that the failures were the upstream's. An upstream that does not
    /// respond gets no requests for a while.
    pub(crate) fn probed(
        &mut self,
        now: Tick,
        upstream: &Incarnation,
        contents: &[ContentHash],
        sign: Option<CrashSign>,
        actions: &mut Vec<Action>,
    ) {
        self.confirm_failures(upstream, actions);
        if sign.is_none() {
            self.settle_contents(contents);
            return self.end_unclear(upstream, Tick(0), &[]);
        }
        let suspended = contents.iter().filter(|one| self.quarantine.is_suspended(now, **one));
        for content in suspended.copied().collect::<Vec<_>>() {
            self.quarantine.suspend(now, content, REPORT_HOLD_MS);
            self.quarantine.start_probation(now, content);
        }
        self.tries.retain(|content, _| !contents.contains(content));
        self.end_unclear(upstream, now + REPORT_HOLD_MS, &[]);
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.health.mark_unresponsive(now);
        }
    }

    /// Handles a probe without a result: the failures say nothing of the upstream. Nothing is sent with suspected contents
    /// until it is known what became of it.
    pub(crate) fn unjudged(&mut self, now: Tick, upstream: &Incarnation, contents: &[ContentHash]) {
        let is_suspected = |content: &ContentHash| self.quarantine.needs_try(now, *content);
        let (suspected, others): (Vec<ContentHash>, Vec<ContentHash>) =
            contents.iter().partition(|content| is_suspected(content));
        suspected.iter().for_each(|one| self.quarantine.suspend(now, *one, PROBE_HOLD_MS));
        self.settle_contents(&others);
        self.end_unclear(upstream, Tick(0), &suspected);
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.health.dismiss();
        }
    }

    /// Lets contents be sent that an upstream did not crash under, as far as known.
    fn settle_contents(&mut self, contents: &[ContentHash]) {
        contents.iter().for_each(|content| self.quarantine.resume(*content));
        self.end_tries(|content, _| contents.contains(content));
    }

    /// Lets the requests that were under way at an upstream be sent again from `not_before` on, but for those with one of
    /// the contents `except`.
    fn end_unclear(&mut self, upstream: &Incarnation, not_before: Tick, except: &[ContentHash]) {
        for request in self.requests.values_mut() {
            if request.contents.iter().any(|content| except.contains(content)) {
                continue;
            }
            if request.unclear.take_if(|(unclear, _)| unclear == upstream).is_some() {
                request.not_before = request.not_before.max(not_before);
                // Its contents are suspect, however often they are answered elsewhere.
                request.is_suspect |= not_before > Tick(0);
            }
        }
    }

    /// Whether a request waits for what becomes of an earlier attempt, or of another request with the same content.
    pub(crate) fn awaits_verdict(&self, now: Tick, id: RequestId, request: &Request) -> bool {
        let is_open = |other: RequestId| {
            let other = self.requests.get(&other);
            other.is_some_and(|other| !matches!(other.stage, Stage::Waiting))
        };
        let awaits = |content: &ContentHash| {
            let tried_by = self.quarantine.tried_by(now, *content).map(RequestId);
            self.quarantine.is_suspended(now, *content)
                || tried_by.is_some_and(|other| other != id && is_open(other))
        };
        request.unclear.as_ref().is_some_and(|(_, until)| now < *until)
            || request.contents.iter().any(awaits)
    }

    /// Returns the contents of a request for which it needs a try and has none.
    fn missing_tries(&self, now: Tick, id: RequestId, request: &Request) -> Vec<ContentHash> {
        let has_try = |content: &ContentHash| {
            self.tries.get(content).is_some_and(|own| {
                own.request == id && own.is_granted && now.since(own.since) <= TRY_MS
            })
        };
        let contents = request.contents.iter().copied();
        contents.filter(|one| self.quarantine.needs_try(now, *one) && !has_try(one)).collect()
    }

    /// Whether a request has the tries that it needs.
    pub(crate) fn has_tries(&self, now: Tick, id: RequestId, request: &Request) -> bool {
        self.missing_tries(now, id, request).is_empty()
    }

    /// Asks for the tries that a request lacks, unless other requests of this host have them or ask as well; returns
    /// whether it lacks none.
    pub(crate) fn obtain_tries(
        &mut self,
        now: Tick,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let missing = self.missing_tries(now, id, request);
        if missing.is_empty() {
            return true;
        }
        let is_fresh = |own: &OwnTry| now.since(own.since) <= TRY_MS;
        if !missing.iter().any(|content| self.tries.get(content).is_some_and(is_fresh)) {
            let own = OwnTry { request: id, since: now, is_granted: false };
            self.tries.extend(missing.iter().map(|content| (*content, own)));
            actions.push(Action::AskTries { id, contents: missing });
        }
        false
    }

    /// Handles the answer to [`Action::AskTries`].
    pub(crate) fn tries_answered(
        &mut self,
        now: Tick,
        id: RequestId,
        contents: &[ContentHash],
        is_granted: bool,
    ) {
        let request = self.requests.get_mut(&id);
        let is_used = is_granted && request.is_some();
        for content in contents {
            let own = self.tries.get_mut(content).filter(|own| own.request == id);
            match own {
                Some(own) if is_used => *own = OwnTry { since: now, is_granted, ..*own },
                Some(_) => drop(self.tries.remove(content)),
                None => {}
            }
        }
        match request {
            Some(request) if is_granted => request.is_suspect = true,
            Some(request) => request.not_before = request.not_before.max(now + TRY_PAUSE_MS),
            None if is_granted => {
                self.releases.push(Action::EndTries { contents: contents.to_vec() });
            }
            None => {}
        }
    }

    /// Ends the tries of a request whose end tells nothing of its contents.
    pub(crate) fn end_tries_of(&mut self, id: RequestId) {
        self.end_tries(|_, own| own.request == id);
    }

    fn end_tries(&mut self, is_over: impl Fn(&ContentHash, &OwnTry) -> bool) {
        let over = self.tries.extract_if(|content, own| is_over(content, own));
        let granted = over.filter(|(_, own)| own.is_granted).map(|(content, _)| content);
        let contents: Vec<ContentHash> = granted.collect();
        if !contents.is_empty() {
            self.releases.push(Action::EndTries { contents });
        }
    }

    /// Forgets tries whose result stayed unknown, and reports the answers that clear suspected contents.
    pub(crate) fn review_suspects(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.tries.retain(|_, own| now.since(own.since) <= TRY_MS + UNCLEAR_MS);
        let answers = self.quarantine.take_clearing_answers(now);
        if !answers.is_empty() {
            actions.push(Action::ReportAnswers { answers });
        }
    }
}
