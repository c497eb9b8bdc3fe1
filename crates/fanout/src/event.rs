//! What goes into the choice of a source and what comes out.

use crate::{Candidate, Path};
use std::collections::BTreeSet;
use vanetally_types::Name;

/// Where a host reads what lies in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Nowhere yet: it looks for a host to hear from.
    Searching,
    /// It watches the store.
    Store,
    /// Another host passes on what it knows.
    Host(Name),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The hosts that live, this one included.
    Candidates(Vec<Candidate>),
    /// A host that others hear from told how it stands.
    Status {
        /// The host.
        from: Name,
        /// Milliseconds since the store last confirmed what it passes on; none if it never did.
        age_ms: Option<u64>,
        /// Whether it is about to stop.
        is_leaving: bool,
    },
    /// By way of whom a host hears from the store, the one that reads it first; told with what it says.
    Path {
        /// The host.
        from: Name,
        /// The marks of the hosts, itself included; empty if it does not say.
        path: Path,
    },
    /// All that a host knows was taken over.
    Synced {
        /// The host.
        from: Name,
        /// Milliseconds since the store last confirmed it; none if it never did.
        age_ms: Option<u64>,
    },
    /// Something that the source passed on is missing.
    ChangesMissed,
    /// Milliseconds since the store last confirmed what this host reads there; none if it never did.
    StoreConfirmed(Option<u64>),
    /// The store answered a probe, or did not.
    Probed(bool),
    /// The hosts that hear from this one.
    Subscribers(BTreeSet<Name>),
    /// This host did not run for a while, though it is not told so: what others said meanwhile comes now.
    Stalled,
    /// Time passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a host for what is new to this one, and for changes from then on.
    Subscribe(Name),
    /// Tell a host that its messages are needed no more.
    Unsubscribe(Name),
    /// Read the list of hosts, however old.
    ListHosts,
    /// Read something small from the store, to see whether it answers.
    Probe,
    /// Tell all hosts how this one stands: it reads the store, while those before it in the order can't.
    Announce,
    /// From now on this is the source.
    Switch {
        /// The source.
        to: Source,
        /// Why the earlier one was left.
        reason: Reason,
    },
}

/// Why a source was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The new one comes first in the order of hosts.
    Order,
    /// The earlier one fell silent.
    Silent,
    /// The earlier one's word was too old.
    Stale,
    /// The earlier one stops.
    Leaving,
    /// Nobody answered in time.
    NoAnswer,
}

impl Reason {
    /// The word for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::Silent => "silent",
            Self::Stale => "stale",
            Self::Leaving => "leaving",
            Self::NoAnswer => "nobody",
        }
    }
}
