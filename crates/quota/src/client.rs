//! A host that asks the grantor, and what it does where that one can't be asked.

use crate::{Bounds, GrantorContact, MILLIS_PER_SECOND, QuotaAnswer, bucket::Bucket};
use std::collections::HashMap;
use vanetally_ports::Quota;
use vanetally_types::{Name, Tick, hash64};

/// Where to turn with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The quota is unlimited.
    Unlimited,
    /// The grantor.
    Grantor(Name),
    /// Nobody can be asked: this host decides.
    Local,
}

/// What comes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Granted,
    /// It is beyond the quota; after so many milliseconds there is room.
    Refused {
        /// The time.
        retry_ms: u64,
    },
    /// Whether it is beyond the quota is not known, and the host's own share is spent.
    Unknown,
}

/// What the grantor said of an organisation holds for this long, in milliseconds: on one host of 69 a small
/// organisation's requests come seconds apart.
const CALM_MS: u64 = 10_000;
/// A host saves up its part of a calm organisation's rate since the grantor's last answer for this long, in
/// milliseconds: a lease that is lost has a new holder by then.
const SAVED_MS: u64 = 3_000;
/// Share of the quota that all hosts together spend without a grantor, where it may still grant to others: with
/// a third of the hosts cut off for a whole window, a tenth of the quota.
const CUT_SHARE: f64 = 0.3;
/// The same while the organisation is calm: more than it asks for, less than the quota, so that with what the next
/// grantor adds a window stays within the bound even if it is calm no more.
const CALM_SHARE: f64 = 0.8;
/// Share of what the operators allow beyond the quota that hosts spend at once: each one may overdraw by half of a
/// request, and their counts of hosts differ.
const EXCESS_SHARE: f64 = 0.5;

/// What one host knows of the quotas.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    bounds: Bounds,
    seed: u64,
    contact: GrantorContact,
    shares: HashMap<Name, Share>,
}

/// This host's own share of one quota.
#[derive(Clone, Copy, Debug)]
struct Share {
    quota: Quota,
    bucket: Bucket,
    /// When the grantor last said that the organisation stays far below its quota.
    calm_at: Option<Tick>,
    /// Units spent alone since then.
    spent: f64,
    /// Part of a request that has to be there for the next one, from 0 to 1.
    threshold: f64,
    /// When it was drawn, and how often before.
    drawn: Tick,
    draws: u64,
}

impl QuotaClient {
    /// No quota and no grantor are known.
    ///
    /// Hosts differ in `seed`.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self { bounds, seed, contact: GrantorContact::default(), shares: HashMap::new() }
    }

    /// The quotas in force.
    pub fn configure(&mut self, now: Tick, quotas: &HashMap<Name, Quota>) {
        self.shares.retain(|name, share| quotas.get(name) == Some(&share.quota));
        for (name, quota) in quotas {
            let depth = self.depth(quota);
            let bucket = Bucket::new(now, depth, self.rate(quota) * CUT_SHARE, depth);
            let mut share = Share::new(now, *quota, bucket);
            share.draw(now, self.seed, name);
            self.shares.entry(name.clone()).or_insert(share);
        }
    }

    /// So many hosts are known, this one included.
    pub fn set_hosts(&mut self, now: Tick, hosts: usize) {
        self.contact.set_hosts(now, hosts);
    }

    /// The host that grants, if one is known.
    pub fn set_grantor(&mut self, grantor: Option<Name>) {
        self.contact.set_grantor(grantor);
    }

    /// Whom to ask for `organisation`.
    pub fn authority(&self, now: Tick, organisation: &Name) -> Authority {
        match self.contact.available_grantor(now) {
            _ if !self.shares.contains_key(organisation) => Authority::Unlimited,
            Some(host) => Authority::Grantor(host.clone()),
            None => Authority::Local,
        }
    }

    /// What a request of `organisation` counts as.
    pub fn cost(&self, organisation: &Name, tokens: Option<u32>) -> Option<u32> {
        self.shares.get(organisation).map(|share| share.quota.cost(tokens))
    }

    /// The grantor answered.
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
                    share.calm_at = is_below_quota.then_some(now);
                    share.spent = 0.0;
                }
                Decision::Granted
            }
            QuotaAnswer::Refused { retry_ms } => {
                if let Some(share) = self.shares.get_mut(organisation) {
                    share.calm_at = None;
                }
                Decision::Refused { retry_ms }
            }
            QuotaAnswer::NotGranting => {
                self.contact.mark_not_granting(now);
                self.decide_locally(now, organisation, cost)
            }
        }
    }

    /// The grantor `host` did not answer.
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

    /// Decides by this host's own share.
    ///
    /// A share is often smaller than one request: a part of the next one, drawn anew each time, has to be there. Then
    /// some hosts of many let one go at once, and on average as much is spent as comes in.
    pub fn decide_locally(&mut self, now: Tick, organisation: &Name, cost: u32) -> Decision {
        let Some(share) = self.shares.get(organisation) else {
            return Decision::Granted;
        };
        let (rate, depth) = (self.rate(&share.quota), self.depth(&share.quota));
        let seed = self.seed;
        let Some(share) = self.shares.get_mut(organisation) else {
            return Decision::Granted;
        };
        let saved = share.saved(now, rate * CALM_SHARE);
        let cut_rate = if saved.is_some() { 0.0 } else { rate * CUT_SHARE };
        share.bucket.resize(now, cut_rate, depth);
        let saved = saved.unwrap_or(0.0);
        let cost = f64::from(cost);
        // A part that is more than the host may ever have would bar it for good.
        if now.since(share.drawn) as f64 >= depth / (rate * CUT_SHARE) * MILLIS_PER_SECOND {
            share.draw(now, seed, organisation);
        }
        if saved + share.bucket.level(now) <= cost * share.threshold {
            return Decision::Unknown;
        }
        share.draw(now, seed, organisation);
        share.spent += cost.min(saved);
        share.bucket.take(cost - cost.min(saved));
        Decision::Granted
    }

    /// Units a second of this host's part of the quota.
    fn rate(&self, quota: &Quota) -> f64 {
        quota.rate / self.contact.max_hosts() as f64
    }

    /// Units that this host may spend at once: its part of what is allowed beyond the quota.
    fn depth(&self, quota: &Quota) -> f64 {
        let window = self.bounds.window_ms as f64 / MILLIS_PER_SECOND;
        let beyond = (quota.rate * window + quota.burst) * self.bounds.excess + self.bounds.slack;
        beyond * EXCESS_SHARE / self.contact.max_hosts() as f64
    }
}

impl Share {
    fn new(now: Tick, quota: Quota, bucket: Bucket) -> Self {
        Self { quota, bucket, calm_at: None, spent: 0.0, threshold: 0.0, drawn: now, draws: 0 }
    }

    fn draw(&mut self, now: Tick, seed: u64, organisation: &Name) {
        self.draws += 1;
        self.drawn = now;
        self.threshold = draw(seed, organisation, self.draws);
    }

    /// What the host has saved of `rate` units a second since the grantor's last answer, if the organisation is calm.
    fn saved(&self, now: Tick, rate: f64) -> Option<f64> {
        let since_ms = self.calm_at.map(|at| now.since(at)).filter(|ms| *ms <= CALM_MS)?;
        let saved = rate * since_ms.min(SAVED_MS) as f64 / MILLIS_PER_SECOND;
        Some((saved - self.spent).max(0.0))
    }
}

/// A number from 0 to 1 that is as good as random.
fn draw(seed: u64, organisation: &Name, number: u64) -> f64 {
    let mut bytes = organisation.as_bytes().to_vec();
    bytes.extend_from_slice(&seed.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    hash64(&bytes) as f64 / u64::MAX as f64
}
