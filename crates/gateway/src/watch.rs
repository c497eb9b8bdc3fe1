//! Following keys in the store.

use crate::{
    reader::Reader,
    store::{Error, Snapshot, Store},
};
use rand::RngExt;
use std::time::Duration;
use tokio::{sync::watch::Receiver, time::sleep};
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

/// After changes the next watch waits this long, to find more at once.
const GATHER: Duration = Duration::from_millis(300);
/// A watch that brings more than this has brought a large value or a long history, in bytes: on a link
/// of 10 Mbit/s it took a tenth of a second.
const BULK_BYTES: usize = 96 << 10;
/// The first pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// The longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Reads all prefixes and watches them together, for as long as it is polled.
///
/// A watch that hangs when the way to the store opens again is given up, and a pause ends there. A
/// reading has shorter limits of its own, and may be large: it goes on.
pub(crate) async fn follow(store: &Store, reader: &mut Reader) {
    let mut returns = store.returns();
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    // What other hosts passed on need not be read: the watch goes on from there.
    let mut known = reader.known();
    loop {
        let error =
            read_and_watch(store, reader, known.take(), &mut returns, &mut is_lost, &mut pause)
                .await;
        reader.set_watching(false);
        // No failure: read anew at once.
        let Some(error) = error else {
            continue;
        };
        if !std::mem::replace(&mut is_lost, true) {
            log::warn!("event=store_lost error=\"{error}\"");
        }
        reader.lost();
        tokio::select! {
            () = sleep(jittered(pause)) => {}
            _ = returns.changed() => {}
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads and watches until something goes wrong; `None` if all has to be read anew. What is `known` is
/// not read at first.
async fn read_and_watch(
    store: &Store,
    reader: &mut Reader,
    mut known: Option<Revision>,
    returns: &mut Receiver<u64>,
    is_lost: &mut bool,
    pause: &mut Duration,
) -> Option<Error> {
    let mut is_bulk = false;
    loop {
        let before = reader.bulk_revision();
        let revision = match read_all(store, reader, known.take()).await {
            Ok(revision) => revision,
            Err(error) => return Some(error),
        };
        if std::mem::take(is_lost) {
            log::info!("event=store_regained revision={}", revision.0);
        }
        *pause = FIRST_PAUSE;
        // Large values that follow each other are read one at a time, the newest; once it stays the
        // same, changes are waited for.
        if !is_bulk || reader.bulk_revision() == before {
            returns.mark_unchanged();
            let end = tokio::select! {
                end = watch(store, reader, revision) => end,
                _ = returns.changed() => End::Gap,
            };
            match end {
                End::Lost(error) => return Some(error),
                End::Gap => return None,
                End::Bulk => is_bulk = true,
            }
        }
        sleep(GATHER).await;
    }
}

/// Why watching ended.
enum End {
    /// The store can't be asked.
    Lost(Error),
    /// The store has forgotten the history, or changes are or may be missing.
    Gap,
    /// A large value came: a watch would tell each version of it, superseded or not.
    Bulk,
}

/// Reads all prefixes, without the shared ones if they are `known` up to some revision; gives back the
/// revision from which all have to be watched.
async fn read_all(
    store: &Store,
    reader: &mut Reader,
    known: Option<Revision>,
) -> Result<Revision, Error> {
    let mut from = known.unwrap_or(Revision(u64::MAX));
    for feed in reader.feeds() {
        if known.is_some() && feed.is_shared() {
            continue;
        }
        let snapshot = store.range(&feed.prefix, Freshness::Newest).await?;
        // Later readings see some changes twice.
        from = from.min(snapshot.at);
        reader.read(&feed, snapshot);
    }
    Ok(from)
}

/// Watches until there is a reason to stop.
async fn watch(store: &Store, reader: &mut Reader, from: Revision) -> End {
    let prefix = reader.common_prefix();
    let mut after = from;
    loop {
        reader.set_watching(true);
        let answer = store.watch(&prefix, after, reader.watch_ms()).await;
        reader.set_watching(false);
        match answer {
            Ok(WatchAnswer::Changes { changes, at }) => {
                let (is_change, is_bulk) = (!changes.is_empty(), bytes(&changes) > BULK_BYTES);
                let at = after.max(at);
                if reader.changed(after, at, changes).is_err() {
                    log::warn!("event=changes_missed from=store after={}", after.0);
                    return End::Gap;
                }
                after = at;
                if is_bulk {
                    return End::Bulk;
                }
                if is_change {
                    // Changes come in groups: one call takes what follows soon.
                    sleep(GATHER).await;
                }
            }
            Ok(WatchAnswer::HistoryGone) => {
                log::info!("event=watch_history_gone after={}", after.0);
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
        Change::Gone { .. } => 0,
    });
    values.sum()
}

/// Half of `pause` and a random part of the other half.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
