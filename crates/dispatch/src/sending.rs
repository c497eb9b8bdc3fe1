//! Sending of waiting requests, in order.

use crate::{
    Action, Attempt, Dispatch, RefusalContext, RequestId,
    choice::Choice,
    choose::{ChoiceInput, choose},
    request::{ActiveAttempt, Request, Stage},
    shared_queue::QueueViews,
    shortage::{Shortage, ShortageKind},
    upstream::Upstream,
};
use std::collections::HashMap;
use vanetally_ports::{ModelRef, RefusalCause, RequestKind};
use vanetally_types::{Incarnation, Name, Tick};

/// Share of an upstream's connections that all hosts together use.
const CONNECTION_SHARE: f64 = 0.8;
/// How long a permit for a rate-limited upstream is valid after its send time. A host that was
/// stalled would otherwise send at times that were granted to others.
const PERMIT_TTL_MS: u64 = 1_000;

/// What prevents sending in one pass, by model or adapter and by whether the version must be in the store.
type Shortages = HashMap<(Option<ModelRef>, bool), Shortage>;

impl Dispatch {
    /// Sends the waiting requests that can be sent.
    pub(crate) fn send_waiting(&mut self, now: Tick, actions: &mut Vec<Action>) {
        for service in self.queue.services() {
            let waiting = self.ordered_queue(now, &service);
            let views = self.queue_views(now, &service, &waiting);
            let mut shortages = HashMap::new();
            for id in waiting {
                self.try_send(now, &service, id, (&mut shortages, &views), actions);
            }
        }
    }

    /// Returns the waiting requests; those that can still be answered in time come first.
    fn ordered_queue(&self, now: Tick, service: &Name) -> Vec<RequestId> {
        let mut waiting = self.queue.waiting(service);
        if self.shares_queue(now, service) {
            self.sort_shared(now, &mut waiting);
            return waiting;
        }
        let answer_ms = self.answer_ms(service);
        let is_late = |id: &RequestId| {
            self.requests.get(id).is_some_and(|request| request.is_late_after(now, answer_ms))
        };
        waiting.sort_by_key(is_late);
        waiting
    }

    fn try_send(
        &mut self,
        now: Tick,
        service: &Name,
        id: RequestId,
        (shortages, views): (&mut Shortages, &QueueViews),
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Some(refusal) = self.send_refusal(now, request) {
            let context = RefusalContext::from(request);
            let refusal = refusal.with_verdict(request.verdict);
            self.end(id);
            return actions.push(Action::Refuse { id, refusal, context });
        }
        if self.lacks_version(now, request) {
            let shortage = Shortage { kind: ShortageKind::Upstream, holders: 0 };
            let (cause, retry_ms) = (RefusalCause::VersionGone, None);
            return self.refuse_at_once(id, shortage, cause, retry_ms, actions);
        }
        let subject = request.head.model.clone();
        if now < request.not_before
            || self.awaits_verdict(now, id, request)
            || self.awaits_first_answer(now, service)
        {
            return;
        }
        if !self.obtain_tries(now, id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        // What others lack may be there at one version, and the other way round.
        let is_shared = request.software_version.is_none();
        let shared_by = (subject.clone(), request.needs_stored_version());
        if let Some(shortage) = shortages.get(&shared_by).copied().filter(|_| is_shared) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.shortage = Some(shortage);
            }
            self.refuse_by_forecast(now, id, views, Some(shortage.kind), actions);
            return;
        }
        request.contents.iter().for_each(|content| self.quarantine.record_try(*content, id.0));
        match self.choose(now, request) {
            Ok(choice) if choice.limit.is_none() && self.yields(now, id, views) => {
                self.hold_back(now, id);
                self.refuse_by_forecast(now, id, views, None, actions);
            }
            Ok(choice) if choice.limit.is_some() => {
                actions.extend(self.request_permit(now, id, choice));
            }
            Ok(choice) if self.is_engine(service) => actions.extend(self.reserve(now, id, choice)),
            Ok(choice) if self.grants_slots(service) => {
                actions.extend(self.acquire_slot(now, id, choice));
            }
            Ok(choice) => actions.extend(self.send(now, id, choice, 0)),
            Err(shortage) => {
                if let Some((cause, retry_ms)) = self.futile_wait(now, request, shortage) {
                    return self.refuse_at_once(id, shortage, cause, Some(retry_ms), actions);
                }
                if self.grants_slots(service) && !self.is_engine(service) {
                    self.set_shortage(id, shortage);
                    return self.await_slot(now, id, actions);
                }
                if request.tried.is_empty() && is_shared {
                    shortages.insert(shared_by, shortage);
                }
                let needs_copy =
                    shortage.kind == ShortageKind::Adapter && self.is_held_elsewhere(now, request);
                let Some(request) = self.requests.get_mut(&id) else {
                    return;
                };
                request.shortage = Some(shortage);
                let waited_ms = now.since(request.queued_at);
                self.refuse_by_forecast(now, id, views, Some(shortage.kind), actions);
                if let Some(subject) = subject {
                    if needs_copy {
                        return self.request_model(now, service, subject, true, actions);
                    }
                    self.report_shortage(now, service, subject, shortage.kind, waited_ms, actions);
                }
            }
        }
    }

    pub(crate) fn is_engine(&self, service: &Name) -> bool {
        let services = self.configuration.as_ref().map(|c| &c.services);
        services.and_then(|known| known.get(service)).is_some_and(|known| known.engine.is_some())
    }

    fn choose(&self, now: Tick, request: &Request) -> Result<Choice, Shortage> {
        let input = self.choice_input(now, &request.service);
        let Some(subject) = &request.head.model else {
            return choose(&input, request, self.fitting_upstreams(request));
        };
        let holders = self.directory.holders(&request.service, &subject.model);
        let fitting = self.known_upstreams(holders).filter(|(_, upstream)| request.fits(upstream));
        choose(&input, request, fitting).map_err(|shortage| {
            // If no holder of the model accepts requests, the other upstreams of the service show
            // whether only the model is missing.
            let lacks_upstream = shortage.kind == ShortageKind::Upstream;
            let mut others = self.fitting_upstreams(request);
            let is_missing =
                lacks_upstream && others.any(|(_, upstream)| upstream.accepts_new(now));
            if is_missing { Shortage { kind: ShortageKind::Model, ..shortage } } else { shortage }
        })
    }

    /// Returns the data on which the choice of an upstream of `service` depends.
    pub(crate) fn choice_input(&self, now: Tick, service: &Name) -> ChoiceInput<'_> {
        let services = self.configuration.as_ref().map(|c| &c.services);
        let known = services.and_then(|services| services.get(service));
        ChoiceInput {
            now,
            domain: &self.options.domain,
            engine: known.and_then(|service| service.engine.as_ref()),
            pace: &self.pace,
            service_pace: &self.service_pace,
            hosts: self.hosts,
            prefix_affinity: self.options.prefix_affinity,
            grants_slots: self.grants_slots(service),
            answer_ms: self.answer_ms(service),
        }
    }

    fn set_shortage(&mut self, id: RequestId, shortage: Shortage) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.shortage = Some(shortage);
        }
    }

    pub(crate) fn known_upstreams<'a>(
        &'a self,
        ids: impl Iterator<Item = &'a Incarnation>,
    ) -> impl Iterator<Item = (&'a Incarnation, &'a Upstream)> {
        ids.filter_map(|id| self.upstreams.get_key_value(id))
    }

    pub(crate) fn send(
        &mut self,
        now: Tick,
        id: RequestId,
        choice: Choice,
        delay_ms: u32,
    ) -> Option<Action> {
        self.record_sent(now, id);
        let sent_at = now + u64::from(delay_ms);
        let connections = self.connections(&choice.upstream);
        let version = self.version().unwrap_or(0);
        let permit_rate = choice.granted_rate();
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        self.queue.remove(id, request);
        let load = request.load(choice.expected.unread_tokens);
        let attempt = Attempt {
            request: request.head.id.clone(),
            route: request.route.name.clone(),
            subject: request.head.model.clone(),
            version,
            waited_ms: now.since(request.arrived),
            shortage: request.shortage.map(|shortage| shortage.kind),
            held_ms: request.held_since.map_or(0, |since| now.since(since)),
            unread_tokens: choice.expected.unread_tokens,
            ahead_ms: choice.expected.ahead_ms,
            place: choice.place,
            upstream: choice.upstream.clone(),
            software_version: upstream.state.software_version.clone(),
            address: upstream.state.address,
            delay_ms,
            deadline_ms: request.deadline.since(sent_at),
            connections,
            number: request.attempts + 1,
            own_load: upstream.own_load.running as usize,
            peer_load: upstream.peer_load(now).running,
            gap_ms: request.gap_ms(),
            is_stream: request.route.kind == RequestKind::Stream,
            may_repeat: request.route.is_repeatable(),
            origin: request.access.origin.clone(),
            limit: permit_rate,
        };
        upstream.own_load.add(load);
        self.loads.mark_active(&choice.upstream);
        upstream.health.record_send(now);
        upstream.cooldown.record_send(now);
        if let Some(subject) = &request.head.model {
            upstream.cache_prompt(&subject.model, &request.shared_prefixes);
        }
        request.attempts += 1;
        if !request.tried.contains(&choice.upstream) {
            request.tried.push(choice.upstream.clone());
        }
        request.stage = Stage::Sent(ActiveAttempt {
            upstream: choice.upstream,
            software_version: upstream.state.software_version.clone(),
            sent_at,
            load,
            expected: choice.expected,
            begun_at: None,
            is_trial: choice.is_trial,
            permit_rate,
            slot: None,
        });
        Some(Action::Send { id, attempt })
    }

    /// Whether the request `id` may still be sent to its chosen upstream. The pacer's delay and the
    /// connection setup come between the choice and the first byte; meanwhile the upstream may have
    /// left, or the key may have been revoked.
    pub fn may_send(&self, now: Tick, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|r| self.send_refusal(now, r).is_none())
        else {
            return false;
        };
        let Stage::Sent(attempt) = &request.stage else {
            return false;
        };
        if self.awaits_verdict(now, id, request) || !self.has_tries(now, id, request) {
            return false;
        }
        let Some(upstream) = self.upstreams.get(&attempt.upstream) else {
            return false;
        };
        let is_permitted = match attempt.permit_rate {
            Some(_) => now <= attempt.sent_at + PERMIT_TTL_MS,
            None => upstream.rate_limit(now).is_none(),
        };
        is_permitted && upstream.accepts_now(now) && request.fits(upstream)
    }

    /// Returns this host's share of the connections to an upstream.
    fn connections(&self, upstream: &Incarnation) -> usize {
        let service = self.upstreams.get(upstream).map(|u| &u.state.service);
        let services = self.configuration.as_ref().map(|c| &c.services);
        let max_connections =
            service.and_then(|name| services?.get(name)).map(|s| s.max_connections);
        let share = f64::from(max_connections.unwrap_or(1)) * CONNECTION_SHARE / self.hosts as f64;
        (share as usize).max(1)
    }
}
