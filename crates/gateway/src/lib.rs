//! The serving path as one event loop: sockets around the decisions of `vanetally-dispatch` and
//! `vanetally-placement`, on one thread.
//!
//! What a deployment speaks comes in through the ports; this crate knows none of its names.
#![deny(missing_docs, unsafe_code, clippy::disallowed_methods)]

mod answer;
mod call;
mod caller;
mod clock;
mod configuration;
mod confirmation;
mod eras;
mod exchange;
mod feed;
mod front;
mod headers;
mod hosts;
mod hub;
mod limits;
mod load;
/// Log lines on standard output that never block the caller.
pub mod logging;
mod orders;
mod pacing;
mod peers;
mod pool;
mod quarantine;
mod questions;
mod quotas;
mod reader;
mod registration;
mod relay;
mod run;
mod sending;
mod settings;
mod sources;
mod statements;
mod status;
mod store;
mod telemetry;
mod tenure;
mod upkeep;
mod upstreams;
mod watch;
mod wire;

pub use run::run;
pub use settings::{Bounds, Settings, StoreSettings};
