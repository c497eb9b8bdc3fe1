//! Admission of callers' connections and bodies to the memory and the descriptors of their host.
//!
//! A host holds what its callers send until it is answered. Limits on each request don't bound the sum, so all
//! connections and bodies of a host are counted here against limits that follow from its settings. Where room is
//! lacking, whoever makes no progress gives way first, then whoever holds most; a request that was read completely never
//! does. The crate contains a state machine only, without clock or socket.
#![deny(missing_docs, unsafe_code)]

mod bodies;
mod connections;
mod limits;
mod machine;
mod shared_room;

pub use bodies::BodyId;
pub use connections::ConnectionId;
pub use limits::Limits;
pub use machine::{Action, Admission, Counts, Event, Reason, Timeouts};
pub use shared_room::{Share, SharedRoom};
