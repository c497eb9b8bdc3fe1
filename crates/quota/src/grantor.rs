//! Grants quota to the organisations, on one host for all.

use crate::bucket::Bucket;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_ports::Quota;
use vanetally_types::{Name, Tick};

/// The grantor's answer for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

/// Token buckets of all organisations.
///
/// A new grantor does not know what its predecessor granted, so its buckets start empty. The
/// predecessor granted at most the burst and the rate until then; both together stay within the
/// quota.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    quotas: HashMap<Name, Quota>,
    buckets: HashMap<Name, Bucket>,
    is_granting: bool,
    /// When this host last was allowed to grant.
    granted_at: Option<Tick>,
    /// When each host last asked.
    clients: HashMap<Name, Tick>,
}

impl Grantor {
    /// Sets the quotas in force; an organisation without an entry has no quota.
    pub fn configure(&mut self, now: Tick, quotas: HashMap<Name, Quota>) {
        self.buckets.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in &quotas {
            let known = self.quotas.get(name).filter(|known| known.unit == quota.unit);
            match self.buckets.get_mut(name).filter(|_| known.is_some()) {
                Some(bucket) => bucket.resize(now, quota.rate, quota.burst),
                None => {
                    // A new organisation has not spent anything.
                    let bucket = Bucket::new(now, quota.burst, quota.rate, quota.burst);
                    self.buckets.insert(name.clone(), bucket);
                }
            }
        }
        self.quotas = quotas;
    }

    /// Sets whether this host may grant now, by its lease.
    pub fn set_granting(&mut self, now: Tick, is_granting: bool) {
        if is_granting && !self.is_granting {
            for (name, quota) in &self.quotas {
                self.buckets.insert(name.clone(), Bucket::new(now, 0.0, quota.rate, quota.burst));
            }
        }
        self.is_granting = is_granting;
        if is_granting {
            self.granted_at = Some(now);
        }
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
        let Some(bucket) = self.buckets.get_mut(organisation) else {
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

    /// Returns the cost of a request that did not run.
    pub fn refund(&mut self, organisation: &Name, cost: u32) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.put_back(f64::from(cost));
        }
    }
}
