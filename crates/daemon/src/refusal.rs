//! Refusals as HTTP answers: an error object, a verdict and the time to retry.

use serde_json::json;
use vanetally_core::{RefusalReason, Refused};
use vanetally_link::http::Reply;
use vanetally_types::Verdict;

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Error code for programs.
    pub code: String,
    /// Error message for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which to retry.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run and that should not be repeated unchanged.
    pub fn new(status: u16, code: &str, message: &str) -> Self {
        Self {
            status,
            code: code.to_owned(),
            message: message.to_owned(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
        }
    }

    /// Returns the error object of the body.
    pub fn object(&self) -> serde_json::Value {
        let error_type = match self.status {
            400..500 => "invalid_request_error",
            _ => "server_error",
        };
        json!({"error": {
            "message": self.message, "type": error_type, "code": self.code, "param": null,
            "verdict": self.verdict.as_str(), "retry_after_ms": self.retry_after_ms,
        }})
    }

    /// Returns the HTTP answer.
    pub fn reply(&self) -> Reply {
        let reply = Reply::json(self.status, &self.object())
            .with_header("X-Verdict", self.verdict.as_str());
        match self.retry_after_ms {
            Some(ms) => reply.with_header("Retry-After", ms.div_ceil(1_000).max(1).to_string()),
            None => reply,
        }
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        let (status, code, message) = match (refused.reason, refused.verdict) {
            (RefusalReason::DeadlineUnmeetable, _) => {
                (503, "deadline_unmeetable", "the queue is too long for this deadline")
            }
            (RefusalReason::Overloaded, _) => (503, "overloaded", "too many requests wait"),
            (RefusalReason::NoUpstream, _) => {
                (503, "no_upstream", "nothing serves this target now")
            }
            (RefusalReason::UpstreamFailed, Verdict::NotRun) => {
                (503, "upstream_unavailable", "no upstream took the request")
            }
            (RefusalReason::UpstreamFailed, _) => {
                (502, "upstream_failed", "the upstream broke off; the request may have run")
            }
            (RefusalReason::AlreadyRan, _) => {
                (409, "already_ran", "a request with this id ran; its answer is not kept")
            }
            (RefusalReason::IdUncertain, _) => {
                (409, "id_uncertain", "a request with this id may have run")
            }
            (RefusalReason::IdUndecided, _) => {
                (503, "id_undecided", "it can't be decided now whether this id has run")
            }
        };
        Self {
            status,
            code: code.into(),
            message: message.into(),
            verdict: refused.verdict,
            retry_after_ms: refused.retry_after_ms,
        }
    }
}
