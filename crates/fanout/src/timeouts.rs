//! The time-driven part of the source selection: replaces silent and stale sources and subscribes to the host that
//! comes first in the order.

use crate::{
    Action, Reason, SourceSelector,
    candidate::Parent,
    source_selector::{OFFER_MS, SUSPECT_MS},
    source_state::{
        FallbackProbes, HostSource, PendingSubscription, Search, SourceState, is_unconfirmed,
    },
};
use vanetally_types::{Name, Tick, hash64};

/// Time after which an unanswered subscription is first retried; it doubles with each retry, since the response is
/// large and may still be in transit on a slow link.
const RETRY_MS: u64 = 500;
/// Maximum number of times that [`RETRY_MS`] is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Time without a source after which the first hosts in the order read the store.
const FIRST_SEARCH_MS: u64 = 450;
/// Share of the hosts of a failure domain that count as the first in the order.
const FIRST_SHARE: f64 = 0.05;
/// Time without a source after which the other hosts read the store. By then they have normally found one of the first
/// hosts. With `SEARCH_SPREAD_MS` and `MIN_SILENCE_MS` it stays below two seconds, the shortest time that deployments allow
/// for a change to take effect.
pub(crate) const SEARCH_MS: u64 = 900;
/// Additional search time of the last host of a failure domain.
const SEARCH_SPREAD_MS: u64 = 400;
/// Time without a source after which hosts read the store at the first start of a deployment.
pub(crate) const FIRST_START_SEARCH_MS: u64 = SEARCH_MS + SEARCH_SPREAD_MS;
/// Period over which hosts without a list give up.
const UNLISTED_SPREAD_MS: u64 = 280;
/// Interval between attempts to find another host.
const ATTEMPT_INTERVAL_MS: u64 = 200;
/// Time without another host in the list after which it is complete, at the first start of a deployment: the time in
/// which all hosts write their keys grows with their number.
const LIST_STABLE_MS: u64 = 3 * ATTEMPT_INTERVAL_MS;
/// Time that a host with a stale source waits for the hosts before it in the order. A host before it finds out within a
/// fifth of a second whether the store answers it, and the next one takes as long again.
const STALE_WAIT_MS: u64 = 400;
/// Additional wait of the last host of a failure domain. The status of a host that reads the store reaches the others
/// within 30 ms, so few of them probe it needlessly. Both waits together take less than a third of three seconds, the
/// shortest time that deployments of this size allow for a change.
const STALE_SPREAD_MS: f64 = 500.0;
/// Mean interval between two fallback probes of a host. It ranges from half of this for the first host of a failure
/// domain to one and a half for the last, since all hosts that probe at the same time when the store returns would read
/// it. While the store is away, 370 hosts send 74 probes a second, less than their 123 lease renewals.
const FALLBACK_PROBE_MS: u64 = 6_000;
/// Time within which the status of the host that reads the store reaches all others after the store's return: three
/// hops of a tenth of a second each.
const PROPAGATION_MS: u64 = 400;
/// Time in which the next source in the order, which is a subscriber, normally finds another source.
const BLOCKED_WAIT_MS: u64 = 1_000;
/// Interval between the probes of the host that is next in the order.
const PROBE_MS: u64 = 500;

impl SourceSelector {
    pub(crate) fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let suspects = self.suspects.len();
        self.suspects.retain(|_, until| now < *until);
        if self.suspects.len() < suspects {
            self.clear_caches();
        }
        match self.state.clone() {
            SourceState::Searching(search) => self.continue_search(now, search, actions),
            _ if now < self.grace_until => {}
            SourceState::Store { since, confirmed } => {
                let is_stale = is_unconfirmed(now, since, confirmed);
                self.check_store(now, is_stale, actions);
            }
            SourceState::Host(current) => self.check_host(now, current, actions),
        }
    }

    fn continue_search(&mut self, now: Tick, search: Search, actions: &mut Vec<Action>) {
        if !self.candidates.is_empty() && !self.is_list_growing(now) {
            match self.parent(None) {
                Parent::Store => return self.switch_to_store(now, Reason::Order, actions),
                Parent::Host(host) => self.subscribe_next(now, host, actions),
            }
        } else {
            // The host that it has subscribed to has answered, or still may.
            self.pending.take_if(|pending| pending.is_overdue(now));
            if self.pending.is_some() {
                return;
            }
        }
        if self.is_search_over(now, search) {
            return self.switch_to_store(now, Reason::NoAnswer, actions);
        }
        if search.last_attempt.is_none_or(|at| now.since(at) >= ATTEMPT_INTERVAL_MS) {
            self.state = SourceState::Searching(Search { last_attempt: Some(now), ..search });
            actions.push(Action::FindSource);
        }
    }

    /// Whether this host gives up finding another host. At the first start of a deployment an empty or incomplete list
    /// does not make it the first in the order.
    fn is_search_over(&mut self, now: Tick, search: Search) -> bool {
        let limit_ms = match self.growing_since {
            Some(_) => FIRST_START_SEARCH_MS,
            None => self.search_limit_ms(),
        };
        now.since(search.since) > limit_ms
    }

    /// Whether the list of hosts may lack most of them. At the first start of a deployment it does until it contains
    /// this host and no longer grows.
    fn is_list_growing(&mut self, now: Tick) -> bool {
        let Some(grown_at) = self.growing_since else {
            return false;
        };
        let is_listed = || self.candidates.iter().any(|candidate| candidate.host == self.me);
        if now.since(grown_at) >= LIST_STABLE_MS && is_listed() {
            self.growing_since = None;
        }
        self.growing_since.is_some()
    }

    /// Returns how long this host searches for another host before it reads the store.
    ///
    /// A host without a list may be one of a thousand that start together, so it takes itself for one of the last.
    fn search_limit_ms(&mut self) -> u64 {
        if self.candidates.is_empty() {
            return SEARCH_MS + hash64(self.me.as_bytes()) % UNLISTED_SPREAD_MS;
        }
        let rank = self.rank();
        if rank < FIRST_SHARE {
            FIRST_SEARCH_MS
        } else {
            SEARCH_MS + (rank * SEARCH_SPREAD_MS as f64) as u64
        }
    }

    fn check_store(&mut self, now: Tick, is_stale: bool, actions: &mut Vec<Action>) {
        if self.is_list_growing(now) {
            return;
        }
        // A host that cannot read the store subscribes to one that can, if there is one.
        if is_stale {
            self.drop_overdue(now);
            if self.is_wait_over(now) && self.take_offer(now, actions) {
                return;
            }
        }
        let me = self.me.clone();
        let excluded = is_stale.then_some(&me);
        // A subscriber of this host may have found another source; its path then shows that.
        if let Parent::Host(host) = self.parent(excluded)
            && (is_stale || !self.subscribers.contains(&host))
        {
            self.subscribe(now, host, actions);
        }
    }

    fn check_host(&mut self, now: Tick, current: HostSource, actions: &mut Vec<Action>) {
        if current.silent_since.is_none() && self.is_silent(now, &current.host, current.last_status)
        {
            self.suspect(current.host.clone(), now + SUSPECT_MS);
            self.pending.take_if(|pending| pending.host == current.host);
            self.state = SourceState::Host(HostSource { silent_since: Some(now), ..current });
            return self.tick(now, actions);
        }
        if let Some(silent_since) = current.silent_since {
            return self.replace_silent(now, silent_since, actions);
        }
        if self.is_list_growing(now) {
            return;
        }
        if !current.is_stale(now) {
            self.fallback_probes = FallbackProbes::default();
        } else {
            self.drop_overdue(now);
            if self.is_wait_over(now) && self.fall_back(now, &current.host, actions) {
                return;
            }
        }
        let is_stale = current.is_stale(now);
        let parent = self.parent(is_stale.then_some(&current.host));
        let is_blocked = self.is_blocked(now, &parent);
        match parent {
            Parent::Host(host) if host == current.host => {}
            Parent::Host(host) if !self.subscribers.contains(&host) => {
                self.subscribe(now, host, actions);
            }
            Parent::Host(_) if is_blocked && !is_stale => {}
            // This host reads the store only after it has answered a probe.
            Parent::Host(_) | Parent::Store => self.probe(now, actions),
        }
    }

    /// Whether `parent` is a subscriber of this host that may still find another source, as after a start: this host then
    /// need not read the store.
    fn is_blocked(&mut self, now: Tick, parent: &Parent) -> bool {
        let is_subscriber = matches!(parent, Parent::Host(host) if self.subscribers.contains(host));
        self.blocked_since = is_subscriber.then(|| self.blocked_since.unwrap_or(now));
        self.blocked_since.is_some_and(|since| now.since(since) < BLOCKED_WAIT_MS)
    }

    /// Subscribes to a host that offered newer data or switches to the store; returns whether it did either. Probes the
    /// store otherwise.
    fn fall_back(&mut self, now: Tick, stale: &Name, actions: &mut Vec<Action>) -> bool {
        if self.take_offer(now, actions) {
            return true;
        }
        if self.fallback_probes.answered.is_some_and(|at| now.since(at) >= PROPAGATION_MS) {
            self.must_announce = true;
            self.replace_by_store(now, Some(stale.clone()), actions);
            return true;
        }
        self.probe_fallback(now, actions);
        false
    }

    /// Drops the pending subscription that was to replace a stale source if it is overdue: the host does not answer, or
    /// it had no newer data and evidently cannot read the store either.
    fn drop_overdue(&mut self, now: Tick) {
        let is_useless = |pending: &mut PendingSubscription| match pending.is_rejected {
            true => pending.is_overdue_after_rejection(now),
            false => pending.is_overdue(now),
        };
        if let Some(pending) = self.pending.take_if(is_useless) {
            self.suspect(pending.host, now + SUSPECT_MS);
        }
    }

    /// Whether this host's data has been stale for so long that it no longer waits for the hosts before it in the
    /// order.
    pub(crate) fn is_wait_over(&mut self, now: Tick) -> bool {
        self.stale_ms(now).is_some_and(|ms| {
            ms >= STALE_WAIT_MS && ms >= STALE_WAIT_MS + (self.rank() * STALE_SPREAD_MS) as u64
        })
    }

    /// Subscribes to the host that last announced fresh data unasked; returns whether there is one.
    fn take_offer(&mut self, now: Tick, actions: &mut Vec<Action>) -> bool {
        self.offer.take_if(|(_, at)| now.since(*at) > OFFER_MS);
        let Some((host, _)) = self.offer.clone() else {
            return false;
        };
        self.subscribe(now, host, actions);
        true
    }

    /// Probes the store whichever host is next in the order.
    fn probe_fallback(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let rank = self.rank();
        let interval_ms = FALLBACK_PROBE_MS / 2 + (rank * FALLBACK_PROBE_MS as f64) as u64;
        if self.fallback_probes.last.is_none_or(|at| now.since(at) >= interval_ms) {
            self.fallback_probes.last = Some(now);
            self.fallback_probes.count += 1;
            actions.push(Action::Probe);
        }
    }

    fn replace_silent(&mut self, now: Tick, silent_since: Tick, actions: &mut Vec<Action>) {
        match self.parent(None) {
            Parent::Store => self.switch_to_store(now, Reason::Silent, actions),
            Parent::Host(host) if self.subscribers.contains(&host) => {
                self.switch_to_store(now, Reason::Silent, actions);
            }
            _ if now.since(silent_since) > self.search_limit_ms() => {
                self.switch_to_store(now, Reason::NoAnswer, actions)
            }
            Parent::Host(host) => self.subscribe_next(now, host, actions),
        }
    }

    fn probe(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if self.last_probe.is_none_or(|at| now.since(at) >= PROBE_MS) {
            self.last_probe = Some(now);
            actions.push(Action::Probe);
        }
    }

    /// Subscribes to `host`, or to the next one if `host` did not answer: without a source there is no time to wait.
    fn subscribe_next(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        let silent = self.pending.take_if(|pending| pending.is_overdue(now));
        let Some(silent) = silent else {
            return self.subscribe(now, host, actions);
        };
        // If all hosts start at once, it may not have accepted connections yet.
        let is_starting = matches!(self.state, SourceState::Searching(_));
        if is_starting && silent.retries == 0 && silent.host == host {
            self.pending = Some(PendingSubscription {
                retries: 1,
                ..PendingSubscription::new(now, host.clone())
            });
            return actions.push(Action::Subscribe(host));
        }
        self.suspect(silent.host, now + SUSPECT_MS);
        if let Parent::Host(next) = self.parent(None) {
            self.subscribe(now, next, actions);
        }
    }

    pub(crate) fn subscribe(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        let earlier = self.pending.as_ref().filter(|pending| pending.host == host);
        let is_recent = |pending: &&PendingSubscription| {
            now.since(pending.requested) < RETRY_MS << pending.retries.min(MAX_DOUBLINGS)
        };
        if earlier.filter(is_recent).is_some() {
            return;
        }
        let retries = earlier.map_or(0, |pending| pending.retries + 1);
        self.pending =
            Some(PendingSubscription { retries, ..PendingSubscription::new(now, host.clone()) });
        actions.push(Action::Subscribe(host));
    }
}
