//! Load reports that hosts exchange.

use serde::{Deserialize, Serialize};
use vanetally_types::{Incarnation, Name};

/// The complete load of one host; a later digest replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Load per upstream; upstreams without load are left out.
    pub loads: Vec<LoadRow>,
    /// Requests that arrived since the last digest, per model or adapter.
    pub demand: Vec<DemandRow>,
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
