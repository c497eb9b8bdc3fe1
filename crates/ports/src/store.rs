//! The key-value store of the deployment.

use crate::{Era, FormatError, Revision};
use bytes::Bytes;
use vanetally_types::Name;

/// A lease that the store granted.
///
/// In a later era its number may be that of another lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// The era in which it was granted, or is known to hold on.
    pub era: Era,
    /// Its number.
    pub id: u64,
}

impl LeaseId {
    /// The lease `id` of `era`.
    pub const fn new(era: Era, id: u64) -> Self {
        Self { era, id }
    }
}

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Name,
    /// The value.
    pub value: Bytes,
    /// Its last change.
    pub revision: Revision,
}

/// How new a reading has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// All that was written before it.
    Newest,
    /// It may be seconds old, and costs less.
    MayBeStale,
}

/// Some keys of a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The keys, in order.
    pub items: Vec<Item>,
    /// Whether more follow after the last.
    pub more: bool,
    /// The store's revision when it answered.
    pub revision: Revision,
}

/// One change of a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key went.
    Deleted {
        /// The key.
        key: Name,
        /// When it went.
        revision: Revision,
    },
}

impl Change {
    /// The key that changed.
    pub fn key(&self) -> &Name {
        match self {
            Self::Put(item) => &item.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// When it changed.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(item) => item.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// How a watch was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAnswer {
    /// Changes, oldest first.
    Changes {
        /// What changed.
        changes: Vec<Change>,
        /// Where the next watch goes on.
        revision: Revision,
    },
    /// The changes since then are forgotten: read anew.
    Compacted,
}

/// A key that must not have changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// The key.
    pub key: Name,
    /// Its last change; 0 if it must not exist.
    pub revision: Revision,
}

/// A key to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Name,
    /// Its value.
    pub value: Bytes,
    /// The lease that it goes with.
    pub lease: Option<LeaseId>,
}

/// Writes that happen together, if all expectations hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub expect: Vec<Expectation>,
    /// What is written.
    pub put: Vec<Write>,
    /// What is removed.
    pub remove: Vec<Name>,
}

/// How the store answered a writing call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer<T> {
    /// Done.
    Done(T),
    /// Not done: an expectation does not hold.
    Unmet,
    /// Not done: there is no such lease.
    NoLease,
    /// Not done: the store refuses calls for now.
    Busy,
}

/// What the store speaks.
pub trait StoreProtocol {
    /// Reads from the head of any answer in which era the store gave it.
    ///
    /// # Errors
    /// If what it says is no era.
    fn read_era(&self, headers: &http::HeaderMap) -> Result<Era, FormatError>;

    /// The cheapest call that shows whether the store answers; `key` is a small one, there or not.
    fn probe(&self, key: &str) -> http::Request<Bytes>;

    /// The call that reads one page of the keys that begin with `prefix`, after the key `after`.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> http::Request<Bytes>;

    /// Reads the answer to a range, given in `era`.
    ///
    /// # Errors
    /// If the bytes are no page.
    fn read_range(&self, era: Era, body: &[u8]) -> Result<Page, FormatError>;

    /// The call that waits for changes of the keys that begin with `prefix`, after `after`.
    fn watch(&self, prefix: &str, after: Revision, wait_ms: u64) -> http::Request<Bytes>;

    /// Reads the answer to a watch, given in `era`; `None` if the store refuses calls for now.
    ///
    /// # Errors
    /// If the bytes are no changes.
    fn read_watch(
        &self,
        era: Era,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<Option<WatchAnswer>, FormatError>;

    /// The call that writes.
    fn transaction(&self, transaction: &Transaction) -> http::Request<Bytes>;

    /// Reads the answer to a transaction, given in `era`: its revision.
    ///
    /// # Errors
    /// If the answer makes no sense.
    fn read_transaction(
        &self,
        era: Era,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<StoreAnswer<Revision>, FormatError>;

    /// The call that asks for a lease.
    fn grant(&self, ttl_ms: u64) -> http::Request<Bytes>;

    /// Reads the answer to a grant, given in `era`: the lease and the milliseconds that hold.
    ///
    /// # Errors
    /// If the answer makes no sense.
    fn read_grant(
        &self,
        era: Era,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<StoreAnswer<(LeaseId, u64)>, FormatError>;

    /// The call that renews a lease.
    fn renew(&self, lease: LeaseId) -> http::Request<Bytes>;

    /// Judges the answer to a renewal or an end of a lease.
    fn classify_lease(&self, status: http::StatusCode) -> StoreAnswer<()>;

    /// The call that ends a lease, with its keys.
    fn revoke(&self, lease: LeaseId) -> http::Request<Bytes>;
}
