//! Connections of callers: what they hold of the host's memory, how their bodies are read, and how answers reach them.
//!
//! [`Callers`] passes what happens to the admission and performs its actions. Everything here belongs to one thread.
#![deny(missing_docs, unsafe_code)]

mod account;
mod answer;
mod buffer;
mod read;
mod request_body;
mod stream;

pub use account::{Callers, Held, OpenConnection, OpenRequest};
pub use answer::{FullBody, Piece, ResponseBody, ServedBody, Truncated};
pub use read::{CALLER_READ_BYTES, poll_read_some};
pub use request_body::{BodyError, RequestBody};
pub use stream::{CallerStream, ResetOnClose};
