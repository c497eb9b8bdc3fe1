//! Network I/O: the HTTP server for callers and operators, calls to upstreams and to the platform's
//! service, and links between daemons. It contains no decision logic.
#![deny(missing_docs, unsafe_code, clippy::disallowed_methods)]

/// HTTP calls to upstreams; errors state whether the request may have run.
pub mod call;
/// The ids of the requests that a connection has carried.
pub mod carried_ids;
mod checked;
mod handshake;
/// HTTP server for callers and operators.
pub mod http;
/// Authenticated links between daemons.
pub mod peer;
/// Client of the platform's key-value service and list of hosts.
pub mod platform;
/// Challenge-response proof that both ends of a link know the shared key.
pub mod proof;
/// TCP connections that can be ended at any time, so that nothing of them is sent any more.
pub mod revocable;
/// TCP connections that detect an unresponsive peer.
pub mod socket;
/// Connections to upstreams through another daemon.
pub mod tunnel;
mod workers;
