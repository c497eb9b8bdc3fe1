//! The state machine: which upstreams are blocked for this host.

use crate::{
    Action, AttemptId, Event, Exits, Offer, Path, ProbeResult, ProbeScope,
    separation::Separation,
    tunnelled::Tunnelled,
    upstream::{HEAL_PROBE_MS, UpstreamPath},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use vanetally_types::{Incarnation, Name, Tick};

/// Which upstreams a host reaches directly, and through which hosts it reaches the others.
#[derive(Clone, Debug)]
pub struct Reach {
    /// The hosts through which blocked upstreams are reached.
    pub exits: Exits,
    upstreams: BTreeMap<Incarnation, UpstreamPath>,
    /// Open attempts that pass through exits.
    tunnelled: Tunnelled,
    /// Upstreams of the open direct attempts.
    attempts: HashMap<AttemptId, Incarnation>,
    /// Upstreams with open direct attempts, and blocked ones: a host may know thousands of others.
    active: BTreeSet<Incarnation>,
    /// When idle upstreams were last forgotten.
    swept_at: Tick,
    /// When any upstream was last heard on a direct connection.
    heard_at: Option<Tick>,
    /// When any upstream last answered on a new direct connection.
    proven_at: Option<Tick>,
    /// The last failure or silence on a direct path.
    trouble: Option<Trouble>,
    /// Number of blocked upstreams.
    blocked: usize,
    /// Since when some upstream is blocked.
    blocked_since: Option<Tick>,
    separation: Separation,
}

/// A failure or silence on the direct path to an upstream.
#[derive(Clone, Debug)]
struct Trouble {
    at: Tick,
    upstream: Incarnation,
    /// When the first one happened since an upstream was last heard.
    since: Tick,
    /// Whether several upstreams showed one since then: a single one may be busy.
    is_wide: bool,
}

/// How long an upstream counts as failed after a probe.
const FAILED_MS: u64 = 500;
/// How long a failure casts doubt on the paths to all upstreams while none is heard. The path that
/// failed is probed meanwhile.
const DOUBT_MS: u64 = 30_000;
/// Time in doubt, without any tunnel, after which requests can't be expected to find a path soon.
const CUT_OFF_MS: u64 = 1_500;
/// How long an answer on a new connection shows that others reach the same upstream.
const PROVEN_MS: u64 = 1_000;
/// Time after the last request for a blocked upstream in which it is probed.
const USED_MS: u64 = 3_000;
/// Interval at which idle upstreams are forgotten.
const SWEEP_MS: u64 = 1_000;
/// Maximum number of direct probes of blocked upstreams at the same time.
const MAX_HEAL_PROBES: usize = 8;

impl Reach {
    /// Creates the state of the host `own` without any other known host.
    pub fn new(own: Name) -> Self {
        Self {
            exits: Exits::new(own),
            upstreams: BTreeMap::new(),
            tunnelled: Tunnelled::default(),
            attempts: HashMap::new(),
            active: BTreeSet::new(),
            swept_at: Tick(0),
            heard_at: None,
            proven_at: None,
            trouble: None,
            blocked: 0,
            blocked_since: None,
            separation: Separation::default(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Sent { attempt, upstream, exit } => {
                self.sent(now, attempt, upstream, exit, &mut actions);
            }
            Event::HeardThrough(exit) => self.tunnelled.heard(now, &exit),
            Event::ExitChecked { exit, works } => {
                actions.extend(self.tunnelled.checked(now, &exit, works).map(Action::Lost));
            }
            Event::Heard(upstream) => self.heard(now, &upstream),
            Event::Proven(upstream) => self.proven(now, upstream),
            Event::Ended { attempt, is_broken } => {
                self.ended(now, attempt, is_broken, &mut actions);
            }
            Event::Connecting(upstream) => self.connecting(now, &upstream, &mut actions),
            Event::ConnectFailed(upstream) => self.failed(now, &upstream, &mut actions),
            Event::Probed { upstream, result } => {
                self.probed(now, &upstream, result, &mut actions);
            }
            Event::OthersAsked { is_reached } => {
                if self.separation.asked(now, self.quiet_since(), is_reached) {
                    actions.push(Action::Separated(true));
                }
            }
            Event::Gone(upstream) => self.gone(&upstream),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the path for a new request to an upstream on an open connection.
    ///
    /// While the host may be cut off from all upstreams, only exits are sure not to lose the request.
    pub fn path(&self, now: Tick, upstream: &Incarnation) -> Path {
        let is_blocked = self.is_blocked(upstream) || self.is_doubtful(now);
        if is_blocked && !self.exits.is_empty() { Path::Exit } else { Path::Direct }
    }

    /// Returns the path for a new request to an upstream on a new connection.
    ///
    /// While other upstreams are blocked, new connections may be as well although open ones work.
    pub fn new_path(&self, now: Tick, upstream: &Incarnation) -> Path {
        let is_doubted = self.is_unproven(now, upstream) && !self.exits.is_empty();
        if is_doubted { Path::Exit } else { self.path(now, upstream) }
    }

    /// Whether a probe has just found that an upstream answers nobody, so that no exit can help.
    pub fn has_failed(&self, now: Tick, upstream: &Incarnation) -> bool {
        self.upstreams.get(upstream).is_some_and(|path| now < path.failed_until)
    }

    /// Whether an upstream is blocked for this host.
    pub fn is_blocked(&self, upstream: &Incarnation) -> bool {
        self.upstreams.get(upstream).is_some_and(|path| path.blocked_since.is_some())
    }

    /// Returns the number of blocked upstreams.
    pub fn blocked(&self) -> usize {
        self.blocked
    }

    /// Whether this host may be cut off from all upstreams: one failed or was silent, and none was
    /// heard since.
    pub fn is_doubtful(&self, now: Tick) -> bool {
        self.has_trouble_since(now, self.heard_at)
    }

    /// Whether this host may be cut off since several upstreams failed or were silent, so that a
    /// request that is sent directly would be lost.
    pub fn is_widely_doubtful(&self, now: Tick) -> bool {
        let is_wide = self.trouble.as_ref().is_some_and(|trouble| trouble.is_wide);
        is_wide && self.is_doubtful(now)
    }

    /// Whether this host has reached no upstream for a while, neither directly nor through exits.
    pub fn is_cut_off(&self, now: Tick) -> bool {
        let is_long = |since: Tick| now.since(since) >= CUT_OFF_MS;
        let is_unheard = self.trouble.as_ref().is_some_and(|trouble| is_long(trouble.since));
        is_unheard && self.is_widely_doubtful(now) && self.exits.opened_at().is_none_or(is_long)
    }

    /// Whether there was trouble on some path after `good_at`, which is not known to be over.
    fn has_trouble_since(&self, now: Tick, good_at: Option<Tick>) -> bool {
        let is_unresolved = |trouble: &Trouble| {
            let is_recent = self.blocked > 0 || now.since(trouble.at) <= DOUBT_MS;
            is_recent && good_at.is_none_or(|good| good <= trouble.at)
        };
        self.trouble.as_ref().is_some_and(is_unresolved)
    }

    /// Whether new connections to an upstream may fail although open ones work: another one failed
    /// or is blocked, and this one has not answered on a new connection since.
    fn is_unproven(&self, now: Tick, upstream: &Incarnation) -> bool {
        let Some(since) = self.blocked_since else {
            return self.has_trouble_since(now, self.proven_at);
        };
        self.proven_at_of(upstream).is_none_or(|at| at <= since)
    }

    fn proven_at_of(&self, upstream: &Incarnation) -> Option<Tick> {
        self.upstreams.get(upstream)?.proven_at
    }

    /// Returns the answer to another host that asks this one for a tunnel to an upstream.
    ///
    /// A tunnel needs a new connection, of which open ones say nothing. A proxy may accept
    /// connections that it can't forward, so only the upstream's own answer counts.
    pub fn offer(&self, now: Tick, upstream: &Incarnation) -> Offer {
        if self.is_blocked(upstream) || self.is_doubtful(now) {
            return Offer::Refuse;
        }
        let proven_at = self.proven_at_of(upstream);
        let is_proven = proven_at.is_some_and(|at| now.since(at) <= PROVEN_MS);
        if !is_proven || self.is_unproven(now, upstream) {
            return Offer::Probe;
        }
        Offer::Accept
    }

    /// Returns up to `count` upstreams other than `except`, those heard last first.
    pub fn recently_heard(&self, except: &Incarnation, count: usize) -> Vec<Incarnation> {
        let heard = |(id, path): (&Incarnation, &UpstreamPath)| Some((path.heard_at?, id.clone()));
        let mut all: Vec<_> = self.upstreams.iter().filter_map(heard).collect();
        all.retain(|(_, id)| id != except);
        all.sort_unstable_by_key(|(at, _)| std::cmp::Reverse(*at));
        all.truncate(count);
        all.into_iter().map(|(_, id)| id).collect()
    }

    fn sent(
        &mut self,
        now: Tick,
        attempt: AttemptId,
        upstream: Incarnation,
        exit: Option<Name>,
        actions: &mut Vec<Action>,
    ) {
        // It may have been sent on a connection that was found closed.
        self.close(attempt);
        let known = self.upstreams.entry(upstream.clone()).or_default();
        known.used_at = now;
        let Some(exit) = exit else {
            known.open.insert(attempt, now);
            if !self.active.contains(&upstream) {
                self.active.insert(upstream.clone());
            }
            self.attempts.insert(attempt, upstream);
            return;
        };
        // Nothing is heard directly while all requests pass through exits.
        if known.blocked_since.is_none() && now >= known.next_probe {
            start_probe(&upstream, known, ProbeScope::Full, actions);
        }
        self.tunnelled.sent(now, attempt, upstream, exit);
    }

    fn heard(&mut self, now: Tick, upstream: &Incarnation) {
        self.heard_at = Some(now);
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.record_heard(now);
        }
    }

    fn proven(&mut self, now: Tick, upstream: Incarnation) {
        self.heard(now, &upstream);
        self.proven_at = Some(now);
        let known = self.upstreams.entry(upstream).or_default();
        known.proven_at = Some(now);
        known.used_at = now;
    }

    fn ended(&mut self, now: Tick, attempt: AttemptId, is_broken: bool, actions: &mut Vec<Action>) {
        if let Some(upstream) = self.close(attempt).filter(|_| is_broken) {
            self.failed(now, &upstream, actions);
        }
    }

    /// Removes an attempt; returns its upstream if it was open on a direct path.
    fn close(&mut self, attempt: AttemptId) -> Option<Incarnation> {
        self.tunnelled.ended(attempt);
        let upstream = self.attempts.remove(&attempt)?;
        if let Some(known) = self.upstreams.get_mut(&upstream) {
            known.open.remove(&attempt);
        }
        Some(upstream)
    }

    /// Probes an upstream that needs a new connection and may be blocked.
    fn connecting(&mut self, now: Tick, upstream: &Incarnation, actions: &mut Vec<Action>) {
        if !self.is_unproven(now, upstream) {
            return;
        }
        let known = self.upstreams.entry(upstream.clone()).or_default();
        known.used_at = now;
        if known.blocked_since.is_some() {
            return;
        }
        start_probe(upstream, known, ProbeScope::Full, actions);
    }

    /// Handles a failure on a direct path.
    fn failed(&mut self, now: Tick, upstream: &Incarnation, actions: &mut Vec<Action>) {
        let known = self.upstreams.entry(upstream.clone()).or_default();
        known.used_at = now;
        if known.blocked_since.is_some() {
            return;
        }
        start_probe(upstream, known, ProbeScope::Full, actions);
        self.record_trouble(now, upstream);
    }

    fn record_trouble(&mut self, now: Tick, upstream: &Incarnation) {
        let known = self.trouble.take().filter(|trouble| self.is_unheard_since(trouble));
        let since = known.as_ref().map_or(now, |trouble| trouble.since);
        let is_wide = known.is_some_and(|trouble| trouble.is_wide || trouble.upstream != *upstream);
        self.trouble = Some(Trouble { at: now, upstream: upstream.clone(), since, is_wide });
    }

    fn is_unheard_since(&self, trouble: &Trouble) -> bool {
        self.heard_at.is_none_or(|heard| heard <= trouble.at)
    }

    fn probed(
        &mut self,
        now: Tick,
        upstream: &Incarnation,
        result: ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        known.is_probing = false;
        match result {
            ProbeResult::Answered => {
                known.delay_quiet_probe(now);
                known.proven_at = Some(now);
                let blocked_since = known.blocked_since.take();
                (self.heard_at, self.proven_at) = (Some(now), Some(now));
                self.trouble = None;
                if let Some(since) = blocked_since {
                    self.unblocked();
                    let blocked_ms = now.since(since);
                    actions.push(Action::Reached { upstream: upstream.clone(), blocked_ms });
                    self.probe_blocked_now(now);
                }
            }
            ProbeResult::Blocked(exit) => {
                known.next_probe = now + HEAL_PROBE_MS;
                if known.blocked_since.is_none() {
                    known.blocked_since = Some(now);
                    self.active.insert(upstream.clone());
                    self.blocked += 1;
                    self.blocked_since.get_or_insert(now);
                    actions.push(Action::Blocked { upstream: upstream.clone(), exit });
                }
                self.take_lost(now, upstream, actions);
            }
            ProbeResult::Failed => {
                known.failed_until = now + FAILED_MS;
                known.next_probe = now + HEAL_PROBE_MS;
                self.explain_trouble(upstream);
            }
            ProbeResult::Unanswered => known.next_probe = now + HEAL_PROBE_MS,
        }
    }

    /// Ends the doubt that the failure of an upstream cast, since the upstream is at fault.
    fn explain_trouble(&mut self, failed: &Incarnation) {
        if self.blocked == 0 {
            self.trouble = self.trouble.take().filter(|trouble| trouble.upstream != *failed);
        }
    }

    fn unblocked(&mut self) {
        self.blocked -= 1;
        if self.blocked == 0 {
            self.blocked_since = None;
        }
    }

    /// Makes the probes of all blocked upstreams due: the cut that blocked them may be over.
    fn probe_blocked_now(&mut self, now: Tick) {
        let blocked = self.upstreams.values_mut().filter(|path| path.blocked_since.is_some());
        blocked.for_each(|path| path.next_probe = now);
    }

    fn take_lost(&mut self, now: Tick, upstream: &Incarnation, actions: &mut Vec<Action>) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        for attempt in known.take_silent(now) {
            self.attempts.remove(&attempt);
            actions.push(Action::Lost(attempt));
        }
    }

    fn gone(&mut self, upstream: &Incarnation) {
        self.trouble = self.trouble.take().filter(|trouble| trouble.upstream != *upstream);
        let Some(gone) = self.upstreams.remove(upstream) else {
            return;
        };
        if gone.blocked_since.is_some() {
            self.unblocked();
        }
        gone.open.keys().for_each(|attempt| drop(self.attempts.remove(attempt)));
    }

    /// Probes the path that cast doubt on all others, so that the end of a cut is noticed without the
    /// requests that nobody sends there meanwhile.
    fn probe_trouble(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let Some(trouble) = self.trouble.clone().filter(|_| self.is_doubtful(now)) else {
            return;
        };
        let known = self.upstreams.entry(trouble.upstream.clone()).or_default();
        if known.blocked_since.is_none() && now >= known.next_probe {
            known.next_probe = now + HEAL_PROBE_MS;
            start_probe(&trouble.upstream, known, ProbeScope::Full, actions);
        }
    }

    /// Since when nothing was heard directly from any upstream; `None` if none is blocked.
    fn quiet_since(&self) -> Option<Tick> {
        self.blocked_since.map(|since| self.heard_at.map_or(since, |heard| heard.max(since)))
    }

    fn update_separation(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let quiet_since = self.quiet_since();
        if self.separation.update(now, quiet_since) {
            actions.push(Action::Separated(false));
        }
        if quiet_since.is_some()
            && let Some(blocked) = self.active.iter().find(|upstream| self.is_blocked(upstream))
            && self.separation.should_ask(now, quiet_since)
        {
            actions.push(Action::AskOthers(blocked.clone()));
        }
    }

    fn forget_idle(&mut self, now: Tick) {
        let mut unblocked = 0;
        self.upstreams.retain(|_, known| {
            let is_idle = known.is_idle(now);
            unblocked += usize::from(is_idle && known.blocked_since.is_some());
            !is_idle
        });
        (0..unblocked).for_each(|_| self.unblocked());
    }

    fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let upstreams = &mut self.upstreams;
        self.active.retain(|upstream| {
            let is_active =
                |path: &UpstreamPath| !path.open.is_empty() || path.blocked_since.is_some();
            upstreams.get(upstream).is_some_and(is_active)
        });
        let is_healing = |path: &&UpstreamPath| path.blocked_since.is_some() && path.is_probing;
        let active = self.active.iter().filter_map(|upstream| upstreams.get(upstream));
        let mut healing = active.filter(is_healing).count();
        let (mut lost_at, mut silent) = (Vec::new(), Vec::new());
        for upstream in &self.active {
            let Some(known) = upstreams.get_mut(upstream) else {
                continue;
            };
            let is_due = !known.is_probing && now >= known.next_probe;
            if known.blocked_since.is_none() {
                if is_due && known.is_silent(now) {
                    silent.push(upstream.clone());
                    start_probe(upstream, known, ProbeScope::Full, actions);
                }
                continue;
            }
            if known.is_silent(now) {
                lost_at.push(upstream.clone());
            }
            let is_used = now.since(known.used_at) <= USED_MS;
            if is_due && is_used && healing < MAX_HEAL_PROBES {
                healing += 1;
                known.next_probe = now + HEAL_PROBE_MS;
                start_probe(upstream, known, ProbeScope::Direct, actions);
            }
        }
        silent.iter().for_each(|upstream| self.record_trouble(now, upstream));
        lost_at.iter().for_each(|upstream| self.take_lost(now, upstream, actions));
        self.probe_trouble(now, actions);
        let checks = self.tunnelled.take_due(now);
        actions.extend(
            checks.into_iter().map(|(exit, upstream)| Action::CheckExit { exit, upstream }),
        );
        if now.since(self.swept_at) >= SWEEP_MS {
            self.swept_at = now;
            self.forget_idle(now);
        }
        self.update_separation(now, actions);
    }
}

fn start_probe(
    upstream: &Incarnation,
    known: &mut UpstreamPath,
    scope: ProbeScope,
    actions: &mut Vec<Action>,
) {
    if !std::mem::replace(&mut known.is_probing, true) {
        actions.push(Action::Probe { upstream: upstream.clone(), scope });
    }
}
