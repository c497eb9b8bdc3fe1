//! The store keys known to this host, read from the store or received from another host.

use crate::{peers::AnnouncedRevisions, store::Snapshot, telemetry, watch::FeedHandler, wire};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use vanetally_fanout::{Gap, Mirror, Packed};
use vanetally_link::peer;
use vanetally_ports::{Change, Era, Item, Revision};
use vanetally_types::{Name, Tick};

/// A local copy of all keys under one prefix.
pub(crate) struct Feed {
    pub prefix: Name,
    /// Whether aggregators forward its keys to other hosts.
    is_shared: bool,
    /// Whether aggregators of earlier builds don't forward its keys.
    is_optional: bool,
    /// Size of a value, in bytes, above which it is left empty.
    pub max_value: usize,
    pub handler: Rc<dyn FeedHandler>,
    pub mirror: RefCell<Mirror>,
    /// When the store last confirmed the local copy.
    pub confirmed: Cell<Option<Tick>>,
    /// When the local copy was found to lack keys or values, or was read again since; none if it is whole.
    partial_since: Cell<Option<Tick>>,
    /// Whether a store watch that covers the prefix is pending.
    pub is_watched: Cell<bool>,
    /// Revision up to which changes were announced to subscribers.
    pub announced: Cell<Revision>,
    /// Cached compressed snapshot for hosts that start, valid until a key changes; many hosts
    /// request it at the same time.
    packed: RefCell<Option<Packed>>,
}

/// All keys of one prefix, as sent by an aggregator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "wire::Snapshot", into = "wire::Snapshot")]
pub(crate) struct PrefixSnapshot {
    /// The key prefix.
    pub prefix: Name,
    /// Revision up to which all changes are included.
    pub at: Revision,
    /// The keys.
    pub items: Vec<Item>,
    /// Whether keys or values were left out for the size of all together.
    pub is_partial: bool,
}

/// The update that brings a subscriber of one prefix up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PrefixSync {
    /// All keys, as a compressed [`PrefixSnapshot`].
    Whole(Packed),
    /// Changes since the subscriber's last known revision.
    Since(PrefixChanges),
}

/// Changes to one prefix within one era, as sent by an aggregator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "wire::Changes", into = "wire::Changes")]
pub(crate) struct PrefixChanges {
    /// The key prefix.
    pub prefix: Name,
    /// The revision up to which changes were announced before.
    pub after: Revision,
    /// The revision up to which all changes are known now.
    pub at: Revision,
    /// The changes between the two revisions.
    pub changes: Vec<Change>,
}

/// Maximum size of a value that hosts pass on to each other: several times that of any entry.
pub(crate) const MAX_ENTRY_BYTES: usize = 8 << 10;

impl Feed {
    /// Creates an empty feed that is read from the store or an aggregator.
    pub(crate) fn shared(prefix: Name, handler: Rc<dyn FeedHandler>) -> Self {
        Self { is_shared: true, max_value: MAX_ENTRY_BYTES, ..Self::store_only(prefix, handler) }
    }

    /// Creates an empty feed that is read from the store, or from an aggregator if its build forwards
    /// it.
    pub(crate) fn optional(prefix: Name, handler: Rc<dyn FeedHandler>) -> Self {
        Self { is_optional: true, ..Self::shared(prefix, handler) }
    }

    /// Creates an empty feed that is read from the store only; other hosts obtain its data by
    /// another protocol.
    pub(crate) fn store_only(prefix: Name, handler: Rc<dyn FeedHandler>) -> Self {
        Self {
            prefix: prefix.clone(),
            is_shared: false,
            is_optional: false,
            max_value: usize::MAX,
            handler,
            mirror: RefCell::new(Mirror::new(prefix)),
            confirmed: Cell::new(None),
            partial_since: Cell::new(None),
            is_watched: Cell::new(false),
            announced: Cell::default(),
            packed: RefCell::default(),
        }
    }

    /// Whether aggregators forward this feed's keys.
    pub(crate) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Whether hosts of earlier builds don't forward this feed's keys.
    pub(crate) fn is_optional(&self) -> bool {
        self.is_optional
    }

    /// Whether the source is of an earlier build, which does not forward these keys.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.is_optional && self.mirror.borrow().revision().is_none()
    }

    /// Replaces all keys; returns whether the snapshot was recent enough to be applied.
    pub(crate) fn replace(&self, snapshot: Snapshot) -> bool {
        let is_applied = self.mirror.borrow_mut().try_replace(snapshot.at, &snapshot.items);
        if is_applied {
            if snapshot.is_partial {
                self.mirror.borrow_mut().mark_partial();
            }
            self.packed.take();
            self.handler.replaced(snapshot);
        } else {
            self.log_stale_update("reading", snapshot.at, snapshot.items.len());
        }
        is_applied
    }

    /// Returns the difference between the local copy and `snapshot`; `None` if there is no local
    /// copy, or the difference can't be told as changes.
    pub(crate) fn changes_to(&self, snapshot: &Snapshot) -> Option<Vec<Change>> {
        self.mirror.borrow().changes_to(snapshot.at, &snapshot.items)
    }

    /// Returns whether the local copy is to be read again, since it has lacked keys or values for
    /// `pause`; if so, the pause begins anew.
    pub(crate) fn begin_due_read(&self, now: Tick, pause: Duration) -> bool {
        if !self.mirror.borrow().is_partial() {
            self.partial_since.set(None);
            return false;
        }
        let since = self.partial_since.get();
        let is_due = since.is_some_and(|since| now.since(since) >= pause.as_millis() as u64);
        if is_due || since.is_none() {
            self.partial_since.set(Some(now));
        }
        is_due
    }

    /// Applies changes to the local copy.
    pub(crate) fn apply_changes(
        &self,
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
    ) -> Result<(), Gap> {
        let received = changes.len();
        let updates = self.mirror.borrow_mut().try_apply(after, at, changes)?;
        if updates.len() < received {
            self.log_stale_update("changes", at, received - updates.len());
        }
        if !updates.is_empty() {
            self.packed.take();
            self.handler.changed(updates);
        }
        Ok(())
    }

    /// Returns the era of the local copy.
    pub(crate) fn era(&self) -> Option<Era> {
        self.mirror.borrow().revision().map(|at| at.era)
    }

    /// Logs an update that is older than the local copy or was received twice.
    pub(crate) fn log_stale_update(&self, what: &'static str, at: Revision, keys: usize) {
        let known = self.mirror.borrow().revision().unwrap_or_default();
        telemetry::stale_update(what);
        log::info!(
            "event=news_passed_over what={what} prefix={} at={at} known={known} keys={keys}",
            self.prefix,
        );
    }

    /// Empties the values in `changes` that are too large; returns how many.
    pub(crate) fn empty_large(&self, changes: &mut [Change]) -> usize {
        let items = changes.iter_mut().filter_map(|change| match change {
            Change::Put(item) if item.value.len() > self.max_value => Some(item),
            _ => None,
        });
        items.map(|item| item.value = Bytes::new()).count()
    }

    pub(crate) fn covers(&self, change: &Change) -> bool {
        change.key().starts_with(&*self.prefix)
    }

    /// Returns the update for a host that knows all changes up to `have`; `None` if there is no
    /// local copy yet.
    pub(crate) fn sync(&self, have: Option<Revision>) -> Option<PrefixSync> {
        let mirror = self.mirror.borrow();
        let at = mirror.revision()?;
        let since = have.and_then(|have| Some((have, mirror.changes_since(have)?)));
        if let Some((after, changes)) = since {
            let prefix = self.prefix.clone();
            return Some(PrefixSync::Since(PrefixChanges { prefix, after, at, changes }));
        }
        let mut packed = self.packed.borrow_mut();
        if packed.is_none() {
            let items = mirror.items().cloned().collect();
            let (prefix, is_partial) = (self.prefix.clone(), mirror.is_partial());
            *packed = pack(&PrefixSnapshot { prefix, at, items, is_partial });
        }
        packed.clone().map(PrefixSync::Whole)
    }

    /// Returns the revisions announced to subscribers.
    pub(crate) fn announced_revisions(&self) -> AnnouncedRevisions {
        let announced = self.announced.get();
        let at = self.mirror.borrow().revision().unwrap_or(announced);
        let last = if announced.era == at.era { announced } else { at };
        AnnouncedRevisions { prefix: self.prefix.clone(), last, at }
    }

    /// Compares the local copy with the revisions announced by the source, and advances its
    /// revision if no changes are missing; returns whether changes are missing.
    pub(crate) fn is_missing_changes(&self, announced: &AnnouncedRevisions) -> bool {
        let mut mirror = self.mirror.borrow_mut();
        let is_missing = mirror.is_behind(announced.last);
        if !is_missing {
            mirror.advance(announced.at);
        }
        is_missing
    }

    /// Milliseconds since the store last confirmed the local copy.
    pub(crate) fn age_ms(&self, now: Tick) -> Option<u64> {
        self.confirmed.get().map(|at| now.since(at))
    }
}

fn pack(snapshot: &PrefixSnapshot) -> Option<Packed> {
    let bytes = peer::encode(snapshot).map_err(|error| error.to_string());
    let packed =
        bytes.and_then(|bytes| Packed::try_from_bytes(&bytes).map_err(|error| error.to_string()));
    packed.inspect_err(|error| log::error!("event=keys_not_packed error=\"{error}\"")).ok()
}

/// Unpacks a snapshot sent by another host; `None` if it is unreadable.
pub(crate) fn unpack(packed: &Packed) -> Option<PrefixSnapshot> {
    match packed.try_unpack() {
        Ok(bytes) => peer::decode(&bytes),
        Err(error) => {
            log::warn!("event=keys_not_unpacked error=\"{error}\"");
            None
        }
    }
}
