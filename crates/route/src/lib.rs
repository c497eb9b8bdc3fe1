//! Routing of requests to upstreams: admission, queueing, choice of a replica, and retries.
//!
//! [`Router`] is a state machine without clock, sockets or random numbers.
#![deny(missing_docs, unsafe_code)]

mod index;
mod queue;
mod replica;
mod retry_budget;
mod router;
mod selection;
mod service_time;

pub use replica::{Phase, Replica, Upstream, UpstreamStatus};
pub use retry_budget::RetryBudget;
pub use router::{Action, Arrivals, AttemptEnd, Event, Options, Reason, Refusal, Request, Router};
pub use service_time::ServiceTime;
