//! At-most-once execution of requests that carry an id.
//!
//! Ids hash to a fixed number of slots. Each [`Slot`] has one holder among the hosts, named in a
//! record of the platform's service that changes only by compare-and-swap. The holder grants each
//! id once: after the id is written to the record, or, while the platform is out, from memory,
//! once the slot's backup has promised not to take the slot over as if nothing had been granted.
//! `docs/DESIGN.md` tells why this is safe; the model check in `vanetally-check` drives it.
#![deny(missing_docs, unsafe_code)]

mod backup;
mod holder;
mod record;
mod slot;
mod succession;

pub use record::{Answer, Id, Record, Ticket, VersionedRecord, slot_of};
pub use slot::{
    Action, ClaimRequest, Event, Guards, Message, Mode, Options, Outcome, Reply, Role, Slot,
};
