//! Requests that crash upstreams: keeping crash evidence, and sharing quarantines with all hosts and
//! the store.

use crate::{hub::Hub, peers::PeerMessage, telemetry, watch::jittered};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_dispatch as dispatch;
use vanetally_ports::{Item, StoreAnswer, Transaction, Write};
use vanetally_quarantine::{ContentHash, CrashReport, Quarantine};
use vanetally_types::{Name, rendezvous_rank};

/// Number of hosts that keep the crash evidence of a content hash in addition to those that found
/// it, so that the loss of one host does not lose it.
const EVIDENCE_HOSTS: usize = 2;
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
}

impl Hub {
    /// Adds a crash report to the local evidence, and sends it to the other hosts that keep the
    /// evidence.
    pub(crate) fn report_crash(self: &Rc<Self>, report: CrashReport) {
        let now = self.clock.now();
        if self.dispatch.borrow().explains_crash(now, &report.upstream) {
            let CrashReport { content, upstream, .. } = report;
            return log::debug!("event=crash_by_load upstream={upstream} content={content:016x}");
        }
        let message = PeerMessage::CrashReport(report.clone());
        self.send_all(self.evidence_hosts(report.content).iter(), &message);
        self.add_crash_report(&self.settings.host.clone(), report);
    }

    /// Returns the other hosts that keep the crash evidence of a content hash.
    fn evidence_hosts(&self, content_hash: ContentHash) -> Vec<Name> {
        let peers = self.peers.borrow();
        let others = peers.keys().filter(|host| **host != self.settings.host);
        rendezvous_rank(content_hash, others).into_iter().take(EVIDENCE_HOSTS).cloned().collect()
    }

    /// Adds a crash report found by `from` to the evidence, and starts a quarantine if it suffices.
    pub(crate) fn add_crash_report(self: &Rc<Self>, from: &Name, report: CrashReport) {
        let CrashReport { content: content_hash, ref upstream, sign, is_common } = report;
        log::debug!(
            "event=content_suspected content={content_hash:016x} upstream={upstream} sign={} common={is_common} from={from}",
            sign.as_str()
        );
        let upstream = upstream.clone();
        let quarantine = self.evidence.borrow_mut().add(self.clock.now(), report);
        let Some(quarantine) = quarantine else {
            return;
        };
        log::warn!(
            "event=content_quarantined content={content_hash:016x} upstream={upstream} sign={} ended={} for_ms={} age_ms={}",
            sign.as_str(),
            quarantine.ended,
            quarantine.for_ms,
            quarantine.age_ms.unwrap_or(0)
        );
        telemetry::content_quarantined();
        self.apply_quarantines(&self.settings.host.clone(), vec![quarantine]);
        if self.is_quarantined(content_hash) {
            self.store_quarantine(quarantine);
        }
    }

    /// Whether a content hash is quarantined on this host.
    fn is_quarantined(&self, content_hash: ContentHash) -> bool {
        self.dispatch.borrow().quarantine().remaining_ms(self.clock.now(), content_hash).is_some()
    }

    /// Releases a content hash: such a request was answered completely after an upstream had ended
    /// during another.
    pub(crate) fn clear(self: &Rc<Self>, content_hash: ContentHash) {
        let was_quarantined = self.evidence.borrow_mut().clear(content_hash);
        if was_quarantined || self.is_quarantined(content_hash) {
            log::info!("event=content_released content={content_hash:016x}");
            let release = Quarantine::release(content_hash);
            self.apply_quarantines(&self.settings.host.clone(), vec![release]);
            self.store_quarantine(release);
        }
    }

    /// Applies quarantines, and forwards those that are new and effective here.
    pub(crate) fn apply_quarantines(self: &Rc<Self>, from: &Name, quarantines: Vec<Quarantine>) {
        let active = quarantines.into_iter().filter(|one| self.apply_quarantine(from, *one));
        let active: Vec<Quarantine> = active.collect();
        if !active.is_empty() {
            self.forward(from, &PeerMessage::Quarantined(active));
        }
    }

    /// Applies a quarantine; returns whether it is new and effective here. If such a request was
    /// answered after the first crash, the hosts that keep the evidence are informed of that
    /// instead.
    fn apply_quarantine(self: &Rc<Self>, from: &Name, quarantine: Quarantine) -> bool {
        let now = self.clock.now();
        let Quarantine { content: content_hash, for_ms, ended, .. } = quarantine;
        if !self.dispatch.borrow().quarantine().is_update(now, &quarantine) {
            return false;
        }
        let is_cleared = !quarantine.is_release()
            && self.dispatch.borrow().quarantine().is_cleared_by_answer(now, &quarantine);
        log::info!(
            "event=content_held content={content_hash:016x} ended={ended} for_ms={for_ms} answered_here={is_cleared} from={from}"
        );
        if is_cleared {
            self.send_all(
                self.evidence_hosts(content_hash).iter(),
                &PeerMessage::Clear(content_hash),
            );
            self.clear(content_hash);
            return false;
        }
        if quarantine.is_release() {
            self.evidence.borrow_mut().clear(content_hash);
        }
        self.request_event(dispatch::Event::Quarantined(quarantine));
        true
    }

    /// Sends a message to this host's source and subscribers, except `from`.
    pub(crate) fn forward(&self, from: &Name, message: &PeerMessage) {
        self.send_all(self.forward_receivers(from).iter(), message);
    }

    /// Returns the hosts to which this one passes on what it heard of `from`: all others, or its source
    /// and subscribers where aggregators are used.
    pub(crate) fn forward_receivers(&self, from: &Name) -> BTreeSet<Name> {
        if !self.uses_aggregators() {
            let peers = self.peers.borrow();
            return peers.keys().filter(|host| **host != self.settings.host).cloned().collect();
        }
        let mut hosts = self.sum_receivers();
        {
            let totals = self.totals.borrow();
            hosts.extend(totals.subscribers().chain(totals.listeners()).cloned());
        }
        if let vanetally_fanout::Source::Host(host) = &*self.source.borrow() {
            hosts.insert(host.clone());
        }
        hosts.remove(from);
        hosts.remove(&self.settings.host);
        hosts
    }

    /// Sends a starting host the current quarantines.
    pub(crate) fn send_quarantines(&self, host: &Name) {
        let quarantines = self.dispatch.borrow().quarantine().quarantines(self.clock.now());
        if !quarantines.is_empty() {
            self.send(host, &PeerMessage::Quarantined(quarantines));
        }
    }

    /// Writes a quarantine or its release to the store, where it survives the loss of all hosts.
    fn store_quarantine(self: &Rc<Self>, quarantine: Quarantine) {
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

    /// Writes quarantines again that are missing after a restore of the store. The first-ranked
    /// host that knows a quarantine does so at once, the next ones later if it is still missing.
    pub(crate) fn restore_missing(self: &Rc<Self>) {
        let active = self.dispatch.borrow().quarantine().quarantines(self.clock.now());
        for quarantine in active.into_iter().filter(|one| !self.is_stored(one.content)) {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let others = peers.keys().filter(|host| *host != own);
            let ranked = rendezvous_rank(quarantine.content, others.chain([own]));
            let rank = ranked.iter().take(EVIDENCE_HOSTS + 1).position(|host| *host == own);
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
        let (Some(Ok(content_hash)), Ok(StoredQuarantine { for_ms, ended })) =
            (content_hash, stored)
        else {
            return log::error!("event=content_unreadable key={}", item.key);
        };
        let for_ms = for_ms.min(MAX_STORED_MS);
        let quarantine = Quarantine { content: content_hash, for_ms, ended, age_ms: None };
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
    let until = hub.clock.now() + quarantine.for_ms.max(RETRY_PAUSE.as_millis() as u64);
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
    let Quarantine { content: content_hash, for_ms, ended, .. } = quarantine;
    let key = quarantine_key(content_hash);
    if quarantine.is_release() {
        let transaction = Transaction { remove: vec![key], ..Transaction::default() };
        return matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)));
    }
    let ttl_ms = for_ms.min(MAX_STORED_MS).max(hub.settings.store.min_ttl_ms);
    let Ok(StoreAnswer::Done((lease, _))) = hub.store.grant(ttl_ms).await else {
        return false;
    };
    let Ok(value) = serde_json::to_vec(&StoredQuarantine { for_ms, ended }) else {
        return false;
    };
    let write = Write { key, value: value.into(), lease: Some(lease) };
    let transaction = Transaction { put: vec![write], ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}
