//! Model checks of the core protocol: small models around the real state machines.
//!
//! A model has a state (processes, messages in flight, the platform, an upstream), the steps that
//! lead from one state to the next, and an invariant. [`search`] visits every state within the
//! bounds, breadth first. If a state violates the invariant, the trace is the shortest path to it.
#![deny(missing_docs, unsafe_code)]

/// At-most-once execution of ids: three hosts, a platform, attempts.
pub mod claims;
/// Publishing of the configuration: two operators, a platform, hosts that follow it.
pub mod config;
/// The order lease: two hosts, a store that loses answers, pauses, restarts.
pub mod orders;
/// Waiting for quota: two grantors, two hosts, lost, late and doubled messages, pauses.
pub mod quota;
/// Revocation of keys: a host that reads the store, a host that follows it, clock skew, late
/// messages.
pub mod revocation;
/// Memory of a runner: two leaders, lost and late orders.
pub mod runner;
mod search;
/// Slots of a plain upstream: an owner and its successor, two hosts, lost, doubled and late messages.
pub mod slots;

pub use search::{Outcome, State, Steps, search, walk};
