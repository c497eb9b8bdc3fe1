//! Wire format of the messages that carry store keys between hosts.
//!
//! Each message contains the era of all its revisions once. Builds that don't know eras ignore the
//! field and omit it; their data counts as era 0 and is never newer than data read in a known era.

use crate::{
    feed::{PrefixChanges, PrefixSnapshot},
    peers,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::ops::Not;
use vanetally_ports::{Change, Era, Item, Revision};
use vanetally_types::Name;

/// Whether a number, such as an era, is omitted.
pub(crate) fn is_none(number: &u64) -> bool {
    *number == 0
}

/// Wire format of a [`PrefixSnapshot`].
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    prefix: Name,
    at: u64,
    items: Vec<ItemRow>,
    #[serde(default, skip_serializing_if = "is_none")]
    era: u64,
    /// Earlier builds ignore and omit it.
    #[serde(default, skip_serializing_if = "Not::not")]
    is_partial: bool,
}

/// Wire format of [`PrefixChanges`].
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Changes {
    prefix: Name,
    after: u64,
    at: u64,
    changes: Vec<ChangeRow>,
    #[serde(default, skip_serializing_if = "is_none")]
    era: u64,
}

/// Wire format of [`peers::AnnouncedRevisions`].
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct AnnouncedRevisions {
    prefix: Name,
    last: u64,
    at: u64,
    #[serde(default, skip_serializing_if = "is_none")]
    era: u64,
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(rename = "Item")]
struct ItemRow {
    key: Name,
    value: Bytes,
    revision: u64,
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(rename = "Change")]
enum ChangeRow {
    Put(ItemRow),
    Gone { key: Name, revision: u64 },
}

impl ItemRow {
    fn with_era(self, era: Era) -> Item {
        let Self { key, value, revision } = self;
        Item { key, value, revision: Revision::new(era, revision) }
    }
}

impl From<Item> for ItemRow {
    fn from(item: Item) -> Self {
        let Item { key, value, revision } = item;
        Self { key, value, revision: revision.number }
    }
}

impl ChangeRow {
    fn with_era(self, era: Era) -> Change {
        match self {
            Self::Put(item) => Change::Put(item.with_era(era)),
            Self::Gone { key, revision } => {
                Change::Deleted { key, revision: Revision::new(era, revision) }
            }
        }
    }
}

impl From<Change> for ChangeRow {
    fn from(change: Change) -> Self {
        match change {
            Change::Put(item) => Self::Put(item.into()),
            Change::Deleted { key, revision } => Self::Gone { key, revision: revision.number },
        }
    }
}

impl From<Snapshot> for PrefixSnapshot {
    fn from(row: Snapshot) -> Self {
        let era = Era(row.era);
        let items = row.items.into_iter().map(|item| item.with_era(era)).collect();
        let at = Revision::new(era, row.at);
        Self { prefix: row.prefix, at, items, is_partial: row.is_partial }
    }
}

impl From<PrefixSnapshot> for Snapshot {
    fn from(snapshot: PrefixSnapshot) -> Self {
        let PrefixSnapshot { prefix, at, items, is_partial } = snapshot;
        let items = items.into_iter().map(ItemRow::from).collect();
        Self { prefix, at: at.number, items, era: at.era.0, is_partial }
    }
}

impl From<Changes> for PrefixChanges {
    fn from(row: Changes) -> Self {
        let era = Era(row.era);
        let changes = row.changes.into_iter().map(|change| change.with_era(era)).collect();
        let (after, at) = (Revision::new(era, row.after), Revision::new(era, row.at));
        Self { prefix: row.prefix, after, at, changes }
    }
}

impl From<PrefixChanges> for Changes {
    fn from(changes: PrefixChanges) -> Self {
        let PrefixChanges { prefix, after, at, changes } = changes;
        let changes = changes.into_iter().map(ChangeRow::from).collect();
        Self { prefix, after: after.number, at: at.number, changes, era: at.era.0 }
    }
}

impl From<AnnouncedRevisions> for peers::AnnouncedRevisions {
    fn from(row: AnnouncedRevisions) -> Self {
        let era = Era(row.era);
        let (last, at) = (Revision::new(era, row.last), Revision::new(era, row.at));
        Self { prefix: row.prefix, last, at }
    }
}

impl From<peers::AnnouncedRevisions> for AnnouncedRevisions {
    fn from(announced: peers::AnnouncedRevisions) -> Self {
        let peers::AnnouncedRevisions { prefix, last, at } = announced;
        Self { prefix, last: last.number, at: at.number, era: at.era.0 }
    }
}
