//! What hosts understand beyond the messages of the first builds.

use crate::settings::Scheduling;
use serde::{Deserialize, Serialize};

/// A set of capabilities that a host announces. Messages that need one are sent only to hosts that have it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Capabilities(u32);

impl Capabilities {
    /// Grants slots of plain upstreams.
    pub(crate) const SLOT_GRANTS: Self = Self(1);
    /// Lets requests wait for quota, and takes cancellations.
    pub(crate) const QUOTA_WAIT: Self = Self(2);
    /// Grants slots of brittle upstreams, and takes messages about them.
    pub(crate) const BRITTLE: Self = Self(8);
    /// Opens tunnels to upstreams for other hosts.
    pub(crate) const TUNNELS: Self = Self(4);
    /// Keeps where streams began.
    pub(crate) const STREAMS: Self = Self(16);
    /// Keeps crash evidence on each content of requests, and grants tries.
    pub(crate) const CONTENTS: Self = Self(32);

    /// Returns the capabilities of this build under `scheduling`.
    pub(crate) fn of(scheduling: Scheduling) -> Self {
        let slots = if scheduling.slot_grants { Self::SLOT_GRANTS.0 } else { 0 };
        let quota = if scheduling.quota_wait { Self::QUOTA_WAIT.0 } else { 0 };
        let always = [Self::TUNNELS, Self::BRITTLE, Self::STREAMS, Self::CONTENTS];
        always.into_iter().fold(Self(slots | quota), |all, one| Self(all.0 | one.0))
    }

    /// Whether this set includes all of `others`.
    pub(crate) fn includes(self, others: Self) -> bool {
        self.0 & others.0 == others.0
    }

    pub(crate) fn is_none(&self) -> bool {
        self.0 == 0
    }
}
