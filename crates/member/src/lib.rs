//! Who is there: hosts and their incarnations, evidence of their end, and stewardships of runner
//! groups. State machines without I/O.
#![deny(missing_docs, unsafe_code)]

mod group;
mod members;

pub use group::{Action, Event, GroupLeadership, Record, Role, VersionedRecord, group_of};
pub use members::{ListedHost, Members, Peer};
