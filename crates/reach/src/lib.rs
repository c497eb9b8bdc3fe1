//! Which upstreams a host reaches by its own connections, and which other host it uses for the rest.
//!
//! A host that loses its network path to an upstream sees what it would see of a crashed one: refused
//! or broken connections, or silence. Only another host can tell the two apart. So a failure starts a
//! probe, directly and through another host, the *exit*. An upstream that answers through an exit
//! only is *blocked* for this host: its requests pass through exits until a direct probe is answered.
//! What other hosts hear of the upstream does not change.
//!
//! The crate holds state machines only: the caller supplies the time and does all I/O.
#![deny(missing_docs, unsafe_code)]

mod event;
mod exits;
mod reach;
mod separation;
mod tunnelled;
mod upstream;

pub use event::{Action, AttemptId, Event, Offer, Path, ProbeResult, ProbeScope};
pub use exits::{ExitFailure, Exits};
pub use reach::Reach;
