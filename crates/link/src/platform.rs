//! Client of the platform's key-value service and its list of hosts.

use crate::call::{Call, Client, Options};
use std::time::Duration;
use vanetally_target::Target;
use vanetally_types::{Name, Verdict};

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Changes with each write of the key; never 0.
    pub version: u64,
    /// The stored bytes.
    pub bytes: Vec<u8>,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect; the key now has this version.
    Written(u64),
    /// The key had another version, with this value; nothing changed.
    Conflict(Option<Value>),
}

/// An error of a call to the service.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The service is unreachable, slow or failing: a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
    /// The service rejected the call without effect, because of its credential, size or rate.
    #[error("the platform refused: {0}")]
    Rejected(String),
}

/// Interface of the platform's service.
pub trait Platform: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    /// If the service does not answer.
    fn get(&self, key: &str) -> Result<Option<Value>, Error>;

    /// Writes a key if it has `expected_version`; 0 means that it must not exist.
    ///
    /// # Errors
    /// If the service does not answer; the write may have taken effect.
    fn put(&self, key: &str, expected_version: u64, bytes: &[u8]) -> Result<PutOutcome, Error>;

    /// Waits up to `wait` for a version of the key other than `seen_version`.
    ///
    /// # Errors
    /// If the service does not answer.
    fn watch(&self, key: &str, seen_version: u64, wait: Duration) -> Result<Option<Value>, Error>;

    /// Returns the list of hosts as JSON.
    ///
    /// # Errors
    /// If the service does not answer.
    fn hosts(&self) -> Result<Vec<u8>, Error>;
}

/// The platform's service, called over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base_url: String,
    credential: Name,
    timeout: Duration,
    client: Client,
}

/// Maximum size of an answer; the service's own limit for values is lower.
const MAX_ANSWER_BYTES: usize = 2_000_000;

impl HttpPlatform {
    /// Creates a client of the service at `base_url`, `http://IP:PORT`; `timeout` applies to each
    /// call.
    pub fn new(base_url: &str, credential: Name, timeout: Duration) -> Self {
        let options = Options {
            connect_timeout: timeout.min(CONNECT_TIMEOUT),
            idle_timeout: WATCH_IDLE_TIMEOUT,
        };
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { base_url, credential, timeout, client: Client::new(options) }
    }

    fn call(
        &self,
        method: &str,
        target: &Target,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, u64, Vec<u8>), Error> {
        let call = Call {
            method: method.to_owned(),
            url: format!("{}{target}", self.base_url),
            headers: vec![("Authorization".into(), format!("Bearer {}", self.credential))],
            body: body.to_vec(),
            timeout,
        };
        let answer = self.client.send(&call).map_err(|e| match e.verdict {
            Verdict::NotRun if !e.unreachable => Error::Rejected(e.message),
            _ => Error::Unavailable(e.message),
        })?;
        let version = answer
            .headers
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case("x-version"))
            .and_then(|(_, value)| value.parse().ok());
        let status = answer.status;
        let bytes = answer
            .read_whole(MAX_ANSWER_BYTES, |_| true)
            .map_err(|e| Error::Unavailable(e.to_string()))?;
        match status {
            200 | 404 | 409 => Ok((status, version.unwrap_or(0), bytes)),
            400 | 401 | 403 | 413 | 429 => {
                let text = String::from_utf8_lossy(&bytes).trim().to_owned();
                Err(Error::Rejected(format!("{status} {text}")))
            }
            status => Err(Error::Unavailable(format!("status {status}"))),
        }
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle timeout of all calls; a watch gets no data until the value changes.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the value; `None` for version 0, which means that the key does not exist.
fn value(version: u64, bytes: Vec<u8>) -> Option<Value> {
    (version > 0).then_some(Value { version, bytes })
}

impl Platform for HttpPlatform {
    fn get(&self, key: &str) -> Result<Option<Value>, Error> {
        let (_, version, bytes) =
            self.call("GET", &Target::new("/kv").key(key), &[], self.timeout)?;
        Ok(value(version, bytes))
    }

    fn put(&self, key: &str, expected_version: u64, bytes: &[u8]) -> Result<PutOutcome, Error> {
        let target = Target::new("/kv").key(key).parameter("version", expected_version);
        let (status, version, bytes) = self.call("PUT", &target, bytes, self.timeout)?;
        match status {
            200 if version > 0 => Ok(PutOutcome::Written(version)),
            409 | 404 => Ok(PutOutcome::Conflict(value(version, bytes))),
            _ => Err(Error::Unavailable("an answer without a version".into())),
        }
    }

    fn watch(&self, key: &str, seen_version: u64, wait: Duration) -> Result<Option<Value>, Error> {
        let target = Target::new("/kv").key(key).parameter("after", seen_version);
        let target = target.parameter("wait_ms", wait.as_millis());
        let (_, version, bytes) = self.call("GET", &target, &[], wait + self.timeout)?;
        Ok(value(version, bytes))
    }

    fn hosts(&self) -> Result<Vec<u8>, Error> {
        let (_, _, bytes) = self.call("GET", &Target::new("/hosts"), &[], self.timeout)?;
        Ok(bytes)
    }
}
