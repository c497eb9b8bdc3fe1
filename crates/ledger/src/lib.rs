//! What is and may be resident on one runner, and the orders that change it.
//!
//! [`Ledger`] is held by the runner's steward. It never lets resident, loading, not confirmed
//! unloaded and possibly arriving entries exceed the runner's memory, whatever orders or answers
//! are lost or late. It has no clock and no sockets: [`Ledger::handle`] takes an event and
//! returns actions.
#![deny(missing_docs, unsafe_code)]

mod choose;
mod event;
mod fenced;
mod intent;
mod machine;
mod report;
mod write;

pub use event::{Action, DesiredEntries, DesiredEntry, Event, Guards, LeaderState, RunnerSpec};
pub use fenced::Epoch;
pub use intent::{Intent, Record};
pub use machine::Ledger;
pub use report::{HeldEntry, Op, Order, Phase, Refusal, Report};
