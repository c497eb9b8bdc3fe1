//! The vocabulary that every other crate speaks: names, labels and selectors, time, hosts, the
//! verdict of a request and rendezvous hashing. No I/O, no clock.
#![deny(missing_docs, unsafe_code)]

mod hash;
mod host;
mod incarnation;
mod label;
mod tick;
mod verdict;

/// Reading selectors from text.
pub mod selector;

pub use hash::{hash64, hash128, rendezvous, rendezvous_rank};
pub use host::HostId;
pub use incarnation::Incarnation;
pub use label::Labels;
pub use selector::Selector;
pub use tick::Tick;
pub use verdict::Verdict;

/// A shared immutable string, cheap to clone.
pub type Name = std::sync::Arc<str>;

/// A size in bytes.
pub type Bytes = u64;
