//! Loads that hosts exchange, and the upstreams that need periodic work because of them.
//!
//! A host knows thousands of upstreams, of which few have requests of its own. Digests, reviews and the end of a peer
//! cost it as much as the upstreams concerned, not as much as all that it knows.

use crate::{Action, DemandRow, Digest, Dispatch, LoadRow, limits::limit_row, upstream::Upstream};
use std::collections::{BTreeSet, HashMap};
use vanetally_types::{Incarnation, Name, Tick};

/// Which upstreams are concerned by loads of this host and of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    /// Upstreams with requests, recent outcomes or a statement of this host, or with failures at other hosts.
    active: BTreeSet<Incarnation>,
    /// Upstreams in the last digest of each other host.
    reported: HashMap<Name, Vec<Incarnation>>,
}

impl Loads {
    /// Records that a request, an outcome or a statement changed what is known of an upstream.
    pub(crate) fn mark_active(&mut self, id: &Incarnation) {
        if !self.active.contains(id) {
            self.active.insert(id.clone());
        }
    }

    /// Returns the number of upstreams that need periodic work.
    pub(crate) fn active(&self) -> usize {
        self.active.len()
    }

    /// Removes an upstream whose announcement is gone.
    pub(crate) fn forget(&mut self, id: &Incarnation) {
        self.active.remove(id);
    }
}

impl Dispatch {
    /// Returns this host's load for other hosts, with the requests that arrived since the last
    /// call.
    pub fn digest(&mut self, now: Tick) -> Digest {
        let upstreams = &self.upstreams;
        let active = self.loads.active.iter().filter_map(|id| upstreams.get_key_value(id));
        let loads = active.filter_map(|(id, upstream)| load_row(now, id, upstream)).collect();
        let demand = std::mem::take(&mut self.demand).into_iter();
        let demand = demand.map(|((service, subject), demand)| DemandRow {
            service,
            model: subject.model,
            adapter: subject.adapter,
            arrived: demand.arrived,
            work_ms: demand.work_ms.round() as u32,
        });
        Digest { loads, demand: demand.collect(), waiting: self.wait_rows(now) }
    }

    /// Replaces the load that another host reported.
    pub(crate) fn peer_digest(&mut self, now: Tick, host: &Name, digest: Digest) {
        if self.options.shared_queue {
            self.shared_queue.record_report(now, host, &digest.waiting);
        }
        let known =
            digest.loads.into_iter().filter(|row| self.upstreams.contains_key(&row.upstream));
        let rows: Vec<LoadRow> = known.collect();
        let reported: Vec<Incarnation> = rows.iter().map(|row| row.upstream.clone()).collect();
        let old = self.loads.reported.insert(host.clone(), reported).unwrap_or_default();
        let listed: BTreeSet<&Incarnation> = rows.iter().map(|row| &row.upstream).collect();
        for id in old.iter().filter(|id| !listed.contains(id)) {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.forget_peer(host);
            }
        }
        for row in rows {
            if row.bad > 0 {
                self.loads.mark_active(&row.upstream);
            }
            if let Some(upstream) = self.upstreams.get_mut(&row.upstream) {
                upstream.set_peer(host, row, now);
            }
        }
    }

    /// Forgets the load of a host that is gone.
    pub(crate) fn peer_gone(&mut self, host: &Name) {
        self.shared_queue.forget_host(host);
        for id in self.loads.reported.remove(host).unwrap_or_default() {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.forget_peer(host);
            }
        }
    }

    /// Reviews the health of the active upstreams, and drops those from the set that have become idle.
    pub(crate) fn review_active(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let upstreams = &mut self.upstreams;
        self.loads.active.retain(|id| {
            let Some(upstream) = upstreams.get_mut(id) else {
                return false;
            };
            actions.extend(upstream.review(now, id));
            let (_, bad) = upstream.peer_outcomes(now);
            bad > 0
                || upstream.health.counts(now) != (0, 0)
                || load_row(now, id, upstream).is_some()
        });
    }
}

/// Returns this host's row for an upstream, unless there is nothing to report.
fn load_row(now: Tick, id: &Incarnation, upstream: &Upstream) -> Option<LoadRow> {
    let (good, bad) = upstream.health.recent(now);
    let own = upstream.own_load;
    let limit = upstream.limit.announcement(now);
    let has_load = own.running > 0 || good + bad > 0 || limit.is_some();
    has_load.then(|| LoadRow {
        limit: limit.map(|statement| limit_row(now, statement)),
        upstream: id.clone(),
        running: own.running,
        unread_tokens: own.unread_tokens,
        held_tokens: own.held_tokens,
        good: u16::try_from(good).unwrap_or(u16::MAX),
        bad: u16::try_from(bad).unwrap_or(u16::MAX),
    })
}
