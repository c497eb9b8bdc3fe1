//! Quarantine of request contents that crash upstreams.
//!
//! A request consists of contents: its body, and the parts of its prompt that other requests may share. All contents of
//! the requests that an upstream had under way when it crashed are suspect. The evidence on each content is kept by a few
//! hosts. A content under which several upstreams crashed, one of them after an earlier crash was known, and that no
//! upstream has answered since, is quarantined: no host sends it to any upstream. Meanwhile one request with it is tried at a
//! time, over all hosts. The quarantine is announced to all hosts and stored, so that it survives their restarts.
//!
//! The crate holds state machines only: the caller supplies the time and does all I/O.
#![deny(missing_docs, unsafe_code)]

mod answers;
mod blocked_contents;
mod contents;
mod evidence;
mod quarantine;
mod record;
mod suspicion;
mod tries;

pub use blocked_contents::BlockedContents;
pub use contents::{ContentHash, contents_of, part_content};
pub use evidence::{CrashEvidence, CrashReport, Finding};
pub use quarantine::Quarantine;
pub use record::CrashSign;
pub use suspicion::Suspicion;
