//! The daemon: runs the core with sockets, threads and a clock.
//!
//! One `stakker` event loop owns the core, which makes all decisions. Callers' exchanges, calls to
//! runners, calls to the platform's service and the links run on threads of their own and exchange
//! messages with the loop.
#![deny(missing_docs, unsafe_code)]

mod admin;
mod admission;
mod answer_room;
mod daemon;
mod frontend;
mod hub;
mod platform;
mod proxy;
mod refusal;
mod runner;
mod shared;
mod sse;
mod telemetry;

pub use admission::token_hash;
pub use daemon::Daemon;
