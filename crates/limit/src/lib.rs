//! What upstreams in need take from all hosts together.
//!
//! An upstream states a limit in its answers for as long as it is in need. Each host keeps the newest statement that
//! it heard or was told of ([`KnownLimit`]). One host, the holder of the orders' lease, gives out the moments at which
//! requests go there ([`Grantor`]); a host that can't ask it keeps to a small part of the limit ([`Shares`]).
//! State machines only: no clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod grantor;
mod known_limit;
mod schedule;
mod share;

pub use grantor::{Grantor, PermitAnswer, PermitRequest};
pub use known_limit::{KnownLimit, LimitChange, LimitStatement};
pub use share::Shares;
