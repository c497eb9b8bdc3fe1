//! Load and experiments.
#![deny(missing_docs, unsafe_code)]

/// Added time and memory of a daemon between a caller and an engine.
pub mod overhead;
