//! Choice of a replica for a request.

use crate::{index::Index, replica::Replica};
use vanetally_types::{Name, Tick, rendezvous_rank};

/// The properties of a request that decide on its replica.
pub struct Criteria<'a> {
    /// Entries that can serve, preferred first.
    pub entries: &'a [Name],
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// The failure domain of this host.
    pub domain: &'a Name,
}

/// Pressure added to a replica in another failure domain.
const REMOTE_PENALTY: f64 = 0.05;
/// Maximum pressure above the minimum for a replica chosen by prefix affinity.
const AFFINITY_MARGIN: f64 = 0.25;

/// Returns the best replica with free capacity for one of the entries, and that entry.
///
/// Entries are tried in order; the first one that a replica with free capacity serves is used.
/// Ejected replicas are considered only if no other replica serves the entry.
pub fn select<'a>(now: Tick, criteria: &Criteria<'a>, index: &'a Index) -> Option<(Name, Name)> {
    criteria.entries.iter().find_map(|entry| {
        let serving: Vec<&Replica> = index.serving(entry).collect();
        let is_healthy = |r: &&Replica| now >= r.ejected_until;
        let candidates: Vec<&Replica> = match serving.iter().any(&is_healthy) {
            true => serving.into_iter().filter(is_healthy).collect(),
            false => serving,
        };
        let best = choose_replica(now, criteria, candidates)?;
        Some((best.upstream.name.clone(), entry.clone()))
    })
}

fn choose_replica<'a>(
    now: Tick,
    criteria: &Criteria<'_>,
    candidates: Vec<&'a Replica>,
) -> Option<&'a Replica> {
    let score = |r: &Replica| {
        let penalty = if r.upstream.domain == *criteria.domain { 0.0 } else { REMOTE_PENALTY };
        r.pressure(now) + penalty
    };
    let available: Vec<&Replica> =
        candidates.iter().copied().filter(|r| r.has_capacity(now)).collect();
    let least_loaded = available.iter().copied().min_by(|a, b| score(a).total_cmp(&score(b)))?;
    if criteria.prefix == 0 {
        return Some(least_loaded);
    }
    // Replicas without free capacity are ranked too, so that prefixes keep their replicas when one
    // fills up.
    let ranked = rendezvous_rank(criteria.prefix, candidates.iter().map(|r| &r.upstream.name));
    let max_score = score(least_loaded) + AFFINITY_MARGIN;
    let preferred = ranked
        .into_iter()
        .take(AFFINITY_REPLICAS)
        .filter_map(|name| available.iter().copied().find(|r| r.upstream.name == *name))
        .find(|r| score(r) <= max_score);
    Some(preferred.unwrap_or(least_loaded))
}

/// Number of top-ranked replicas considered likely to have the prompt's prefix cached.
const AFFINITY_REPLICAS: usize = 2;
