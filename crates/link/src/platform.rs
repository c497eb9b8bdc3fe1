//! The platform's key-value service and its list of hosts.

use crate::call::{Call, Client, Options};
use std::{io::Read, time::Duration};
use vanetally_types::{Name, Verdict};

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Changes with each write of the key; never 0.
    pub version: u64,
    /// The bytes as written.
    pub bytes: Vec<u8>,
}

/// What became of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect and the key has this version.
    Written(u64),
    /// The key had another version; nothing changed.
    Conflict(Option<Value>),
}

/// Why the service gave no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// Out of reach, slow or failing: a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
    /// Refused without effect: credential, size or rate.
    #[error("the platform refused: {0}")]
    Rejected(String),
}

/// The service as its users see it.
pub trait Platform: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    /// If the service does not answer.
    fn get(&self, key: &str) -> Result<Option<Value>, Error>;

    /// Writes a key if it has version `base`; 0 means that it must not exist.
    ///
    /// # Errors
    /// If the service does not answer, in which case the write may have taken effect.
    fn put(&self, key: &str, base: u64, bytes: &[u8]) -> Result<PutOutcome, Error>;

    /// Waits up to `wait` for a version of the key other than `seen`.
    ///
    /// # Errors
    /// If the service does not answer.
    fn watch(&self, key: &str, seen: u64, wait: Duration) -> Result<Option<Value>, Error>;

    /// The hosts, as JSON.
    ///
    /// # Errors
    /// If the service does not answer.
    fn hosts(&self) -> Result<Vec<u8>, Error>;
}

/// The service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: String,
    credential: Name,
    within: Duration,
    caller: Client,
}

/// Values are at most this large, with room for the service's own limit.
const MOST_VALUE: u64 = 2_000_000;

impl HttpPlatform {
    /// The service at `base`, `http://IP:PORT`, each call bounded by `within`.
    pub fn new(base: &str, credential: Name, within: Duration) -> Self {
        let options = Options { connect_timeout: within.min(CONNECT), idle_timeout: WATCH_SILENCE };
        let base = base.trim_end_matches('/').to_owned();
        Self { base, credential, within, caller: Client::new(options) }
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<(u16, u64, Vec<u8>), Error> {
        let call = Call {
            method: method.to_owned(),
            url: format!("{}{path}", self.base),
            headers: vec![("Authorization".into(), format!("Bearer {}", self.credential))],
            body: body.to_vec(),
            timeout: within,
        };
        let answer = self.caller.send(&call).map_err(|e| match e.verdict {
            Verdict::NotRun if !e.unreachable => Error::Rejected(e.message),
            _ => Error::Unavailable(e.message),
        })?;
        let version = answer
            .headers
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case("x-version"))
            .and_then(|(_, value)| value.parse().ok());
        let mut bytes = Vec::new();
        answer
            .body
            .take(MOST_VALUE)
            .read_to_end(&mut bytes)
            .map_err(|e| Error::Unavailable(e.to_string()))?;
        match answer.status {
            200 | 404 | 409 => Ok((answer.status, version.unwrap_or(0), bytes)),
            400 | 401 | 403 | 413 | 429 => {
                let text = String::from_utf8_lossy(&bytes).trim().to_owned();
                Err(Error::Rejected(format!("{} {text}", answer.status)))
            }
            status => Err(Error::Unavailable(format!("status {status}"))),
        }
    }
}

/// To connect to the service.
const CONNECT: Duration = Duration::from_secs(1);
/// A watch may be silent for long.
const WATCH_SILENCE: Duration = Duration::from_secs(60);

fn value(version: u64, bytes: Vec<u8>) -> Option<Value> {
    (version > 0).then_some(Value { version, bytes })
}

impl Platform for HttpPlatform {
    fn get(&self, key: &str) -> Result<Option<Value>, Error> {
        let (_, version, bytes) = self.call("GET", &format!("/kv/{key}"), &[], self.within)?;
        Ok(value(version, bytes))
    }

    fn put(&self, key: &str, base: u64, bytes: &[u8]) -> Result<PutOutcome, Error> {
        let path = format!("/kv/{key}?version={base}");
        let (status, version, bytes) = self.call("PUT", &path, bytes, self.within)?;
        match status {
            200 if version > 0 => Ok(PutOutcome::Written(version)),
            409 | 404 => Ok(PutOutcome::Conflict(value(version, bytes))),
            _ => Err(Error::Unavailable("an answer without a version".into())),
        }
    }

    fn watch(&self, key: &str, seen: u64, wait: Duration) -> Result<Option<Value>, Error> {
        let path = format!("/kv/{key}?after={seen}&wait_ms={}", wait.as_millis());
        let (_, version, bytes) = self.call("GET", &path, &[], wait + self.within)?;
        Ok(value(version, bytes))
    }

    fn hosts(&self) -> Result<Vec<u8>, Error> {
        let (_, _, bytes) = self.call("GET", "/hosts", &[], self.within)?;
        Ok(bytes)
    }
}
