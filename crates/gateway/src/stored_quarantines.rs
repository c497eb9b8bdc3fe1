//! Quarantines in the store, where they survive the loss of all hosts.

use crate::{hub::Hub, odd_entries::Escaped, quarantine::EVIDENCE_HOSTS, watch::jittered};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_ports::{Item, StoreAnswer, Transaction, Write};
use vanetally_quarantine::{ContentHash, Quarantine};
use vanetally_types::{Name, rendezvous_rank};

/// Prefix of the stored quarantine keys, followed by the content hash in hex.
const QUARANTINE_PREFIX: &str = "vanetally/contents/";
/// Maximum time for which the store keeps a quarantine.
const MAX_STORED_MS: u64 = 600_000;
/// Delay between the hosts that may write a missing quarantine again.
const REWRITE_DELAY: Duration = Duration::from_secs(1);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of concurrent quarantine writes; beyond that, quarantines are only sent to other
/// hosts.
const MAX_WRITES: usize = 16;

/// The stored value of a quarantine.
#[derive(Debug, Serialize, Deserialize)]
struct StoredQuarantine {
    for_ms: u64,
    ended: u32,
    /// Milliseconds since the last crash, when it was written.
    #[serde(default)]
    age_ms: Option<u64>,
    #[serde(default)]
    times: u32,
    /// As in [`Quarantine`]; earlier builds state none.
    #[serde(default)]
    trial_ms: Option<u64>,
}

impl Hub {
    /// Writes a quarantine or its release to the store, where it survives the loss of all hosts.
    pub(crate) fn store_quarantine(self: &Rc<Self>, quarantine: Quarantine) {
        if self.quarantine_writes.get() >= MAX_WRITES {
            return log::warn!("event=content_not_kept content={:016x}", quarantine.content);
        }
        self.quarantine_writes.set(self.quarantine_writes.get() + 1);
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            write_with_retry(&hub, quarantine).await;
            hub.quarantine_writes.set(hub.quarantine_writes.get() - 1);
        });
    }

    /// Writes quarantines again that are missing, as after a restore of the store or the end of a lease. The first-ranked
    /// host that knows a quarantine does so at once, the next ones later if it is still missing.
    pub(crate) fn restore_missing(self: &Rc<Self>) {
        let active = self.dispatch.borrow().quarantine().quarantines(self.clock.now());
        for quarantine in active.into_iter().filter(|one| !self.is_stored(one.content)) {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let others = peers.keys().filter(|host| *host != own);
            let ranked = rendezvous_rank(quarantine.content, others.chain([own]));
            let rank = ranked.iter().take(EVIDENCE_HOSTS).position(|host| *host == own);
            let Some(rank) = rank else {
                continue;
            };
            let hub = self.clone();
            tokio::task::spawn_local(async move {
                sleep(REWRITE_DELAY * rank as u32 + jittered(RETRY_PAUSE)).await;
                if hub.is_quarantined(quarantine.content) && !hub.is_stored(quarantine.content) {
                    hub.store_quarantine(quarantine);
                }
            });
        }
    }

    /// Whether the local copy of the store contains a quarantine of this content hash.
    fn is_stored(&self, content_hash: ContentHash) -> bool {
        let key = quarantine_key(content_hash);
        let feeds = self.feeds.borrow();
        feeds.iter().any(|feed| feed.mirror.borrow().contains(&key))
    }

    /// Applies a quarantine read from the store.
    pub(crate) fn apply_stored(self: &Rc<Self>, item: &Item) {
        let content_hash = item
            .key
            .strip_prefix(QUARANTINE_PREFIX)
            .map(|hex| ContentHash::from_str_radix(hex, 16));
        let stored = serde_json::from_slice::<StoredQuarantine>(&item.value);
        let (Some(Ok(content)), Ok(stored)) = (content_hash, stored) else {
            if let Some(passed_over) = self.store.odd_entries().record("contents", "malformed") {
                let key = Escaped(&item.key);
                log::error!("event=content_unreadable key={key} passed_over={passed_over}");
            }
            return;
        };
        let StoredQuarantine { for_ms, ended, age_ms, times, trial_ms } = stored;
        let new = Quarantine::new(content, for_ms, ended);
        let trial_ms = trial_ms.unwrap_or(new.trial_ms);
        let quarantine = Quarantine { age_ms, times, trial_ms, ..new };
        if !quarantine.is_release() {
            self.apply_quarantine(&"store".into(), quarantine);
        }
    }
}

fn quarantine_key(content_hash: ContentHash) -> Name {
    format!("{QUARANTINE_PREFIX}{content_hash:016x}").into()
}

/// Whether `key` is a quarantine key.
pub(crate) fn is_quarantine(key: &str) -> bool {
    key.starts_with(QUARANTINE_PREFIX)
}

/// Retries writing a quarantine until that succeeds or the quarantine is over.
async fn write_with_retry(hub: &Hub, quarantine: Quarantine) {
    let lasts_ms = quarantine.for_ms + quarantine.trial_ms;
    let until = hub.clock.now() + lasts_ms.max(RETRY_PAUSE.as_millis() as u64);
    while !try_write(hub, quarantine).await {
        let is_released = !quarantine.is_release() && !hub.is_quarantined(quarantine.content);
        if is_released || hub.clock.now() >= until {
            return log::warn!("event=content_not_kept content={:016x}", quarantine.content);
        }
        sleep(jittered(RETRY_PAUSE)).await;
    }
    log::info!(
        "event=content_kept content={:016x} for_ms={}",
        quarantine.content,
        quarantine.for_ms
    );
}

async fn try_write(hub: &Hub, quarantine: Quarantine) -> bool {
    let Quarantine { content: content_hash, for_ms, ended, age_ms, times, trial_ms, .. } =
        quarantine;
    let key = quarantine_key(content_hash);
    if quarantine.is_release() {
        let transaction = Transaction { remove: vec![key], ..Transaction::default() };
        return matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)));
    }
    let ttl_ms = (for_ms + trial_ms).min(MAX_STORED_MS).max(hub.settings.store.min_ttl_ms);
    let Ok(StoreAnswer::Done((lease, _))) = hub.store.grant(ttl_ms).await else {
        return false;
    };
    let trial_ms = Some(trial_ms);
    let stored = StoredQuarantine { for_ms, ended, age_ms, times, trial_ms };
    let Ok(value) = serde_json::to_vec(&stored) else {
        return false;
    };
    let write = Write { key, value: value.into(), lease: Some(lease) };
    let transaction = Transaction { put: vec![write], ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}
