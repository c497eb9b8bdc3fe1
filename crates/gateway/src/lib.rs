//! The serving path: a single-threaded event loop that connects sockets to the decision logic of
//! `vanetally-dispatch` and `vanetally-placement`.
//!
//! Deployment-specific protocols are implemented behind the ports; this crate contains none of
//! their names.
#![deny(missing_docs, unsafe_code, clippy::disallowed_methods)]

mod body_room;
mod bounded_stream;
mod brittle;
mod call;
mod capabilities;
mod charge;
mod clock;
mod command;
mod configuration;
mod configuration_wait;
mod confirmation;
mod connect;
mod crashed;
mod entry_point;
mod eras;
mod evacuations;
mod exchange;
mod exit;
mod feed;
mod framing;
mod headers;
mod host_entry;
mod hosts;
mod hub;
mod inbox;
mod limits;
mod listener;
mod load;
mod log_limit;
/// Log output on standard output that never blocks the caller.
pub mod logging;
mod odd_entries;
mod order_call;
mod order_lease;
mod orders;
mod pacing;
mod peers;
mod pending_request;
mod pool;
mod probing;
mod quarantine;
mod queries;
mod quota_query;
mod quotas;
mod reach;
mod reader;
mod registration;
mod relay;
mod request_body;
mod request_log;
mod run;
mod sending;
mod settings;
mod slots;
mod sources;
mod statements;
mod status;
mod store;
mod stored_quarantines;
mod streams;
mod telemetry;
mod tries;
mod tunnels;
mod upkeep;
mod upstreams;
mod version_check;
mod watch;
mod wire;

pub use run::run;
pub use settings::{Bounds, Scheduling, Settings, StoreSettings};
