//! A host that asks the grantor, and what it does where that one can't be asked.

use crate::{Answer, Bounds, MILLIS_PER_SECOND, bucket::Bucket};
use std::collections::HashMap;
use vanetally_ports::Quota;
use vanetally_types::{Name, Tick, hash64};

/// Where to turn with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The quota is unlimited.
    Nobody,
    /// The grantor.
    Host(Name),
    /// Nobody can be asked: this host decides.
    Alone,
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

/// A grantor that did not answer is asked again after this long, in milliseconds: its successor is known within
/// two or three seconds, and each request that asks in vain waits for the answer.
const SILENT_MS: u64 = 200;
/// What the grantor said of an organisation holds for this long, in milliseconds: a lease that is lost has a new
/// holder by then.
const CALM_MS: u64 = 3_000;
/// Share of the quota that all hosts together spend without a grantor, where it may still grant to others: with
/// a third of the hosts cut off for a whole window, a tenth of the quota.
const CUT_SHARE: f64 = 0.3;
/// Share of what the operators allow beyond the quota that hosts use: their counts of hosts differ.
const EXCESS_SHARE: f64 = 0.9;

/// What one host knows of the quotas.
#[derive(Clone, Debug)]
pub struct Asker {
    bounds: Bounds,
    hosts: usize,
    grantor: Option<Name>,
    silent_until: Tick,
    shares: HashMap<Name, Share>,
}

/// This host's own share of one quota.
#[derive(Clone, Copy, Debug)]
struct Share {
    quota: Quota,
    bucket: Bucket,
    /// When the grantor last said that the organisation stays far below its quota.
    calm_at: Option<Tick>,
    /// Requests decided alone, to spread the decisions.
    decided: u64,
}

impl Asker {
    /// No quota and no grantor are known.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, hosts: 1, grantor: None, silent_until: Tick(0), shares: HashMap::new() }
    }

    /// The quotas in force.
    pub fn configure(&mut self, now: Tick, quotas: &HashMap<Name, Quota>) {
        self.shares.retain(|name, share| quotas.get(name) == Some(&share.quota));
        for (name, quota) in quotas {
            let depth = self.depth(quota);
            let bucket = Bucket::new(now, depth, self.rate(quota, false), depth);
            let share = Share { quota: *quota, bucket, calm_at: None, decided: 0 };
            self.shares.entry(name.clone()).or_insert(share);
        }
    }

    /// So many hosts may live, this one included.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// The host that grants, if one is known.
    pub fn set_grantor(&mut self, grantor: Option<Name>) {
        if self.grantor != grantor {
            self.silent_until = Tick(0);
        }
        self.grantor = grantor;
    }

    /// Whom to ask for `organisation`.
    pub fn ask(&self, now: Tick, organisation: &Name) -> Ask {
        match &self.grantor {
            _ if !self.shares.contains_key(organisation) => Ask::Nobody,
            Some(host) if now >= self.silent_until => Ask::Host(host.clone()),
            _ => Ask::Alone,
        }
    }

    /// What a request of `organisation` counts as.
    pub fn cost(&self, organisation: &Name, tokens: Option<u32>) -> Option<u32> {
        self.shares.get(organisation).map(|share| share.quota.cost(tokens))
    }

    /// The grantor answered.
    pub fn answered(
        &mut self,
        now: Tick,
        organisation: &Name,
        cost: u32,
        answer: Answer,
    ) -> Decision {
        match answer {
            Answer::Granted { is_calm } => {
                if let Some(share) = self.shares.get_mut(organisation) {
                    share.calm_at = is_calm.then_some(now);
                }
                Decision::Granted
            }
            Answer::Refused { retry_ms } => {
                if let Some(share) = self.shares.get_mut(organisation) {
                    share.calm_at = None;
                }
                Decision::Refused { retry_ms }
            }
            Answer::NotGranting => {
                self.silent_until = now + SILENT_MS;
                self.decide_alone(now, organisation, cost)
            }
        }
    }

    /// The grantor `host` did not answer.
    pub fn unanswered(
        &mut self,
        now: Tick,
        host: &Name,
        organisation: &Name,
        cost: u32,
    ) -> Decision {
        if self.grantor.as_ref() == Some(host) {
            self.silent_until = now + SILENT_MS;
        }
        self.decide_alone(now, organisation, cost)
    }

    /// Decides by this host's own share.
    ///
    /// A share is often smaller than one request: each goes with the chance that its part of it is there, so that
    /// on average as much is spent as comes in.
    pub fn decide_alone(&mut self, now: Tick, organisation: &Name, cost: u32) -> Decision {
        let Some(share) = self.shares.get(organisation) else {
            return Decision::Granted;
        };
        let quota = share.quota;
        let is_calm = share.calm_at.is_some_and(|at| now.since(at) <= CALM_MS);
        let (rate, depth) = (self.rate(&quota, is_calm), self.depth(&quota));
        let Some(share) = self.shares.get_mut(organisation) else {
            return Decision::Granted;
        };
        share.bucket.resize(now, rate, depth);
        share.decided += 1;
        let chance = share.bucket.level(now) / f64::from(cost.max(1));
        if chance <= draw(organisation, share.decided) {
            return Decision::Unknown;
        }
        share.bucket.take(f64::from(cost));
        Decision::Granted
    }

    /// Units a second of this host's own share. While nobody grants, all shares together may be the whole rate.
    fn rate(&self, quota: &Quota, is_calm: bool) -> f64 {
        let share = if is_calm { 1.0 } else { CUT_SHARE };
        quota.rate * share / self.hosts as f64
    }

    /// Units that this host may spend at once: its part of what is allowed beyond the quota.
    fn depth(&self, quota: &Quota) -> f64 {
        let window = self.bounds.window_ms as f64 / MILLIS_PER_SECOND;
        let beyond = (quota.rate * window + quota.burst) * self.bounds.excess + self.bounds.slack;
        beyond * EXCESS_SHARE / self.hosts as f64
    }
}

/// A number from 0 to 1 that is as good as random.
fn draw(organisation: &Name, number: u64) -> f64 {
    let mut bytes = organisation.as_bytes().to_vec();
    bytes.extend_from_slice(&number.to_le_bytes());
    hash64(&bytes) as f64 / u64::MAX as f64
}
