//! Following keys in the store.

use crate::{
    reader::{Reader, Scope},
    store::{Error, Snapshot, Store},
};
use futures_util::future::select_all;
use rand::RngExt;
use std::{cell::Cell, time::Duration};
use tokio::time::sleep;
use vanetally_ports::{Change, Freshness, Revision, WatchAnswer};

/// Who hears of a prefix.
pub(crate) trait Follower {
    /// All keys as they are.
    fn replaced(&self, snapshot: Snapshot);

    /// One key changed.
    fn changed(&self, change: Change);

    /// The store can't be asked.
    fn lost(&self);
}

/// How long the store may hold a watch, in milliseconds: a connection that has gone silent is noticed within this
/// time and a margin of half a second, and read anew within the 2.5 s or more that deployments allow for it. Probes
/// show sooner whether the way to the store is open, not whether this connection lives.
pub(crate) const WATCH_MS: u64 = 1_500;
/// After changes the next watch waits this long, to find more at once.
const GATHER: Duration = Duration::from_millis(300);
/// A value larger than this is read and watched by itself, in bytes: on a link of 10 Mbit/s it takes a tenth of a
/// second.
pub(crate) const BULK_BYTES: usize = 96 << 10;
/// The first pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// The longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Reads and watches all prefixes, for as long as it is polled.
///
/// One watch tells of all of them while the values are small. A large value is read and watched apart from the
/// rest: on a link of 10 Mbit/s a configuration of 800 KB takes 0.9 s, and hosts that rest on the other keys took
/// their reader for cut off meanwhile.
pub(crate) async fn follow(store: &Store, reader: &Reader) {
    let outage = Outage::default();
    // What other hosts passed on need not be read: a watch goes on from there.
    let mut is_known = true;
    loop {
        let end = if reader.is_bulk() {
            follow_apart(store, reader, is_known, &outage).await
        } else {
            follow_keys(store, reader, &reader.all(), is_known, &outage).await
        };
        reader.stop_watching();
        is_known = matches!(end, End::Resized);
        let End::Lost(error) = end else {
            continue;
        };
        outage.begin(&error);
        reader.lost();
        let mut returns = store.returns();
        tokio::select! {
            () = sleep(jittered(outage.next_pause())) => {}
            _ = returns.changed() => {}
        }
    }
}

/// Follows each prefix by itself, until one of them ends.
async fn follow_apart(store: &Store, reader: &Reader, is_known: bool, outage: &Outage) -> End {
    let scopes = reader.each();
    let following =
        scopes.iter().map(|scope| Box::pin(follow_keys(store, reader, scope, is_known, outage)));
    let (end, ..) = select_all(following).await;
    end
}

/// Failures in a row.
struct Outage {
    is_lost: Cell<bool>,
    pause: Cell<Duration>,
}

impl Default for Outage {
    fn default() -> Self {
        Self { is_lost: Cell::new(false), pause: Cell::new(FIRST_PAUSE) }
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
        self.pause.set(FIRST_PAUSE);
    }

    /// The pause after this failure.
    fn next_pause(&self) -> Duration {
        let pause = self.pause.get();
        self.pause.set((pause * 2).min(LONGEST_PAUSE));
        pause
    }
}

/// Why following ended.
enum End {
    /// The store can't be asked.
    Lost(Error),
    /// The store has forgotten the history, or changes are or may be missing: all has to be read anew.
    Gap,
    /// A large value came, or the value that was large is small now.
    Resized,
}

/// Reads the keys of `scope`, but for shared ones that are known already, and watches them.
///
/// A watch that hangs when the way to the store opens again is given up. A reading has shorter limits of
/// its own, and may be large: it goes on.
async fn follow_keys(
    store: &Store,
    reader: &Reader,
    scope: &Scope,
    is_known: bool,
    outage: &Outage,
) -> End {
    let mut known = reader.known(scope).filter(|_| is_known);
    let mut is_bulk = false;
    loop {
        let before = scope.last_change();
        let from = match read(store, reader, scope, known.take()).await {
            Ok(from) => from,
            Err(error) => return End::Lost(error),
        };
        outage.end(from);
        if scope.has_bulk() && reader.is_bulk() != scope.is_bulk_alone() {
            return End::Resized;
        }
        // Large values that follow each other are read one at a time, the newest; once it stays the
        // same, changes are waited for.
        if is_bulk && scope.last_change() != before {
            sleep(GATHER).await;
            continue;
        }
        let mut returns = store.returns();
        let end = tokio::select! {
            end = watch(store, reader, scope, from) => end,
            _ = returns.changed() => End::Gap,
        };
        if !matches!(end, End::Resized) || !scope.is_bulk_alone() {
            return end;
        }
        is_bulk = true;
        sleep(GATHER).await;
    }
}

/// Reads what is not `known` of the keys of `scope`; gives back the revision from which they have to be watched.
async fn read(
    store: &Store,
    reader: &Reader,
    scope: &Scope,
    known: Option<Revision>,
) -> Result<Revision, Error> {
    let mut from = known;
    for feed in scope.feeds() {
        if known.is_some() && feed.is_shared() {
            continue;
        }
        let asked = reader.now();
        let snapshot = store.range(&feed.prefix, Freshness::Newest).await?;
        // Later readings see some changes twice.
        from = Some(from.map_or(snapshot.at, |from| from.min(snapshot.at)));
        reader.read(feed, snapshot, asked);
    }
    Ok(from.unwrap_or_default())
}

/// Watches until there is a reason to stop.
async fn watch(store: &Store, reader: &Reader, scope: &Scope, from: Revision) -> End {
    let mut after = from;
    loop {
        scope.set_watching(true);
        let asked = reader.now();
        let answer = store.watch(&scope.prefix, after, reader.watch_ms(scope)).await;
        scope.set_watching(false);
        match answer {
            Ok(WatchAnswer::Changes { changes, revision: at }) => {
                let (is_change, is_bulk) = (!changes.is_empty(), bytes(&changes) > BULK_BYTES);
                let at = after.max(at);
                if reader.changed(scope, after, at, changes, asked).is_err() {
                    log::warn!("event=changes_missed from=store after={after}");
                    return End::Gap;
                }
                after = at;
                // A watch would tell each version of a large value, superseded or not.
                if is_bulk && scope.has_bulk() {
                    return End::Resized;
                }
                if is_change {
                    // Changes come in groups: one call takes what follows soon.
                    sleep(GATHER).await;
                }
            }
            Ok(WatchAnswer::Compacted) => {
                log::info!("event=watch_history_gone after={after}");
                return End::Gap;
            }
            Err(error) => return End::Lost(error),
        }
    }
}

/// Bytes of all values that `changes` bring.
fn bytes(changes: &[Change]) -> usize {
    let values = changes.iter().map(|change| match change {
        Change::Put(item) => item.value.len(),
        Change::Deleted { .. } => 0,
    });
    values.sum()
}

/// Half of `pause` and a random part of the other half.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
