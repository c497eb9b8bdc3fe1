//! What lies in the store under one prefix, as far as this host knows.

use std::collections::{BTreeMap, BTreeSet};
use vanetally_ports::{Change, Item, Revision};
use vanetally_types::Name;

/// Changes that can't be applied: something before them is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

/// The keys of one prefix at one revision.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Name, Item>,
    /// None until all keys were read once.
    at: Option<Revision>,
    /// No older reading may be taken: the last reading, or the last change since.
    newest: Revision,
}

impl Mirror {
    /// The revision up to which all changes are known.
    pub fn at(&self) -> Option<Revision> {
        self.at
    }

    /// Whether something is missing of what was told up to `told`.
    pub fn lacks(&self, told: Revision) -> bool {
        self.at.is_none_or(|at| at < told)
    }

    /// All keys.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// All keys were read at `at`, or somewhat later. A reading older than what is known is not
    /// taken; tells whether it was.
    pub fn try_replace(&mut self, at: Revision, items: &[Item]) -> bool {
        if at < self.newest {
            return false;
        }
        self.newest = at;
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        // Nothing changed between this reading and what is known: that stays known.
        self.at = self.at.max(Some(at));
        true
    }

    /// What a reading at `at` changes: keys that are new, were written since, or have gone.
    pub fn changes_to(&self, at: Revision, items: &[Item]) -> Vec<Change> {
        let is_newer = |item: &&Item| {
            self.items.get(&item.key).is_none_or(|known| known.revision < item.revision)
        };
        let listed: BTreeSet<&Name> = items.iter().map(|item| &item.key).collect();
        let gone = self.items.keys().filter(|key| !listed.contains(key));
        let gone = gone.map(|key| Change::Gone { key: key.clone(), revision: at });
        gone.chain(items.iter().filter(is_newer).cloned().map(Change::Put)).collect()
    }

    /// The changes after `after` and up to `at`; gives back those that are news here.
    ///
    /// # Errors
    /// If changes before them are missing.
    pub fn try_apply(
        &mut self,
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
    ) -> Result<Vec<Change>, Gap> {
        let known = self.at.ok_or(Gap)?;
        if known < after {
            return Err(Gap);
        }
        let news: Vec<Change> = changes.into_iter().filter(|change| self.is_news(change)).collect();
        for change in &news {
            self.newest = self.newest.max(change.revision());
            match change {
                Change::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Gone { key, .. } => {
                    self.items.remove(key);
                }
            }
        }
        self.at = Some(known.max(at));
        Ok(news)
    }

    /// Pages of a reading are no snapshot: they may hold changes beyond its revision.
    fn is_news(&self, change: &Change) -> bool {
        let revision = change.revision();
        let is_later = self.at.is_none_or(|at| revision > at);
        is_later && self.items.get(change.key()).is_none_or(|item| item.revision < revision)
    }
}
