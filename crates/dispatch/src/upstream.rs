//! What this host believes of one upstream.

use crate::{Health, LoadRow, Presence, choice::Choice, cooldown::Cooldown};
use std::collections::{BTreeMap, HashMap};
use vanetally_limit::KnownLimit;
use vanetally_pacing::{Prefix, PrefixCache};
use vanetally_ports::{ModelRef, PromptPart, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick, hash64};

/// Requests at an upstream that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub running: u32,
    pub unread_tokens: u32,
    pub held_tokens: u32,
}

impl Load {
    pub(crate) fn add(&mut self, other: Load) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.held_tokens += other.held_tokens;
    }

    pub(crate) fn subtract(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
    }
}

/// What another host has there, with its age.
#[derive(Clone, Debug)]
struct PeerLoad {
    row: LoadRow,
    at: Tick,
}

/// Beliefs about one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub state: UpstreamState,
    /// Load of this host.
    pub own: Load,
    pub health: Health,
    /// No request goes there before this, since it was full.
    pub full_until: Tick,
    /// How often it turned requests away since it last answered one.
    pub consecutive_refusals: u32,
    /// What it takes from all hosts while it is in need.
    pub limit: KnownLimit,
    /// It takes no more from this host before this, while it is in need.
    pub limited_until: Tick,
    /// Cooldown that it asked this host for.
    pub cooldown: Cooldown,
    /// Its pacer has no moment for this host before this.
    pub paced_until: Tick,
    /// Another incarnation answers at its address: it is gone, whatever its announcement says.
    pub is_replaced: bool,
    /// What it announces now can't be read.
    pub is_unreadable: bool,
    /// An incarnation that announced the same address after this one had failed.
    successor: Option<Incarnation>,
    /// When it will be gone, if it said so.
    pub gone_at: Option<Tick>,
    peers: BTreeMap<Name, PeerLoad>,
    presence: HashMap<ModelRef, (Presence, Tick)>,
    prefix_cache: PrefixCache,
}

/// A peer's load older than this is forgotten, in milliseconds.
const PEER_LOAD_MS: u64 = 3_000;
/// Weights that go are announced until their last run has ended: what the holder of orders told wins
/// for this long, in milliseconds.
const UNLOAD_PRESENCE_MS: u64 = 30_000;
/// What the holder of orders told wins over the announcement for this long, in milliseconds.
const PRESENCE_MS: u64 = 4_000;

/// Time left below which an upstream under notice gets nothing, in milliseconds.
const MIN_NOTICE_MS: u64 = 200;

impl Upstream {
    pub(crate) fn new(state: UpstreamState, now: Tick) -> Self {
        let mut upstream = Self {
            state,
            own: Load::default(),
            health: Health::default(),
            full_until: Tick(0),
            consecutive_refusals: 0,
            limit: KnownLimit::default(),
            limited_until: Tick(0),
            cooldown: Cooldown::default(),
            paced_until: Tick(0),
            is_replaced: false,
            is_unreadable: false,
            successor: None,
            gone_at: None,
            peers: BTreeMap::new(),
            presence: HashMap::new(),
            prefix_cache: PrefixCache::default(),
        };
        upstream.gone_at = upstream.state.remaining_ms.map(|ms| now + ms);
        upstream
    }

    pub(crate) fn update(&mut self, state: UpstreamState, now: Tick) {
        if let Some(ms) = state.remaining_ms {
            self.gone_at.get_or_insert(now + ms);
        }
        self.is_replaced &= self.state.address == state.address;
        self.is_unreadable = false;
        self.state = state;
        // Weights that the announcement lists no more have gone: from now on it is believed again.
        let listed = &self.state.models;
        self.presence.retain(|subject, (presence, _)| {
            let is_listed = listed.iter().any(|held| held.name == subject.model);
            is_listed || *presence == Presence::Present
        });
    }

    /// Whether it is in need and takes no more from this host just now.
    pub(crate) fn is_limited(&self, now: Tick) -> bool {
        self.limit.rate().is_some() && now < self.limited_until
    }

    /// Whether the request of `choice` may go there: it has its moment, or none is needed.
    pub(crate) fn is_permitted(&self, choice: &Choice) -> bool {
        self.limit.rate().is_none() || choice.limit.is_some_and(|limit| limit.is_granted)
    }

    /// Whether new requests may go there at all.
    pub(crate) fn accepts_new(&self, now: Tick) -> bool {
        let is_valid = !self.is_unreadable && !self.is_replaced && self.successor.is_none();
        is_valid && !self.is_leaving(now)
    }

    /// Whether a request that was chosen for it may go there now.
    pub(crate) fn accepts_now(&self, now: Tick) -> bool {
        self.accepts_new(now) && self.cooldown.left_ms(now).is_none()
    }

    /// Whether it takes nothing new since it leaves.
    pub(crate) fn is_leaving(&self, now: Tick) -> bool {
        let is_ending_soon = self.gone_at.is_some_and(|gone| gone <= now + MIN_NOTICE_MS);
        self.state.draining || is_ending_soon
    }

    /// Another incarnation announced itself. At the address of one that has just failed it is what came
    /// after it; while nothing failed it may be a late announcement of one that went before.
    pub(crate) fn successor_seen(&mut self, id: &Incarnation, state: &UpstreamState, now: Tick) {
        if state.address == self.state.address && self.has_recent_failure(now) {
            self.successor = Some(id.clone());
        }
    }

    /// An incarnation's announcement is gone.
    pub(crate) fn successor_gone(&mut self, id: &Incarnation) {
        self.successor.take_if(|successor| successor == id);
    }

    /// Whether attempts failed there lately, here or at other hosts.
    fn has_recent_failure(&mut self, now: Tick) -> bool {
        let (_, own) = self.health.counts(now);
        let (_, others) = self.peer_ends(now);
        own + others > 0 || self.health.is_suspect()
    }

    pub(crate) fn set_presence(&mut self, subject: ModelRef, presence: Presence, now: Tick) {
        if presence == Presence::Absent && subject.adapter.is_none() {
            self.prefix_cache.drop_model(&subject.model);
        }
        self.presence.insert(subject, (presence, now));
    }

    pub(crate) fn holds(&self, subject: &ModelRef, now: Tick) -> bool {
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        self.reported_presence(&base, now).unwrap_or_else(|| self.announces(&base))
            && self.reported_presence(subject, now).unwrap_or_else(|| self.announces(subject))
    }

    /// The models that it was told to hold, some of them long ago.
    pub(crate) fn reported_models(&self) -> impl Iterator<Item = &Name> {
        let present =
            self.presence.iter().filter(|(_, (reported, _))| *reported == Presence::Present);
        present.map(|(subject, _)| &subject.model)
    }

    fn reported_presence(&self, subject: &ModelRef, now: Tick) -> Option<bool> {
        let (presence, at) = self.presence.get(subject)?;
        let is_unloading = *presence == Presence::Absent && subject.adapter.is_none();
        let limit = if is_unloading { UNLOAD_PRESENCE_MS } else { PRESENCE_MS };
        (now.since(*at) <= limit).then_some(*presence == Presence::Present)
    }

    fn announces(&self, subject: &ModelRef) -> bool {
        let model = self.state.models.iter().find(|held| held.name == subject.model);
        match (&subject.adapter, model) {
            (None, model) => model.is_some(),
            (Some(adapter), Some(model)) => model.adapters.contains(adapter),
            (Some(_), None) => false,
        }
    }

    pub(crate) fn set_peer(&mut self, host: &Name, row: LoadRow, at: Tick) {
        self.peers.insert(host.clone(), PeerLoad { row, at });
    }

    pub(crate) fn forget_peer(&mut self, host: &Name) {
        self.peers.remove(host);
    }

    /// Load of all other hosts, by their digests.
    pub(crate) fn peer_load(&self, now: Tick) -> Load {
        let mut sum = Load::default();
        for row in self.recent(now) {
            sum.add(Load {
                running: row.running,
                unread_tokens: row.unread_tokens,
                held_tokens: row.held_tokens,
            });
        }
        sum
    }

    /// Good and bad ends that other hosts saw lately.
    pub(crate) fn peer_ends(&self, now: Tick) -> (u32, u32) {
        self.recent(now)
            .fold((0, 0), |(good, bad), row| (good + u32::from(row.good), bad + u32::from(row.bad)))
    }

    fn recent(&self, now: Tick) -> impl Iterator<Item = &LoadRow> {
        let is_recent = move |peer: &&PeerLoad| now.since(peer.at) <= PEER_LOAD_MS;
        self.peers.values().filter(is_recent).map(|peer| &peer.row)
    }

    pub(crate) fn total(&self, now: Tick) -> Load {
        let mut sum = self.peer_load(now);
        sum.add(self.own);
        sum
    }

    /// Prompt tokens that the upstream is thought to keep already.
    pub(crate) fn cached_tokens(&self, shared: &[Prefix]) -> u32 {
        self.prefix_cache.tokens(shared)
    }

    /// The upstream reads a prompt for `model`.
    pub(crate) fn cache_prompt(&mut self, model: &Name, shared: &[Prefix]) {
        self.prefix_cache.insert(model, shared);
    }
}

/// The parts of a prompt that other requests may share, as engines tell them apart.
///
/// The last part belongs to the request itself.
pub(crate) fn shared_prefixes(subject: &ModelRef, parts: &[PromptPart]) -> Vec<Prefix> {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let mut key = hash64(subject.to_string().as_bytes());
    let prefixes = shared.iter().map(|part| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&key.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        key = hash64(&bytes);
        Prefix { key, tokens: part.tokens }
    });
    prefixes.collect()
}
