//! Decides which runner holds which models and adapters.
//!
//! One host at a time holds the order lease and sends orders to runners. [`OrderLease`] tracks
//! whether this host may send orders; [`Placement`] decides which. Both are state machines,
//! `handle(now, event) -> actions`, without a clock, socket or random source.
#![deny(missing_docs, unsafe_code)]

mod adapters;
mod announcement_fence;
mod capacity;
mod demand;
mod event;
mod inventory;
mod ledger;
mod load_limit;
mod machine;
mod obstacle;
mod order_lease;
mod plan;
mod summary;
mod unsettled;
mod value;
mod weights;

pub use capacity::Fit;
pub use event::{Action, DemandSample, Event, KnownState, Options};
pub use ledger::Ledger;
pub use load_limit::LoadLimit;
pub use machine::Placement;
pub use obstacle::Obstacle;
pub use summary::{ModelSummary, RunnerSummary};
pub(crate) use weights::Reservation;

pub use announcement_fence::AnnouncementFence;
pub use order_lease::{OrderLease, OrderLeaseAction, OrderLeaseEvent, OrderLeaseOptions};
