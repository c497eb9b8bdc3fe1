//! The store of the model.

use std::collections::BTreeMap;
use vanetally_types::Tick;

/// The key in the store that names the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Key {
    pub host: usize,
    /// Number of the lease under which it was written.
    pub lease: u64,
    /// Number of the change that wrote it.
    pub number: u64,
}

/// Contents of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct StoreState {
    /// Expiry times of the leases, by number.
    pub leases: BTreeMap<u64, Tick>,
    pub key: Option<Key>,
    /// Number of the last change.
    pub number: u64,
}

impl StoreState {
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        if self.key.is_some_and(|key| key.lease == lease) {
            self.remove_key();
        }
    }

    pub fn remove_key(&mut self) {
        self.key = None;
        self.number += 1;
    }
}
