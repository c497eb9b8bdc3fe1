//! Which upstream takes a request.

use crate::{request::Request, upstream::Upstream};
use std::collections::BTreeMap;
use vanetally_ports::{CallerRequest, EngineSpec};
use vanetally_types::{Name, Tick, rendezvous_rank};

/// How long engines take, learned from what is observed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    per_token_ms: BTreeMap<Name, f64>,
    slowness: BTreeMap<Name, f64>,
}

/// Milliseconds for one prompt token before anything is learned.
const FIRST_PER_TOKEN_MS: f64 = 0.06;
/// Least tokens of a prompt that tells how fast an engine reads.
const LEAST_SAMPLE: u32 = 200;
/// Share of a new sample.
const LEARN: f64 = 0.1;
/// Share of a sample that shows a faster pace, and of one that shows a slower pace.
const LEARN_FASTER: f64 = 0.1;
const LEARN_SLOWER: f64 = 0.01;
/// Share of the time for one prompt token that an output token takes in a full batch.
const OUTPUT_TOKENS: f64 = 4.0;
/// Bounds of an upstream's slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=8.0;
/// Part of the first token's time that does not depend on the prompt, in milliseconds.
const BASE_MS: f64 = 15.0;
/// Milliseconds that each running request adds.
const PER_RUNNING_MS: f64 = 1.0;

impl Pace {
    pub(crate) fn per_token(&self, model: Option<&Name>) -> f64 {
        model.and_then(|m| self.per_token_ms.get(m)).copied().unwrap_or(FIRST_PER_TOKEN_MS)
    }

    /// Milliseconds of an engine that the request should take.
    pub(crate) fn work_ms(&self, model: &Name, head: &CallerRequest) -> f64 {
        let tokens = f64::from(head.prompt_tokens) + OUTPUT_TOKENS * f64::from(head.output_tokens);
        tokens * self.per_token(Some(model))
    }

    fn slowness(&self, upstream: &Name) -> f64 {
        self.slowness.get(upstream).copied().unwrap_or(1.0)
    }

    /// Milliseconds for an engine to read `tokens` of a prompt.
    pub(crate) fn reading_ms(&self, model: Option<&Name>, tokens: u32) -> f64 {
        f64::from(tokens) * self.per_token(model)
    }

    /// Milliseconds from a sending to its first piece.
    pub(crate) fn first_piece_ms(&self, upstream: &Name, model: &Name, expected: Expected) -> f64 {
        let reading = f64::from(expected.ahead_ms) + self.reading_ms(Some(model), expected.unread);
        (BASE_MS + reading) * self.slowness(upstream)
    }

    /// The first piece came after `took_ms`.
    pub(crate) fn learn(
        &mut self,
        upstream: &Name,
        model: Option<&Name>,
        expected: Expected,
        took_ms: f64,
    ) {
        let Expected { unread, ahead_ms } = expected;
        let expected = BASE_MS + f64::from(ahead_ms) + self.reading_ms(model, unread);
        let ratio = (took_ms / expected).clamp(*SLOWNESS.start(), *SLOWNESS.end());
        let slowness = self.slowness.entry(upstream.clone()).or_insert(1.0);
        *slowness += LEARN * (ratio - *slowness);
        // Only what is read alone tells how fast the engine reads.
        let is_alone = ahead_ms == 0 && unread >= LEAST_SAMPLE;
        if let Some(model) = model.filter(|_| is_alone) {
            let sample = ((took_ms - BASE_MS) / f64::from(unread)).max(0.0);
            let pace = self.per_token_ms.entry(model.clone()).or_insert(FIRST_PER_TOKEN_MS);
            // Waiting makes samples long: the short ones tell more.
            let share = if sample < *pace { LEARN_FASTER } else { LEARN_SLOWER };
            *pace += share * (sample.min(*pace * 2.0) - *pace);
        }
    }

    pub(crate) fn forget(&mut self, upstream: &Name) {
        self.slowness.remove(upstream);
    }
}

/// What the choice looks at.
pub(crate) struct View<'a> {
    pub now: Tick,
    pub zone: &'a Name,
    pub engine: Option<&'a EngineSpec>,
    pub pace: &'a Pace,
    /// Hosts that may send to the same upstreams.
    pub hosts: usize,
}

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub upstream: Name,
    /// What is expected there.
    pub expected: Expected,
}

/// What an upstream has to read before a request's first piece.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Expected {
    /// Tokens of the request's own prompt that the upstream has not read before.
    pub unread: u32,
    /// Milliseconds of reading for others.
    pub ahead_ms: u32,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// No upstream that may be used holds what is asked for.
    Holder,
    /// Those that hold it are full, ejected or not allowed.
    Room,
}

/// Requests at a plain service beyond its slots.
const SERVICE_QUEUE: f64 = 2.0;
/// Requests at an engine, as a share of its slots.
const ENGINE_FILL: f64 = 1.0;
/// Worth of the same failure domain, in milliseconds of a plain service's load.
const ZONE_MS: f64 = 2.0;
/// Milliseconds that one running request adds at a plain service, spread over its slots.
const SERVICE_WORK_MS: f64 = 30.0;
/// What speaks against an upstream that has failed the request already, in milliseconds.
const TRIED_MS: f64 = 10_000.0;
/// Share of the longest pause between events that reading prompts may take at an engine: it reads
/// them between the tokens of those that run.
const GAP_SHARE: f64 = 0.6;
/// How much of this host's sending the others are taken to do.
const ALIKE: f64 = 0.5;

/// Chooses among `upstreams` for `request`.
pub(crate) fn choose<'a>(
    view: &View<'_>,
    request: &Request,
    upstreams: impl Iterator<Item = (&'a Name, &'a Upstream)>,
) -> Result<Choice, Lack> {
    let mut lack = Lack::Holder;
    let mut best: Option<(f64, Choice)> = None;
    let mut suspect: Option<(f64, Choice)> = None;
    for (id, upstream) in upstreams.filter(|(_, u)| is_usable(view, request, u)) {
        lack = Lack::Room;
        if !has_room(view, request, upstream) || !request.may_go_to(id) {
            continue;
        }
        let (cost, choice) = cost(view, request, id, upstream);
        let slot = if upstream.health.is_open(view.now) { &mut best } else { &mut suspect };
        if slot.as_ref().is_none_or(|(least, _)| cost < *least) {
            *slot = Some((cost, choice));
        }
    }
    // The last one is never left out for being suspect.
    best.or(suspect).map(|(_, choice)| choice).ok_or(lack)
}

fn is_usable(view: &View<'_>, request: &Request, upstream: &Upstream) -> bool {
    let holds = request.head.model.as_ref().is_none_or(|m| upstream.holds(m, view.now));
    upstream.takes_new(view.now) && holds
}

fn has_room(view: &View<'_>, request: &Request, upstream: &Upstream) -> bool {
    let load = upstream.total(view.now);
    let slots = f64::from(upstream.state.slots);
    if view.now < upstream.full_until.max(upstream.paced_until) {
        return false;
    }
    match view.engine {
        None => f64::from(load.running) < slots * SERVICE_QUEUE,
        Some(engine) => {
            let fits = u64::from(load.held_tokens + request.tokens()) <= engine.kv_tokens;
            let has_slot = f64::from(load.running) < slots * ENGINE_FILL;
            let ahead = view.ahead(upstream);
            let model = request.head.model.as_ref();
            let cached = upstream.cached_tokens(&request.shared);
            let unread = ahead + request.head.prompt_tokens.saturating_sub(cached);
            let reading_ms = view.pace.reading_ms(model.map(|m| &m.model), unread);
            let is_read_soon = reading_ms < GAP_SHARE * request.gap_ms() as f64;
            load.running == 0 || (fits && has_slot && (ahead == 0 || is_read_soon))
        }
    }
}

impl View<'_> {
    /// Prompt tokens that are read before a new request's own.
    ///
    /// What other hosts sent since their last digests is not known: they are taken to send as
    /// much as this one.
    fn ahead(&self, upstream: &Upstream) -> u32 {
        let known = upstream.total(self.now).unread_tokens;
        let likely = f64::from(upstream.own.unread_tokens) * self.hosts as f64 * ALIKE;
        known.max(likely as u32)
    }
}

fn cost(view: &View<'_>, request: &Request, id: &Name, upstream: &Upstream) -> (f64, Choice) {
    let load = upstream.total(view.now);
    let model = request.head.model.as_ref();
    let model = model.map(|subject| &subject.model);
    let cached = upstream.cached_tokens(&request.shared);
    let unread = request.head.prompt_tokens.saturating_sub(cached);
    let ahead_ms = view.pace.reading_ms(model, view.ahead(upstream));
    let away = if upstream.state.zone == *view.zone { 0.0 } else { ZONE_MS };
    let own_ms = match view.engine {
        Some(_) => {
            let reading_ms = ahead_ms + view.pace.reading_ms(model, unread);
            BASE_MS + reading_ms + f64::from(load.running) * PER_RUNNING_MS
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
    (cost, Choice { upstream: id.clone(), expected })
}

/// A fraction of a millisecond that spreads equal choices.
fn tie_break(request: &Request, id: &Name) -> f64 {
    let key = vanetally_types::hash64(request.head.id.as_bytes());
    let mark: Name = "~".into();
    let first = rendezvous_rank(key, [id, &mark])[0];
    if first == id { 0.0 } else { 0.5 }
}
