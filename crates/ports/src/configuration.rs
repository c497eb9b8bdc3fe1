//! Routes, services and limits as configured by operators.

use crate::{FormatError, Organisation};
use std::collections::BTreeMap;
use vanetally_types::Name;

/// One complete version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number, which increases with every change.
    pub version: u64,
    /// Routes of requests to services.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Organisations whose callers may send requests; `None` if requests need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once, answered by an event stream.
    Stream,
}

/// Maps the requests of one host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operators.
    pub name: Name,
    /// Value of the `Host` header, in lower case.
    pub host: Name,
    /// Path prefix; the longest match wins.
    pub prefix: Name,
    /// How often a request may run.
    pub kind: RequestKind,
    /// Timeout of a request; the caller's own deadline may be shorter.
    pub timeout_ms: u64,
    /// Target latency of an answer.
    pub target_ms: u64,
    /// Target for the maximum gap between events of a stream.
    pub gap_ms: Option<u64>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services that the requests are distributed over.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl Route {
    /// Whether requests may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::Once => false,
            RequestKind::Stream => self.resumable,
        }
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Share of the requests relative to the route's other targets.
    pub weight: u32,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name given by the operators.
    pub name: Name,
    /// Maximum number of connections to one upstream from all hosts together.
    pub max_connections: u32,
    /// URL path of the upstreams' health check, if they have one.
    pub health_path: Option<Name>,
    /// Engine parameters of the upstreams, if they are model runners.
    pub engine: Option<EngineSpec>,
    /// Limits on cold upstreams, if there are any.
    pub cold_start: Option<ColdStart>,
}

/// Limits on an upstream that is cold, as after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an upstream stays cold after its start.
    pub duration_ms: u64,
    /// Requests per second that a cold upstream takes from all hosts together.
    pub rate: f64,
}

/// Parameters of the model runners of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests on one runner.
    pub slots: u32,
    /// Size of the KV cache of one runner, in tokens.
    pub kv_tokens: u64,
    /// Memory of one runner for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters that one runner may hold or load at the same time.
    pub max_adapters: u32,
    /// Load limit of the weight store, in loads per second over all runners.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: BTreeMap<Name, ModelSpec>,
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Size of the weights in megabytes.
    pub weights_mb: f64,
    /// Load time from the weight store.
    pub load_s: f64,
    /// Load time from the runner's own memory.
    pub warm_s: f64,
    /// Load time from the runner's own disk.
    pub disk_s: f64,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Time limit for receiving a request's head.
    pub header_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Format of the configuration in the store.
pub trait ConfigurationFormat {
    /// Returns the key of the newest configuration in the store.
    fn key(&self) -> &str;

    /// Parses a configuration.
    ///
    /// # Errors
    /// If `bytes` is not a valid configuration.
    fn read(&self, bytes: &[u8]) -> Result<Configuration, FormatError>;
}
