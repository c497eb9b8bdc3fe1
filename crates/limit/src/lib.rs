//! What upstreams in need take from all hosts together.
//!
//! An upstream states a limit in its answers for as long as it is in need. Each host keeps the newest statement that
//! it heard or was told of ([`Belief`]). State machines only: no clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod belief;

pub use belief::{Belief, News, Statement};
