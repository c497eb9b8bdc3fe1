//! Membership: hosts and their incarnations, proof that a process has ended, and the leadership of
//! groups of runners. State machines without I/O.
#![deny(missing_docs, unsafe_code)]

mod group;
mod members;

pub use group::{Action, Event, GroupLeadership, Record, Role, VersionedRecord, group_of};
pub use members::{HostList, ListedHost, Members, Peer};
