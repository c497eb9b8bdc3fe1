//! The entries that are or may become resident on one runner, and the orders that change them.
//!
//! The runner's leader keeps a [`Ledger`]. It ensures that entries which are resident, loading, not
//! yet confirmed as unloaded or possibly still to be loaded never exceed the runner's memory, even
//! if orders or answers are lost or late. It has no clock and no sockets: [`Ledger::handle`] takes
//! an event and returns actions.
#![deny(missing_docs, unsafe_code)]

mod epoch;
mod event;
mod machine;
mod next_action;
mod record;
mod record_writes;
mod report;

pub use epoch::Epoch;
pub use event::{Action, DesiredEntries, DesiredEntry, Event, Guards, LeaderState, RunnerSpec};
pub use machine::Ledger;
pub use record::{Intent, Record};
pub use report::{HeldEntry, Op, Order, Phase, Refusal, Report};
