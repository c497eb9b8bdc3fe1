//! Stand-ins for the outside systems: the platform's service, model engines, the weight store and
//! plain services.
//!
//! Each stand-in serves its protocol over HTTP, injects faults on request (`POST /fault`) and
//! reports counters (`GET /stats`), which the tests check.
#![deny(missing_docs, unsafe_code)]

/// The model engine.
pub mod engine;
/// Fault injection, controlled by `POST /fault`.
pub mod fault;
/// The platform's service: key-value store, leases and host list.
pub mod platform;
/// The plain service.
pub mod service;
/// The weight store.
pub mod store;

/// The engine's memory, usable without sockets.
pub mod memory;
mod model;
mod server;
