//! The one host that says when requests may go to upstreams in need.

use crate::schedule::{Schedule, interval_ms};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick};

/// May a request go to an upstream in need?
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream's incarnation.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// Requests a second that it takes from all hosts, as the asker knows it.
    #[serde(rename = "n")]
    pub rate: f64,
    /// The longest that the request would wait for it, in milliseconds; nothing where others may take it.
    #[serde(rename = "w")]
    pub max_wait_ms: u32,
}

/// What is said to that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// It may, and nobody else has its moment.
    Granted {
        /// Milliseconds until then.
        delay_ms: u32,
    },
    /// Too many others go before it.
    Busy {
        /// Milliseconds until it is worth to come back.
        retry_ms: u32,
    },
    /// This host does not grant now.
    NotGranting,
}

impl PermitAnswer {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted { delay_ms: 0 } => "granted",
            Self::Granted { .. } => "delayed",
            Self::Busy { .. } => "busy",
            Self::NotGranting => "not_granting",
        }
    }
}

/// Moments are given out this far ahead, in milliseconds; what was given out so long before its successor began is
/// over when the successor gives out its first one.
pub(crate) const MOST_AHEAD_MS: u64 = 1_500;
/// Callers are told to come back one after the other, up to this far ahead, in milliseconds: few can wait longer.
const MOST_TOLD_MS: f64 = 30_000.0;
/// Hosts whose requests go elsewhere come to ask again spread over so many intervals at most.
const MOST_TURNS: u32 = 16;
/// Askers between two moments: more would only be refused, fewer might leave one unused.
const ASKERS: f64 = 2.0;

/// Spaces the requests of all hosts to upstreams in need.
///
/// It keeps nothing from one time of granting to the next: what a predecessor gave out has gone by the time that it
/// gives out its first moment.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    /// Since when it grants.
    since: Option<Tick>,
    upstreams: HashMap<Incarnation, Queue>,
}

#[derive(Clone, Copy, Debug)]
struct Queue {
    line: Schedule,
    /// When the last caller was told to come back, in milliseconds.
    told: f64,
    /// Hosts that were told to ask again since the last moment was given out.
    turns: u32,
}

impl Grantor {
    /// Whether this host may grant now, by its lease.
    pub fn set_granting(&mut self, now: Tick, is_granting: bool) {
        if is_granting && self.since.is_none() {
            self.since = Some(now);
            self.upstreams.clear();
        }
        if !is_granting {
            self.since = None;
        }
    }

    /// Whether and when a request may go.
    pub fn decide(&mut self, now: Tick, question: &PermitRequest) -> PermitAnswer {
        let Some(since) = self.since else {
            return PermitAnswer::NotGranting;
        };
        let first = (since + MOST_AHEAD_MS).max(now);
        let queue = self.upstreams.entry(question.upstream.clone());
        queue.or_insert_with(|| Queue::new(first)).ask(now, question)
    }

    /// What was granted did not go.
    pub fn return_permit(&mut self, upstream: &Incarnation, rate: f64) {
        if let Some(queue) = self.upstreams.get_mut(upstream) {
            queue.line.give_back(interval_ms(rate));
        }
    }

    /// An upstream has gone.
    pub fn forget(&mut self, upstream: &Incarnation) {
        self.upstreams.remove(upstream);
    }
}

impl Queue {
    fn new(first: Tick) -> Self {
        Self { line: Schedule::new(first), told: 0.0, turns: 0 }
    }

    fn ask(&mut self, now: Tick, question: &PermitRequest) -> PermitAnswer {
        let interval_ms = interval_ms(question.rate);
        let wait_ms = self.line.wait_ms(now);
        if wait_ms <= f64::from(question.max_wait_ms).min(MOST_AHEAD_MS as f64) {
            self.line.take(now, interval_ms);
            self.turns = 0;
            return PermitAnswer::Granted { delay_ms: wait_ms.ceil() as u32 };
        }
        let retry_ms = match question.max_wait_ms {
            0 => self.next_turn(wait_ms, interval_ms),
            _ => self.next_told(now, wait_ms, interval_ms),
        };
        PermitAnswer::Busy { retry_ms: retry_ms.ceil() as u32 }
    }

    /// When a host whose request goes elsewhere may ask again.
    fn next_turn(&mut self, wait_ms: f64, interval_ms: f64) -> f64 {
        let turn_ms = f64::from(self.turns) * interval_ms / ASKERS;
        self.turns = (self.turns + 1).min(MOST_TURNS);
        wait_ms + turn_ms
    }

    /// When a caller that is refused may come back: after those that were told before it.
    fn next_told(&mut self, now: Tick, wait_ms: f64, interval_ms: f64) -> f64 {
        let now = now.0 as f64;
        let told = (self.told + interval_ms).max(now + wait_ms);
        self.told = told.min(now + MOST_TOLD_MS);
        self.told - now
    }
}
