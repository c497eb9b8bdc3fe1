//! Which request goes where, and when: admission, queueing, choice of a replica, retries, limits.
//!
//! [`Router`] is a state machine without clock, sockets or random numbers.
#![deny(missing_docs, unsafe_code)]

mod choose;
mod index;
mod queue;
mod replica;
mod retry_budget;
mod router;
mod service_time;

pub use replica::{Phase, Replica, Upstream, UpstreamStatus};
pub use retry_budget::RetryBudget;
pub use router::{Action, Arrivals, AttemptEnd, Event, Options, Reason, Refusal, Request, Router};
pub use service_time::ServiceTime;
