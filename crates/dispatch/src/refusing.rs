//! What follows if no upstream can take a waiting request: it is refused at once if waiting is futile,
//! and a model or adapter is requested if that would help.

use crate::{
    Action, Dispatch, RefusalContext, RequestId,
    ending::{RETRY_AFTER_MS, STOP_RETRY_AFTER_MS},
    request::Request,
    shortage::{Shortage, ShortageKind},
    upstream::Upstream,
};
use vanetally_ports::{ModelRef, Refusal, RefusalCause};
use vanetally_types::{Incarnation, Name, Tick};

/// Time in the queue from which a request shows that its model has too few replicas. Shorter waits come
/// and go with bursts of requests.
pub(crate) const SATURATED_MS: u64 = 200;
/// Maximum cooldown for which a request waits if all its upstreams are in cooldown. Its caller
/// would not return sooner.
const MAX_COOLDOWN_WAIT_MS: u64 = 100;
/// Interval after which the same model or adapter is requested again.
pub(crate) const MODEL_REQUEST_INTERVAL_MS: u64 = 250;

impl Dispatch {
    /// Returns the cause and the `Retry-After` of a refusal if waiting is futile: all upstreams of
    /// the service are leaving, or all that may take the request are in cooldown.
    pub(crate) fn futile_wait(
        &self,
        now: Tick,
        request: &Request,
        shortage: Shortage,
    ) -> Option<(RefusalCause, u64)> {
        match shortage.kind {
            ShortageKind::Upstream if self.are_all_leaving(now, &request.service) => {
                Some((RefusalCause::NoUpstream, RETRY_AFTER_MS))
            }
            ShortageKind::Cooldown => {
                self.cooldown_wait_ms(now, request).map(|left_ms| (RefusalCause::Cooldown, left_ms))
            }
            _ => None,
        }
    }

    /// Whether a service has upstreams and all of them are leaving.
    fn are_all_leaving(&self, now: Tick, service: &Name) -> bool {
        let mut known = self.known_upstreams(self.directory.upstreams_of(service)).peekable();
        known.peek().is_some() && known.all(|(_, upstream)| upstream.is_leaving(now))
    }

    /// Returns the remaining cooldown of the first upstream that could take the request, if all
    /// upstreams allowed to it are in cooldown for longer than it would wait.
    fn cooldown_wait_ms(&self, now: Tick, request: &Request) -> Option<u64> {
        let holds = |upstream: &Upstream| {
            request.head.model.as_ref().is_none_or(|subject| upstream.holds(subject, now))
        };
        let all = self.fitting_upstreams(request);
        let candidates = all.filter(|(_, upstream)| upstream.accepts_new(now) && holds(upstream));
        let cooldowns =
            candidates.map(|(id, upstream)| (id, upstream.cooldown.left_ms(now).unwrap_or(0)));
        let cooldowns: Vec<(&Incarnation, u64)> = cooldowns.collect();
        let own = cooldowns.iter().filter(|(id, _)| request.may_try(id)).map(|(_, left)| *left);
        // A request that used up its upstreams has better chances as a new request.
        let first_ms = cooldowns.iter().map(|(_, left)| *left).min()?;
        (own.min()? > MAX_COOLDOWN_WAIT_MS).then_some(first_ms.max(STOP_RETRY_AFTER_MS))
    }

    /// Refuses a request that no upstream can take within its waiting time.
    pub(crate) fn refuse_at_once(
        &mut self,
        id: RequestId,
        shortage: Shortage,
        cause: RefusalCause,
        retry_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.shortage = Some(shortage);
        let refusal = Refusal::not_run(cause, retry_ms);
        let refusal = refusal.with_verdict(request.verdict);
        let context = RefusalContext::from(&*request);
        self.end(id);
        actions.push(Action::Refuse { id, refusal, context });
    }

    /// Requests a model or adapter from the order holder if that would resolve the shortage.
    pub(crate) fn report_shortage(
        &mut self,
        now: Tick,
        service: &Name,
        subject: ModelRef,
        kind: ShortageKind,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if kind.is_saturation() && waited_ms >= SATURATED_MS {
            let model = ModelRef { model: subject.model.clone(), adapter: None };
            self.request_model(now, service, model, true, actions);
        }
        let is_saturated = subject.adapter.is_some() && kind.is_saturation();
        if is_saturated || kind.is_missing() {
            self.request_model(now, service, subject, is_saturated, actions);
        }
    }

    pub(crate) fn request_model(
        &mut self,
        now: Tick,
        service: &Name,
        subject: ModelRef,
        is_saturated: bool,
        actions: &mut Vec<Action>,
    ) {
        let last = self.requested_models.get(&(service.clone(), subject.clone()));
        if last.is_some_and(|at| now.since(*at) < MODEL_REQUEST_INTERVAL_MS) {
            return;
        }
        self.requested_models.insert((service.clone(), subject.clone()), now);
        actions.push(Action::RequestModel { service: service.clone(), subject, is_saturated });
    }
}
