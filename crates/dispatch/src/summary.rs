//! What operators and metrics are shown of the state.

use crate::Dispatch;
use vanetally_types::{Incarnation, Tick};

/// Known state of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSummary {
    /// The upstream.
    pub upstream: Incarnation,
    /// Open requests of all hosts.
    pub running: u32,
    /// Prompt tokens that the upstream has not read.
    pub unread_tokens: u32,
    /// Whether the upstream is leaving.
    pub is_draining: bool,
    /// Whether the upstream is ejected.
    pub is_suspect: bool,
}

/// Values for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Open requests.
    pub open: usize,
    /// Known upstreams.
    pub upstreams: usize,
    /// Upstreams that need periodic work.
    pub active: usize,
    /// Ejected upstreams.
    pub suspects: usize,
    /// Rate-limited upstreams.
    pub limited: usize,
    /// Requests that were held back for more urgent ones of other hosts, since the start.
    pub held: u64,
    /// Requests that wait at other hosts, by their reports.
    pub waiting_elsewhere: u32,
}

impl Dispatch {
    /// Returns values for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            waiting: self.queue.len(),
            open: self.requests.len(),
            upstreams: self.upstreams.len(),
            active: self.loads.active(),
            suspects: self.upstreams.values().filter(|u| u.health.is_suspect()).count(),
            limited: self.upstreams.values().filter(|u| u.limit.rate().is_some()).count(),
            held: self.shared_queue.held,
            waiting_elsewhere: self.shared_queue.waiting_elsewhere(),
        }
    }

    /// Returns the known state of each upstream, for operators.
    pub fn summaries(&self, now: Tick) -> Vec<UpstreamSummary> {
        let loads = self.upstreams.iter().map(|(id, upstream)| {
            let load = upstream.total(now);
            UpstreamSummary {
                upstream: id.clone(),
                running: load.running,
                unread_tokens: load.unread_tokens,
                is_draining: upstream.state.draining,
                is_suspect: upstream.health.is_suspect(),
            }
        });
        loads.collect()
    }
}
