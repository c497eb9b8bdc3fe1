//! Reads the store for this host and its subscribers.

use crate::{feed::Feed, hub::Hub, store::Snapshot, watch};
use std::rc::Rc;
use vanetally_fanout::{Gap, Source};
use vanetally_ports::{Change, Revision};
use vanetally_types::{Name, Tick};

/// Number of watches within the time limit for the revocation of keys.
const WATCHES_PER_REVOCATION: u64 = 8;

/// Reads all feeds from the store whenever it is this host's source, until the process ends.
pub(crate) async fn run(hub: Rc<Hub>) {
    let mut source = hub.source.subscribe();
    let store = hub.store.clone();
    let feeds = hub.feeds.borrow().clone();
    let reader = Reader { hub, feeds };
    loop {
        // The sender lives as long as the hub.
        let _ = source.wait_for(|source| *source == Source::Store).await;
        tokio::select! {
            _ = source.wait_for(|source| *source != Source::Store) => {}
            () = watch::follow_all(&store, &reader) => {}
        }
        reader.stop_watching();
    }
}

/// The feeds covered by one watch.
pub(crate) struct WatchScope {
    feeds: Vec<Rc<Feed>>,
    /// The common prefix of their keys.
    pub prefix: Name,
}

impl WatchScope {
    fn new(feeds: Vec<Rc<Feed>>) -> Self {
        let prefixes = feeds.iter().map(|feed| &*feed.prefix);
        let prefix = prefixes.reduce(common_prefix).unwrap_or_default().into();
        Self { feeds, prefix }
    }

    pub(crate) fn feeds(&self) -> &[Rc<Feed>] {
        &self.feeds
    }

    /// Records whether a watch is pending, in which case an answered probe confirms that nothing
    /// has changed.
    pub(crate) fn set_watching(&self, is_watching: bool) {
        self.feeds.iter().for_each(|feed| feed.is_watched.set(is_watching));
    }

    /// Whether the scope contains a feed that is read from the store only and whose values may be
    /// large.
    pub(crate) fn has_bulk(&self) -> bool {
        self.feeds.iter().any(|feed| !feed.is_shared())
    }

    /// Returns the total size of the values in `changes` that belong to a feed of that kind.
    pub(crate) fn bulk_bytes(&self, changes: &[Change]) -> usize {
        let bulk = |change: &&Change| {
            let mut feeds = self.feeds.iter().filter(|feed| !feed.is_shared());
            feeds.any(|feed| feed.covers(change))
        };
        let values = changes.iter().filter(bulk).map(|change| match change {
            Change::Put(item) => item.value.len(),
            Change::Deleted { .. } => 0,
        });
        values.sum()
    }

    /// Whether all feeds of the scope are of that kind.
    pub(crate) fn is_bulk_only(&self) -> bool {
        self.feeds.iter().all(|feed| !feed.is_shared())
    }

    /// Returns the revision of the last change to a feed of that kind.
    pub(crate) fn last_change(&self) -> Option<Revision> {
        let bulk = self.feeds.iter().filter(|feed| !feed.is_shared());
        bulk.filter_map(|feed| feed.mirror.borrow().items().map(|item| item.revision).max()).max()
    }
}

/// Applies store reads and watch results to the feeds.
pub(crate) struct Reader {
    hub: Rc<Hub>,
    feeds: Vec<Rc<Feed>>,
}

impl Reader {
    /// Returns one scope of all feeds.
    pub(crate) fn all(&self) -> WatchScope {
        WatchScope::new(self.feeds.clone())
    }

    /// Returns one scope per feed.
    pub(crate) fn each(&self) -> Vec<WatchScope> {
        self.feeds.iter().map(|feed| WatchScope::new(vec![feed.clone()])).collect()
    }

    /// Whether the configuration is large. Hosts receive it from the store, or from other hosts on
    /// request.
    pub(crate) fn is_bulk(&self) -> bool {
        self.hub.versions.borrow().newest_bytes() > watch::BULK_BYTES
    }

    /// Records that no watch is pending.
    pub(crate) fn stop_watching(&self) {
        self.feeds.iter().for_each(|feed| feed.is_watched.set(false));
    }

    /// Returns the revision up to which the shared feeds of `scope` are known from other hosts or
    /// an earlier watch, if it is of the store's era. A watch may continue from there.
    pub(crate) fn known_revision(&self, scope: &WatchScope) -> Option<Revision> {
        let shared = scope.feeds().iter().filter(|feed| feed.is_shared());
        let known: Option<Vec<Revision>> =
            shared.map(|feed| feed.mirror.borrow().revision()).collect();
        let era = self.hub.store.eras().newest();
        known?.into_iter().min().filter(|known| known.era == era)
    }

    /// Returns how long the store may hold a watch of `scope`.
    ///
    /// Each answer confirms the configuration as of the time the watch was sent. Where revoked keys
    /// must be rejected in time, hosts serve for most of the allowed time after that confirmation;
    /// longer watches would shorten the time for which they can continue while the store is
    /// unreachable.
    pub(crate) fn watch_ms(&self, scope: &WatchScope) -> u64 {
        match self.hub.settings.bounds.revoke_ms {
            Some(revoke_ms) if scope.has_bulk() => {
                (revoke_ms / WATCHES_PER_REVOCATION).min(watch::WATCH_MS)
            }
            _ => watch::WATCH_MS,
        }
    }

    /// Returns the current time, to timestamp a store request.
    pub(crate) fn now(&self) -> Tick {
        self.hub.clock.now()
    }

    /// Applies a read of all keys of `feed`, whose calls were sent from `requested_at` on.
    pub(crate) fn keys_read(&self, feed: &Feed, snapshot: Snapshot, requested_at: Tick) {
        let at = snapshot.at;
        feed.confirmed.set(Some(self.hub.clock.now()));
        if !feed.is_shared() {
            feed.replace(snapshot);
            self.hub.configuration_confirmed(feed, requested_at);
            return;
        }
        let changes = feed.changes_to(&snapshot);
        if !feed.replace(snapshot) {
            return;
        }
        match changes {
            Some(changes) if changes.is_empty() => {}
            Some(changes) => self.hub.forward_changes(feed, at, changes),
            None => self.hub.resend(feed, at),
        }
    }

    /// Applies a watch result: changes to the keys of `scope` up to `at`.
    ///
    /// # Errors
    /// If earlier changes are missing, in which case all keys have to be read again.
    pub(crate) fn keys_changed(
        &self,
        scope: &WatchScope,
        after: Revision,
        at: Revision,
        mut changes: Vec<Change>,
        requested_at: Tick,
    ) -> Result<(), Gap> {
        let now = self.hub.clock.now();
        for feed in scope.feeds() {
            let mut own: Vec<Change> =
                changes.extract_if(.., |change| feed.covers(change)).collect();
            let too_large = feed.empty_large(&mut own);
            self.hub.store.record_left_out(&feed.prefix, 0, too_large);
            let is_change = !own.is_empty();
            let was_partial = feed.mirror.borrow().is_partial();
            feed.apply_changes(after, at, own.clone())?;
            if !was_partial && feed.mirror.borrow().is_partial() {
                self.hub.store.record_partial(&feed.prefix);
            }
            feed.confirmed.set(Some(now));
            if !feed.is_shared() {
                self.hub.configuration_confirmed(feed, requested_at);
            } else if is_change {
                self.hub.forward_changes(feed, at, own);
            }
        }
        Ok(())
    }

    /// Informs all feeds that the store is unreachable.
    pub(crate) fn store_lost(&self) {
        self.feeds.iter().for_each(|feed| feed.handler.lost());
    }
}

fn common_prefix<'a>(one: &'a str, other: &'a str) -> &'a str {
    let common = one.char_indices().zip(other.chars()).take_while(|((_, a), b)| a == b);
    let end = common.last().map_or(0, |((at, last), _)| at + last.len_utf8());
    &one[..end]
}
