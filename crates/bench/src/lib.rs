//! Measurements of the daemon under load.
#![deny(missing_docs, unsafe_code)]

/// Latency and memory that a daemon adds between a caller and an engine.
pub mod overhead;
