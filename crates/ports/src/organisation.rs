//! Organisations, the keys that their callers bear, and how much they may ask for.

use sha2::{Digest, Sha256};
use vanetally_types::Name;

/// Bytes of a digest that are kept.
const DIGEST_BYTES: usize = 16;

/// What is kept of a caller's key: a digest, so that no log line, dump or error can show the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerKey([u8; DIGEST_BYTES]);

impl CallerKey {
    /// The key whose text is `text`.
    pub fn new(text: &str) -> Self {
        let digest = Sha256::digest(text.as_bytes());
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(kept)
    }
}

impl std::fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// What a request shows of who sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nothing, or nothing that can be read as one key.
    Missing,
    /// A key.
    Key(CallerKey),
}

/// On whose behalf a request is sent to an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// No organisations are configured: what callers say of themselves is passed on.
    #[default]
    Unchecked,
    /// Its route is open to everybody: no organisation is told.
    Open,
    /// The organisation that holds the caller's key.
    Organisation(Name),
}

/// Whose callers may use which keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The operators' name.
    pub name: Name,
    /// The keys that its callers may bear.
    pub keys: Vec<CallerKey>,
    /// Rank of its requests, 0 is the most urgent; it goes before the route's.
    pub priority: Option<u8>,
    /// How much it may ask for; any amount if none.
    pub quota: Option<Quota>,
}

/// What an organisation may ask for over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens in and out; a request that states none counts as `default_tokens`.
    Tokens {
        /// Tokens of a request that states none.
        default_tokens: u32,
    },
}

impl Quota {
    /// What a request with so many tokens counts as.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}
