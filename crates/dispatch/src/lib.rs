//! Request dispatch of one host: routing, queueing, choice of an upstream, retries and limits.
//!
//! All input goes through [`Dispatch::handle`]: `handle(now, event) -> actions`. The crate uses no
//! clock, socket or random source.
#![deny(missing_docs, unsafe_code)]

mod access;
mod affinity;
mod answer_times;
mod attempt;
mod brittle;
mod budget;
mod choice;
mod choose;
mod cold_start;
mod cooldown;
/// Load reports that hosts exchange.
pub mod digest;
mod directory;
mod ending;
mod event;
mod fit;
mod forecast;
mod health;
mod leaving;
mod limits;
mod loads;
mod machine;
mod outdated;
mod pace;
mod previous;
mod queue;
mod queue_order;
mod queue_state;
mod refusing;
mod request;
mod reserving;
mod roster;
mod routes;
mod sending;
mod service_pace;
mod shared_queue;
mod shortage;
mod slots;
mod startup;
mod stop;
mod summary;
mod suspects;
mod upstream;
mod versions;

pub use access::QuotaTerms;
pub use affinity::PrefixPlace;
pub use attempt::{Attempt, Prediction};
pub use budget::{RetryBudget, RetryBudgetOptions};
pub use digest::{DemandRow, Digest, LimitRow, LoadRow, WaitCounts, WaitRow};
pub use event::{Action, AttemptEnd, Event, Options, Presence, RequestId, SuspectedContent};
pub use forecast::Forecast;
pub use health::{EjectionReason, Health};
pub use leaving::LeavingUpstreams;
pub use machine::Dispatch;
pub use roster::{Roster, RosterUpdate};
pub use routes::RouteIndex;
pub use shortage::{RefusalContext, Shortage, ShortageKind};
pub use summary::{Counts, UpstreamSummary};
pub use versions::StreamBegun;
