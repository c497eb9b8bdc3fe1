//! Strict reading of HTTP/1.1 answers, apart from I/O.
//!
//! HTTP libraries accept more than RFC 9110 and RFC 9112 call an answer, and each accepts something else. An
//! [`AnswerReader`] follows the bytes of a connection before a library sees them, and stops at the first byte that belongs
//! to no answer.
#![deny(missing_docs, unsafe_code, clippy::disallowed_methods)]

mod chunks;
mod head;
mod malformed;
mod reader;

pub use malformed::Malformed;
pub use reader::{AnswerReader, MAX_HEAD_BYTES};
