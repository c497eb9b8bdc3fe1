//! The order over all hosts of the requests that wait for the same service or model.

use crate::{WaitCounts, forecast::Ahead};
use std::collections::BTreeMap;
use vanetally_types::{Name, Rank};

/// A service, and a model if it is served by engines.
pub(crate) type Subject = (Name, Option<Name>);
/// Counts of one subject by rank.
pub(crate) type Table = BTreeMap<Rank, WaitCounts>;

/// Place of a request in the order over all hosts; the smaller one is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    /// It can be on time.
    OnTime { rank: Rank, has_slack: bool },
    /// Any answer would be late.
    Late { rank: Rank },
}

impl Place {
    pub(crate) fn counts(self) -> WaitCounts {
        match self {
            Self::OnTime { has_slack, .. } => {
                WaitCounts { on_time: 1, due_soon: u32::from(!has_slack), ..Default::default() }
            }
            Self::Late { .. } => WaitCounts { late: 1, ..Default::default() },
        }
    }

    pub(crate) fn rank(self) -> Rank {
        match self {
            Self::OnTime { rank, .. } | Self::Late { rank } => rank,
        }
    }

    /// Returns the number of requests in `table` that come before this place.
    pub(crate) fn before(self, table: &Table) -> u32 {
        let on_time = |ranks: &mut dyn Iterator<Item = (&Rank, &WaitCounts)>| -> u32 {
            ranks.map(|(_, counts)| counts.on_time).sum()
        };
        match self {
            Self::OnTime { rank, has_slack } => {
                let due_soon = table.get(&rank).map_or(0, |counts| counts.due_soon);
                on_time(&mut table.range(..rank)) + if has_slack { due_soon } else { 0 }
            }
            Self::Late { rank } => {
                let late: u32 = table.range(..rank).map(|(_, counts)| counts.late).sum();
                on_time(&mut table.iter()) + late
            }
        }
    }

    /// Returns the number of requests in `table` at this place.
    pub(crate) fn equal(self, table: &Table) -> u32 {
        let counts = table.get(&self.rank()).copied().unwrap_or_default();
        match self {
            Self::OnTime { has_slack: false, .. } => counts.due_soon,
            Self::OnTime { has_slack: true, .. } => counts.on_time.saturating_sub(counts.due_soon),
            Self::Late { .. } => counts.late,
        }
    }

    /// Returns the share of the sent requests in `table` that were at this place or after it.
    pub(crate) fn share(self, table: &Table) -> f64 {
        let all: u32 = table.values().map(|counts| counts.sent).sum();
        let sent: u32 = match self {
            Self::OnTime { rank, .. } => {
                let before = table.range(..rank);
                let first = before.map(|(_, counts)| counts.sent.saturating_sub(counts.sent_late));
                all.saturating_sub(first.sum())
            }
            Self::Late { rank } => table.range(rank..).map(|(_, counts)| counts.sent_late).sum(),
        };
        f64::from(sent) / f64::from(all.max(1))
    }

    pub(crate) fn ahead(self, table: &Table) -> Ahead {
        let equal = self.equal(table).saturating_sub(1);
        Ahead { before: self.before(table), equal, share: self.share(table) }
    }
}
