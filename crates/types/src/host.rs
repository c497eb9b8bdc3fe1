//! The identity of a running process.

use crate::Name;
use serde::{Deserialize, Serialize};

/// One run of the daemon on a host: a restart is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId {
    /// The host's name in the platform's list.
    pub name: Name,
    /// Grows with each start of the process on this host.
    pub incarnation: u64,
}

impl HostId {
    /// The run `incarnation` of the host `name`.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation }
    }

    /// Whether `other` is a later run on the same host, which proves that this one has ended.
    pub fn is_superseded_by(&self, other: &HostId) -> bool {
        self.name == other.name && self.incarnation < other.incarnation
    }
}

impl std::fmt::Display for HostId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
