//! Choice of the host through which a blocked upstream is reached.

use std::collections::{BTreeMap, BTreeSet};
use vanetally_types::{Name, Tick, hash64, rendezvous_rank};

/// Why a host was of no use as exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitFailure {
    /// It could not be reached, or did not answer in time.
    Silent,
    /// It does not reach the upstream, and may be cut off itself.
    CutOff,
    /// It has as many tunnels as it may have.
    Busy,
    /// It is stopping.
    Leaving,
}

impl ExitFailure {
    /// Whether open tunnels through the host get no answers either.
    pub fn is_silent(self) -> bool {
        matches!(self, Self::Silent | Self::CutOff)
    }

    /// Returns for how long the host is not used after so many failures in a row, in milliseconds.
    fn pause_ms(self, failures: u32) -> u64 {
        match self {
            Self::Silent => 1_000,
            // It may have been in doubt for a moment only.
            Self::CutOff if failures <= 1 => 400,
            Self::CutOff => 1_000,
            Self::Busy => 200,
            Self::Leaving => 5_000,
        }
    }
}

/// The other hosts as exits.
///
/// Each host ranks the others differently and uses the first few that work, so that the load of the
/// hosts that are cut off is spread over all that are not.
#[derive(Clone, Debug)]
pub struct Exits {
    own: Name,
    hosts: Vec<Name>,
    /// Those of other failure domains.
    elsewhere: BTreeSet<Name>,
    /// Whether `hosts` is ranked.
    is_ranked: bool,
    states: BTreeMap<Name, ExitState>,
    /// Number of choices so far.
    choices: u64,
    /// When a tunnel was last opened.
    opened_at: Option<Tick>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ExitState {
    /// Not used before this time.
    paused_until: Tick,
    /// When a tunnel was last opened through it; `None` if it failed since.
    proven_at: Option<Tick>,
    /// Open tunnels of this host.
    tunnels: usize,
    /// Failures since a tunnel was last opened through it.
    failures: u32,
}

/// How long a host that worked counts as proven.
const PROVEN_MS: u64 = 5_000;
/// Number of proven hosts among which the tunnels are spread.
const MAX_PROVEN: usize = 3;
/// While fewer hosts are proven, one choice in this many tries another one.
const TRIAL_INTERVAL: u64 = 4;

impl Exits {
    /// Creates the choice for the host `own` without any other known host.
    pub fn new(own: Name) -> Self {
        let (hosts, elsewhere, states) = Default::default();
        Self { own, hosts, elsewhere, is_ranked: true, states, choices: 0, opened_at: None }
    }

    /// Sets the live hosts that serve as exits.
    pub fn set_hosts(&mut self, mut hosts: Vec<Name>) {
        hosts.retain(|host| *host != self.own);
        self.states.retain(|host, state| state.tunnels > 0 || hosts.contains(host));
        self.hosts = hosts;
        self.is_ranked = false;
    }

    /// Sets which of the hosts belong to other failure domains than this one.
    pub fn set_elsewhere(&mut self, elsewhere: BTreeSet<Name>) {
        self.elsewhere = elsewhere;
    }

    /// Whether a host belongs to another failure domain.
    pub fn is_elsewhere(&self, host: &Name) -> bool {
        self.elsewhere.contains(host)
    }

    /// Whether any host belongs to another failure domain.
    pub fn has_elsewhere(&self) -> bool {
        !self.elsewhere.is_empty()
    }

    /// Whether there is no other host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the host to try next, other than those that were `tried`.
    pub fn choose(&mut self, now: Tick, tried: &[Name]) -> Option<Name> {
        self.choose_among(now, tried, |_| true)
    }

    /// Like [`Exits::choose`], but prefers hosts of other failure domains: a cut often strikes the hosts
    /// of one domain alike.
    pub fn choose_elsewhere(&mut self, now: Tick, tried: &[Name]) -> Option<Name> {
        let elsewhere = std::mem::take(&mut self.elsewhere);
        let chosen = self.choose_among(now, tried, |host| elsewhere.contains(host));
        self.elsewhere = elsewhere;
        chosen.or_else(|| self.choose(now, tried))
    }

    fn choose_among(
        &mut self,
        now: Tick,
        tried: &[Name],
        is_wanted: impl Fn(&Name) -> bool,
    ) -> Option<Name> {
        self.rank();
        self.choices += 1;
        let state = |host: &Name| self.states.get(host).copied().unwrap_or_default();
        let is_usable = |host: &&Name| {
            is_wanted(host) && now >= state(host).paused_until && !tried.contains(host)
        };
        let is_proven =
            |host: &&Name| state(host).proven_at.is_some_and(|at| now.since(at) <= PROVEN_MS);
        let usable = || self.hosts.iter().filter(is_usable);
        let proven: Vec<&Name> = usable().filter(is_proven).take(MAX_PROVEN).collect();
        let is_trial = proven.len() < MAX_PROVEN && self.choices.is_multiple_of(TRIAL_INTERVAL);
        let unproven = usable().find(|host| !is_proven(host));
        let least_used = proven.into_iter().min_by_key(|host| state(host).tunnels);
        let chosen = if is_trial { unproven.or(least_used) } else { least_used.or(unproven) };
        chosen.cloned()
    }

    /// Records that a tunnel through a host was opened.
    pub fn opened(&mut self, now: Tick, host: &Name) {
        let state = self.states.entry(host.clone()).or_default();
        state.tunnels += 1;
        state.proven_at = Some(now);
        state.failures = 0;
        self.opened_at = Some(now);
    }

    /// Returns when a tunnel was last opened through any host.
    pub fn opened_at(&self) -> Option<Tick> {
        self.opened_at
    }

    /// Records that a tunnel through a host was closed.
    pub fn closed(&mut self, host: &Name) {
        if let Some(state) = self.states.get_mut(host) {
            state.tunnels = state.tunnels.saturating_sub(1);
        }
    }

    /// Records that a host was of no use.
    pub fn failed(&mut self, now: Tick, host: &Name, failure: ExitFailure) {
        let state = self.states.entry(host.clone()).or_default();
        state.failures += 1;
        state.paused_until = now + failure.pause_ms(state.failures);
        state.proven_at = None;
    }

    /// Returns the number of open tunnels of this host.
    pub fn tunnels(&self) -> usize {
        self.states.values().map(|state| state.tunnels).sum()
    }

    fn rank(&mut self) {
        if !std::mem::replace(&mut self.is_ranked, true) {
            let ranked = rendezvous_rank(hash64(self.own.as_bytes()), self.hosts.iter());
            self.hosts = ranked.into_iter().cloned().collect();
        }
    }
}
