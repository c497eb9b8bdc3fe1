//! Identity of a running host process.

use crate::Name;
use serde::{Deserialize, Serialize};

/// Identifies one incarnation of the daemon on a host; every restart creates a new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId {
    /// Name of the host in the platform's list of hosts.
    pub name: Name,
    /// Increases with each start of the process on this host.
    pub incarnation: u64,
}

impl HostId {
    /// Creates the id of the incarnation `incarnation` of the host `name`.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation }
    }

    /// Whether `other` is a later incarnation of the same host, which proves that this one has ended.
    pub fn is_superseded_by(&self, other: &HostId) -> bool {
        self.name == other.name && self.incarnation < other.incarnation
    }
}

impl std::fmt::Display for HostId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
