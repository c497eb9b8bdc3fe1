//! Requests of a host that performs a planned stop.
//!
//! A request is taken only if one like it would end before the host does; callers send others to another host. Each that
//! was taken gets its final answer before the end of the grace period: its caller could not tell otherwise whether it has
//! run.

use crate::{
    Dispatch,
    request::{Request, Stage},
};
use vanetally_types::Tick;

/// Share of the grace period in which requests are accepted: load balancers and callers learn of the stop in it.
const ACCEPT_SHARE: f64 = 0.3;
/// Share of the grace period after which requests without an answer get their final one.
const ANSWER_SHARE: f64 = 0.9;
/// Time that an answer may take, relative to the longest recent one of its route.
const MARGIN: f64 = 1.25;
/// Share of the difference by which a shorter answer lowers the longest recent time.
const DECAY: f64 = 0.02;

/// Longest recent time from the arrival of a request to the end of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LongestAnswer {
    longest_ms: f64,
}

impl LongestAnswer {
    /// Records an answer that was complete after `took_ms`.
    pub(crate) fn record(&mut self, took_ms: u64) {
        let (took_ms, longest_ms) = (took_ms as f64, self.longest_ms);
        self.longest_ms = took_ms.max(longest_ms - DECAY * (longest_ms - took_ms));
    }
}

impl Dispatch {
    /// Begins a planned stop: all open requests get their final answer before it ends.
    pub(crate) fn begin_stop(&mut self, now: Tick) {
        self.stopping_since.get_or_insert(now);
        let Some(until) = self.answers_until() else {
            return;
        };
        for (id, request) in &mut self.requests {
            // The queue is ordered by deadlines.
            let is_waiting = request.stage == Stage::Waiting;
            if is_waiting {
                self.queue.remove(*id, request);
            }
            request.end_before(until);
            if is_waiting {
                self.queue.insert(*id, request);
            }
        }
    }

    /// Whether a planned stop has reached the part in which no requests are accepted.
    pub(crate) fn refuses_new_requests(&self, now: Tick) -> bool {
        self.stopping_since.is_some_and(|since| now.since(since) > self.grace_part(ACCEPT_SHARE))
    }

    /// Bounds a new request by the end of a planned stop; returns whether it can end before.
    pub(crate) fn fits_stop(&self, now: Tick, request: &mut Request) -> bool {
        let Some(until) = self.answers_until() else {
            return true;
        };
        let longest = self.longest_answers.get(&request.route.name);
        let expected_ms = longest.map_or(0.0, |answer| MARGIN * answer.longest_ms);
        let fits = request.deadline <= until || now + expected_ms.ceil() as u64 <= until;
        request.end_before(until);
        fits
    }

    /// Records that the answer to a request is complete.
    pub(crate) fn record_answer_time(&mut self, now: Tick, request: &Request) {
        let longest = self.longest_answers.entry(request.route.name.clone()).or_default();
        longest.record(now.since(request.arrived));
    }

    /// Returns when the requests of a host that stops get their final answer at the latest.
    fn answers_until(&self) -> Option<Tick> {
        self.stopping_since.map(|since| since + self.grace_part(ANSWER_SHARE))
    }

    fn grace_part(&self, share: f64) -> u64 {
        (self.options.grace_ms as f64 * share) as u64
    }
}

impl Request {
    /// Moves the deadline to `until` if it is later.
    fn end_before(&mut self, until: Tick) {
        self.deadline = self.deadline.min(until);
        self.wait_limit = self.wait_limit.min(until);
    }
}
