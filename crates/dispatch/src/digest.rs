//! Load reports that hosts exchange.

use serde::{Deserialize, Serialize};
use vanetally_types::{Incarnation, Name, Rank};

/// The complete load of one host; a later digest replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Load per upstream; upstreams without load are left out.
    pub loads: Vec<LoadRow>,
    /// Requests that arrived since the last digest, per model or adapter.
    pub demand: Vec<DemandRow>,
    /// Waiting requests per model and rank; absent in digests of earlier builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitRow>,
}

/// Waiting requests of one rank for one model, or for one plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitRow {
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The model; `None` for a plain service.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Urgency of the requests.
    #[serde(rename = "k")]
    pub rank: Rank,
    /// The counts.
    #[serde(flatten)]
    pub counts: WaitCounts,
}

/// Numbers of requests in a [`WaitRow`]; those that are zero are omitted in messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaitCounts {
    /// Waiting requests that can still be on time.
    #[serde(rename = "n", skip_serializing_if = "is_zero")]
    pub on_time: u32,
    /// Those of them that must be sent soon to be on time.
    #[serde(rename = "u", skip_serializing_if = "is_zero")]
    pub due_soon: u32,
    /// Waiting requests that are late.
    #[serde(rename = "l", skip_serializing_if = "is_zero")]
    pub late: u32,
    /// Requests sent to upstreams in the last second.
    #[serde(rename = "d", skip_serializing_if = "is_zero")]
    pub sent: u32,
    /// Those of them that were late.
    #[serde(rename = "e", skip_serializing_if = "is_zero")]
    pub sent_late: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature is set by serde.
fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl WaitCounts {
    /// Adds the counts of other hosts.
    pub fn add(&mut self, other: Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Subtracts counts that are included in these.
    pub fn subtract(&mut self, other: Self) {
        self.combine(other, u32::saturating_sub);
    }

    /// Whether there is nothing to report.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(self) -> u32 {
        self.on_time.saturating_add(self.late)
    }

    fn combine(&mut self, other: Self, operation: impl Fn(u32, u32) -> u32) {
        self.on_time = operation(self.on_time, other.on_time);
        self.due_soon = operation(self.due_soon, other.due_soon);
        self.late = operation(self.late, other.late);
        self.sent = operation(self.sent, other.sent);
        self.sent_late = operation(self.sent_late, other.sent_late);
    }
}

/// Load of one host on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// Requests that were sent and have not ended.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prompt tokens of the requests that have no first piece of their answer yet.
    #[serde(rename = "p")]
    pub unread_tokens: u32,
    /// Tokens that the requests may hold in the engine's memory at most.
    #[serde(rename = "k")]
    pub held_tokens: u32,
    /// Recent attempts that succeeded.
    #[serde(rename = "g")]
    pub good: u16,
    /// Recent attempts that failed.
    #[serde(rename = "b")]
    pub bad: u16,
    /// The upstream's stated rate limit; absent in digests of earlier builds.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<LimitRow>,
}

/// The last statement of an upstream about its rate limit over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Requests per second; `None` if the upstream takes all.
    #[serde(rename = "n")]
    pub rate: Option<f64>,
    /// Milliseconds since a host received the statement.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

impl LimitRow {
    /// Returns the later one of two statements.
    pub fn newer(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) if other.age_ms < one.age_ms => Some(other),
            (Some(one), _) => Some(one),
            (None, other) => other,
        }
    }
}

/// Demand for one model or adapter at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The requested service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The requested model.
    #[serde(rename = "m")]
    pub model: Name,
    /// The adapter of the model, if one was requested.
    #[serde(rename = "a")]
    pub adapter: Option<Name>,
    /// Requests that arrived since the last digest.
    #[serde(rename = "n")]
    pub arrived: u32,
    /// Expected processing time of these requests on a runner.
    #[serde(rename = "w")]
    pub work_ms: u32,
}
