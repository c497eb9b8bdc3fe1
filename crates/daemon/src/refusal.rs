//! Refusals as callers see them: an error object, a verdict, and when to come back.

use serde_json::json;
use vanetally_core::{RefusalReason, Refused};
use vanetally_link::http::Reply;
use vanetally_types::Verdict;

/// A refusal on its way to the caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// What programs look at.
    pub code: String,
    /// What people read.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to come back, in milliseconds.
    pub retry_after: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run and is not worth repeating as it is.
    pub fn new(status: u16, code: &str, message: &str) -> Self {
        Self {
            status,
            code: code.to_owned(),
            message: message.to_owned(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// The error object.
    pub fn object(&self) -> serde_json::Value {
        let kind = match self.status {
            400..500 => "invalid_request_error",
            _ => "server_error",
        };
        json!({"error": {
            "message": self.message, "type": kind, "code": self.code, "param": null,
            "verdict": self.verdict.as_str(), "retry_after_ms": self.retry_after,
        }})
    }

    /// The whole answer.
    pub fn reply(&self) -> Reply {
        let reply = Reply::json(self.status, &self.object())
            .with_header("X-Verdict", self.verdict.as_str());
        match self.retry_after {
            Some(millis) => {
                reply.with_header("Retry-After", millis.div_ceil(1_000).max(1).to_string())
            }
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
            retry_after: refused.retry_after_ms,
        }
    }
}
