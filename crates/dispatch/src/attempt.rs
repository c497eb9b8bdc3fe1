//! One attempt to send a request, and how well its answer was predicted.

use crate::{PrefixPlace, ShortageKind};
use std::net::SocketAddr;
use vanetally_ports::{ModelRef, Origin};
use vanetally_types::{Incarnation, Name};

/// One attempt to send a request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The caller's id of the request.
    pub request: Name,
    /// The matched route.
    pub route: Name,
    /// The requested model or adapter.
    pub subject: Option<ModelRef>,
    /// Version of the configuration in force.
    pub version: u64,
    /// Milliseconds since the request arrived.
    pub waited_ms: u64,
    /// What prevented sending before, if the request had to wait.
    pub shortage: Option<ShortageKind>,
    /// Milliseconds since the request was first held back for more urgent ones of other hosts; 0 if
    /// it was not.
    pub held_ms: u64,
    /// Prompt tokens that the upstream is expected to read because it has not cached them.
    pub unread_tokens: u32,
    /// Milliseconds that the upstream is expected to read for earlier requests.
    pub ahead_ms: u32,
    /// The upstream's place among the replicas for the prompt's prefix, if there are such.
    pub place: Option<PrefixPlace>,
    /// The upstream.
    pub upstream: Incarnation,
    /// Version of the upstream's software.
    pub software_version: Name,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Milliseconds to wait before sending, as set by the engine's pacer.
    pub delay_ms: u32,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
    /// Maximum number of connections of this host to the upstream.
    pub connections: usize,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Open requests of this host at the upstream, without this one.
    pub own_load: usize,
    /// Open requests of other hosts at the upstream, by their digests.
    pub peer_load: u32,
    /// Target for the longest gap between events.
    pub gap_ms: u64,
    /// Whether the answer is an event stream.
    pub is_stream: bool,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// On whose behalf the request is sent.
    pub origin: Origin,
    /// Stated rate limit under which the permit was granted, in requests per second over all hosts.
    pub limit: Option<f64>,
}

/// Predicted time of the first piece of an answer, compared with the actual one.
#[derive(Clone, Debug, PartialEq)]
pub struct Prediction {
    /// The caller's id of the request.
    pub request: Name,
    /// The upstream.
    pub upstream: Incarnation,
    /// Expected milliseconds from sending to the first piece.
    pub expected_ms: f64,
    /// Actual milliseconds.
    pub took_ms: f64,
    /// Prompt tokens that the upstream was expected to read because it had not cached them.
    pub unread_tokens: u32,
    /// Milliseconds that the upstream was expected to read for earlier requests.
    pub ahead_ms: u32,
    /// Expected reading time per token.
    pub per_token_us: f64,
}
