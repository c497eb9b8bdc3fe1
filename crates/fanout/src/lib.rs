//! Distribution of store data from host to host, and aggregation of the hosts' loads.
//!
//! In a large deployment one host, the root, watches the store and forwards what it reads to one host
//! of each failure domain, the aggregator. The aggregator forwards it to the other hosts of its domain,
//! which report their load to the aggregator and receive the total. In a large failure domain relays
//! stand between the aggregator and the other hosts. The number of store calls and the number of
//! messages per host do not grow with the number of hosts. No consensus is needed: any host
//! accepts subscriptions, and then forwards what it knows together with the age of that data.
//!
//! The crate holds state machines only: the caller supplies the time and does all I/O.
#![deny(missing_docs, unsafe_code)]

mod candidate;
mod contact;
mod domain_tree;
mod entry;
mod entry_search;
mod event;
mod freshness;
mod intervals;
mod listing;
mod mirror;
mod pack;
mod path;
mod pull;
mod source_selector;
mod source_state;
mod spacing;
mod throttle;
mod timeouts;
mod totals;
mod versions;

pub use candidate::{Candidate, MAX_DIRECT_READERS, aggregators, holder_rank, root};
pub use contact::{StoreContact, StoreState};
pub use entry::{ENTRY_KEYS, entry_delay_ms, entry_key};
pub use entry_search::{EntryEnd, EntryPoint, EntryResult, EntrySearch, EntryStep};
pub use event::{Action, Event, Reason, Source};
pub use freshness::{Freshness, HostIncarnation, SourceStatus};
pub use listing::{ITEM_OVERHEAD, ListError, Listing, MAX_KEYS, MAX_LIST_BYTES, MAX_PAGES};
pub use mirror::{Gap, Mirror};
pub use pack::Packed;
pub use path::{Hop, Path, hop};
pub use pull::Pull;
pub use source_selector::SourceSelector;
pub use spacing::{Spacing, silence_ms, status_interval_ms};
pub use throttle::Throttle;
pub use totals::{IncludedReport, Totals};
pub use versions::{Error, Patch, Versions};
