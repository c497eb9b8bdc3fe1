//! Requests of callers and refusals.

use crate::{Credential, FormatError, Software};
use bytes::Bytes;
use vanetally_types::{Name, Verdict};

/// Model and adapter that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelRef {
    /// Name of the model.
    pub model: Name,
    /// Name of an adapter of the model, if one is requested.
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

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Properties of a request that routing and scheduling depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Unique id that the caller gave the request.
    pub id: Name,
    /// Requested host name.
    pub host: Name,
    /// Request path.
    pub path: Name,
    /// Time that the caller waits for the answer.
    pub wait_ms: Option<u64>,
    /// Credential of the caller.
    pub credential: Credential,
    /// Whether the request states its numbers of tokens.
    pub has_token_count: bool,
    /// Requested model.
    pub model: Option<ModelRef>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller received of a broken stream.
    pub last_event: Option<Name>,
    /// Id of the request that brought the first event of that stream; `None` if it is not stated or malformed.
    pub resumes: Option<Name>,
    /// Software that began that stream. It is not read from the request, but looked up.
    pub continues: Option<Software>,
}

impl CallerRequest {
    /// Returns the parts of the prompt that other requests may share. The last part belongs to this request alone.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// Why the gateway refuses or ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCause {
    /// No configuration has been received yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The request has no key that belongs to an organisation.
    Unauthorized,
    /// The quota of the organisation is used up.
    OverQuota,
    /// It is unknown whether the key is still valid, since the configuration may be out of date.
    Unconfirmed,
    /// The quota could not be requested from its grantor.
    QuotaUnknown,
    /// Upstreams crashed while running requests with the same content.
    Quarantined,
    /// The head or body is malformed.
    Malformed,
    /// The body is too long.
    TooLong,
    /// Nothing of the body arrived for too long.
    BodyTimeout,
    /// The host has no room for the body.
    NoRoom,
    /// No upstream is available.
    NoUpstream,
    /// The request would not be answered in time.
    Overloaded,
    /// The suitable upstreams have reached their stated rate limits.
    RateLimited,
    /// The suitable upstreams are in cooldown.
    Cooldown,
    /// It is unknown at which software version the stream began that the request takes up.
    StreamUnknown,
    /// No upstream of the software version that began the stream can take it.
    VersionGone,
    /// The deadline has passed.
    TimedOut,
    /// The upstream failed.
    UpstreamFailed,
    /// The host is stopping.
    Stopping,
}

impl RefusalCause {
    /// Returns the name used in logs and metrics.
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
            Self::BodyTimeout => "body_timeout",
            Self::NoRoom => "no_room",
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::RateLimited => "limited",
            Self::Cooldown => "resting",
            Self::StreamUnknown => "stream_unknown",
            Self::VersionGone => "version_gone",
            Self::TimedOut => "timed_out",
            Self::UpstreamFailed => "upstream_failed",
            Self::Stopping => "stopping",
        }
    }
}

/// A final answer by the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which a retry is worthwhile; `None` if the request may have run.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(cause: RefusalCause, retry_after_ms: Option<u64>) -> Self {
        Self { cause, verdict: Verdict::NotRun, retry_after_ms }
    }

    /// Returns the same refusal with `verdict`; a request that may have run gets no retry time.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => self,
            _ => Self { verdict, retry_after_ms: None, ..self },
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(cause: RefusalCause) -> Self {
        Self { cause, verdict: Verdict::MayHaveRun, retry_after_ms: None }
    }
}

/// Protocol of callers.
pub trait CallerProtocol {
    /// Returns the path where the load balancer checks whether this host accepts new connections.
    fn readiness_path(&self) -> &str;

    /// Parses the head of a request.
    ///
    /// # Errors
    /// If a required value is missing or malformed.
    fn read(&self, head: &http::request::Parts) -> Result<CallerRequest, FormatError>;

    /// Returns the response for `refusal` of the request `id`.
    fn refuse(&self, id: Option<&Name>, refusal: &Refusal) -> http::Response<Bytes>;
}
