//! Demand estimates and placement of models on runners.
//!
//! The plan is advice to the leaders of the groups of runners. It can't overcommit memory, which
//! the ledgers protect; two planners at once only cost additional moves.
#![deny(missing_docs, unsafe_code)]

mod builder;
mod demand;
mod planner;

pub use builder::{Entry, Input, Options, Placement, PlacementBuilder, Runner};
pub use demand::{Demand, Estimate};
pub use planner::{Planner, StoreLimits};
