//! Quarantine of request contents that crash upstreams.
//!
//! A request whose attempt broke off is evidence against its content if the upstream then shows signs of a crash. The
//! evidence on each content is kept by a few hosts. A content under which several upstreams crashed and that none
//! answered is quarantined: no host sends it to any upstream. The quarantine is announced to all hosts and stored, so
//! that it survives their restarts.
//!
//! The crate holds state machines only: the caller supplies the time and does all I/O.
#![deny(missing_docs, unsafe_code)]

mod blocked_contents;
mod evidence;
mod quarantine;

pub use blocked_contents::BlockedContents;
pub use evidence::{CrashEvidence, CrashReport, CrashSign};
pub use quarantine::Quarantine;

/// Hash of a request's content: method, path and body.
pub type ContentHash = u64;
