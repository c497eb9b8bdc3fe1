//! Settings of one daemon: addresses, failure domain, limits and timing.

use crate::{Millis, Size, jsonc};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::Path};
use vanetally_types::Name;

/// Settings that a daemon reads at its start, before it contacts the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name in the platform's list.
    pub host: Name,
    /// The host's failure domain.
    pub domain: Name,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for operators and the load balancer's health checks.
    pub admin: SocketAddr,
    /// Listen address for other daemons.
    pub peer: SocketAddr,
    /// Base URL of the platform's service, `http://IP:PORT`.
    pub platform: String,
    /// Credential for the platform's service.
    pub credential: Name,
    /// Key shared by all daemons; at least 16 characters.
    pub link_key: Name,
    /// Limits for callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
}

/// Limits for callers' requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body: Size,
    /// Maximum number of parallel requests, including streams.
    pub streams: usize,
    /// Maximum number of requests waiting for a replica.
    pub queue: usize,
    /// Maximum size of an answer that is stored for repeats of an at-most-once request.
    pub kept: Size,
    /// Memory that the process may use; callers may make it hold at most half of it.
    pub memory: Size,
    /// Descriptors that the process may use; connections of callers take at most half of them.
    pub descriptors: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Size(1_000_000),
            streams: 1_000,
            queue: 2_000,
            kept: Size(64_000),
            memory: Size(256_000_000),
            descriptors: 4_096,
        }
    }
}

/// Intervals and timeouts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between polls of a runner.
    pub poll: Millis,
    /// Interval between pings of a peer.
    pub ping: Millis,
    /// Time without a message after which a peer is suspected.
    pub suspect: Millis,
    /// Default deadline of a request, from its arrival.
    pub deadline: Millis,
    /// Maximum deadline of a request, from its arrival; idempotency keys are stored as long.
    pub horizon: Millis,
    /// Timeout for connecting to an upstream.
    pub connect: Millis,
    /// Maximum time between two pieces of an upstream's answer.
    pub silence: Millis,
    /// Timeout of one call to the platform's service.
    pub platform: Millis,
    /// Maximum time that a planned stop waits for requests in flight.
    pub stop: Millis,
    /// Maximum time from the first byte of a request's head to its end.
    pub head: Millis,
    /// Time after which a caller's connection without a request, or with a body that stopped, is closed.
    pub idle: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll: Millis(500),
            ping: Millis(500),
            suspect: Millis(3_000),
            deadline: Millis(60_000),
            horizon: Millis(600_000),
            connect: Millis(1_000),
            silence: Millis(30_000),
            platform: Millis(2_000),
            stop: Millis(600_000),
            head: Millis(10_000),
            idle: Millis(120_000),
        }
    }
}

/// An error from reading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read or a value has the wrong type.
    #[error(transparent)]
    Read(#[from] jsonc::Error),
    /// A value is out of range or inconsistent with another one.
    #[error("{file}: at `{key}`: {message}")]
    Value {
        /// The file's path as given.
        file: String,
        /// Key of the value.
        key: &'static str,
        /// Description of the error.
        message: &'static str,
    },
}

const MIN_KEY_LEN: usize = 16;
/// Bodies of full size that the memory must hold: half of it is for callers, who may send one such body at any time, which
/// is held twice while it is sent on.
const MIN_BODIES: u64 = 8;
const MIN_DESCRIPTORS: u64 = 256;

impl Settings {
    /// Reads and validates the settings in the file at `path`.
    pub fn from_path(path: &Path) -> Result<Self, Error> {
        let settings: Self = jsonc::from_path(path)?;
        match settings.first_fault() {
            None => Ok(settings),
            Some((key, message)) => {
                Err(Error::Value { file: path.display().to_string(), key, message })
            }
        }
    }

    /// Returns the key of the first invalid value and a description of the error.
    fn first_fault(&self) -> Option<(&'static str, &'static str)> {
        let t = &self.timing;
        let faults = [
            (self.host.is_empty(), "host", "must not be empty"),
            (self.domain.is_empty(), "domain", "must not be empty"),
            (!self.platform.starts_with("http://"), "platform", "must start with http://"),
            (self.link_key.len() < MIN_KEY_LEN, "link_key", "must have at least 16 characters"),
            (self.limits.streams == 0, "limits.streams", "must be at least 1"),
            (self.limits.body.0 == 0, "limits.body", "must be at least 1B"),
            (
                self.limits.memory.0 < MIN_BODIES * self.limits.body.0,
                "limits.memory",
                "must be at least eight times limits.body",
            ),
            (
                self.limits.descriptors < MIN_DESCRIPTORS,
                "limits.descriptors",
                "must be at least 256",
            ),
            (t.head.0 == 0, "timing.head", "must be at least 1ms"),
            (t.idle.0 == 0, "timing.idle", "must be at least 1ms"),
            (t.poll.0 == 0, "timing.poll", "must be at least 1ms"),
            (t.ping.0 == 0, "timing.ping", "must be at least 1ms"),
            (t.suspect.0 < 2 * t.ping.0, "timing.suspect", "must be at least twice timing.ping"),
            (t.horizon < t.deadline, "timing.horizon", "must not be below timing.deadline"),
        ];
        faults.into_iter().find(|f| f.0).map(|f| (f.1, f.2))
    }
}
