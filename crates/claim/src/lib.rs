//! At-most-once execution of requests that carry an id.
//!
//! Ids hash to a fixed number of slots. Each [`Slot`] has one holder among the hosts, named in a
//! record in the platform's service that changes only by compare-and-swap. The holder grants each
//! id once: after writing the id to the record, or, while the platform is unavailable, from memory,
//! once the slot's backup has promised not to take over as if nothing had been granted.
//! `docs/DESIGN.md` explains why this is safe; `vanetally-check` model-checks it.
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
