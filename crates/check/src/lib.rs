//! Model checks of the core protocol: small worlds around the real state machines.
//!
//! Each specification has a world (processes, messages under way, the platform, an upstream), its
//! steps, and a promise. [`search`] visits every world that the bounds allow, breadth first; if
//! one breaks the promise, the shortest way there is the trace.
#![deny(missing_docs, unsafe_code)]

/// At-most-once ids: three hosts, a platform, attempts.
pub mod claims;
/// Configuration: two operators, a platform, hosts that follow.
pub mod config;
/// The lease of orders: two hosts, a store that loses answers, pauses, restarts.
pub mod orders;
/// Keys that are taken away: a host that reads the store, one that hears from it, clocks that differ, late messages.
pub mod revocation;
/// Memory of a runner: two stewards, orders that are lost or late.
pub mod runner;
mod search;

pub use search::{Outcome, Steps, World, search, walk};
