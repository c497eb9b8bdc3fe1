//! The decision logic of one entry host as a state machine.
//!
//! [`Core::handle`] takes an [`Event`] and returns [`Action`]s. It reads no clock, opens no
//! sockets and uses no random numbers, so the daemon, tests and benchmarks run the same code.
#![deny(missing_docs, unsafe_code)]

mod config;
mod dump;
mod event;
mod frame;
mod gossip;
mod leadership;
mod machine;
mod planning;
mod requests;
mod slots;

pub use config::service_entry;
pub use event::{
    Action, Arrival, Event, FenceReply, Key, OrderReply, PollReply, RefusalReason, Refused,
    StoredValue,
};
pub use frame::{EpochHolder, Frame};
pub use machine::{Core, Options};
