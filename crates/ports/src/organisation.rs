//! Organisations, their callers' keys and their quotas.

use sha2::{Digest, Sha256};
use vanetally_types::Name;

/// Bytes of a key's SHA-256 digest that are kept.
const DIGEST_BYTES: usize = 16;

/// Digest of a caller's key. The key itself is not kept, so no log line, dump or error can reveal it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerKey([u8; DIGEST_BYTES]);

impl CallerKey {
    /// Computes the digest of the key `text`.
    pub fn new(text: &str) -> Self {
        let digest = Sha256::digest(text.as_bytes());
        let mut prefix = [0; DIGEST_BYTES];
        prefix.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(prefix)
    }
}

impl std::fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Credential of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No credential, or one that cannot be parsed as a single key.
    Missing,
    /// Digest of the caller's key.
    Key(CallerKey),
}

/// On whose behalf a request is sent to an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// No organisations are configured: identity headers of the caller are passed on unchanged.
    #[default]
    Unchecked,
    /// The route needs no key: no organisation is passed on.
    Open,
    /// The organisation that owns the caller's key.
    Organisation(Name),
}

/// An organisation with the keys and the quota of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name given by the operators.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<CallerKey>,
    /// Priority of its requests, which overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Quota over all hosts; `None` if unlimited.
    pub quota: Option<Quota>,
}

/// Quota of an organisation over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Unit that the quota counts.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: f64,
    /// Additional units allowed at once.
    pub burst: f64,
}

/// Unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Prompt and output tokens; a request that states none counts as `default_tokens`.
    Tokens {
        /// Tokens charged for a request that states none.
        default_tokens: u32,
    },
}

impl Quota {
    /// Returns the units that a request with `tokens` tokens costs.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}
