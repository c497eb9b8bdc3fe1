//! Which upstream takes a request.

use crate::{
    choice::{Choice, Expected, Limit},
    pace::Pace,
    request::Request,
    shortage::{Shortage, ShortageKind},
    upstream::Upstream,
};
use vanetally_ports::{EngineSpec, ModelRef};
use vanetally_types::{Incarnation, Name, Tick, rendezvous_rank};

/// What the choice looks at.
pub(crate) struct View<'a> {
    pub now: Tick,
    pub domain: &'a Name,
    pub engine: Option<&'a EngineSpec>,
    pub pace: &'a Pace,
    /// Hosts that may send to the same upstreams.
    pub hosts: usize,
}

/// Milliseconds that each running request adds.
const PER_RUNNING_MS: f64 = 1.0;
/// Requests at a plain service beyond its slots.
const SERVICE_QUEUE: f64 = 2.0;
/// Requests at an engine, as a share of its slots.
const ENGINE_FILL: f64 = 1.0;
/// The same for a request that is late already: the last places are for those that can be in time.
const LATE_FILL: f64 = 0.75;
/// Worth of the same failure domain, in milliseconds of a plain service's load.
const DOMAIN_MS: f64 = 2.0;
/// Milliseconds that one running request adds at a plain service, spread over its slots.
const SERVICE_WORK_MS: f64 = 30.0;
/// How much of this host's sending others are taken to do, and how many of them at most.
const ALIKE: f64 = 0.5;
const MOST_ALIKE: usize = 8;
/// What speaks against an upstream that has failed the request already, in milliseconds.
const TRIED_MS: f64 = 10_000.0;
/// Share of the longest pause between events that reading prompts may take at an engine: it reads
/// them between the tokens of those that run.
const GAP_SHARE: f64 = 0.6;

/// Chooses among `upstreams` for `request`.
pub(crate) fn choose<'a>(
    view: &View<'_>,
    request: &Request,
    upstreams: impl Iterator<Item = (&'a Incarnation, &'a Upstream)>,
) -> Result<Choice, Shortage> {
    let mut shortage = Shortage { kind: ShortageKind::Upstream, holders: 0 };
    let (mut best, mut suspect, mut limited): (Cheapest, Cheapest, Cheapest) = Default::default();
    let (mut usable, mut in_need) = (0, 0);
    for (id, upstream) in upstreams.filter(|(_, upstream)| upstream.takes_new(view.now)) {
        let lack = lack(view, request, id, upstream);
        shortage.holders += u32::from(!lack.is_some_and(ShortageKind::is_missing));
        usable +=
            u32::from(!lack.is_some_and(|lack| lack.is_missing() || lack == ShortageKind::Attempt));
        if let Some(lack) = lack {
            shortage.kind = shortage.kind.max(lack);
            continue;
        }
        let (cost, choice) = cost(view, request, id, upstream);
        if upstream.is_limited(view.now) {
            shortage.kind = shortage.kind.max(ShortageKind::Limit);
            in_need += 1;
            let wait_ms = upstream.limited_until.since(view.now) as f64;
            offer(&mut limited, wait_ms, choice);
        } else if upstream.health.is_open(view.now) {
            offer(&mut best, cost, choice);
        } else {
            offer(&mut suspect, cost, choice);
        }
    }
    // The last one is never left out for being suspect.
    if let Some((_, choice)) = best.or(suspect) {
        return Ok(choice.waiting(usable == 1));
    }
    // Where all that could take it are in need, the request waits in line for one of them.
    let in_line = limited.filter(|_| in_need == usable);
    in_line.map(|(_, choice)| choice.waiting(true)).ok_or(shortage)
}

/// The cheapest choice so far, with its cost.
type Cheapest = Option<(f64, Choice)>;

fn offer(cheapest: &mut Cheapest, cost: f64, choice: Choice) {
    if cheapest.as_ref().is_none_or(|(least, _)| cost < *least) {
        *cheapest = Some((cost, choice));
    }
}

/// What keeps the request from going to an upstream that takes new ones, if anything does.
fn lack(
    view: &View<'_>,
    request: &Request,
    id: &Incarnation,
    upstream: &Upstream,
) -> Option<ShortageKind> {
    if let Some(subject) = &request.head.model
        && !upstream.holds(subject, view.now)
    {
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        let has_model = subject.adapter.is_some() && upstream.holds(&base, view.now);
        return Some(if has_model { ShortageKind::Adapter } else { ShortageKind::Model });
    }
    if !request.may_go_to(id) {
        return Some(ShortageKind::Attempt);
    }
    if upstream.rest.closed_ms(view.now).is_some() {
        return Some(ShortageKind::Cooldown);
    }
    if view.now < upstream.full_until {
        return Some(ShortageKind::TurnedAway);
    }
    if view.now < upstream.paced_until {
        return Some(ShortageKind::SendTime);
    }
    let load = upstream.total(view.now);
    let slots = f64::from(upstream.state.slots);
    match view.engine {
        None => {
            is_crowded(upstream, load.running, slots * SERVICE_QUEUE).then_some(ShortageKind::Slot)
        }
        Some(_) if load.running == 0 => None,
        Some(engine) => engine_lack(view, engine, request, upstream),
    }
}

/// Whether an upstream has as many requests as it may. One in need says itself how many it takes: those that stand in its
/// line are no load yet, and the others are told at once whether they have a turn.
fn is_crowded(upstream: &Upstream, running: u32, most: f64) -> bool {
    upstream.limit.rate().is_none() && f64::from(running) >= most
}

/// What a busy engine lacks for the request.
fn engine_lack(
    view: &View<'_>,
    engine: &EngineSpec,
    request: &Request,
    upstream: &Upstream,
) -> Option<ShortageKind> {
    let load = upstream.total(view.now);
    let slots = f64::from(upstream.state.slots);
    let fill = if request.is_late(view.now) { LATE_FILL } else { ENGINE_FILL };
    if is_crowded(upstream, load.running, slots * fill) {
        return Some(ShortageKind::Slot);
    }
    if u64::from(load.held_tokens + request.tokens()) > engine.kv_tokens {
        return Some(ShortageKind::Memory);
    }
    let ahead = view.ahead(upstream);
    let model = request.head.model.as_ref();
    let cached = upstream.cached_tokens(&request.shared);
    let unread = ahead + request.head.prompt_tokens.saturating_sub(cached);
    let reading_ms = view.pace.reading_ms(model.map(|m| &m.model), unread);
    let is_read_soon = reading_ms < GAP_SHARE * request.gap_ms() as f64;
    (ahead > 0 && !is_read_soon).then_some(ShortageKind::Reading)
}

impl View<'_> {
    /// Prompt tokens that are read before a new request's own.
    ///
    /// What a few others sent since their last digests is not known: they are taken to send as much as
    /// this host. Where hosts are many each sends little, and the engine's pacer knows.
    fn ahead(&self, upstream: &Upstream) -> u32 {
        let known = upstream.total(self.now).unread_tokens;
        let others = self.hosts.min(MOST_ALIKE) as f64 * ALIKE;
        known.max((f64::from(upstream.own.unread_tokens) * others) as u32)
    }
}

fn cost(
    view: &View<'_>,
    request: &Request,
    id: &Incarnation,
    upstream: &Upstream,
) -> (f64, Choice) {
    let load = upstream.total(view.now);
    let model = request.head.model.as_ref();
    let model = model.map(|subject| &subject.model);
    let cached = upstream.cached_tokens(&request.shared);
    let unread = request.head.prompt_tokens.saturating_sub(cached);
    let ahead_ms = view.pace.reading_ms(model, view.ahead(upstream));
    let away = if upstream.state.domain == *view.domain { 0.0 } else { DOMAIN_MS };
    let own_ms = match view.engine {
        Some(_) => {
            let reading_ms = ahead_ms + view.pace.reading_ms(model, unread);
            view.pace.base_ms(model) + reading_ms + f64::from(load.running) * PER_RUNNING_MS
        }
        None => {
            let slots = f64::from(upstream.state.slots);
            SERVICE_WORK_MS * (1.0 + f64::from(load.running) / slots)
        }
    };
    let tie = tie_break(request, id);
    let again = if request.tried.contains(id) { TRIED_MS } else { 0.0 };
    let cost = own_ms * view.pace.slowness(id) + away + again + tie;
    let expected = Expected { unread, ahead_ms: ahead_ms as u32 };
    let limit = upstream.limit.rate();
    let limit = limit.map(|rate| Limit { rate, may_wait: false, is_granted: false });
    (cost, Choice { upstream: id.clone(), expected, is_trial: false, limit })
}

/// A fraction of a millisecond that spreads equal choices.
fn tie_break(request: &Request, id: &Incarnation) -> f64 {
    let key = vanetally_types::hash64(request.head.id.as_bytes());
    let mark: Name = "~".into();
    let first = rendezvous_rank(key, [&id.id, &mark])[0];
    if *first == id.id { 0.0 } else { 0.5 }
}
