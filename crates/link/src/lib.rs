//! Everything that touches sockets: HTTP towards callers and operators, calls to upstreams, the
//! platform's service, and links between daemons. No decisions are made here.
#![deny(missing_docs, unsafe_code)]

/// Calls to upstreams, with what is known when they fail.
pub mod call;
/// HTTP towards callers and operators.
pub mod http;
mod nudge;
/// Authenticated links between daemons.
pub mod peer;
/// The platform's key-value service and list of hosts.
pub mod platform;
/// Proof that both ends of a link know the shared key.
pub mod proof;
/// TCP connections that notice a silent peer.
pub mod socket;
mod workers;
