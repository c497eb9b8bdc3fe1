//! The one host that grants what organisations ask for.

use crate::bucket::Bucket;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_ports::Quota;
use vanetally_types::{Name, Tick};

/// What the grantor says to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// It is within the quota.
    Granted {
        /// Whether the organisation stays far below its quota.
        #[serde(rename = "is_calm")]
        is_below_quota: bool,
    },
    /// It is beyond the quota.
    Refused {
        /// After this time there is room for it, in milliseconds.
        retry_ms: u64,
    },
    /// This host does not grant now.
    NotGranting,
}

/// Share of the known hosts that have to ask a grantor whose lease can't be renewed: those that don't may ask another
/// one, and what that grants them stays within a tenth of the quota.
const OUTAGE_SHARE: f64 = 0.9;
/// A grantor may go on this long after its lease was last held, in milliseconds: a second passes until it is sure that
/// the store is away.
const PAUSE_MS: u64 = 3_000;
/// A host that asked so long ago may ask another one now, in milliseconds: with a third of the hosts cut off beside it, a
/// grantor that has a successor ends before they have two thirds of a second of the quota.
const ASKED_MS: u64 = 2_000;

/// The buckets of all organisations.
///
/// A host that begins to grant knows nothing of what its predecessor granted: its buckets begin empty. The
/// predecessor had granted at most the burst and the rate up to then, so both together keep to the quota.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    quotas: HashMap<Name, Quota>,
    buckets: HashMap<Name, Bucket>,
    is_granting: bool,
    /// When it granted last.
    granted: Option<Tick>,
    /// When each host last asked.
    askers: HashMap<Name, Tick>,
}

impl Grantor {
    /// The quotas in force; an organisation that is not named has none.
    pub fn configure(&mut self, now: Tick, quotas: HashMap<Name, Quota>) {
        self.buckets.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in &quotas {
            let known = self.quotas.get(name).filter(|known| known.unit == quota.unit);
            match self.buckets.get_mut(name).filter(|_| known.is_some()) {
                Some(bucket) => bucket.resize(now, quota.rate, quota.burst),
                None => {
                    // Nothing was granted to an organisation that is new.
                    let bucket = Bucket::new(now, quota.burst, quota.rate, quota.burst);
                    self.buckets.insert(name.clone(), bucket);
                }
            }
        }
        self.quotas = quotas;
    }

    /// Whether this host may grant now, by its lease.
    pub fn set_granting(&mut self, now: Tick, is_granting: bool) {
        if is_granting && !self.is_granting {
            for (name, quota) in &self.quotas {
                self.buckets.insert(name.clone(), Bucket::new(now, 0.0, quota.rate, quota.burst));
            }
        }
        self.is_granting = is_granting;
        if is_granting {
            self.granted = Some(now);
        }
    }

    /// A host asked; this one itself counts as well.
    pub fn record_request(&mut self, now: Tick, host: &Name) {
        match self.askers.get_mut(host) {
            Some(at) => *at = now,
            None => {
                self.askers.insert(host.clone(), now);
            }
        }
    }

    /// Whether a grantor whose lease ran out because the store is away may go on: nearly all of `hosts` still ask it, so
    /// that hardly any can have another one.
    pub fn may_continue(&mut self, now: Tick, hosts: usize) -> bool {
        self.askers.retain(|_, at| now.since(*at) <= ASKED_MS);
        let has_just_granted = self.granted.is_some_and(|at| now.since(at) <= PAUSE_MS);
        has_just_granted && self.askers.len() as f64 >= hosts as f64 * OUTAGE_SHARE
    }

    /// Whether `organisation` may spend `cost` now; takes it if so.
    ///
    /// A request is granted while anything is left: the last one may overdraw, and is paid for by the next.
    pub fn spend(&mut self, now: Tick, organisation: &Name, cost: u32) -> QuotaAnswer {
        if !self.is_granting {
            return QuotaAnswer::NotGranting;
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return QuotaAnswer::Granted { is_below_quota: true };
        };
        if bucket.level(now) <= 0.0 {
            // Told one after the other, up to eight seconds ahead, those that come back late took the room of new ones
            // that could be in time: worth 0.52 instead of 0.59 on a day in which one organisation sends six times its usual.
            return QuotaAnswer::Refused { retry_ms: bucket.wait_ms(now, f64::from(cost)) };
        }
        bucket.take(f64::from(cost));
        QuotaAnswer::Granted { is_below_quota: bucket.is_half_full(now) }
    }

    /// What was granted did not run.
    pub fn refund(&mut self, organisation: &Name, cost: u32) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.give_back(f64::from(cost));
        }
    }
}
