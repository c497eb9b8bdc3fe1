//! Requests under which upstreams end: which contents are not sent any more.
//!
//! A request whose attempt broke off is evidence against its content, kept at one host for each content, the
//! judge. A content under which several upstreams ended, and none answered, is kept from all upstreams; all
//! hosts hear of it. State machines only: no clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod held;
mod judge;

pub use held::Held;
pub use judge::{Judge, Sentence};

/// Identifies the content of requests: method, path and body.
pub type Content = u64;
