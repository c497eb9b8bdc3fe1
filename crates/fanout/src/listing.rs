//! Joins the pages of one list of the store.

use bytes::Bytes;
use std::collections::HashSet;
use vanetally_ports::{Item, Page, Revision};
use vanetally_types::Name;

/// Maximum number of pages of one list.
pub const MAX_PAGES: usize = 1_024;
/// Maximum number of keys of one list: several times the upstreams of a large fleet.
pub const MAX_KEYS: usize = 32_768;
/// Maximum size of one list, with [`ITEM_OVERHEAD`] for each item; hosts can't pass on more than 16 MiB.
pub const MAX_LIST_BYTES: usize = 12 << 20;
/// Bytes around the key and the value of an item where it is passed on.
pub const ITEM_OVERHEAD: usize = 64;

/// Why a list can't be read to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// A page repeats a key.
    #[error("a page repeats the key {0:?}")]
    Repeated(Name),
    /// A page holds a key that was not asked for.
    #[error("a page holds the key {0:?} of another prefix")]
    Foreign(Name),
    /// A page holds no keys, but says that more follow.
    #[error("a page without keys says that more follow")]
    Stalled,
    /// The list has too many pages or keys.
    #[error("more than {pages} pages or {keys} keys", pages = MAX_PAGES, keys = MAX_KEYS)]
    TooLong,
}

/// Returns the size of `item` without its value, in bytes.
pub(crate) fn key_size(item: &Item) -> usize {
    item.key.len() + ITEM_OVERHEAD
}

/// Returns the size of `item`, in bytes.
pub(crate) fn size(item: &Item) -> usize {
    key_size(item) + item.value.len()
}

/// Leaves the values of more than `max_value` bytes empty; returns how many, and their size in bytes together. A key that
/// is the whole prefix keeps its value: the list was read for it.
pub(crate) fn empty_above<'a>(
    items: impl Iterator<Item = &'a mut Item>,
    prefix: &Name,
    max_value: usize,
) -> (usize, usize) {
    let is_emptied = |item: &&mut Item| item.value.len() > max_value && item.key != *prefix;
    items.filter(is_emptied).fold((0, 0), |(count, bytes), item| {
        (count + 1, bytes + std::mem::take(&mut item.value).len())
    })
}

/// The pages of one list that were read so far.
#[derive(Debug)]
pub struct Listing {
    prefix: Name,
    max_value: usize,
    /// Size of a value, in bytes, up to which all values together fit.
    fitting_value: usize,
    items: Vec<Item>,
    keys: HashSet<Name>,
    /// Revision of the first page.
    at: Option<Revision>,
    pages: usize,
    bytes: usize,
    left_out: usize,
}

impl Listing {
    /// Creates the list of the keys with `prefix`. A value of more than `max_value` bytes is left empty; so are
    /// the largest ones if all together are too large.
    pub fn new(prefix: Name, max_value: usize) -> Self {
        Self {
            prefix,
            max_value,
            fitting_value: max_value,
            items: Vec::new(),
            keys: HashSet::new(),
            at: None,
            pages: 0,
            bytes: 0,
            left_out: 0,
        }
    }

    /// Returns the key after which the next page begins.
    pub fn after(&self) -> Option<&Name> {
        self.items.last().map(|item| &item.key)
    }

    /// Adds a page; returns whether it is the last one. If the store was restored from a backup since the page before, the
    /// list begins again.
    ///
    /// # Errors
    /// If the page does not go on after the key that was asked for, or the list is too long.
    pub fn add(&mut self, page: Page) -> Result<bool, ListError> {
        self.pages += 1;
        let is_restored = self.at.is_some_and(|at| at.era != page.revision.era);
        if is_restored {
            self.items.clear();
            self.keys.clear();
            (self.at, self.bytes, self.left_out) = (None, 0, 0);
            self.fitting_value = self.max_value;
        } else {
            // The pages are not one snapshot. A watch that continues from the first page's revision may see changes twice.
            self.at.get_or_insert(page.revision);
            if page.more && page.items.is_empty() {
                return Err(ListError::Stalled);
            }
            page.items.into_iter().try_for_each(|item| self.add_item(item))?;
        }
        let is_last = !is_restored && !page.more;
        if (!is_last && self.pages >= MAX_PAGES) || self.items.len() > MAX_KEYS {
            return Err(ListError::TooLong);
        }
        Ok(is_last)
    }

    fn add_item(&mut self, mut item: Item) -> Result<(), ListError> {
        if !item.key.starts_with(&*self.prefix) {
            return Err(ListError::Foreign(item.key));
        }
        if !self.keys.insert(item.key.clone()) {
            return Err(ListError::Repeated(item.key));
        }
        if item.value.len() > self.fitting_value {
            item.value = Bytes::new();
            self.left_out += 1;
        }
        self.bytes += size(&item);
        self.items.push(item);
        while self.bytes > MAX_LIST_BYTES && self.fitting_value > 0 {
            self.empty_largest();
        }
        Ok(())
    }

    /// Leaves the larger values empty, so that the smaller ones fit.
    fn empty_largest(&mut self) {
        let others = self.items.iter().filter(|item| item.key != self.prefix);
        let largest = others.map(|item| item.value.len()).max().unwrap_or(0);
        self.fitting_value = self.fitting_value.min(largest) / 2;
        let (count, bytes) = empty_above(self.items.iter_mut(), &self.prefix, self.fitting_value);
        self.left_out += count;
        self.bytes -= bytes;
    }

    /// Returns how many values were left empty.
    pub fn left_out(&self) -> usize {
        self.left_out
    }

    /// Whether values were left empty for the size of all together.
    pub fn is_partial(&self) -> bool {
        self.fitting_value < self.max_value
    }

    /// Returns all items and the revision from which a watch continues.
    pub fn into_items(self) -> (Vec<Item>, Revision) {
        (self.items, self.at.unwrap_or_default())
    }
}
