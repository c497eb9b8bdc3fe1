//! Waiting requests, ordered within each target.

use crate::Request;
use std::collections::BTreeMap;
use vanetally_types::{Name, Tick};

/// Sort key of waiting requests: class, then the caller's round, then deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Rank of the request's class; lower goes first.
    pub rank: u8,
    /// Number of full rounds that the caller's earlier requests of the class take up.
    pub round: u32,
    /// The request's deadline.
    pub deadline: Tick,
    /// Sequence number of the arrival.
    pub seq: u64,
}

/// Number of waiting requests of one caller and class in a round.
const ROUND_SIZE: u32 = 16;

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    targets: BTreeMap<Name, BTreeMap<QueueKey, Request>>,
    caller_counts: BTreeMap<(Name, u8), u32>,
    len: usize,
    seq: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Number of requests for `target` that go before one of `rank` with `deadline` in round 0.
    pub fn ahead(&self, target: &str, rank: u8, deadline: Tick) -> usize {
        let Some(waiting) = self.targets.get(target) else {
            return 0;
        };
        let bound = QueueKey { rank, round: 0, deadline, seq: u64::MAX };
        waiting.range(..=bound).count()
    }

    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        let group = (request.caller.clone(), request.rank);
        let count = self.caller_counts.entry(group).or_insert(0);
        let round = *count / ROUND_SIZE;
        *count += 1;
        self.seq += 1;
        self.len += 1;
        let key = QueueKey { rank: request.rank, round, deadline: request.deadline, seq: self.seq };
        self.targets.entry(request.target.clone()).or_default().insert(key, request);
    }

    /// The targets with waiting requests and the key of the first request of each.
    pub fn heads(&self) -> impl Iterator<Item = (&Name, QueueKey)> {
        self.targets
            .iter()
            .filter_map(|(name, waiting)| Some((name, *waiting.first_key_value()?.0)))
    }

    /// Key of the first request for `target`.
    pub fn head(&self, target: &Name) -> Option<QueueKey> {
        Some(*self.targets.get(target)?.first_key_value()?.0)
    }

    /// Returns the request at `key`.
    pub fn get(&self, target: &Name, key: QueueKey) -> Option<&Request> {
        self.targets.get(target)?.get(&key)
    }

    /// Removes and returns the request at `key`.
    pub fn remove(&mut self, target: &Name, key: QueueKey) -> Option<Request> {
        let waiting = self.targets.get_mut(target)?;
        let request = waiting.remove(&key)?;
        if waiting.is_empty() {
            self.targets.remove(target);
        }
        self.len -= 1;
        let group = (request.caller.clone(), request.rank);
        if let Some(count) = self.caller_counts.get_mut(&group) {
            *count -= 1;
            if *count == 0 {
                self.caller_counts.remove(&group);
            }
        }
        Some(request)
    }

    /// Targets and keys of the requests that match `predicate`.
    pub fn find(&self, predicate: impl Fn(&Request) -> bool) -> Vec<(Name, QueueKey)> {
        let mut matches = Vec::new();
        for (name, waiting) in &self.targets {
            for (key, request) in waiting {
                if predicate(request) {
                    matches.push((name.clone(), *key));
                }
            }
        }
        matches
    }

    /// Target and key of the request that goes last.
    pub fn last(&self) -> Option<(Name, QueueKey)> {
        let ends = self.targets.iter().filter_map(|(n, w)| Some((n, *w.last_key_value()?.0)));
        ends.max_by_key(|(_, key)| *key).map(|(name, key)| (name.clone(), key))
    }
}
