//! Following the keys of a prefix in the store.

use crate::store::{Snapshot, Store};
use rand::RngExt;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_ports::{Change, WatchAnswer};

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
/// The first pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// The longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Reads `prefix` and watches it, for as long as the process lives.
pub(crate) async fn follow(store: Store, prefix: String, follower: Rc<dyn Follower>) {
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        let error = match store.range(&prefix).await {
            Ok(snapshot) => {
                let count = snapshot.items.len();
                let revision = snapshot.at;
                if std::mem::take(&mut is_lost) {
                    log::info!(
                        "event=store_regained prefix={prefix} revision={} items={count}",
                        revision.0
                    );
                }
                pause = FIRST_PAUSE;
                follower.replaced(snapshot);
                watch(&store, &prefix, revision, &*follower).await
            }
            Err(error) => Some(error),
        };
        // History that is gone is no failure: read anew at once.
        let Some(error) = error else {
            continue;
        };
        if !std::mem::replace(&mut is_lost, true) {
            log::warn!("event=store_lost prefix={prefix} error=\"{error}\"");
        }
        follower.lost();
        sleep(jittered(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Watches until something goes wrong; `None` if the store has forgotten the history.
async fn watch(
    store: &Store,
    prefix: &str,
    from: vanetally_ports::Revision,
    follower: &dyn Follower,
) -> Option<crate::store::Error> {
    let mut after = from;
    loop {
        match store.watch(prefix, after).await {
            Ok(WatchAnswer::Changes { changes, at }) => {
                after = after.max(at);
                let is_change = !changes.is_empty();
                changes.into_iter().for_each(|change| follower.changed(change));
                if is_change {
                    // Changes come in groups: one call takes what follows soon.
                    sleep(GATHER).await;
                }
            }
            Ok(WatchAnswer::HistoryGone) => {
                log::info!("event=watch_history_gone prefix={prefix} after={}", after.0);
                return None;
            }
            Err(error) => return Some(error),
        }
    }
}

/// Half of `pause` and a random part of the other half.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
