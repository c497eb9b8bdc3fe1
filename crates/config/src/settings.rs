//! The settings of one daemon: its addresses, its failure domain, its limits.

use crate::{Millis, Size, jsonc};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::Path};
use vanetally_types::Name;

/// What a daemon needs to know before it can reach the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, as in the platform's list.
    pub host: Name,
    /// The host's failure domain.
    pub domain: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators and the balancer's health checks connect.
    pub admin: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// Base address of the platform's service, `http://IP:PORT`.
    pub platform: String,
    /// The credential shown to the platform.
    pub credential: Name,
    /// The key that all daemons share; at least 16 characters.
    pub link_key: Name,
    /// Limits on what callers may take.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and time-outs.
    #[serde(default)]
    pub timing: Timing,
}

/// Bounds on callers' requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body: Size,
    /// Most requests at once, streams included.
    pub streams: usize,
    /// Most requests waiting for a replica.
    pub queue: usize,
    /// Largest answer kept for repeats of a once-only request.
    pub kept: Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body: Size(1_000_000), streams: 1_000, queue: 2_000, kept: Size(64_000) }
    }
}

/// Periods and time-outs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between two polls of a runner.
    pub poll: Millis,
    /// Between two pings of a peer.
    pub ping: Millis,
    /// Without word from a peer for this long, it is suspected.
    pub suspect: Millis,
    /// The deadline of a request that names none.
    pub deadline: Millis,
    /// The latest deadline that a request may name, and how long a once-only id is remembered.
    pub horizon: Millis,
    /// To connect to an upstream.
    pub connect: Millis,
    /// Longest silence of an upstream within an answer.
    pub silence: Millis,
    /// For one call of the platform's service.
    pub platform: Millis,
    /// How long a planned stop waits for requests in flight.
    pub stop: Millis,
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
        }
    }
}

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read or a value has the wrong shape.
    #[error(transparent)]
    Read(#[from] jsonc::Error),
    /// A value has the right shape and makes no sense.
    #[error("{file}: at `{key}`: {message}")]
    Value {
        /// The file as it was named.
        file: String,
        /// The key of the value.
        key: &'static str,
        /// What is wrong with it.
        message: &'static str,
    },
}

const LEAST_KEY: usize = 16;

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    pub fn from_path(path: &Path) -> Result<Self, Error> {
        let settings: Self = jsonc::from_path(path)?;
        match settings.fault() {
            None => Ok(settings),
            Some((key, message)) => {
                Err(Error::Value { file: path.display().to_string(), key, message })
            }
        }
    }

    /// The first value that makes no sense, with what is wrong.
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        let t = &self.timing;
        let faults = [
            (self.host.is_empty(), "host", "must not be empty"),
            (self.domain.is_empty(), "domain", "must not be empty"),
            (!self.platform.starts_with("http://"), "platform", "must start with http://"),
            (self.link_key.len() < LEAST_KEY, "link_key", "must have at least 16 characters"),
            (self.limits.streams == 0, "limits.streams", "must be at least 1"),
            (self.limits.body.0 == 0, "limits.body", "must be at least 1B"),
            (t.poll.0 == 0, "timing.poll", "must be at least 1ms"),
            (t.ping.0 == 0, "timing.ping", "must be at least 1ms"),
            (t.suspect.0 < 2 * t.ping.0, "timing.suspect", "must be at least twice timing.ping"),
            (t.horizon < t.deadline, "timing.horizon", "must not be below timing.deadline"),
        ];
        faults.into_iter().find(|f| f.0).map(|f| (f.1, f.2))
    }
}
