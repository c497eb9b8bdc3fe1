//! Which model should live where: demand estimates and placement.
//!
//! The plan is advice to the runners' stewards. It never endangers memory, which the ledgers
//! guard; two planners at once cost moves at worst.
#![deny(missing_docs, unsafe_code)]

mod demand;
mod place;
mod planner;

pub use demand::{Demand, Estimate};
pub use place::{Entry, Input, Options, Placement, PlacementBuilder, Runner};
pub use planner::{Planner, StoreLimits};
