//! What callers send and what they are told.

use crate::{Credential, FormatError};
use bytes::Bytes;
use vanetally_types::{Name, Verdict};

/// The model that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelRef {
    /// The model's name.
    pub model: Name,
    /// An adapter of it.
    pub adapter: Option<Name>,
}

impl std::fmt::Display for ModelRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => f.write_str(&self.model),
        }
    }
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What the decisions need to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's name for this attempt, unique.
    pub id: Name,
    /// The host that it names.
    pub host: Name,
    /// Its path.
    pub path: Name,
    /// Milliseconds that the caller will wait.
    pub wait_ms: Option<u64>,
    /// What it shows of who sends it.
    pub credential: Credential,
    /// Whether it states its tokens.
    pub has_token_count: bool,
    /// The model that it asks for.
    pub model: Option<ModelRef>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Most tokens that it may make.
    pub output_tokens: u32,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has of a broken stream.
    pub last_event: Option<Name>,
}

/// Why the product itself ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NotConfigured,
    /// No route takes it.
    NoRoute,
    /// It bears no key that an organisation holds.
    Unauthorized,
    /// Its organisation has asked for as much as it may.
    OverQuota,
    /// Whether its key still holds is not known here: the configuration may be out of date.
    Unconfirmed,
    /// Its organisation's quota could not be asked for.
    QuotaUnknown,
    /// Upstreams ended under requests of the same content.
    Quarantined,
    /// Its head or body can't be understood.
    Malformed,
    /// Its body is too long.
    TooLong,
    /// No upstream can take it now.
    NoUpstream,
    /// It would not be answered in time.
    Overloaded,
    /// Those that could take it are in need, and take no more for now.
    RateLimited,
    /// Those that could take it have asked for rest.
    Cooldown,
    /// Its time is over.
    TimedOut,
    /// The upstream failed.
    UpstreamFailed,
    /// The host is stopping.
    Stopping,
}

impl RefusalCause {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::OverQuota => "over_quota",
            Self::Unconfirmed => "unconfirmed",
            Self::QuotaUnknown => "quota_unknown",
            Self::Quarantined => "quarantined",
            Self::Malformed => "malformed",
            Self::TooLong => "too_long",
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::RateLimited => "limited",
            Self::Cooldown => "resting",
            Self::TimedOut => "timed_out",
            Self::UpstreamFailed => "upstream_failed",
            Self::Stopping => "stopping",
        }
    }
}

/// A final answer of the product's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When it is worth to come back, in milliseconds; only if it has not run.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(cause: RefusalCause, retry_after_ms: Option<u64>) -> Self {
        Self { cause, verdict: Verdict::NotRun, retry_after_ms }
    }

    /// The same refusal of a request with this verdict: one that may have run is not asked to come back.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => self,
            _ => Self { verdict, retry_after_ms: None, ..self },
        }
    }

    /// The end of a request that may have run.
    pub fn may_have_run(cause: RefusalCause) -> Self {
        Self { cause, verdict: Verdict::MayHaveRun, retry_after_ms: None }
    }
}

/// What callers speak.
pub trait CallerProtocol {
    /// The path at which the balancer asks whether this host takes new connections.
    fn readiness_path(&self) -> &str;

    /// Reads the head of a request.
    ///
    /// # Errors
    /// If it lacks what every request has to state, or states it in no known form.
    fn read(&self, head: &http::request::Parts) -> Result<CallerRequest, FormatError>;

    /// The answer that tells `refusal` of the request `id`.
    fn refuse(&self, id: Option<&Name>, refusal: &Refusal) -> http::Response<Bytes>;
}
