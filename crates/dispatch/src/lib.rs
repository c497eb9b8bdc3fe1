//! Decisions about requests at one host: route, queue, choice of an upstream, retries, limits.
//!
//! [`Dispatch::handle`] is the only door: `handle(now, event) -> actions`. No clock, socket or
//! random source inside.
#![deny(missing_docs, unsafe_code)]

mod access;
mod answer_times;
mod budget;
mod choice;
mod choose;
mod cooldown;
/// What hosts tell each other of their load.
pub mod digest;
mod directory;
mod ending;
mod event;
mod fit;
mod health;
mod leaving;
mod limits;
mod machine;
mod pace;
mod previous;
mod queue;
mod request;
mod reserving;
mod roster;
mod routes;
mod sending;
mod shortage;
mod upstream;

pub use budget::{RetryBudget, RetryBudgetOptions};
pub use digest::{DemandRow, Digest, LimitRow, LoadRow};
pub use event::{Action, Attempt, AttemptEnd, Event, Options, Prediction, Presence, RequestId};
pub use health::Health;
pub use leaving::LeavingUpstreams;
pub use machine::{Counts, Dispatch, UpstreamSummary};
pub use roster::{Roster, RosterUpdate};
pub use routes::RouteIndex;
pub use shortage::{RefusalContext, Shortage, ShortageKind};
