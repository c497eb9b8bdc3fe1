//! Choice of an upstream for a request.

use crate::{
    affinity::PrefixReplicas,
    choice::{Choice, ChosenLimit, ReadEstimate},
    pace::PaceModel,
    request::Request,
    service_pace::ServicePace,
    shortage::{Shortage, ShortageKind},
    upstream::Upstream,
};
use vanetally_ports::{EngineSpec, ModelRef};
use vanetally_types::{Incarnation, Name, Tick, hash64, rendezvous_weight};

/// Data on which the choice depends, besides the request and the upstreams.
pub(crate) struct ChoiceInput<'a> {
    pub now: Tick,
    pub domain: &'a Name,
    pub engine: Option<&'a EngineSpec>,
    pub pace: &'a PaceModel,
    pub service_pace: &'a ServicePace,
    /// Hosts that may send to the same upstreams.
    pub hosts: usize,
    /// Whether prompts that share a long prefix go to the same replica.
    pub prefix_affinity: bool,
    /// Whether owners grant the slots of the service.
    pub grants_slots: bool,
    /// Average time of complete answers of a plain service.
    pub answer_ms: u64,
}

/// Cost of each running request at an engine.
const RUNNING_REQUEST_MS: f64 = 1.0;
/// Maximum number of requests at a plain service, as a multiple of its slots.
const SERVICE_QUEUE_RATIO: f64 = 2.0;
/// Maximum number of requests at an engine, as a share of its slots.
const ENGINE_FILL_RATIO: f64 = 1.0;
/// The same for a late request: the last slots are kept for requests that can still be in time.
const LATE_FILL_RATIO: f64 = 0.75;
/// Cost of an upstream in another failure domain, compared with load at a plain service.
const DOMAIN_PENALTY_MS: f64 = 2.0;
/// Range over which requests are spread among upstreams whose slots are granted.
const SLOT_SPREAD_MS: f64 = 2.0 * DOMAIN_PENALTY_MS;
/// Cost of one running request at a plain service, divided by its slots.
const SERVICE_WORK_MS: f64 = 15.0;
/// Assumed load from other hosts, as a share of what this host sends, and the maximum number of
/// hosts for which it is assumed.
const PEER_SEND_SHARE: f64 = 0.5;
const MAX_ASSUMED_PEERS: usize = 8;
/// Cost of an upstream at which the request was tried before.
const RETRY_PENALTY_MS: f64 = 10_000.0;
/// Cost of each running request for a request under which upstreams may crash, and of an upstream that
/// runs such a request for the others.
const APART_MS: f64 = 1_000.0;
/// Name with which an upstream's name is compared to break ties.
const TIE_NAME: &str = "~";
/// Share of the target gap between events that an engine may spend on reading prompts: it reads
/// them between the tokens of the running requests.
const READING_GAP_SHARE: f64 = 0.6;

/// Chooses one of `upstreams` for `request`.
pub(crate) fn choose<'a>(
    input: &ChoiceInput<'_>,
    request: &Request,
    upstreams: impl Iterator<Item = (&'a Incarnation, &'a Upstream)>,
) -> Result<Choice, Shortage> {
    if !PrefixReplicas::are_useful(input, request) {
        return choose_among(input, request, None, upstreams);
    }
    let known: Vec<_> = upstreams.collect();
    let replicas = PrefixReplicas::select(input, request, &known);
    choose_among(input, request, replicas.as_ref(), known.into_iter())
}

/// Chooses one of `upstreams`, of which `replicas` are expected to have a prefix cached.
fn choose_among<'a>(
    input: &ChoiceInput<'_>,
    request: &Request,
    replicas: Option<&PrefixReplicas<'_>>,
    upstreams: impl Iterator<Item = (&'a Incarnation, &'a Upstream)>,
) -> Result<Choice, Shortage> {
    let mut shortage = Shortage { kind: ShortageKind::Upstream, holders: 0 };
    let (mut best, mut suspect, mut limited): (Cheapest, Cheapest, Cheapest) = Default::default();
    let (mut usable, mut limited_count) = (0, 0);
    for (id, upstream) in upstreams.filter(|(_, upstream)| upstream.accepts_new(input.now)) {
        let cached = expected_cached(request, replicas, id, upstream);
        let kind = shortage_of(input, request, id, upstream, cached);
        shortage.holders += u32::from(!kind.is_some_and(ShortageKind::is_missing));
        usable +=
            u32::from(!kind.is_some_and(|kind| kind.is_missing() || kind == ShortageKind::Attempt));
        if let Some(kind) = kind {
            shortage.kind = shortage.kind.max(kind);
            continue;
        }
        let (cost, mut choice) = cost(input, request, id, upstream, cached);
        choice.place = replicas.map(|replicas| replicas.place(id));
        if upstream.is_limited(input.now) {
            shortage.kind = shortage.kind.max(ShortageKind::Limit);
            limited_count += 1;
            let wait_ms = upstream.limited_until.since(input.now) as f64;
            keep_cheapest(&mut limited, wait_ms, choice);
        } else if upstream.health.is_open(input.now) {
            keep_cheapest(&mut best, cost, choice);
        } else {
            keep_cheapest(&mut suspect, cost, choice);
        }
    }
    // An ejected upstream is still used if no other one is available.
    if let Some((_, choice)) = best.or(suspect) {
        return Ok(choice.with_may_wait(usable == 1));
    }
    // If all upstreams that could take the request are rate-limited, it waits for one of them.
    let queued = limited.filter(|_| limited_count == usable);
    queued.map(|(_, choice)| choice.with_may_wait(true)).ok_or(shortage)
}

/// The cheapest choice so far, with its cost.
type Cheapest = Option<(f64, Choice)>;

fn keep_cheapest(cheapest: &mut Cheapest, cost: f64, choice: Choice) {
    if cheapest.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
        *cheapest = Some((cost, choice));
    }
}

/// Returns the tokens of the request's prompt that an upstream is expected to have cached.
fn expected_cached(
    request: &Request,
    replicas: Option<&PrefixReplicas<'_>>,
    id: &Incarnation,
    upstream: &Upstream,
) -> u32 {
    match replicas {
        Some(replicas) => replicas.cached_tokens(id),
        None => upstream.cached_tokens(&request.shared_prefixes),
    }
}

/// Returns why an upstream that accepts new requests can't take this one, if so. It has `cached`
/// tokens of the prompt.
pub(crate) fn shortage_of(
    input: &ChoiceInput<'_>,
    request: &Request,
    id: &Incarnation,
    upstream: &Upstream,
    cached: u32,
) -> Option<ShortageKind> {
    if let Some(subject) = &request.head.model
        && !upstream.holds(subject, input.now)
    {
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        let has_model = subject.adapter.is_some() && upstream.holds(&base, input.now);
        return Some(if has_model { ShortageKind::Adapter } else { ShortageKind::Model });
    }
    if !request.may_try(id) {
        return Some(ShortageKind::Attempt);
    }
    if upstream.cooldown.blocked_ms(input.now).is_some() {
        return Some(ShortageKind::Cooldown);
    }
    if input.now < upstream.full_until {
        return Some(ShortageKind::TurnedAway);
    }
    if input.now < upstream.paced_until {
        return Some(ShortageKind::SendTime);
    }
    let load = upstream.total(input.now);
    let slots = f64::from(upstream.state.slots);
    match input.engine {
        // A rate-limited upstream needs a permit and no slot.
        None if input.grants_slots && upstream.rate_limit(input.now).is_none() => {
            let is_late = request.is_late_after(input.now, input.answer_ms);
            upstream
                .busy_slots
                .is_busy(input.now, request.rank(), is_late)
                .then_some(ShortageKind::Slot)
        }
        None => is_saturated(input.now, upstream, load.running, slots * SERVICE_QUEUE_RATIO)
            .then_some(ShortageKind::Slot),
        Some(_)
            if input.grants_slots
                && upstream.busy_slots.is_busy(input.now, request.rank(), false) =>
        {
            Some(ShortageKind::Slot)
        }
        Some(_) if load.running == 0 => None,
        Some(engine) => engine_shortage(input, engine, request, upstream, cached),
    }
}

/// Whether an upstream has its maximum number of requests. A rate-limited upstream is never
/// saturated: its stated limit bounds what it gets, requests that wait for their send time are no
/// load yet, and the others learn at once whether they get a permit.
fn is_saturated(now: Tick, upstream: &Upstream, running: u32, max: f64) -> bool {
    upstream.rate_limit(now).is_none() && f64::from(running) >= max
}

/// Returns why a busy engine can't take the request, if so.
fn engine_shortage(
    input: &ChoiceInput<'_>,
    engine: &EngineSpec,
    request: &Request,
    upstream: &Upstream,
    cached: u32,
) -> Option<ShortageKind> {
    let load = upstream.total(input.now);
    let slots = f64::from(upstream.state.slots);
    let fill = if request.is_late(input.now) { LATE_FILL_RATIO } else { ENGINE_FILL_RATIO };
    if is_saturated(input.now, upstream, load.running, slots * fill) {
        return Some(ShortageKind::Slot);
    }
    if u64::from(load.held_tokens + request.max_tokens()) > engine.kv_tokens {
        return Some(ShortageKind::Memory);
    }
    let ahead = input.tokens_ahead(upstream);
    let model = request.head.model.as_ref();
    let unread_tokens = ahead + request.head.prompt_tokens.saturating_sub(cached);
    let reading_ms = input.pace.reading_ms(model.map(|m| &m.model), unread_tokens);
    let is_read_soon = reading_ms < READING_GAP_SHARE * request.gap_ms() as f64;
    (ahead > 0 && !is_read_soon).then_some(ShortageKind::Reading)
}

impl ChoiceInput<'_> {
    /// Returns the prompt tokens that are read before those of a new request.
    ///
    /// What other hosts sent since their last digests is unknown. If there are few hosts, each is
    /// assumed to send half as much as this one; if there are many, each sends little, and the
    /// engine's pacer has the exact numbers.
    fn tokens_ahead(&self, upstream: &Upstream) -> u32 {
        let known = upstream.total(self.now).unread_tokens;
        let others = self.hosts.min(MAX_ASSUMED_PEERS) as f64 * PEER_SEND_SHARE;
        known.max((f64::from(upstream.own_load.unread_tokens) * others) as u32)
    }

    /// Returns the expected milliseconds to the first piece at an engine that has `unread_tokens`
    /// of the request's prompt to read.
    pub(crate) fn engine_ms(
        &self,
        model: Option<&Name>,
        (id, upstream): (&Incarnation, &Upstream),
        unread_tokens: u32,
    ) -> f64 {
        let running = f64::from(upstream.total(self.now).running);
        let reading_ms = self.pace.reading_ms(model, self.tokens_ahead(upstream))
            + self.pace.reading_ms(model, unread_tokens);
        let engine_ms = self.pace.base_ms(model) + reading_ms + running * RUNNING_REQUEST_MS;
        engine_ms * self.pace.slowness(id)
    }
}

fn cost(
    input: &ChoiceInput<'_>,
    request: &Request,
    id: &Incarnation,
    upstream: &Upstream,
    cached: u32,
) -> (f64, Choice) {
    let model = request.head.model.as_ref();
    let model = model.map(|subject| &subject.model);
    let unread_tokens = request.head.prompt_tokens.saturating_sub(cached);
    let ahead_ms = input.pace.reading_ms(model, input.tokens_ahead(upstream));
    let domain_ms = if upstream.state.domain == *input.domain { 0.0 } else { DOMAIN_PENALTY_MS };
    let own_ms = match input.engine {
        Some(_) => input.engine_ms(model, (id, upstream), unread_tokens),
        // Load reports would send the requests of all hosts to the same upstream; owners know better.
        None if input.grants_slots => {
            let service_ms = SERVICE_WORK_MS * input.service_pace.slowness(input.now, id);
            service_ms + slot_spread_ms(&request.head.id, id)
        }
        None => {
            let slots = f64::from(upstream.state.slots);
            let running = f64::from(upstream.total(input.now).running);
            let service_ms = SERVICE_WORK_MS * (1.0 + running / slots);
            service_ms * input.service_pace.slowness(input.now, id)
        }
    };
    let tie_ms = tie_break(request, id);
    let tried_ms = if request.tried.contains(id) { RETRY_PENALTY_MS } else { 0.0 };
    let cost = own_ms + domain_ms + tried_ms + tie_ms + apart_ms(input, request, upstream);
    let expected = ReadEstimate { unread_tokens, ahead_ms: ahead_ms as u32 };
    let limit = upstream.rate_limit(input.now);
    let limit = limit.map(|rate| ChosenLimit { rate, may_wait: false, is_granted: false });
    (
        cost,
        Choice {
            upstream: id.clone(),
            expected,
            place: None,
            is_trial: false,
            limit,
            send_at: None,
        },
    )
}

/// Returns the cost that keeps requests under which upstreams may crash apart from others.
fn apart_ms(input: &ChoiceInput<'_>, request: &Request, upstream: &Upstream) -> f64 {
    if request.is_suspect {
        return f64::from(upstream.total(input.now).running) * APART_MS;
    }
    if upstream.own_load.suspects > 0 { APART_MS } else { 0.0 }
}

/// Returns a part of [`SLOT_SPREAD_MS`] that differs between requests and upstreams.
fn slot_spread_ms(request: &Name, id: &Incarnation) -> f64 {
    const PARTS: u64 = 1 << 16;
    let key = [hash64(request.as_bytes()).to_le_bytes(), hash64(id.id.as_bytes()).to_le_bytes()];
    (hash64(key.as_flattened()) % PARTS) as f64 / PARTS as f64 * SLOT_SPREAD_MS
}

/// Returns a fraction of a millisecond that spreads requests over equal choices.
fn tie_break(request: &Request, id: &Incarnation) -> f64 {
    let key = hash64(request.head.id.as_bytes());
    let weight = |name: &str| rendezvous_weight(key, name);
    let is_first = (weight(&id.id), &*id.id) >= (weight(TIE_NAME), TIE_NAME);
    if is_first { 0.0 } else { 0.5 }
}
