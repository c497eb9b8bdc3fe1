//! The settings of one process.

use std::net::{IpAddr, SocketAddr};
use vanetally_types::Name;

/// What a process needs to know before it can reach the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unique in the deployment.
    pub host: Name,
    /// The host's failure domain.
    pub domain: Name,
    /// The host's share of a processor, in percent.
    pub capacity: u32,
    /// Bytes a second that the host's own link carries, if that is stated.
    pub link_bytes_per_s: Option<u64>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready: Option<SocketAddr>,
    /// Where metrics and the dumped state are served.
    pub metrics: Option<SocketAddr>,
    /// Path of the metrics.
    pub metrics_path: String,
    /// Address of this host for other hosts.
    pub ip: IpAddr,
    /// Port of the links between hosts.
    pub link_port: u16,
    /// The key that all hosts share.
    pub link_key: Name,
    /// Whether all hosts of the deployment start now, for the first time.
    pub is_first_start: bool,
    /// The store.
    pub store: StoreSettings,
    /// Figures that the deployment promises or demands.
    pub bounds: Bounds,
}

/// Where the store is, and what it grants.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The shortest lease, in milliseconds.
    pub min_ttl_ms: u64,
    /// Writing calls a second that it takes from all hosts together, above zero.
    pub writes_per_s: f64,
}

/// Figures that the deployment promises or demands.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Milliseconds that a planned stop may take.
    pub grace_ms: u64,
    /// Repeated sendings for each request.
    pub retry_ratio: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Repeated sendings beyond the ratio in one window, over all hosts.
    pub retry_slack: f64,
    /// Within this time orders of two holders must not take turns, in milliseconds.
    pub order_lease_ms: u64,
    /// Window of the weight store's rate, in milliseconds.
    pub load_window_ms: u64,
    /// Milliseconds after trouble of the store or of the way to it within which a host has to know
    /// again what lies there.
    pub contact_ms: u64,
    /// Milliseconds after a key was taken away within which no host may use it any more; none if hosts serve on
    /// with the last configuration that they know.
    pub revoke_ms: Option<u64>,
    /// What the quotas of organisations leave for hosts that can't be asked.
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
