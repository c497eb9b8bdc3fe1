//! Where streams began, so that any host can let a caller go on with one that broke off.
//!
//! A stream may go on only at the software version that began it. The host that passes its first event on keeps that
//! version, and so do a few other hosts that follow from the id of the request. A host at which a caller takes the
//! stream up asks them.
#![deny(missing_docs, unsafe_code)]

mod beginnings;
mod keepers;
mod lookup;
mod versions;

pub use beginnings::{Beginnings, StreamKey};
pub use keepers::keepers;
pub use lookup::{Answer, Finding, FoundBy, Lookup, Unknown};
pub use versions::{KnownVersions, Record, Versions};
