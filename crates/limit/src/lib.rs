//! Rate limits that upstreams state for all hosts together.
//!
//! A rate-limited upstream states its limit in its answers for as long as it is overloaded. Each
//! host keeps the newest statement that it received or was sent ([`KnownLimit`]). One host, the
//! holder of the order lease, grants the times at which requests are sent ([`Grantor`]); a host
//! that can't reach it uses a small share of the limit ([`Shares`]). The crate contains state
//! machines only, without clock or socket.
#![deny(missing_docs, unsafe_code)]

mod grantor;
mod known_limit;
mod schedule;
mod share;

pub use grantor::{Grantor, PermitAnswer, PermitRequest};
pub use known_limit::{KnownLimit, LimitChange, LimitStatement};
pub use share::Shares;
