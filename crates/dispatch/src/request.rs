//! One request from its arrival to its end.

use crate::{
    access::Access,
    choice::{Choice, ReadEstimate},
    shortage::{Shortage, ShortageKind},
    upstream::{Load, shared_prefixes},
};
use std::rc::Rc;
use vanetally_pacing::Prefix;
use vanetally_ports::{CallerRequest, Route};
use vanetally_quarantine::ContentHash;
use vanetally_types::{Incarnation, Name, Tick, Verdict};

/// Where a request is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// It waits for an upstream.
    Waiting,
    /// An engine was chosen; its pacer is asked for the moment.
    Reserving(Reservation),
    /// It is at an upstream.
    Sent(ActiveAttempt),
}

impl Stage {
    /// Whether it is at an upstream.
    pub(crate) fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}

/// A moment that was asked for and not given yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reservation {
    pub reservation: u32,
    pub choice: Choice,
    /// What it adds to the engine's load.
    pub load: Load,
}

/// What is known of a sending that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ActiveAttempt {
    pub upstream: Incarnation,
    pub sent_at: Tick,
    /// What it adds to the upstream's load.
    pub load: Load,
    /// What was expected when it was sent.
    pub expected: ReadEstimate,
    pub has_begun: bool,
    /// Whether the engine's pacer has to hear of its answer.
    pub is_trial: bool,
    /// The rate by which it got its moment, if the upstream is in need.
    pub permit_rate: Option<f64>,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub head: CallerRequest,
    pub route: Rc<Route>,
    pub access: Access,
    pub content_hash: ContentHash,
    /// The parts of its prompt that others may share.
    pub shared_prefixes: Vec<Prefix>,
    pub service: Name,
    pub arrived: Tick,
    /// The latest moment for a final answer.
    pub deadline: Tick,
    /// The latest moment to be sent for the first time.
    pub wait_limit: Tick,
    pub stage: Stage,
    /// Upstreams that it was sent to.
    pub tried: Vec<Incarnation>,
    pub attempts: u32,
    /// Moments asked for.
    pub reservations: u32,
    pub verdict: Verdict,
    /// No sending before this.
    pub not_before: Tick,
    /// What it lacked when it last looked for an upstream in vain.
    pub shortage: Option<Shortage>,
}

/// A stream's caller leaves after a gap of this many milliseconds, or of some objectives.
const MIN_STREAM_WAIT_MS: u64 = 2_000;
/// Objectives after which a stream's caller leaves.
const STREAM_WAIT_TARGETS: u64 = 4;
/// A request that is no stream is refused if it was not sent within this many objectives: beyond that two of three
/// waited for nothing, at the cost of all that their callers could still have done.
const MAX_WAIT_TARGETS: u64 = 2;
/// Kept back from the caller's patience, in milliseconds.
const WAIT_MARGIN_MS: u64 = 100;

/// The longest pause between events where the route states none, in milliseconds.
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
        let shared = subject.map(|subject| shared_prefixes(subject, &head.parts));
        Self {
            shared_prefixes: shared.unwrap_or_default(),
            head,
            route,
            access,
            content_hash: 0,
            service,
            arrived: now,
            deadline,
            wait_limit,
            stage: Stage::Waiting,
            tried: Vec::new(),
            attempts: 0,
            reservations: 0,
            verdict: Verdict::NotRun,
            not_before: now,
            shortage: None,
        }
    }

    /// Its rank among waiting requests: its organisation's goes before its route's.
    pub(crate) fn rank(&self) -> (u8, u8) {
        let own = self.route.priority;
        (self.access.priority.unwrap_or(own), own)
    }

    /// What it adds to the load of an upstream that has to read `unread_tokens` of its prompt.
    pub(crate) fn load(&self, unread_tokens: u32) -> Load {
        Load { running: 1, unread_tokens, held_tokens: self.max_tokens() }
    }

    /// Tokens that it may come to hold at an engine.
    pub(crate) fn max_tokens(&self) -> u32 {
        self.head.prompt_tokens + self.head.output_tokens
    }

    /// The longest pause between events that the operators want, in milliseconds.
    pub(crate) fn gap_ms(&self) -> u64 {
        self.route.gap_ms.unwrap_or(DEFAULT_GAP_MS)
    }

    /// Whether its answer would come after the time that the operators want.
    pub(crate) fn is_late(&self, now: Tick) -> bool {
        self.is_late_after(now, 0)
    }

    /// Whether an answer that takes `answer_ms` from now on would come after the time that the operators want.
    pub(crate) fn is_late_after(&self, now: Tick, answer_ms: u64) -> bool {
        now.since(self.arrived) + answer_ms > self.route.target_ms
    }

    /// Whether no upstream of its service is there, and it has waited as long as its answer may take: a wait
    /// until its deadline would only keep its caller from asking again.
    pub(crate) fn lacks_upstream_too_long(&self, now: Tick) -> bool {
        let lacks_upstream =
            self.shortage.is_some_and(|shortage| shortage.kind == ShortageKind::Upstream);
        lacks_upstream && self.is_late(now)
    }

    /// Milliseconds that it may yet wait to be sent.
    pub(crate) fn remaining_wait_ms(&self, now: Tick) -> u64 {
        let until = if self.verdict == Verdict::NotRun { self.wait_limit } else { self.deadline };
        until.since(now)
    }

    /// Whether it was sent to as many upstreams as are allowed to it.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.tried.len() >= self.route.max_attempts as usize
    }

    /// Whether it may be sent to `upstream` without exceeding the upstreams allowed to it.
    pub(crate) fn may_try(&self, upstream: &Incarnation) -> bool {
        self.tried.contains(upstream) || !self.is_exhausted()
    }
}
