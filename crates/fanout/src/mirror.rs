//! What lies in the store under one prefix, as far as this host knows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use vanetally_ports::{Change, Item, Revision};
use vanetally_types::Name;

/// Changes that can't be applied: something before them is missing, or they are of another era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

/// The keys of one prefix at one revision, all of its era.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Name, Item>,
    /// None until all keys were read once.
    at: Option<Revision>,
    /// No older reading may be taken: the last reading, or the last change since.
    newest: Revision,
    /// Keys that went, oldest first.
    gone: VecDeque<(Revision, Name)>,
    /// All keys that went after this are among them.
    gone_since: Revision,
}

/// Keys that went and are remembered, to tell other hosts what has changed.
const MOST_GONE: usize = 4_096;

impl Mirror {
    /// The revision up to which all changes are known.
    pub fn revision(&self) -> Option<Revision> {
        self.at
    }

    /// Whether something is missing of what was told up to `told`.
    pub fn is_behind(&self, told: Revision) -> bool {
        self.at.is_none_or(|at| at < told)
    }

    /// Whether `key` is there.
    pub fn contains(&self, key: &str) -> bool {
        self.items.contains_key(key)
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
        if self.is_same_era(at) {
            self.note_unlisted(at, items);
        } else {
            self.gone.clear();
            self.gone_since = at;
        }
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        // Nothing changed between this reading and what is known: that stays known.
        self.at = self.at.max(Some(at));
        true
    }

    /// Whether a reading at `at` goes on with what is known: both are of one era, so that what differs can be told.
    pub fn is_same_era(&self, at: Revision) -> bool {
        self.at.is_some_and(|known| known.era == at.era)
    }

    /// Nothing beyond what is known changed up to `at`.
    pub fn advance(&mut self, at: Revision) {
        if self.is_same_era(at) {
            self.at = self.at.max(Some(at));
        }
    }

    /// What changed after `have`, for a host that knows everything up to there; `None` if what went since
    /// then is not remembered, `have` is of another era, or nothing was read.
    pub fn changes_since(&self, have: Revision) -> Option<Vec<Change>> {
        if !self.is_same_era(have) || have < self.gone_since {
            return None;
        }
        let gone = self.gone.iter().filter(|(revision, _)| *revision > have);
        let gone = gone.filter(|(_, key)| !self.items.contains_key(key));
        let gone =
            gone.map(|(revision, key)| Change::Deleted { key: key.clone(), revision: *revision });
        let put = self.items.values().filter(|item| item.revision > have);
        Some(gone.chain(put.cloned().map(Change::Put)).collect())
    }

    fn note_unlisted(&mut self, at: Revision, items: &[Item]) {
        let listed: BTreeSet<&Name> = items.iter().map(|item| &item.key).collect();
        let gone: Vec<Name> =
            self.items.keys().filter(|key| !listed.contains(key)).cloned().collect();
        gone.into_iter().for_each(|key| self.note_gone(at, key));
    }

    fn note_gone(&mut self, revision: Revision, key: Name) {
        self.gone.push_back((revision, key));
        if self.gone.len() > MOST_GONE
            && let Some((revision, _)) = self.gone.pop_front()
        {
            self.gone_since = self.gone_since.max(revision);
        }
    }

    /// What a reading at `at`, of the era that is known, changes: keys that are new, were written since, or have gone.
    pub fn changes_to(&self, at: Revision, items: &[Item]) -> Vec<Change> {
        let is_newer = |item: &&Item| {
            self.items.get(&item.key).is_none_or(|known| known.revision < item.revision)
        };
        let listed: BTreeSet<&Name> = items.iter().map(|item| &item.key).collect();
        let gone = self.items.keys().filter(|key| !listed.contains(key));
        let gone = gone.map(|key| Change::Deleted { key: key.clone(), revision: at });
        gone.chain(items.iter().filter(is_newer).cloned().map(Change::Put)).collect()
    }

    /// The changes after `after` and up to `at`; gives back those that are news here.
    ///
    /// # Errors
    /// If changes before them are missing, or they are of another era.
    pub fn try_apply(
        &mut self,
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
    ) -> Result<Vec<Change>, Gap> {
        let known = self.at.ok_or(Gap)?;
        if known < after || !self.is_same_era(after) || !self.is_same_era(at) {
            return Err(Gap);
        }
        let news: Vec<Change> = changes.into_iter().filter(|change| self.is_news(change)).collect();
        for change in &news {
            self.newest = self.newest.max(change.revision());
            match change {
                Change::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Deleted { key, revision } => {
                    if self.items.remove(key).is_some() {
                        self.note_gone(*revision, key.clone());
                    }
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
