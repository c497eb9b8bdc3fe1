//! Routes, services and limits, as operators configure them.

use crate::{FormatError, Organisation};
use std::collections::BTreeMap;
use vanetally_types::Name;

/// One numbered state of the operators' configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Rises with every change.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<Name, Service>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Whose callers may send requests; none if requests need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once, answered as a series of events.
    Stream,
}

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operators' name.
    pub name: Name,
    /// The `Host` that requests name.
    pub host: Name,
    /// The beginning of their path; the longest match wins.
    pub prefix: Name,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Within this time an answer is in time, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between events of a stream that still is in time, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that take its requests, with shares.
    pub targets: Vec<Target>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Whether its requests need no key.
    pub is_open: bool,
}

impl Route {
    /// Whether its requests may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::Once => false,
            RequestKind::Stream => self.resumable,
        }
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service that takes it.
    pub service: Name,
    /// Its size, relative to the route's other targets.
    pub weight: u32,
}

/// Upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The operators' name.
    pub name: Name,
    /// Most connections that one upstream takes from all hosts together.
    pub max_connections: u32,
    /// What its upstreams hold and run, if they are model runners.
    pub engine: Option<EngineSpec>,
}

/// Model runners of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one runner works on at once.
    pub slots: u32,
    /// Tokens that fit in the memory of one runner.
    pub kv_tokens: u64,
    /// Megabytes for weights and adapters of one runner.
    pub weights_mb: f64,
    /// Adapters that one runner may hold or fetch at once.
    pub max_adapters: u32,
    /// Loads a second that the weight store allows over all runners.
    pub loads_per_s: f64,
    /// The models by name.
    pub models: BTreeMap<Name, ModelSpec>,
}

/// One model of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Size of its weights in megabytes.
    pub weights_mb: f64,
    /// Seconds to load it from the weight store.
    pub load_s: f64,
    /// Seconds to load it from the runner's own memory.
    pub warm_s: f64,
    /// Seconds to load it from the runner's own disk.
    pub disk_s: f64,
    /// How many adapters it has.
    pub adapters: u32,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds for a request's head to arrive.
    pub header_ms: u64,
    /// Milliseconds that a connection may rest.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// The form in which the store keeps the configuration.
pub trait ConfigurationFormat {
    /// The key under which the newest configuration lies.
    fn key(&self) -> &str;

    /// Reads a configuration.
    ///
    /// # Errors
    /// If the bytes are no configuration.
    fn read(&self, bytes: &[u8]) -> Result<Configuration, FormatError>;
}
