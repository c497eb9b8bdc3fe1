//! Replicas that are expected to have the shared part of a prompt cached.
//!
//! Load: many hosts send prompts with the same long beginnings to the replicas of a model.
//!
//! All hosts order the replicas of a model by rendezvous hash of the prompt's longest shared
//! prefix, without messages. A prompt is expected to be cached at the first replica of the order. A
//! replica is followed by the next one if it is overloaded: other hosts then send prompts with this
//! prefix to the next one too, by the same load reports.

use crate::{
    choose::{ChoiceInput, shortage_of},
    request::Request,
    upstream::Upstream,
};
use std::cell::OnceCell;
use vanetally_ports::ModelRef;
use vanetally_types::{Incarnation, rendezvous_weight};

/// Where an upstream stands among the replicas for a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixPlace {
    /// The first replica of the hash order.
    First,
    /// A later one that is used since all before it are overloaded.
    Next,
    /// Another replica, which reads the whole prompt.
    Other,
}

impl PrefixPlace {
    /// Returns the name in the log and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Next => "next",
            Self::Other => "other",
        }
    }
}

/// The replicas for one prefix that are expected to have it cached.
pub(crate) struct PrefixReplicas<'a> {
    /// In hash order; all but the last one are overloaded.
    ids: Vec<&'a Incarnation>,
    /// Tokens of the prefix.
    tokens: u32,
}

/// Share of the target gap between events above which the reading time of a prefix is worth a
/// replica of its own.
const MIN_GAP_SHARE: f64 = 0.1;
/// Requests at a replica, as a multiple of the mean over the replicas of the model, above which it
/// is overloaded whatever its prompts take to read.
const MAX_LOAD_RATIO: f64 = 2.0;
/// Requests by which a replica may exceed that: with few requests the ratio says little.
const LOAD_SLACK: f64 = 2.0;

/// An upstream that may hold the model, with its weight for the prefix.
type Ranked<'a> = (u64, &'a Incarnation, &'a Upstream);

impl<'a> PrefixReplicas<'a> {
    /// Whether prompts are placed by prefix and reading the shared part of this one again takes
    /// much time.
    pub(crate) fn are_useful(input: &ChoiceInput<'_>, request: &Request) -> bool {
        let model = request.head.model.as_ref().map(|subject| &subject.model);
        let is_placed = input.prefix_affinity && input.engine.is_some() && model.is_some();
        let reading_ms = || input.pace.reading_ms(model, shared_tokens(request));
        is_placed && reading_ms() > MIN_GAP_SHARE * request.gap_ms() as f64
    }

    /// Selects the replicas among `upstreams` for the longest shared prefix of the request's prompt;
    /// `None` if it has none.
    pub(crate) fn select(
        input: &ChoiceInput<'_>,
        request: &Request,
        upstreams: &[(&'a Incarnation, &'a Upstream)],
    ) -> Option<Self> {
        let key = request.shared_prefixes.last()?.key;
        let subject = request.head.model.as_ref()?;
        let tokens = shared_tokens(request);
        let weight = |id: &Incarnation| rendezvous_weight(key, &id.id);
        let ranked = upstreams.iter().map(|(id, upstream)| (weight(id), *id, *upstream));
        let known: Vec<Ranked<'a>> = ranked.collect();
        let overload = Overload {
            input,
            request,
            subject,
            tokens,
            known: &known,
            max_running: OnceCell::new(),
        };
        Some(Self { ids: select_used(known.clone(), &overload), tokens })
    }

    /// Returns the place of an upstream.
    pub(crate) fn place(&self, id: &Incarnation) -> PrefixPlace {
        match self.ids.iter().position(|other| *other == id) {
            Some(0) => PrefixPlace::First,
            Some(_) => PrefixPlace::Next,
            None => PrefixPlace::Other,
        }
    }

    /// Returns the tokens of the prompt that an upstream is expected to have cached.
    pub(crate) fn cached_tokens(&self, id: &Incarnation) -> u32 {
        if self.ids.contains(&id) { self.tokens } else { 0 }
    }
}

fn shared_tokens(request: &Request) -> u32 {
    request.shared_prefixes.iter().map(|prefix| prefix.tokens).sum()
}

/// Returns the replicas in hash order up to the first one that is not overloaded.
fn select_used<'a>(mut ranked: Vec<Ranked<'a>>, overload: &Overload<'_>) -> Vec<&'a Incarnation> {
    let mut used = Vec::with_capacity(1);
    while let Some(first) = position_of_first(&ranked) {
        let (_, id, upstream) = ranked.swap_remove(first);
        if !overload.is_replica(upstream) {
            continue;
        }
        used.push(id);
        if !overload.applies(id, upstream) {
            break;
        }
    }
    used
}

fn position_of_first(ranked: &[Ranked<'_>]) -> Option<usize> {
    let all = ranked.iter().enumerate();
    all.max_by_key(|(_, (weight, id, _))| (*weight, *id)).map(|(position, _)| position)
}

/// The conditions under which a replica is overloaded for a request.
struct Overload<'a> {
    input: &'a ChoiceInput<'a>,
    request: &'a Request,
    subject: &'a ModelRef,
    /// Tokens of the prefix.
    tokens: u32,
    /// All upstreams that may hold the model.
    known: &'a [Ranked<'a>],
    /// Computed when it is first needed.
    max_running: OnceCell<f64>,
}

impl Overload<'_> {
    /// Whether an upstream holds the model, accepts requests and is not ejected.
    fn is_replica(&self, upstream: &Upstream) -> bool {
        let now = self.input.now;
        upstream.accepts_new(now)
            && upstream.health.is_open(now)
            && upstream.holds(self.subject, now)
    }

    /// Whether a replica has far more requests than the others.
    fn is_crowded(&self, running: u32) -> bool {
        let running = f64::from(running);
        running > LOAD_SLACK && running > *self.max_running.get_or_init(|| self.compute_max())
    }

    fn compute_max(&self) -> f64 {
        let now = self.input.now;
        let replicas = self.known.iter().filter(|(_, _, upstream)| self.is_replica(upstream));
        let loads: Vec<u32> =
            replicas.map(|(_, _, upstream)| upstream.total(now).running).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        MAX_LOAD_RATIO * mean + LOAD_SLACK
    }

    /// Whether a replica that has the prefix cached can't take the request now, or only after a wait
    /// that exceeds the time to read the prefix at another one.
    fn applies(&self, id: &Incarnation, upstream: &Upstream) -> bool {
        let Self { input, request, subject, tokens, .. } = self;
        let model = &subject.model;
        let own_tokens = request.head.prompt_tokens.saturating_sub(*tokens);
        let idle_ms =
            input.pace.base_ms(Some(model)) + input.pace.reading_ms(Some(model), own_tokens);
        let wait_ms = input.engine_ms(Some(model), (id, upstream), own_tokens) - idle_ms;
        wait_ms > input.pace.reading_ms(Some(model), *tokens)
            || self.is_crowded(upstream.total(input.now).running)
            || shortage_of(input, request, id, upstream, *tokens).is_some()
    }
}
