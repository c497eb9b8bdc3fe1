//! Inputs and outputs of the source selection.

use crate::{Candidate, Path};
use std::collections::BTreeSet;
use vanetally_types::Name;

/// Where a host reads store data from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// No source yet: the host is looking for another host to subscribe to.
    Searching,
    /// The store itself, which the host watches.
    Store,
    /// Another host, which forwards what it knows.
    Host(Name),
}

/// An input of the source selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The live hosts, this one included.
    Candidates(Vec<Candidate>),
    /// A host that others subscribe to sent its status.
    Status {
        /// The host.
        from: Name,
        /// Milliseconds since the store last confirmed the host's data; `None` if it never did.
        age_ms: Option<u64>,
        /// Whether the host is about to stop.
        is_leaving: bool,
    },
    /// A host sent the path of its data, along with its status.
    Path {
        /// The host.
        from: Name,
        /// The hosts from the reader of the store to the sender, both included; empty if the sender does not state it.
        path: Path,
    },
    /// A complete copy of another host's data was received and applied.
    Synced {
        /// The host.
        from: Name,
        /// Milliseconds since the store last confirmed the data; `None` if it never did.
        age_ms: Option<u64>,
    },
    /// A host that starting hosts of this domain may subscribe to.
    EntryFound(Name),
    /// This host has become the one that starting hosts of its domain subscribe to.
    EntryClaimed,
    /// A link to a host broke or could not be established: what was sent to it is lost.
    Unreachable(Name),
    /// Changes that the source forwarded did not arrive.
    ChangesMissed,
    /// Milliseconds since the store last confirmed what this host reads there; `None` if it never did.
    StoreConfirmed(Option<u64>),
    /// Whether the store answered a probe.
    Probed(bool),
    /// The hosts that subscribe to this one.
    Subscribers(BTreeSet<Name>),
    /// This host did not run for a while; messages sent to it meanwhile are still to be processed.
    Stalled,
    /// Time passed.
    Tick,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a host for everything newer than what this host knows, and for all later changes.
    Subscribe(Name),
    /// Cancel the subscription to a host.
    Unsubscribe(Name),
    /// Find a host to subscribe to by the entry key, or read the list of hosts from the store; a stale list will do.
    FindSource,
    /// Read a small value from the store to find out whether it answers.
    Probe,
    /// Send this host's status to all hosts: it reads the store, while those before it in the order cannot.
    Announce,
    /// Use this source from now on.
    Switch {
        /// The new source.
        to: Source,
        /// Why the previous source was left.
        reason: Reason,
    },
}

/// Why a source was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The new source comes first in the order of hosts.
    Order,
    /// The previous source stopped sending.
    Silent,
    /// The data of the previous source was stale.
    Stale,
    /// The previous source is stopping.
    Leaving,
    /// No other host answered in time.
    NoAnswer,
}

impl Reason {
    /// Returns the name used in logs.
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
