//! Requests under which upstreams end: which contents are not sent any more.
//!
//! A request whose attempt broke off is evidence against its content where its upstream shows signs of its end. A few
//! hosts keep the evidence of each content. One under which several upstreams ended, and none answered, is kept from
//! all upstreams: all hosts hear of it, and it outlives them. State machines only: no clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod blocked_contents;
mod evidence;
mod quarantine;

pub use blocked_contents::BlockedContents;
pub use evidence::{CrashEvidence, CrashReport, CrashSign};
pub use quarantine::Quarantine;

/// Identifies the content of requests: method, path and body.
pub type ContentHash = u64;
