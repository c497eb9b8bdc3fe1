//! Grants quota to the organisations, on one host for all.

use crate::{
    Guards, Rank,
    account::{Account, QueueAnswer, QueueCounts},
    bucket::Bucket,
    queue::{Asker, MAX_WAIT_MS, Reply},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use vanetally_ports::Quota;
use vanetally_types::{Name, Tick};

/// The grantor's answer for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The request is within the quota.
    Granted {
        /// Whether the organisation stays far below its quota.
        #[serde(rename = "is_calm")]
        is_below_quota: bool,
    },
    /// The request exceeds the quota.
    Refused {
        /// Milliseconds after which there is capacity.
        retry_ms: u64,
    },
    /// This host does not grant now.
    NotGranting,
    /// The request waits for quota; the final answer follows under the same number. Sent only for
    /// requests that state how long they may wait.
    Queued {
        /// Milliseconds after which the request will be granted unless more urgent ones arrive.
        expected_ms: u64,
    },
}

/// A request for quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpendRequest {
    /// Whose request it is.
    pub asker: Asker,
    /// The organisation.
    pub organisation: Name,
    /// Units that the request costs.
    pub cost: u32,
    /// Urgency of the request; `None` from hosts of earlier builds.
    pub rank: Option<Rank>,
    /// Longest useful wait in milliseconds; 0 if the request does not wait.
    pub wait_ms: u64,
}

/// Minimum share of the known hosts that must ask a grantor whose lease can't be renewed. The
/// others may have another grantor; what that grants them stays within a tenth of the quota.
const MIN_CLIENT_SHARE: f64 = 0.9;
/// Longest pause in granting after which a grantor may continue without its lease. It takes a
/// second after the end of the lease to be sure that the store is unavailable.
const MAX_GRANT_GAP_MS: u64 = 3_000;
/// How long a host counts as asking this grantor; later it may ask another one. A grantor that has
/// a successor and is cut off together with a third of the hosts stops before it has granted them
/// two thirds of a second of the quota.
const CLIENT_MS: u64 = 2_000;

/// Time for which a grant can be returned under its number, and a repeated request is answered as
/// before: longer than any request waits for its grant. Hosts keep abandoned requests as long.
pub(crate) const GRANT_MEMORY_MS: u64 = MAX_WAIT_MS + 2_000;

/// A grant that its host may still return under its number.
#[derive(Clone, Debug)]
struct Grant {
    organisation: Name,
    cost: u32,
}

/// Grants that may still be returned, by whose they are; `None` for requests that were cancelled.
#[derive(Clone, Debug, Default)]
struct RecentGrants {
    grants: BTreeMap<Asker, Option<Grant>>,
    by_age: VecDeque<(Tick, Asker)>,
}

/// Token buckets of all organisations.
///
/// A new grantor does not know what its predecessor granted, so its buckets start empty. The
/// predecessor granted at most the burst and the rate until then; both together stay within the
/// quota.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    quotas: HashMap<Name, Quota>,
    accounts: HashMap<Name, Account>,
    /// Whether requests may wait for quota.
    may_wait: bool,
    guards: Guards,
    /// Organisations of the waiting requests.
    waiting: BTreeMap<Asker, Name>,
    recent: RecentGrants,
    /// Answers to requests that waited, until they are taken.
    replies: Vec<Reply>,
    is_granting: bool,
    /// When this host last was allowed to grant.
    granted_at: Option<Tick>,
    /// When each host last asked.
    clients: HashMap<Name, Tick>,
}

impl Grantor {
    /// Creates a grantor that lets requests wait for quota.
    pub fn with_queue(guards: Guards) -> Self {
        Self { may_wait: true, guards, ..Self::default() }
    }

    /// Sets the quotas in force; an organisation without an entry has no quota.
    pub fn configure(&mut self, now: Tick, quotas: HashMap<Name, Quota>) {
        let removed: Vec<Name> =
            self.accounts.keys().filter(|name| !quotas.contains_key(*name)).cloned().collect();
        removed.iter().for_each(|name| self.remove_account(name));
        for (name, quota) in &quotas {
            let known = self.quotas.get(name).filter(|known| known.unit == quota.unit);
            match self.accounts.get_mut(name).filter(|_| known.is_some()) {
                Some(account) => account.bucket.resize(now, quota.rate, quota.burst),
                None => {
                    // A new organisation has not spent anything.
                    let bucket = Bucket::new(now, quota.burst, quota.rate, quota.burst);
                    self.remove_account(name);
                    self.accounts.insert(name.clone(), Account::new(now, bucket));
                }
            }
        }
        self.quotas = quotas;
    }

    /// Removes the account of `organisation`. Its quota no longer limits what waits for it.
    fn remove_account(&mut self, organisation: &Name) {
        let account = self.accounts.remove(organisation);
        for to in account.map(|mut account| account.end_queue()).unwrap_or_default() {
            self.waiting.remove(&to);
            let answer = QuotaAnswer::Granted { is_below_quota: true };
            self.replies.push(Reply { to, answer });
        }
    }

    /// Sets whether this host may grant now, by its lease.
    pub fn set_granting(&mut self, now: Tick, is_granting: bool) {
        if is_granting && !self.is_granting {
            for (name, quota) in &self.quotas {
                let bucket = Bucket::new(now, 0.0, quota.rate, quota.burst);
                self.accounts.insert(name.clone(), Account::new(now, bucket));
            }
        }
        if self.is_granting && !is_granting {
            self.end_queues();
        }
        self.is_granting = is_granting;
        if is_granting {
            self.granted_at = Some(now);
        }
    }

    /// Answers all waiting requests that this host does not grant any more.
    fn end_queues(&mut self) {
        self.recent = RecentGrants::default();
        for account in self.accounts.values_mut() {
            account.end_queue();
        }
        let waiting = std::mem::take(&mut self.waiting).into_keys();
        let replies = waiting.map(|to| Reply { to, answer: QuotaAnswer::NotGranting });
        self.replies.extend(replies);
    }

    /// Records that `host` asks this grantor; this host counts as well.
    pub fn record_client(&mut self, now: Tick, host: &Name) {
        match self.clients.get_mut(host) {
            Some(at) => *at = now,
            None => {
                self.clients.insert(host.clone(), now);
            }
        }
    }

    /// Whether a grantor whose lease ran out because the store is unavailable may continue. Nearly
    /// all of `hosts` still ask it, so hardly any can have another grantor.
    pub fn may_continue(&mut self, now: Tick, hosts: usize) -> bool {
        self.clients.retain(|_, at| now.since(*at) <= CLIENT_MS);
        let has_recently_granted =
            self.granted_at.is_some_and(|at| now.since(at) <= MAX_GRANT_GAP_MS);
        has_recently_granted && self.clients.len() as f64 >= hosts as f64 * MIN_CLIENT_SHARE
    }

    /// Decides whether `organisation` may spend `cost` now, and takes the cost if so.
    ///
    /// A request is granted while the bucket is not empty. The last one may overdraw it, at the
    /// expense of the next.
    pub fn spend(&mut self, now: Tick, organisation: &Name, cost: u32) -> QuotaAnswer {
        if !self.is_granting {
            return QuotaAnswer::NotGranting;
        }
        self.serve_organisation(now, organisation);
        let Some(bucket) = self.accounts.get_mut(organisation).map(|account| &mut account.bucket)
        else {
            return QuotaAnswer::Granted { is_below_quota: true };
        };
        if bucket.level(now) <= 0.0 {
            // Every refused caller gets the same time. With successive times, up to eight seconds
            // ahead, callers that returned late displaced new ones that could still be in time:
            // under six times an organisation's usual load, 0.52 of the requests' value was served
            // instead of 0.59.
            return QuotaAnswer::Refused { retry_ms: bucket.wait_ms(now, f64::from(cost)) };
        }
        bucket.take(f64::from(cost));
        QuotaAnswer::Granted { is_below_quota: bucket.is_half_full(now) }
    }

    /// Answers a request, which may have to wait for quota.
    ///
    /// Requests of hosts of earlier builds don't wait. A repeated request is answered as before,
    /// and its cost is taken once.
    pub fn request(&mut self, now: Tick, request: SpendRequest) -> QuotaAnswer {
        let SpendRequest { asker, organisation, cost, rank, wait_ms } = request;
        let Some(rank) = rank.filter(|_| self.may_wait && self.is_granting) else {
            return self.spend(now, &organisation, cost);
        };
        self.serve_organisation(now, &organisation);
        if let Some(answer) = self.earlier_answer(now, &asker) {
            return answer;
        }
        let Some(account) = self.accounts.get_mut(&organisation) else {
            return QuotaAnswer::Granted { is_below_quota: true };
        };
        if account.bucket.level(now) > 0.0 {
            let is_below_quota = account.take(now, rank, cost);
            self.recent.add(now, asker, Some(Grant { organisation, cost }));
            return QuotaAnswer::Granted { is_below_quota };
        }
        let mut answers = Vec::new();
        let answer = account.enqueue(now, asker.clone(), cost, rank, wait_ms, &mut answers);
        if matches!(answer, QuotaAnswer::Queued { .. }) {
            self.waiting.insert(asker, organisation.clone());
        }
        self.record(now, &organisation, answers);
        answer
    }

    /// Returns the answer to a request that waits or was granted before.
    fn earlier_answer(&mut self, now: Tick, asker: &Asker) -> Option<QuotaAnswer> {
        if !self.guards.remembers_grants {
            return None;
        }
        match self.recent.grants.get(asker) {
            Some(Some(_)) => return Some(QuotaAnswer::Granted { is_below_quota: false }),
            Some(None) => return Some(QuotaAnswer::Refused { retry_ms: 0 }),
            None => {}
        }
        let account = self.accounts.get_mut(self.waiting.get(asker)?)?;
        let place = account.queue.place_of(asker)?;
        let cost = account.queue.cost_before(place);
        let expected_ms = account.expected_ms(now, place.rank(), cost);
        Some(QuotaAnswer::Queued { expected_ms })
    }

    /// Answers the waiting requests whose turn or end has come, for all organisations.
    pub fn serve(&mut self, now: Tick) {
        self.recent.forget_old(now);
        let organisations: Vec<Name> = self.queues().map(|(name, _)| name.clone()).collect();
        organisations.iter().for_each(|organisation| self.serve_organisation(now, organisation));
    }

    fn serve_organisation(&mut self, now: Tick, organisation: &Name) {
        if !self.is_granting {
            return;
        }
        let Some(account) = self.accounts.get_mut(organisation) else { return };
        if account.queue.len() > 0 {
            let mut answers = Vec::new();
            account.serve(now, &mut answers);
            self.record(now, organisation, answers);
        }
    }

    /// Records the answers to requests that waited.
    fn record(&mut self, now: Tick, organisation: &Name, answers: Vec<QueueAnswer>) {
        for (to, answer, cost) in answers {
            if !matches!(answer, QuotaAnswer::Queued { .. }) {
                self.waiting.remove(&to);
            }
            if matches!(answer, QuotaAnswer::Granted { .. }) {
                let grant = Grant { organisation: organisation.clone(), cost };
                self.recent.add(now, to.clone(), Some(grant));
            }
            self.replies.push(Reply { to, answer });
        }
    }

    /// Returns the answers to requests that waited and have not been sent yet.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }

    /// Cancels a request whose host no longer needs it. If it has been granted, its cost is
    /// returned, once for each grant.
    pub fn cancel(&mut self, now: Tick, asker: &Asker) {
        self.recent.forget_old(now);
        if let Some(account) =
            self.waiting.remove(asker).and_then(|name| self.accounts.get_mut(&name))
        {
            account.cancel(asker);
        }
        if let Some(Some(grant)) = self.recent.grants.get(asker).cloned() {
            self.refund(&grant.organisation, grant.cost);
            if !self.guards.returns_once {
                return;
            }
        }
        match self.guards.remembers_cancels {
            true => self.recent.add(now, asker.clone(), None),
            false => drop(self.recent.grants.remove(asker)),
        }
    }

    /// Cancels all waiting requests of a host that is gone.
    pub fn forget_host(&mut self, host: &Name) {
        for account in self.accounts.values_mut() {
            for place in account.queue.places_of_host(host) {
                if let Some(entry) = account.queue.remove(place) {
                    self.waiting.remove(&entry.asker);
                    account.counts.cancelled += 1;
                }
            }
        }
    }

    /// Returns the cost of a request that did not run.
    pub fn refund(&mut self, organisation: &Name, cost: u32) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.bucket.put_back(f64::from(cost));
        }
    }

    /// Returns what `organisation` may spend now; negative if it has overdrawn its bucket.
    pub fn level(&self, now: Tick, organisation: &Name) -> Option<f64> {
        let mut bucket = self.accounts.get(organisation)?.bucket;
        Some(bucket.level(now))
    }

    /// Number of requests that wait, of all organisations.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the organisations whose requests wait, and how many do.
    fn queues(&self) -> impl Iterator<Item = (&Name, usize)> {
        let queues = self.accounts.iter().map(|(name, account)| (name, account.queue.len()));
        queues.filter(|(_, waiting)| *waiting > 0)
    }

    /// Returns, for each organisation whose requests waited or were refused since the last call,
    /// the counts since then and the number of those that wait now.
    pub fn take_counts(&mut self) -> Vec<(Name, QueueCounts, usize)> {
        let accounts = self.accounts.iter_mut().map(|(name, account)| {
            (name.clone(), std::mem::take(&mut account.counts), account.queue.len())
        });
        accounts.filter(|(_, counts, _)| *counts != QueueCounts::default()).collect()
    }
}

impl RecentGrants {
    fn add(&mut self, now: Tick, asker: Asker, grant: Option<Grant>) {
        self.forget_old(now);
        self.by_age.push_back((now, asker.clone()));
        self.grants.insert(asker, grant);
    }

    fn forget_old(&mut self, now: Tick) {
        while self.by_age.front().is_some_and(|(at, _)| now.since(*at) > GRANT_MEMORY_MS) {
            if let Some((_, asker)) = self.by_age.pop_front() {
                self.grants.remove(&asker);
            }
        }
    }
}
