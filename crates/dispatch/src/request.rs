//! State of a request from its arrival to its end.

use crate::{
    access::Access,
    choice::{Choice, ReadEstimate},
    forecast::Forecast,
    shortage::{Shortage, ShortageKind},
    upstream::{Load, shared_prefixes},
};
use std::rc::Rc;
use vanetally_pacing::Prefix;
use vanetally_ports::{CallerRequest, Route};
use vanetally_quarantine::ContentHash;
use vanetally_types::{Incarnation, Name, Rank, Tick, Verdict};

/// Stage of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for an upstream.
    Waiting,
    /// Waits for a permit, a pacer slot or a slot of a plain upstream at the chosen upstream.
    Reserving(Reservation),
    /// Was sent to an upstream.
    Sent(ActiveAttempt),
}

impl Stage {
    /// Whether the request was sent to an upstream.
    pub(crate) fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}

/// An open request for a permit, a pacer slot or a slot of a plain upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reservation {
    pub reservation: u32,
    pub choice: Choice,
    /// Load that the request adds to the upstream.
    pub load: Load,
    /// Whether it is for a slot of a plain upstream.
    pub awaits_slot: bool,
}

/// An attempt that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ActiveAttempt {
    pub upstream: Incarnation,
    /// Version of the upstream's software.
    pub software_version: Name,
    pub sent_at: Tick,
    /// Load that the request adds to the upstream.
    pub load: Load,
    /// What the upstream was expected to read.
    pub expected: ReadEstimate,
    /// When the first piece of the answer was received.
    pub begun_at: Option<Tick>,
    /// Whether the request is a trial of the pacer's circuit breaker, which needs its outcome.
    pub is_trial: bool,
    /// Rate under which the permit was granted, if the upstream is rate-limited.
    pub permit_rate: Option<f64>,
    /// Number of the reservation under which a slot of the upstream was granted.
    pub slot: Option<u32>,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub head: CallerRequest,
    pub route: Rc<Route>,
    pub access: Access,
    /// What the request consists of.
    pub contents: Rc<[ContentHash]>,
    /// The upstream of an attempt that broke off, and until when the request waits for what became of it.
    pub unclear: Option<(Incarnation, Tick)>,
    /// Whether an upstream may crash under the request, so that it is kept apart from others.
    pub is_suspect: bool,
    /// Prefixes of the prompt that other requests may share.
    pub shared_prefixes: Vec<Prefix>,
    pub service: Name,
    /// Software version at which a stream that has begun must go on.
    pub software_version: Option<Name>,
    pub arrived: Tick,
    /// When it was first queued for an upstream; later than its arrival if it waited for quota.
    pub queued_at: Tick,
    /// Latest time of the final answer.
    pub deadline: Tick,
    /// Latest time of the first attempt.
    pub wait_limit: Tick,
    pub stage: Stage,
    /// Upstreams to which the request was sent.
    pub tried: Vec<Incarnation>,
    pub attempts: u32,
    /// Attempts that were not sent since this host found no path.
    pub without_path: u32,
    /// Number of reservations so far.
    pub reservations: u32,
    pub verdict: Verdict,
    /// Earliest time of the next attempt.
    pub not_before: Tick,
    /// Result of the last unsuccessful choice of an upstream.
    pub shortage: Option<Shortage>,
    /// When the request was first held back for more urgent ones of other hosts.
    pub held_since: Option<Tick>,
    /// Last forecast of its wait.
    pub forecast: Option<Forecast>,
    /// Whether an owner had no slot for it within the time that it may wait.
    pub is_slot_denied: bool,
    /// Number of owners that did not answer its requests for a slot.
    pub silent_owners: u32,
}

/// Minimum wait limit of a stream; the caller leaves after such a gap.
const MIN_STREAM_WAIT_MS: u64 = 2_000;
/// Wait limit of a stream, as a multiple of the target latency.
const STREAM_WAIT_TARGETS: u64 = 4;
/// Wait limit of other requests, as a multiple of the target latency. Of those that waited longer,
/// two of three were refused in the end, and their callers had no time left to retry.
const MAX_WAIT_TARGETS: u64 = 2;
/// Margin by which a request is refused before its caller leaves.
const WAIT_MARGIN_MS: u64 = 100;

/// Target for the longest gap between events if the route states none.
const DEFAULT_GAP_MS: u64 = 300;

impl Request {
    pub(crate) fn new(
        head: CallerRequest,
        route: Rc<Route>,
        access: Access,
        service: Name,
        now: Tick,
    ) -> Self {
        let wait = head.wait_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let deadline = now + wait;
        let wait_limit = match route.kind {
            vanetally_ports::RequestKind::Stream => {
                let gap = MIN_STREAM_WAIT_MS.max(STREAM_WAIT_TARGETS * route.target_ms);
                deadline.min(now + gap) - WAIT_MARGIN_MS
            }
            _ => {
                let late = now + MAX_WAIT_TARGETS * route.target_ms;
                late.min(deadline - WAIT_MARGIN_MS).max(now)
            }
        };
        let subject = head.model.as_ref();
        let shared = subject.map(|subject| shared_prefixes(subject, head.shared_parts()));
        Self {
            shared_prefixes: shared.unwrap_or_default(),
            head,
            route,
            access,
            contents: Rc::default(),
            unclear: None,
            is_suspect: false,
            service,
            software_version: None,
            arrived: now,
            queued_at: now,
            deadline,
            wait_limit,
            stage: Stage::Waiting,
            tried: Vec::new(),
            attempts: 0,
            without_path: 0,
            reservations: 0,
            verdict: Verdict::NotRun,
            not_before: now,
            shortage: None,
            held_since: None,
            forecast: None,
            is_slot_denied: false,
            silent_owners: 0,
        }
    }

    /// Returns the urgency of the request.
    pub(crate) fn rank(&self) -> Rank {
        self.access.rank(&self.route)
    }

    /// Returns the load that the request adds to an upstream that has to read `unread_tokens` of
    /// its prompt.
    pub(crate) fn load(&self, unread_tokens: u32) -> Load {
        Load {
            running: 1,
            unread_tokens,
            held_tokens: self.max_tokens(),
            suspects: u32::from(self.is_suspect),
        }
    }

    /// Returns the maximum number of tokens that the request may hold in an engine's memory.
    pub(crate) fn max_tokens(&self) -> u32 {
        self.head.prompt_tokens + self.head.output_tokens
    }

    /// Returns the target for the longest gap between events.
    pub(crate) fn gap_ms(&self) -> u64 {
        self.route.gap_ms.unwrap_or(DEFAULT_GAP_MS)
    }

    /// Whether an answer now would miss the target latency.
    pub(crate) fn is_late(&self, now: Tick) -> bool {
        self.is_late_after(now, 0)
    }

    /// Whether an answer that takes another `answer_ms` would miss the target latency.
    pub(crate) fn is_late_after(&self, now: Tick, answer_ms: u64) -> bool {
        now.since(self.arrived) + answer_ms > self.route.target_ms
    }

    /// Whether the service has no upstream and the request has waited for its target latency.
    /// Waiting until its deadline would only keep the caller from retrying.
    pub(crate) fn lacks_upstream_too_long(&self, now: Tick) -> bool {
        let lacks_upstream =
            self.shortage.is_some_and(|shortage| shortage.kind == ShortageKind::Upstream);
        lacks_upstream && self.is_late(now)
    }

    /// Returns how long the request may still wait for an attempt.
    pub(crate) fn remaining_wait_ms(&self, now: Tick) -> u64 {
        let until = if self.verdict == Verdict::NotRun { self.wait_limit } else { self.deadline };
        until.since(now)
    }

    /// Whether the request was tried at its maximum number of upstreams.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.tried.len() >= self.route.max_attempts as usize
    }

    /// Whether the request may be sent to `upstream` within its maximum number of upstreams.
    pub(crate) fn may_try(&self, upstream: &Incarnation) -> bool {
        self.tried.contains(upstream) || !self.is_exhausted()
    }
}
