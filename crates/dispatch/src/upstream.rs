//! Known state of one upstream.

use crate::{
    Action, Health, LoadRow, Presence, choice::Choice, cold_start::ColdState, cooldown::Cooldown,
    slots::BusySlots,
};
use std::collections::{BTreeMap, HashMap};
use vanetally_limit::KnownLimit;
use vanetally_pacing::{Prefix, PrefixCache};
use vanetally_ports::{ModelRef, PromptPart, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick, hash64};

/// Open requests at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub running: u32,
    pub unread_tokens: u32,
    pub held_tokens: u32,
    /// Requests of this host under which the upstream may crash.
    pub suspects: u32,
}

impl Load {
    pub(crate) fn add(&mut self, other: Load) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.held_tokens += other.held_tokens;
        self.suspects += other.suspects;
    }

    pub(crate) fn subtract(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
        self.suspects = self.suspects.saturating_sub(other.suspects);
    }
}

/// Load of another host at the upstream, with the time of the report.
#[derive(Clone, Debug)]
struct PeerLoad {
    row: LoadRow,
    received_at: Tick,
}

/// Known state of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub state: UpstreamState,
    /// Load from this host.
    pub own_load: Load,
    pub health: Health,
    /// No requests before this time, because the upstream was full.
    pub full_until: Tick,
    /// Number of rejections since the last successful answer.
    pub consecutive_rejections: u32,
    /// Stated rate limit over all hosts.
    pub limit: KnownLimit,
    /// Whether the upstream is cold.
    pub cold: ColdState,
    /// While the upstream is rate-limited, it takes no more requests from this host before this
    /// time.
    pub limited_until: Tick,
    /// Cooldown that the upstream requested from this host.
    pub cooldown: Cooldown,
    /// The engine's pacer has no slot for this host before this time.
    pub paced_until: Tick,
    /// What the owner of the upstream's slots said last, if no slot was free.
    pub busy_slots: BusySlots,
    /// Another incarnation answers at the upstream's address: it has ended, whatever its
    /// announcement says.
    pub is_replaced: bool,
    /// Until when another incarnation may stand in the place of this one, unless it has shown that it is this one.
    pub unidentified_until: Tick,
    /// The current announcement can't be read.
    pub is_unreadable: bool,
    /// Operators evacuate the upstream's failure domain.
    pub is_evacuated: bool,
    /// The store keeps that the upstream's service has its software version.
    pub is_version_stored: bool,
    /// An incarnation that announced the same address after this one had failed.
    successor: Option<Incarnation>,
    /// When the upstream will be gone, if it announced that.
    pub gone_at: Option<Tick>,
    peers: BTreeMap<Name, PeerLoad>,
    /// Reported presence, and until when it overrides the announcement.
    presence: HashMap<ModelRef, (Presence, Tick)>,
    prefix_cache: PrefixCache,
}

/// How long the reported load of another host is used.
const PEER_LOAD_MS: u64 = 3_000;
/// How long a report of the order holder that weights are being unloaded overrides the
/// announcement, which lists the weights until their last request has ended.
const UNLOAD_PRESENCE_MS: u64 = 30_000;
/// How long other reports of the order holder, and answers of the upstream, override the announcement.
const PRESENCE_MS: u64 = 4_000;

/// Minimum time until the end of an upstream at which it still gets requests.
const MIN_NOTICE_MS: u64 = 200;

impl Upstream {
    pub(crate) fn new(state: UpstreamState, now: Tick) -> Self {
        let mut upstream = Self {
            state,
            own_load: Load::default(),
            health: Health::default(),
            full_until: Tick(0),
            consecutive_rejections: 0,
            limit: KnownLimit::default(),
            cold: ColdState::default(),
            limited_until: Tick(0),
            cooldown: Cooldown::default(),
            paced_until: Tick(0),
            busy_slots: BusySlots::default(),
            is_replaced: false,
            unidentified_until: Tick(0),
            is_unreadable: false,
            is_evacuated: false,
            is_version_stored: false,
            successor: None,
            gone_at: None,
            peers: BTreeMap::new(),
            presence: HashMap::new(),
            prefix_cache: PrefixCache::default(),
        };
        upstream.gone_at = upstream.state.remaining_ms.map(|ms| now + ms);
        upstream.cold.extend(now, upstream.state.cold_ms);
        upstream
    }

    pub(crate) fn update(&mut self, state: UpstreamState, now: Tick) {
        if let Some(ms) = state.remaining_ms {
            self.gone_at.get_or_insert(now + ms);
        }
        // A repeated announcement does not make the upstream cold again.
        if state.cold_ms != self.state.cold_ms {
            self.cold.extend(now, state.cold_ms);
        }
        self.is_replaced &= self.state.address == state.address;
        self.is_unreadable = false;
        self.state = state;
        // The announcement no longer lists these weights, so the unload is complete and the
        // announcement is valid again.
        let listed = &self.state.models;
        self.presence.retain(|subject, (presence, _)| {
            let is_listed = listed.iter().any(|held| held.name == subject.model);
            is_listed || *presence == Presence::Present
        });
    }

    /// Returns the rate limit in requests per second over all hosts: the stated one, or that of a
    /// cold upstream if it is lower.
    pub(crate) fn rate_limit(&self, now: Tick) -> Option<f64> {
        let limits = [self.limit.rate(), self.cold.rate(now)];
        limits.into_iter().flatten().reduce(f64::min)
    }

    /// Whether the upstream is rate-limited and takes no more requests from this host now.
    pub(crate) fn is_limited(&self, now: Tick) -> bool {
        now < self.limited_until && self.rate_limit(now).is_some()
    }

    /// Whether the request may be sent under the rate limit: it has a permit, or none is needed.
    pub(crate) fn is_permitted(&self, now: Tick, choice: &Choice) -> bool {
        self.rate_limit(now).is_none() || choice.limit.is_some_and(|limit| limit.is_granted)
    }

    /// Whether the upstream accepts new requests at all.
    pub(crate) fn accepts_new(&self, now: Tick) -> bool {
        let is_valid = !self.is_unreadable && !self.is_replaced && self.successor.is_none();
        is_valid && !self.is_leaving(now)
    }

    /// Whether a request for which the upstream was chosen may be sent now.
    pub(crate) fn accepts_now(&self, now: Tick) -> bool {
        self.accepts_new(now) && self.cooldown.left_ms(now).is_none()
    }

    /// Whether the upstream accepts no new requests because it is leaving or its failure domain is
    /// evacuated.
    pub(crate) fn is_leaving(&self, now: Tick) -> bool {
        self.is_evacuated || self.has_announced_end(now)
    }

    /// Whether the upstream has announced that it is about to end.
    pub(crate) fn has_announced_end(&self, now: Tick) -> bool {
        let is_ending_soon = self.gone_at.is_some_and(|gone| gone <= now + MIN_NOTICE_MS);
        self.state.draining || is_ending_soon
    }

    /// Records another announced incarnation. If it has the address of an upstream that failed
    /// recently, it is the successor; without a failure it may be a delayed announcement of a
    /// previous incarnation.
    pub(crate) fn successor_seen(&mut self, id: &Incarnation, state: &UpstreamState, now: Tick) {
        if state.address == self.state.address && self.has_recent_failure(now) {
            self.successor = Some(id.clone());
        }
    }

    /// Records that the announcement of an incarnation is gone.
    pub(crate) fn successor_gone(&mut self, id: &Incarnation) {
        self.successor.take_if(|successor| successor == id);
    }

    /// Whether attempts failed recently, here or at other hosts.
    fn has_recent_failure(&mut self, now: Tick) -> bool {
        let (_, own) = self.health.counts(now);
        let (_, others) = self.peer_outcomes(now);
        own + others > 0 || self.health.is_suspect()
    }

    /// Records what the order holder reports of a model or an adapter.
    pub(crate) fn set_presence(&mut self, subject: ModelRef, presence: Presence, now: Tick) {
        let is_unloading = presence == Presence::Absent && subject.adapter.is_none();
        if is_unloading {
            self.prefix_cache.drop_model(&subject.model);
        }
        let limit = if is_unloading { UNLOAD_PRESENCE_MS } else { PRESENCE_MS };
        self.presence.insert(subject, (presence, now + limit));
    }

    /// Records that the upstream answered that it does not hold a model or an adapter. It may have it again soon, and
    /// announces it then without a report.
    pub(crate) fn answered_absent(&mut self, subject: ModelRef, now: Tick) {
        if subject.adapter.is_none() {
            self.prefix_cache.drop_model(&subject.model);
        }
        let known = self.presence.get(&subject).filter(|(known, _)| *known == Presence::Absent);
        let reported = known.map_or(Tick(0), |(_, until)| *until);
        self.presence.insert(subject, (Presence::Absent, reported.max(now + PRESENCE_MS)));
    }

    /// Whether the upstream holds the model of `subject`, whether or not the adapter is loaded.
    pub(crate) fn holds_base(&self, subject: &ModelRef, now: Tick) -> bool {
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        self.reported_presence(&base, now).unwrap_or_else(|| self.announces(&base))
    }

    pub(crate) fn holds(&self, subject: &ModelRef, now: Tick) -> bool {
        self.holds_base(subject, now)
            && self.reported_presence(subject, now).unwrap_or_else(|| self.announces(subject))
    }

    /// Returns the models that the upstream was reported to hold, however old the report is.
    pub(crate) fn reported_models(&self) -> impl Iterator<Item = &Name> {
        let present =
            self.presence.iter().filter(|(_, (reported, _))| *reported == Presence::Present);
        present.map(|(subject, _)| &subject.model)
    }

    fn reported_presence(&self, subject: &ModelRef, now: Tick) -> Option<bool> {
        let (presence, until) = self.presence.get(subject)?;
        (now <= *until).then_some(*presence == Presence::Present)
    }

    fn announces(&self, subject: &ModelRef) -> bool {
        let model = self.state.models.iter().find(|held| held.name == subject.model);
        match (&subject.adapter, model) {
            (None, model) => model.is_some(),
            (Some(adapter), Some(model)) => model.adapters.contains(adapter),
            (Some(_), None) => false,
        }
    }

    pub(crate) fn set_peer(&mut self, host: &Name, row: LoadRow, received_at: Tick) {
        self.peers.insert(host.clone(), PeerLoad { row, received_at });
    }

    pub(crate) fn forget_peer(&mut self, host: &Name) {
        self.peers.remove(host);
    }

    /// Returns the load of all other hosts, by their digests.
    pub(crate) fn peer_load(&self, now: Tick) -> Load {
        let mut sum = Load::default();
        for row in self.recent(now) {
            sum.add(Load {
                running: row.running,
                unread_tokens: row.unread_tokens,
                held_tokens: row.held_tokens,
                suspects: 0,
            });
        }
        sum
    }

    /// Returns the good and bad outcomes that other hosts reported recently.
    pub(crate) fn peer_outcomes(&self, now: Tick) -> (u32, u32) {
        self.recent(now)
            .fold((0, 0), |(good, bad), row| (good + u32::from(row.good), bad + u32::from(row.bad)))
    }

    /// Reviews the health of the upstream, whose id is `id`, and returns its ejection if it is ejected
    /// now.
    pub(crate) fn review(&mut self, now: Tick, id: &Incarnation) -> Option<Action> {
        let (good, bad) = self.peer_outcomes(now);
        let reason = self.health.review(now, good, bad)?;
        Some(Action::Ejected { upstream: id.clone(), reason })
    }

    fn recent(&self, now: Tick) -> impl Iterator<Item = &LoadRow> {
        let is_recent = move |peer: &&PeerLoad| now.since(peer.received_at) <= PEER_LOAD_MS;
        self.peers.values().filter(is_recent).map(|peer| &peer.row)
    }

    pub(crate) fn total(&self, now: Tick) -> Load {
        let mut sum = self.peer_load(now);
        sum.add(self.own_load);
        sum
    }

    /// Returns the prompt tokens that the upstream is expected to have cached.
    pub(crate) fn cached_tokens(&self, shared: &[Prefix]) -> u32 {
        self.prefix_cache.tokens(shared)
    }

    /// Records that the upstream reads a prompt for `model`.
    pub(crate) fn cache_prompt(&mut self, model: &Name, shared: &[Prefix]) {
        self.prefix_cache.insert(model, shared);
    }
}

/// Returns the prefixes of a prompt that other requests may share, as engines identify them.
pub(crate) fn shared_prefixes(subject: &ModelRef, shared: &[PromptPart]) -> Vec<Prefix> {
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
