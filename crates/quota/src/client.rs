//! Quota decisions of a host: through the grantor, or by a local share if the grantor can't be
//! reached.

use crate::{Bounds, GrantorContact, MILLIS_PER_SECOND, QuotaAnswer, bucket::Bucket};
use std::collections::HashMap;
use vanetally_ports::Quota;
use vanetally_types::{Name, Tick, hash64};

/// Who decides on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Nobody: the organisation has no quota.
    Unlimited,
    /// The grantor.
    Grantor(Name),
    /// This host, because no grantor can be reached.
    Local,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted,
    /// The request exceeds the quota.
    Refused {
        /// Milliseconds after which there is capacity.
        retry_ms: u64,
    },
    /// Whether the request exceeds the quota is unknown, and the host's share is used up.
    Unknown,
}

/// How long an answer of the grantor that an organisation is below its quota holds. On one host of
/// 69, the requests of a small organisation are seconds apart.
const BELOW_QUOTA_MS: u64 = 10_000;
/// Time since the grantor's last answer for which a host accumulates its share of the rate of an
/// organisation below its quota. A lost lease has a new holder by then.
const MAX_SAVED_MS: u64 = 3_000;
/// Share of the quota that all hosts together spend without a grantor while it may still grant to
/// others. If a third of the hosts is cut off for a whole window, they spend a tenth of the quota.
const CUT_OFF_SHARE: f64 = 0.3;
/// The same for an organisation below its quota: more than it needs and less than the quota, so
/// that a window stays within the bound, including what the next grantor grants, even if its demand
/// rises meanwhile.
const BELOW_QUOTA_SHARE: f64 = 0.8;
/// Share of the allowed excess that hosts spend at once. Each host may overdraw by half a request,
/// and the hosts' counts of hosts differ.
const EXCESS_SHARE: f64 = 0.5;

/// Quota state of one host.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    bounds: Bounds,
    seed: u64,
    contact: GrantorContact,
    shares: HashMap<Name, Share>,
}

/// This host's share of one quota.
#[derive(Clone, Copy, Debug)]
struct Share {
    quota: Quota,
    bucket: Bucket,
    /// When the grantor last reported that the organisation stays far below its quota.
    below_quota_at: Option<Tick>,
    /// Units spent locally since then.
    spent: f64,
    /// Part of the cost, from 0 to 1, that must be available for the next request.
    threshold: f64,
    /// When the threshold was drawn, and how often one was drawn.
    drawn_at: Tick,
    draws: u64,
}

impl QuotaClient {
    /// Creates a client without quotas or grantor; `seed` differs from host to host.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self { bounds, seed, contact: GrantorContact::default(), shares: HashMap::new() }
    }

    /// Sets the quotas in force.
    pub fn configure(&mut self, now: Tick, quotas: &HashMap<Name, Quota>) {
        self.shares.retain(|name, share| quotas.get(name) == Some(&share.quota));
        for (name, quota) in quotas {
            let depth = self.depth(quota);
            let bucket = Bucket::new(now, depth, self.rate(quota) * CUT_OFF_SHARE, depth);
            let mut share = Share::new(now, *quota, bucket);
            share.draw_threshold(now, self.seed, name);
            self.shares.entry(name.clone()).or_insert(share);
        }
    }

    /// Sets the number of known hosts, including this one.
    pub fn set_hosts(&mut self, now: Tick, hosts: usize) {
        self.contact.set_hosts(now, hosts);
    }

    /// Sets the host that grants, if one is known.
    pub fn set_grantor(&mut self, grantor: Option<Name>) {
        self.contact.set_grantor(grantor);
    }

    /// Returns who decides on requests of `organisation`.
    pub fn authority(&self, now: Tick, organisation: &Name) -> Authority {
        match self.contact.available_grantor(now) {
            _ if !self.shares.contains_key(organisation) => Authority::Unlimited,
            Some(host) => Authority::Grantor(host.clone()),
            None => Authority::Local,
        }
    }

    /// Returns the cost of a request of `organisation`, or `None` if it has no quota.
    pub fn cost(&self, organisation: &Name, tokens: Option<u32>) -> Option<u32> {
        self.shares.get(organisation).map(|share| share.quota.cost(tokens))
    }

    /// Returns the grantor if it can be asked now.
    pub fn grantor(&self, now: Tick) -> Option<&Name> {
        self.contact.available_grantor(now)
    }

    /// Records that the grantor stopped granting while a request waited there.
    pub fn mark_not_granting(&mut self, now: Tick, host: &Name) {
        self.contact.mark_unanswered(now, host);
    }

    /// Handles the grantor's answer.
    pub fn handle_answer(
        &mut self,
        now: Tick,
        organisation: &Name,
        cost: u32,
        answer: QuotaAnswer,
    ) -> Decision {
        match answer {
            QuotaAnswer::Granted { is_below_quota } => {
                if let Some(share) = self.shares.get_mut(organisation) {
                    share.below_quota_at = is_below_quota.then_some(now);
                    share.spent = 0.0;
                }
                Decision::Granted
            }
            QuotaAnswer::Refused { retry_ms } => {
                if let Some(share) = self.shares.get_mut(organisation) {
                    share.below_quota_at = None;
                }
                Decision::Refused { retry_ms }
            }
            QuotaAnswer::NotGranting => {
                self.contact.mark_not_granting(now);
                self.decide_locally(now, organisation, cost)
            }
            // The final answer is passed here; without one, this host decides.
            QuotaAnswer::Queued { .. } => self.decide_locally(now, organisation, cost),
        }
    }

    /// Decides after the grantor `host` did not answer.
    pub fn handle_no_answer(
        &mut self,
        now: Tick,
        host: &Name,
        organisation: &Name,
        cost: u32,
    ) -> Decision {
        self.contact.mark_unanswered(now, host);
        self.decide_locally(now, organisation, cost)
    }

    /// Decides by this host's share.
    ///
    /// A share is often smaller than one request. A random part of the cost, drawn for each
    /// request, must be available; some of many hosts then grant one at once, and the average
    /// spending equals the rate.
    pub fn decide_locally(&mut self, now: Tick, organisation: &Name, cost: u32) -> Decision {
        let Some(share) = self.shares.get(organisation) else {
            return Decision::Granted;
        };
        let (rate, depth) = (self.rate(&share.quota), self.depth(&share.quota));
        let seed = self.seed;
        let Some(share) = self.shares.get_mut(organisation) else {
            return Decision::Granted;
        };
        let saved = share.saved(now, rate * BELOW_QUOTA_SHARE);
        let cut_off_rate = if saved.is_some() { 0.0 } else { rate * CUT_OFF_SHARE };
        share.bucket.resize(now, cut_off_rate, depth);
        let saved = saved.unwrap_or(0.0);
        let cost = f64::from(cost);
        // A threshold above the depth of the bucket would block the organisation for good.
        if now.since(share.drawn_at) as f64 >= depth / (rate * CUT_OFF_SHARE) * MILLIS_PER_SECOND {
            share.draw_threshold(now, seed, organisation);
        }
        if saved + share.bucket.level(now) <= cost * share.threshold {
            return Decision::Unknown;
        }
        share.draw_threshold(now, seed, organisation);
        share.spent += cost.min(saved);
        share.bucket.take(cost - cost.min(saved));
        Decision::Granted
    }

    /// Returns this host's share of the quota, in units per second.
    fn rate(&self, quota: &Quota) -> f64 {
        quota.rate / self.contact.max_hosts() as f64
    }

    /// Returns the units that this host may spend at once: its share of the allowed excess.
    fn depth(&self, quota: &Quota) -> f64 {
        let window_s = self.bounds.window_ms as f64 / MILLIS_PER_SECOND;
        let excess = (quota.rate * window_s + quota.burst) * self.bounds.excess + self.bounds.slack;
        excess * EXCESS_SHARE / self.contact.max_hosts() as f64
    }
}

impl Share {
    fn new(now: Tick, quota: Quota, bucket: Bucket) -> Self {
        Self {
            quota,
            bucket,
            below_quota_at: None,
            spent: 0.0,
            threshold: 0.0,
            drawn_at: now,
            draws: 0,
        }
    }

    fn draw_threshold(&mut self, now: Tick, seed: u64, organisation: &Name) {
        self.draws += 1;
        self.drawn_at = now;
        self.threshold = pseudo_random(seed, organisation, self.draws);
    }

    /// Returns what accumulated at `rate` units per second since the grantor's last answer, if that
    /// reported the organisation below its quota.
    fn saved(&self, now: Tick, rate: f64) -> Option<f64> {
        let since_ms =
            self.below_quota_at.map(|at| now.since(at)).filter(|ms| *ms <= BELOW_QUOTA_MS)?;
        let saved = rate * since_ms.min(MAX_SAVED_MS) as f64 / MILLIS_PER_SECOND;
        Some((saved - self.spent).max(0.0))
    }
}

/// Returns a pseudo-random number from 0 to 1.
fn pseudo_random(seed: u64, organisation: &Name, number: u64) -> f64 {
    let mut bytes = organisation.as_bytes().to_vec();
    bytes.extend_from_slice(&seed.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    hash64(&bytes) as f64 / u64::MAX as f64
}
