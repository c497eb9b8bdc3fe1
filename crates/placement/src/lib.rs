//! Which runner holds which models and adapters, decided by one holder of a lease at a time.
//!
//! [`Tenure`] says whether this host may give orders; [`Placement`] decides which. Both are state
//! machines: `handle(now, event) -> actions`, without clock, socket or random source.
#![deny(missing_docs, unsafe_code)]

mod adapters;
mod capacity;
mod ceiling;
mod census;
mod demand;
mod event;
mod ledger;
mod machine;
mod obstacle;
mod plan;
mod strays;
mod summary;
mod tenure;
mod weights;
mod worth;

pub use capacity::Room;
pub use ceiling::Ceiling;
pub use event::{Action, Basis, DemandSample, Event, Options};
pub use ledger::Ledger;
pub use machine::Placement;
pub use obstacle::Obstacle;
pub use summary::{ModelSummary, RunnerSummary};
pub(crate) use weights::Reservation;

pub use tenure::{Tenure, TenureAction, TenureEvent, TenureOptions};
