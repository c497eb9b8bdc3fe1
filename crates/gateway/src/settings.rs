//! Settings of the gateway process.

use std::net::{IpAddr, SocketAddr};
use vanetally_admission::Limits;
use vanetally_types::Name;

/// The settings that a process needs before it can reach the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unique in the deployment.
    pub host: Name,
    /// The host's failure domain.
    pub domain: Name,
    /// The host's CPU share, in percent.
    pub capacity: u32,
    /// Bytes per second that the host's network link carries, if stated.
    pub link_bytes_per_s: Option<u64>,
    /// Address on which callers are accepted.
    pub listen: SocketAddr,
    /// Address of the readiness endpoint for the load balancer.
    pub ready: Option<SocketAddr>,
    /// Address of the endpoint for metrics and the state dump.
    pub metrics: Option<SocketAddr>,
    /// URL path of the metrics.
    pub metrics_path: String,
    /// Address of this host for other hosts.
    pub ip: IpAddr,
    /// Port of the links between hosts.
    pub link_port: u16,
    /// The key shared by all hosts, which authenticates links.
    pub link_key: Name,
    /// Whether this is the first start of the whole deployment.
    pub is_first_start: bool,
    /// Settings of the store.
    pub store: StoreSettings,
    /// Limits and time windows set by the deployment.
    pub bounds: Bounds,
    /// Scheduling decisions that hosts make together.
    pub scheduling: Scheduling,
    /// Memory that the process may use, in bytes, if stated.
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may use, if stated.
    pub max_descriptors: Option<u64>,
}

/// Memory and descriptors of a process whose settings state none.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;
const DEFAULT_DESCRIPTORS: u64 = 4_096;

impl Settings {
    /// Returns what all callers may hold together.
    pub(crate) fn caller_limits(&self) -> Limits {
        let memory_bytes = self.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        Limits::of(memory_bytes, self.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS))
    }
}

/// Scheduling decisions that hosts make together; each is off unless the settings turn it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// Waiting requests are ordered, and their wait is forecast, over all hosts.
    pub shared_queue: bool,
    /// Requests above the quota of their organisation may wait for it.
    pub quota_wait: bool,
    /// One host grants the slots of each plain upstream.
    pub slot_grants: bool,
    /// Prompts that share a prefix go to the same replica.
    pub prefix_affinity: bool,
}

/// Address and limits of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
    /// Minimum TTL of a lease.
    pub min_ttl_ms: u64,
    /// Write calls per second that the store accepts from all hosts together; must be positive.
    pub writes_per_s: f64,
}

/// Limits and time windows set by the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum duration of a planned stop.
    pub grace_ms: u64,
    /// Permitted retries per request.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
    /// Permitted retries beyond the ratio in one window, over all hosts.
    pub retry_slack: f64,
    /// Time within which orders of two holders must not interleave.
    pub order_lease_ms: u64,
    /// Window of the weight store's load limit.
    pub load_window_ms: u64,
    /// Time after an outage of the store or of the network path to it within which a host must have
    /// up-to-date store data again.
    pub contact_ms: u64,
    /// Time after the revocation of a key within which all hosts must reject it; `None` if hosts
    /// keep serving with the last configuration they know.
    pub revoke_ms: Option<u64>,
    /// Permitted excess over the quotas of organisations, for grants made while the grantor is
    /// unreachable.
    pub quota: vanetally_quota::Bounds,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_ms: 8_000,
            retry_ratio: 0.1,
            retry_window_ms: 10_000,
            retry_slack: 10.0,
            order_lease_ms: 3_000,
            load_window_ms: 5_000,
            contact_ms: 3_000,
            revoke_ms: None,
            quota: vanetally_quota::Bounds::default(),
        }
    }
}
