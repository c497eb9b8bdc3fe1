//! Follows the keys of the store by reads and watches.

use crate::{
    reader::{Reader, WatchScope},
    store::{Error, Snapshot, Store},
};
use futures_util::future::select_all;
use rand::RngExt;
use std::{cell::Cell, time::Duration};
use tokio::time::sleep;
use vanetally_ports::{Change, Freshness, Revision, WatchAnswer};

/// Receives the changes to the keys of one prefix.
pub(crate) trait FeedHandler {
    /// All keys were read.
    fn replaced(&self, snapshot: Snapshot);

    /// Keys changed, in this order.
    fn changed(&self, changes: Vec<Change>);

    /// The store is unreachable.
    fn lost(&self);
}

/// Maximum time for which the store holds a watch. A connection that fell silent is detected within
/// this time plus a margin of half a second, and its keys are read again within the 2.5 s or more
/// that deployments allow. Probes detect earlier whether the store is reachable, but not whether
/// this connection is alive.
pub(crate) const WATCH_MS: u64 = 1_500;
/// Pause before the next watch after changes, so that it returns several changes at once.
const BATCH_PAUSE: Duration = Duration::from_millis(300);
/// Size above which a value is read and watched separately: on a 10 Mbit/s link it takes a tenth of
/// a second.
pub(crate) const BULK_BYTES: usize = 96 << 10;
/// Time between reads of a prefix of which keys or values were left out.
const PARTIAL_READ_PAUSE: Duration = Duration::from_secs(15);
/// Pause after the first failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Maximum pause after repeated failures.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Reads and watches all prefixes until dropped.
///
/// One watch covers all prefixes while the values are small. A large value is read and watched
/// separately: on a 10 Mbit/s link a configuration of 800 KB takes 0.9 s, during which hosts that
/// depend on the other keys would take their reader for disconnected.
pub(crate) async fn follow_all(store: &Store, reader: &Reader) {
    let outage = Outage::default();
    // Data received from other hosts need not be read again: a watch continues from its revision.
    let mut is_known = true;
    loop {
        let end = if reader.is_bulk() {
            follow_separately(store, reader, is_known, &outage).await
        } else {
            follow_keys(store, reader, &reader.all(), is_known, &outage).await
        };
        reader.stop_watching();
        is_known = matches!(end, FollowEnd::Resized);
        let FollowEnd::Lost(error) = end else {
            continue;
        };
        outage.begin(&error);
        reader.store_lost();
        let mut restarts = store.restarts();
        tokio::select! {
            () = sleep(jittered(outage.next_pause())) => {}
            _ = restarts.changed() => {}
        }
    }
}

/// Follows each prefix separately until one of them ends.
async fn follow_separately(
    store: &Store,
    reader: &Reader,
    is_known: bool,
    outage: &Outage,
) -> FollowEnd {
    let scopes = reader.each();
    let following =
        scopes.iter().map(|scope| Box::pin(follow_keys(store, reader, scope, is_known, outage)));
    let (end, ..) = select_all(following).await;
    end
}

/// State of consecutive failures.
struct Outage {
    is_lost: Cell<bool>,
    pause: Cell<Duration>,
}

impl Default for Outage {
    fn default() -> Self {
        Self { is_lost: Cell::new(false), pause: Cell::new(MIN_RETRY_PAUSE) }
    }
}

impl Outage {
    fn begin(&self, error: &Error) {
        if !self.is_lost.replace(true) {
            log::warn!("event=store_lost error=\"{error}\"");
        }
    }

    fn end(&self, at: Revision) {
        if self.is_lost.replace(false) {
            log::info!("event=store_regained revision={at}");
        }
        self.pause.set(MIN_RETRY_PAUSE);
    }

    /// Returns the pause after this failure and doubles the next one.
    fn next_pause(&self) -> Duration {
        let pause = self.pause.get();
        self.pause.set((pause * 2).min(MAX_RETRY_PAUSE));
        pause
    }
}

/// Why following a scope ended.
enum FollowEnd {
    /// The store is unreachable.
    Lost(Error),
    /// The store has discarded the history, or changes may be missing: all keys have to be read
    /// again.
    Gap,
    /// The large value appeared, or became small.
    Resized,
}

/// Reads the keys of `scope`, except shared ones that are already known, and watches them.
///
/// A pending watch is abandoned when pending calls restart. A read continues, since it has shorter
/// timeouts of its own and may be large.
async fn follow_keys(
    store: &Store,
    reader: &Reader,
    scope: &WatchScope,
    is_known: bool,
    outage: &Outage,
) -> FollowEnd {
    let mut known = reader.known_revision(scope).filter(|_| is_known);
    let mut is_bulk = false;
    loop {
        let before = scope.last_change();
        let from = match read(store, reader, scope, known.take()).await {
            Ok(from) => from,
            Err(error) => return FollowEnd::Lost(error),
        };
        outage.end(from);
        if scope.has_bulk() && reader.is_bulk() != scope.is_bulk_only() {
            return FollowEnd::Resized;
        }
        // While large values change in quick succession, only the newest is read, one at a time.
        // Once it stays the same, changes are watched.
        if is_bulk && scope.last_change() != before {
            sleep(BATCH_PAUSE).await;
            continue;
        }
        let mut restarts = store.restarts();
        let end = tokio::select! {
            end = watch(store, reader, scope, from) => end,
            _ = restarts.changed() => FollowEnd::Gap,
        };
        if !matches!(end, FollowEnd::Resized) || !scope.is_bulk_only() {
            return end;
        }
        is_bulk = true;
        sleep(BATCH_PAUSE).await;
    }
}

/// Reads the keys of `scope` that are not `known`; returns the revision from which to watch.
async fn read(
    store: &Store,
    reader: &Reader,
    scope: &WatchScope,
    known: Option<Revision>,
) -> Result<Revision, Error> {
    let mut from = known;
    for feed in scope.feeds() {
        if known.is_some() && feed.is_shared() {
            continue;
        }
        let requested_at = reader.now();
        let snapshot = store.range(&feed.prefix, Freshness::Newest, feed.max_value).await?;
        // Later reads may include changes that the watch returns again.
        from = Some(from.map_or(snapshot.at, |from| from.min(snapshot.at)));
        reader.keys_read(feed, snapshot, requested_at);
    }
    Ok(from.unwrap_or_default())
}

/// Watches the keys of `scope` until a read is needed or the store is unreachable.
async fn watch(store: &Store, reader: &Reader, scope: &WatchScope, from: Revision) -> FollowEnd {
    let mut after = from;
    loop {
        scope.set_watching(true);
        let requested_at = reader.now();
        let answer = store.watch(&scope.prefix, after, reader.watch_ms(scope)).await;
        scope.set_watching(false);
        match answer {
            Ok(WatchAnswer::Changes { changes, revision: at, .. }) => {
                let is_change = !changes.is_empty();
                let is_bulk = scope.bulk_bytes(&changes) > BULK_BYTES;
                let at = after.max(at);
                if reader.keys_changed(scope, after, at, changes, requested_at).is_err() {
                    log::warn!("event=changes_missed from=store after={after}");
                    return FollowEnd::Gap;
                }
                after = at;
                read_partial(store, reader, scope).await;
                // A watch would return every version of a large value, even superseded ones.
                if is_bulk && scope.has_bulk() {
                    return FollowEnd::Resized;
                }
                if is_change {
                    // Changes come in bursts; the pause lets one call return several.
                    sleep(BATCH_PAUSE).await;
                }
            }
            Ok(WatchAnswer::Compacted) => {
                log::info!("event=watch_history_gone after={after}");
                return FollowEnd::Gap;
            }
            Err(error) => return FollowEnd::Lost(error),
        }
    }
}

/// Reads the prefixes of `scope` again of which keys or values were left out. While some still have to be, or they can't
/// be read, what is known holds.
async fn read_partial(store: &Store, reader: &Reader, scope: &WatchScope) {
    for feed in scope.feeds() {
        let requested_at = reader.now();
        if !feed.begin_due_read(requested_at, PARTIAL_READ_PAUSE) {
            continue;
        }
        match store.range(&feed.prefix, Freshness::Newest, feed.max_value).await {
            Ok(snapshot) if snapshot.is_partial => {}
            Ok(snapshot) => reader.keys_read(feed, snapshot, requested_at),
            Err(error) => {
                log::warn!("event=keys_left_out prefix={} error=\"{error}\"", feed.prefix);
            }
        }
    }
}

/// Returns a random duration between half of `pause` and all of it.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
