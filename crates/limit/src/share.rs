//! Local shares of stated limits, for hosts that can't reach the grantor.

use crate::{
    grantor::{MAX_AHEAD_MS, PermitAnswer, PermitRequest},
    schedule::{Schedule, interval_ms},
};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick, hash64};

/// Share of a limit that all hosts without a grantor use together. A grantor that other hosts still
/// reach grants the full limit meanwhile; both together stay below 1.5 times the limit.
const LOCAL_SHARE: f64 = 0.3;

/// Interval after which a host without a grantor tries again. A new grantor is known within two or
/// three seconds.
const LOCAL_RETRY_MS: f64 = 1_000.0;

/// This host's share of each limit.
#[derive(Clone, Debug)]
pub struct Shares {
    seed: u64,
    shares: HashMap<Incarnation, HostShare>,
}

#[derive(Clone, Copy, Debug)]
struct HostShare {
    schedule: Schedule,
    /// Interval between this host's requests for which the schedule was created.
    interval_ms: f64,
}

impl Shares {
    /// Creates empty shares; `seed` differs from host to host.
    pub fn new(seed: u64) -> Self {
        Self { seed, shares: HashMap::new() }
    }

    /// Decides on a request by this host's share of the limit among `hosts`.
    ///
    /// A share is often less than one request in many seconds. The first request of each host gets
    /// a pseudo-random time, so that all hosts together send evenly.
    pub fn decide(&mut self, now: Tick, request: &PermitRequest, hosts: usize) -> PermitAnswer {
        let interval_ms = interval_ms(request.rate) * hosts.max(1) as f64 / LOCAL_SHARE;
        let seed = self.seed;
        let known =
            self.shares.get(&request.upstream).filter(|share| share.interval_ms == interval_ms);
        let mut share = known.copied().unwrap_or_else(|| {
            let first_ms = pseudo_random(seed, &request.upstream, now) * interval_ms;
            HostShare { schedule: Schedule::new(now + first_ms as u64), interval_ms }
        });
        let wait_ms = share.schedule.wait_ms(now);
        let is_soon = wait_ms <= f64::from(request.max_wait_ms).min(MAX_AHEAD_MS as f64);
        if is_soon {
            share.schedule.reserve(now, interval_ms);
        }
        self.shares.insert(request.upstream.clone(), share);
        if is_soon {
            PermitAnswer::Granted { delay_ms: wait_ms.ceil() as u32 }
        } else {
            PermitAnswer::Busy { retry_ms: wait_ms.ceil().min(LOCAL_RETRY_MS) as u32 }
        }
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &Incarnation) {
        self.shares.remove(upstream);
    }
}

/// Returns a pseudo-random number from 0 to 1.
fn pseudo_random(seed: u64, upstream: &Incarnation, now: Tick) -> f64 {
    let mut bytes = upstream.id.as_bytes().to_vec();
    bytes.extend_from_slice(&seed.to_le_bytes());
    bytes.extend_from_slice(&now.0.to_le_bytes());
    hash64(&bytes) as f64 / u64::MAX as f64
}
