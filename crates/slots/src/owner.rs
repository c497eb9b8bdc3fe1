//! The host that grants the slots of some upstreams.

use crate::{
    Guards, SlotAnswer, SlotEnd, SlotRequest,
    upstream::{Answers, OwnedUpstream},
};
use std::collections::BTreeMap;
use vanetally_types::{Incarnation, Name, Tick};

/// An answer to a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reply {
    /// The host.
    pub host: Name,
    /// The number of its request.
    pub number: u64,
    /// The upstream.
    pub upstream: Incarnation,
    /// The answer.
    pub answer: SlotAnswer,
}

/// A state change of an owned upstream, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// This host became the owner while requests of other owners ran.
    TakenOver {
        /// These requests.
        running: u32,
    },
    /// The upstream rejected requests, so fewer slots than announced are granted.
    Lowered {
        /// Slots that are granted at the same time.
        limit: u32,
    },
    /// All announced slots are granted again.
    Raised,
}

/// The upstreams of which this host is the owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    guards: Guards,
    upstreams: BTreeMap<Incarnation, OwnedUpstream>,
    changes: Vec<(Incarnation, Change)>,
}

impl Owner {
    /// Creates an owner with some guards switched off.
    pub fn with_guards(guards: Guards) -> Self {
        Self { guards, ..Self::default() }
    }

    /// Answers a request of `host` for a slot of an upstream that runs `reported` requests by the
    /// load reports.
    pub fn acquire(
        &mut self,
        now: Tick,
        (host, number): (&Name, u64),
        request: &SlotRequest,
        reported: u32,
    ) -> Vec<Reply> {
        let guards = self.guards;
        let reported = if guards.inherited { reported } else { 0 };
        let id = &request.upstream;
        let upstream =
            self.upstreams.entry(id.clone()).or_insert_with(|| OwnedUpstream::new(request.slots));
        if upstream.record_request(now, request, reported) {
            let running = upstream.inherited();
            self.changes.push((id.clone(), Change::TakenOver { running }));
        }
        let was_lowered = upstream.lowered_limit().is_some();
        let mut answers = upstream.advance(now, reported, guards);
        if was_lowered && upstream.lowered_limit().is_none() {
            self.changes.push((id.clone(), Change::Raised));
        }
        answers.extend(upstream.acquire(now, (host.clone(), number), request, guards));
        replies(id, answers)
    }

    /// Handles the end of a grant, or of the wait for one.
    pub fn release(
        &mut self,
        now: Tick,
        (host, number): (&Name, u64),
        upstream: &Incarnation,
        end: SlotEnd,
    ) -> Vec<Reply> {
        // The request for the slot may yet arrive.
        let owned = self.upstreams.entry(upstream.clone());
        let owned = owned.or_insert_with(|| OwnedUpstream::new(0));
        let was_lowered = owned.lowered_limit().is_some();
        let answers = owned.release(now, (host.clone(), number), end, self.guards);
        if let Some(limit) = owned.lowered_limit().filter(|_| !was_lowered) {
            self.changes.push((upstream.clone(), Change::Lowered { limit }));
        }
        replies(upstream, answers)
    }

    /// Ends the grants and waits of a host that is gone.
    pub fn host_gone(&mut self, now: Tick, host: &Name) -> Vec<Reply> {
        if !self.guards.gone_hosts {
            return Vec::new();
        }
        let all = self.upstreams.iter_mut();
        all.flat_map(|(id, upstream)| replies(id, upstream.release_host(now, host))).collect()
    }

    /// Ends the waits that are over and the grants whose end was not reported. `reported` returns
    /// the running requests of an upstream by the load reports.
    pub fn tick(&mut self, now: Tick, reported: impl Fn(&Incarnation) -> u32) -> Vec<Reply> {
        self.upstreams.retain(|_, upstream| !upstream.is_idle(now));
        let mut all = Vec::new();
        for (id, upstream) in &mut self.upstreams {
            let was_lowered = upstream.lowered_limit().is_some();
            all.extend(replies(id, upstream.advance(now, reported(id), self.guards)));
            if was_lowered && upstream.lowered_limit().is_none() {
                self.changes.push((id.clone(), Change::Raised));
            }
        }
        all
    }

    /// Removes an upstream that has gone.
    pub fn forget(&mut self, upstream: &Incarnation) -> Vec<Reply> {
        let gone = self.upstreams.remove(upstream);
        gone.map(|gone| replies(upstream, gone.dismiss())).unwrap_or_default()
    }

    /// Takes the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(Incarnation, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of open grants.
    pub fn granted(&self) -> usize {
        self.upstreams.values().map(OwnedUpstream::granted).sum()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.upstreams.values().map(OwnedUpstream::waiting).sum()
    }
}

fn replies(upstream: &Incarnation, answers: Answers) -> Vec<Reply> {
    let reply = |((host, number), answer)| {
        let upstream = upstream.clone();
        Reply { host, number, upstream, answer }
    };
    answers.into_iter().map(reply).collect()
}
