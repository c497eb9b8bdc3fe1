//! A host's copy of the keys under one prefix of the store.

use crate::listing::{MAX_LIST_BYTES, empty_above, key_size, size};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use vanetally_ports::{Change, Item, Revision};
use vanetally_types::Name;

/// Changes cannot be applied: earlier changes are missing, or they belong to another era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

/// The keys under one prefix at one revision, all from that revision's era.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    prefix: Name,
    items: BTreeMap<Name, Item>,
    /// Size of all items, in bytes.
    bytes: usize,
    /// Size of all items without their values, in bytes.
    key_bytes: usize,
    /// Whether keys or values were left out for the size of all together.
    is_partial: bool,
    /// `None` until all keys were read once.
    revision: Option<Revision>,
    /// The last full read, or the last change since; an older read is not applied.
    newest: Revision,
    /// Deleted keys, oldest first.
    deleted: VecDeque<(Revision, Name)>,
    /// `deleted` holds all keys that were deleted after this revision.
    deleted_since: Revision,
}

/// Maximum number of deleted keys kept to compute differences for other hosts.
const MAX_DELETED: usize = 4_096;

impl Mirror {
    /// Creates the copy of the keys with `prefix`, none of which is known yet.
    pub fn new(prefix: Name) -> Self {
        Self { prefix, ..Self::default() }
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Whether changes up to `announced` are missing.
    pub fn is_behind(&self, announced: Revision) -> bool {
        self.revision.is_none_or(|known| known < announced)
    }

    /// Whether keys or values were left out for the size of all together, until all are read again.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Records that the last full read left out values for the size of all together.
    pub fn mark_partial(&mut self) {
        self.is_partial = true;
    }

    /// Whether `key` exists.
    pub fn contains(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// Returns all keys with their values.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Replaces all keys by those of a full read at `at` or slightly later.
    ///
    /// A read older than the known state is not applied; returns whether it was applied.
    pub fn try_replace(&mut self, at: Revision, items: &[Item]) -> bool {
        if at < self.newest {
            return false;
        }
        self.newest = at;
        if self.is_same_era(at) {
            self.record_unlisted(at, items);
        } else {
            self.deleted.clear();
            self.deleted_since = at;
        }
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.bytes = self.items.values().map(size).sum();
        self.key_bytes = self.items.values().map(key_size).sum();
        self.is_partial = false;
        self.empty_largest();
        // No key changed between this read and the known revision: the higher one remains.
        self.revision = self.revision.max(Some(at));
        true
    }

    /// Whether `at` belongs to the known era, so that a difference can be computed.
    pub fn is_same_era(&self, at: Revision) -> bool {
        self.revision.is_some_and(|known| known.era == at.era)
    }

    /// Records that no key changed between the known revision and `at`.
    pub fn advance(&mut self, at: Revision) {
        if self.is_same_era(at) {
            self.revision = self.revision.max(Some(at));
        }
    }

    /// Returns the changes after `have`, for a host that knows everything up to that revision.
    ///
    /// Returns `None` if deletions since then are no longer kept, `have` belongs to another era, or nothing was read.
    pub fn changes_since(&self, have: Revision) -> Option<Vec<Change>> {
        if !self.is_same_era(have) || have < self.deleted_since {
            return None;
        }
        let deleted = self.deleted.iter().filter(|(revision, _)| *revision > have);
        let deleted = deleted.filter(|(_, key)| !self.items.contains_key(key));
        let deleted = deleted
            .map(|(revision, key)| Change::Deleted { key: key.clone(), revision: *revision });
        let put = self.items.values().filter(|item| item.revision > have);
        Some(deleted.chain(put.cloned().map(Change::Put)).collect())
    }

    /// Records the known keys that `items`, a full read at `at`, does not hold as deleted.
    fn record_unlisted(&mut self, at: Revision, items: &[Item]) {
        let listed: BTreeSet<&Name> = items.iter().map(|item| &item.key).collect();
        let unlisted: Vec<Name> =
            self.items.keys().filter(|key| !listed.contains(key)).cloned().collect();
        unlisted.into_iter().for_each(|key| self.record_deleted(at, key));
    }

    fn record_deleted(&mut self, revision: Revision, key: Name) {
        self.deleted.push_back((revision, key));
        if self.deleted.len() > MAX_DELETED
            && let Some((revision, _)) = self.deleted.pop_front()
        {
            self.deleted_since = self.deleted_since.max(revision);
        }
    }

    /// Returns the changes that a full read at `at` brings: added, rewritten and deleted keys, and values that were left
    /// out before. Returns `None` if it is of another era, or if hosts that know as much as this one would pass over a
    /// change as an old one.
    pub fn changes_to(&self, at: Revision, items: &[Item]) -> Option<Vec<Change>> {
        if !self.is_same_era(at) {
            return None;
        }
        let is_newer = |item: &&Item| {
            self.items.get(&item.key).is_none_or(|known| {
                known.revision < item.revision || (known.value.is_empty() && !item.value.is_empty())
            })
        };
        let listed: BTreeSet<&Name> = items.iter().map(|item| &item.key).collect();
        let deleted = self.items.keys().filter(|key| !listed.contains(key));
        let deleted = deleted.map(|key| Change::Deleted { key: key.clone(), revision: at });
        let changes: Vec<Change> =
            deleted.chain(items.iter().filter(is_newer).cloned().map(Change::Put)).collect();
        changes.iter().all(|change| self.is_later(change.revision())).then_some(changes)
    }

    /// Applies the changes after `after` and up to `at`; returns those that were not known before, with all values. Keys
    /// for which there is no room are left out.
    ///
    /// # Errors
    /// Returns [`Gap`] if earlier changes are missing, or if the changes belong to another era.
    pub fn try_apply(
        &mut self,
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
    ) -> Result<Vec<Change>, Gap> {
        let known = self.revision.ok_or(Gap)?;
        if known < after || !self.is_same_era(after) || !self.is_same_era(at) {
            return Err(Gap);
        }
        let mut new = Vec::new();
        for change in changes {
            if self.is_new(&change) && self.has_room(&change) {
                self.apply(&change);
                new.push(change);
            }
        }
        self.empty_largest();
        self.revision = Some(known.max(at));
        Ok(new)
    }

    /// Whether the key of `change` is known, or all keys fit with it; records if not.
    fn has_room(&mut self, change: &Change) -> bool {
        let Change::Put(item) = change else {
            return true;
        };
        let has_room =
            self.items.contains_key(&item.key) || self.key_bytes + key_size(item) <= MAX_LIST_BYTES;
        self.is_partial |= !has_room;
        has_room
    }

    fn apply(&mut self, change: &Change) {
        self.newest = self.newest.max(change.revision());
        let before = match change {
            Change::Put(item) => {
                self.bytes += size(item);
                self.key_bytes += key_size(item);
                self.items.insert(item.key.clone(), item.clone())
            }
            Change::Deleted { key, revision } => {
                let before = self.items.remove(key);
                if before.is_some() {
                    self.record_deleted(*revision, key.clone());
                }
                before
            }
        };
        if let Some(before) = before {
            self.bytes -= size(&before);
            self.key_bytes -= key_size(&before);
        }
    }

    /// Leaves the largest values empty until all items together can be passed on to other hosts.
    fn empty_largest(&mut self) {
        while self.bytes > MAX_LIST_BYTES {
            self.is_partial = true;
            let others = self.items.values().filter(|item| item.key != self.prefix);
            let largest = others.map(|item| item.value.len()).max().unwrap_or(0);
            if largest == 0 {
                return;
            }
            let (_, bytes) = empty_above(self.items.values_mut(), &self.prefix, largest / 2);
            self.bytes -= bytes;
        }
    }

    /// Whether `change` is not known yet.
    ///
    /// A full read in several pages is not an atomic snapshot, so a key may already hold a change beyond the read's
    /// revision.
    fn is_new(&self, change: &Change) -> bool {
        let revision = change.revision();
        self.is_later(revision)
            && self.items.get(change.key()).is_none_or(|item| item.revision < revision)
    }

    fn is_later(&self, revision: Revision) -> bool {
        self.revision.is_none_or(|known| revision > known)
    }
}
