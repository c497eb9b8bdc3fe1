//! What hosts tell each other of their load.

use serde::{Deserialize, Serialize};
use vanetally_types::{Incarnation, Name};

/// One host's load, whole: a later digest replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Load on upstreams; those without load are left out.
    pub loads: Vec<LoadRow>,
    /// Requests that arrived since the last digest, and those that wait.
    pub demand: Vec<DemandRow>,
}

/// What one host has running at one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The upstream's incarnation.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// Requests sent and not ended.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prompt tokens of those that have no first piece yet.
    #[serde(rename = "p")]
    pub unread_tokens: u32,
    /// Tokens that all may come to hold.
    #[serde(rename = "k")]
    pub held_tokens: u32,
    /// Attempts that ended well in the last seconds.
    #[serde(rename = "g")]
    pub good: u16,
    /// Attempts that ended badly in the last seconds.
    #[serde(rename = "b")]
    pub bad: u16,
    /// What the upstream said that it takes; hosts of earlier builds say nothing of it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<LimitRow>,
}

/// What an upstream said last of the requests that it takes from all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Requests a second; none if it takes all.
    #[serde(rename = "n")]
    pub rate: Option<f64>,
    /// Milliseconds since a host heard it.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

impl LimitRow {
    /// The one that was heard later.
    pub fn newer(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) if other.age_ms < one.age_ms => Some(other),
            (Some(one), _) => Some(one),
            (None, other) => other,
        }
    }
}

/// Requests for one model or adapter at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The model.
    #[serde(rename = "m")]
    pub model: Name,
    /// An adapter of it.
    #[serde(rename = "a")]
    pub adapter: Option<Name>,
    /// Requests that arrived since the last digest.
    #[serde(rename = "n")]
    pub arrived: u32,
    /// Milliseconds of a runner that they should take.
    #[serde(rename = "w")]
    pub work_ms: u32,
}
