//! Types shared by all crates: names, labels and selectors, time, host and upstream identities, the
//! verdict of a request and rendezvous hashing. Does no I/O and reads no clock.
#![deny(missing_docs, unsafe_code)]

mod hash;
mod host;
mod incarnation;
mod label;
mod names;
mod rank;
mod tick;
mod verdict;

/// Label selectors and their text form.
pub mod selector;

pub use hash::{hash64, hash64_of, hash128, rendezvous, rendezvous_rank, rendezvous_weight};
pub use host::HostId;
pub use incarnation::Incarnation;
pub use label::Labels;
pub use names::Names;
pub use rank::Rank;
pub use selector::Selector;
pub use tick::Tick;
pub use verdict::Verdict;

/// A shared immutable string, cheap to clone.
pub type Name = std::sync::Arc<str>;

/// A size in bytes.
pub type Bytes = u64;
