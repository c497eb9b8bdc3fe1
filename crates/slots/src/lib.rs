//! Grants the slots of plain upstreams to the requests of many hosts.
//!
//! Load: many hosts send to a few upstreams with few slots.
//!
//! Hosts that each decide from load reports send more to an upstream with few slots than it takes,
//! since all of them see the same free slots. So one host, the upstream's *owner*, grants them:
//! [`Owner`] keeps the grants and the queue of an upstream, [`Client`] keeps what the asking host has
//! open. Which host is the owner is selected like an engine's pacer. Nothing but rejections by the
//! upstream depends on all hosts selecting the same one.
//!
//! The crate holds state machines only: the caller supplies the time and does all I/O.
#![deny(missing_docs, unsafe_code)]

mod client;
mod guards;
mod hold_time;
mod inherited;
mod limit;
mod messages;
mod owner;
mod queue;
mod shares;
mod upstream;

pub use client::{Client, Closed, Overdue, Received, Repeat};
pub use guards::Guards;
pub use messages::{SlotAnswer, SlotEnd, SlotRequest};
pub use owner::{Change, Owner, Reply};
pub use vanetally_types::Rank;
