//! What upstreams in need take from all hosts together.
//!
//! An upstream states a limit in its answers for as long as it is in need. Each host keeps the newest statement that
//! it heard or was told of ([`Belief`]). One host, the holder of the orders' lease, gives out the moments at which
//! requests go there ([`Grantor`]); a host that can't ask it keeps to a small part of the limit ([`Shares`]).
//! State machines only: no clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod belief;
mod grantor;
mod line;
mod share;

pub use belief::{Belief, News, Statement};
pub use grantor::{Answer, Grantor, Question};
pub use share::Shares;
