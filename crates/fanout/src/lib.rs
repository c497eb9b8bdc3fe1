//! Which hosts follow the store for the others of their failure domain, and gather their loads.
//!
//! In a large deployment one host, the root, watches the store and passes on what it reads to one host
//! of each failure domain, the aggregator, and that one to the others, which report their load to it and
//! hear the sum of all. The calls to the store and the messages of a host do not grow with the number of
//! hosts. No agreement is needed: any host may be asked, and one that is passes on what it knows and how
//! old that is. State machines only: no clock, no socket.
#![deny(missing_docs, unsafe_code)]

mod candidate;
mod contact;
mod event;
mod freshness;
mod mirror;
mod pack;
mod path;
mod pull;
mod source_selector;
mod source_state;
mod spacing;
mod timeouts;
mod totals;
mod versions;

pub use candidate::{Candidate, MAX_DIRECT_READERS, aggregators, root};
pub use contact::{StoreContact, StoreState};
pub use event::{Action, Event, Reason, Source};
pub use freshness::{Freshness, HostIncarnation, SourceStatus};
pub use mirror::{Gap, Mirror};
pub use pack::Packed;
pub use path::{Hop, Path, hop};
pub use pull::Pull;
pub use source_selector::SourceSelector;
pub use spacing::{Spacing, status_interval_ms};
pub use totals::{IncludedReport, Totals};
pub use versions::{Error, Patch, Versions};
