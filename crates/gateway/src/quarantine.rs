//! Contents under which upstreams end: looking for signs, keeping evidence, telling all hosts and the store.

use crate::{
    call,
    hub::Hub,
    peers::PeerMessage,
    pool::{self, Pool},
    telemetry,
    watch::jittered,
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};
use vanetally_dispatch as dispatch;
use vanetally_link::socket;
use vanetally_ports::{Item, StoreAnswer, Transaction, Write};
use vanetally_quarantine::{ContentHash, CrashReport, CrashSign, Quarantine};
use vanetally_types::{Incarnation, Name, rendezvous_rank};

/// For an upstream that lives to say so.
const LOOK: Duration = Duration::from_millis(400);
/// A front whose upstream has gone closes a connection within this time.
const CLOSED: Duration = Duration::from_millis(60);
/// Hosts that keep the evidence of a content beside those that found it: the loss of one is not the loss of it.
const KEEPERS: usize = 2;
/// The beginning of the keys of quarantines that the store keeps; the content follows, in hex.
const CONTENTS: &str = "vanetally/contents/";
/// The store keeps a quarantine this long at most, in milliseconds.
const MOST_KEPT_MS: u64 = 600_000;
/// Between the hosts that may write one again.
const AGAIN: Duration = Duration::from_secs(1);
/// Pause after a failure to write one.
const RETRY: Duration = Duration::from_millis(500);
/// Quarantines that this host writes at once; beyond that hosts only tell each other.
const MOST_WRITES: usize = 16;

/// An upstream at which attempts broke off.
pub(crate) struct Suspect {
    pub upstream: Incarnation,
    pub address: SocketAddr,
    /// Whether it reports when asked.
    pub is_engine: bool,
}

/// The contents of the attempts that broke off at an upstream, and whether many callers send each, while it is looked
/// whether it lives: one look is enough for all.
pub(crate) type Looks = HashMap<Incarnation, HashMap<ContentHash, bool>>;

/// What the store keeps of a quarantine.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    for_ms: u64,
    ended: u32,
}

/// Looks whether an upstream lives. An answer that breaks off shows no end: a way that was cut, or an answer that was
/// spoiled, looks the same.
async fn look(hub: &Hub, suspect: &Suspect) -> Option<CrashSign> {
    if !suspect.is_engine {
        return look_at_address(suspect.address).await;
    }
    let request = hub.ports.engine.report_request(&suspect.upstream);
    let reply = call::call(&Pool::new(hub.clock), suspect.address, request, LOOK).await;
    match reply {
        Ok(reply) if reply.status() == StatusCode::MISDIRECTED_REQUEST => Some(CrashSign::Ended),
        // A front may say so in the place of one that has gone.
        Ok(reply) if reply.status().is_server_error() => Some(CrashSign::Silent),
        Ok(reply) => {
            let report = hub.ports.engine.read_report(&reply.body).ok();
            let born = report.and_then(|report| report.born);
            let is_other = born.is_some() && suspect.upstream.born.is_some();
            (is_other && born != suspect.upstream.born).then_some(CrashSign::Ended)
        }
        Err(call::Error::NotSent(pool::Error::Connect(error))) => Some(sign_of(&error)),
        Err(_) => Some(CrashSign::Silent),
    }
}

/// The same where nobody reports: whether its address takes a connection and keeps it.
async fn look_at_address(address: SocketAddr) -> Option<CrashSign> {
    match timeout(LOOK, socket::connect(address)).await {
        Ok(Ok(stream)) => {
            let closed = timeout(CLOSED, stream.peek(&mut [0])).await;
            let is_closed = matches!(closed, Ok(Ok(0) | Err(_)));
            is_closed.then_some(CrashSign::Silent)
        }
        Ok(Err(error)) => Some(sign_of(&error)),
        Err(_) => Some(CrashSign::Silent),
    }
}

fn sign_of(error: &std::io::Error) -> CrashSign {
    if error.kind() == ErrorKind::ConnectionRefused { CrashSign::Ended } else { CrashSign::Silent }
}

impl Hub {
    /// An attempt of a content broke off: looks whether its upstream lives, and tells the decisions and those that keep
    /// the evidence.
    pub(crate) fn look_at(
        self: &Rc<Self>,
        suspect: Suspect,
        content: ContentHash,
        is_common: bool,
    ) {
        let mut looks = self.looks.borrow_mut();
        let is_open = looks.contains_key(&suspect.upstream);
        looks.entry(suspect.upstream.clone()).or_default().insert(content, is_common);
        if is_open {
            return;
        }
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            let now = hub.clock.now();
            let rest_ms = hub.dispatch.borrow().cooldown_left_ms(now, &suspect.upstream);
            let sign = match rest_ms {
                // It has just answered, and wants no more.
                Some(_) => None,
                None => look(&hub, &suspect).await,
            };
            hub.looked(suspect.upstream, sign);
        });
    }

    fn looked(self: &Rc<Self>, upstream: Incarnation, sign: Option<CrashSign>) {
        let contents = self.looks.borrow_mut().remove(&upstream).unwrap_or_default();
        telemetry::looked(sign);
        log::info!(
            "event=upstream_looked_at upstream={upstream} sign={} contents={}",
            sign.map_or("none", CrashSign::as_str),
            contents.len()
        );
        if let Some(sign) = sign {
            for (content, is_common) in &contents {
                let (content, is_common) = (*content, *is_common);
                let upstream = upstream.clone();
                self.suspect(CrashReport { content, upstream, sign, is_common });
            }
        }
        let contents = contents.into_keys().collect();
        self.request_event(dispatch::Event::Probed { upstream, content_hashes: contents, sign });
    }

    /// Weighs a suspicion here, and tells the others that keep the evidence.
    pub(crate) fn suspect(self: &Rc<Self>, suspicion: CrashReport) {
        let message = PeerMessage::Suspect(suspicion.clone());
        self.send_all(self.keepers(suspicion.content).iter(), &message);
        self.weigh(&self.settings.host.clone(), suspicion);
    }

    /// The other hosts that keep the evidence of a content.
    fn keepers(&self, content: ContentHash) -> Vec<Name> {
        let peers = self.peers.borrow();
        let others = peers.keys().filter(|host| **host != self.settings.host);
        rendezvous_rank(content, others).into_iter().take(KEEPERS).cloned().collect()
    }

    /// Weighs what `from` found at an upstream.
    pub(crate) fn weigh(self: &Rc<Self>, from: &Name, suspicion: CrashReport) {
        let CrashReport { content, ref upstream, sign, is_common } = suspicion;
        log::debug!(
            "event=content_suspected content={content:016x} upstream={upstream} sign={} common={is_common} from={from}",
            sign.as_str()
        );
        let upstream = upstream.clone();
        let quarantine = self.evidence.borrow_mut().add(self.clock.now(), suspicion);
        let Some(quarantine) = quarantine else {
            return;
        };
        log::warn!(
            "event=content_quarantined content={content:016x} upstream={upstream} sign={} ended={} for_ms={} age_ms={}",
            sign.as_str(),
            quarantine.ended,
            quarantine.for_ms,
            quarantine.age_ms.unwrap_or(0)
        );
        telemetry::quarantined();
        self.quarantined(&self.settings.host.clone(), vec![quarantine]);
        if self.holds(content) {
            self.keep(quarantine);
        }
    }

    /// Whether a content is kept back here.
    fn holds(&self, content: ContentHash) -> bool {
        self.dispatch.borrow().quarantine().remaining_ms(self.clock.now(), content).is_some()
    }

    /// A request of a content was answered whole after an upstream had ended under it.
    pub(crate) fn clear(self: &Rc<Self>, content: ContentHash) {
        let was_quarantined = self.evidence.borrow_mut().clear(content);
        if was_quarantined || self.holds(content) {
            log::info!("event=content_released content={content:016x}");
            let release = Quarantine::release(content);
            self.quarantined(&self.settings.host.clone(), vec![release]);
            self.keep(release);
        }
    }

    /// Takes in quarantines, and passes those on that are news and hold here.
    pub(crate) fn quarantined(self: &Rc<Self>, from: &Name, quarantines: Vec<Quarantine>) {
        let held = quarantines.into_iter().filter(|one| self.take_quarantine(from, *one));
        let held: Vec<Quarantine> = held.collect();
        if !held.is_empty() {
            self.spread(from, &PeerMessage::Quarantined(held));
        }
    }

    /// Takes in a quarantine; tells whether it is news that holds here. Where its content was answered after the first
    /// end, those that keep the evidence hear of it instead.
    fn take_quarantine(self: &Rc<Self>, from: &Name, quarantine: Quarantine) -> bool {
        let now = self.clock.now();
        let Quarantine { content, for_ms, ended, .. } = quarantine;
        if !self.dispatch.borrow().quarantine().is_update(now, &quarantine) {
            return false;
        }
        let is_innocent = !quarantine.is_release()
            && self.dispatch.borrow().quarantine().is_cleared_by_answer(now, &quarantine);
        log::info!(
            "event=content_held content={content:016x} ended={ended} for_ms={for_ms} answered_here={is_innocent} from={from}"
        );
        if is_innocent {
            self.send_all(self.keepers(content).iter(), &PeerMessage::Clear(content));
            self.clear(content);
            return false;
        }
        if quarantine.is_release() {
            self.evidence.borrow_mut().clear(content);
        }
        self.request_event(dispatch::Event::Quarantined(quarantine));
        true
    }

    /// Tells the hosts that this one hears from and those that hear from it, but not `from`.
    pub(crate) fn spread(&self, from: &Name, message: &PeerMessage) {
        if !self.is_fleet() {
            return self.broadcast(message);
        }
        let mut hosts = self.sum_readers();
        {
            let totals = self.totals.borrow();
            hosts.extend(totals.subscribers().chain(totals.listeners()).cloned());
        }
        if let vanetally_fanout::Source::Host(host) = &*self.source.borrow() {
            hosts.insert(host.clone());
        }
        hosts.remove(from);
        hosts.remove(&self.settings.host);
        self.send_all(hosts.iter(), message);
    }

    /// Tells a host that starts what is kept back.
    pub(crate) fn tell_quarantines(&self, host: &Name) {
        let quarantines = self.dispatch.borrow().quarantine().quarantines(self.clock.now());
        if !quarantines.is_empty() {
            self.send(host, &PeerMessage::Quarantined(quarantines));
        }
    }

    /// The store keeps a quarantine, or keeps it no more: it outlives all hosts.
    fn keep(self: &Rc<Self>, quarantine: Quarantine) {
        if self.writes.get() >= MOST_WRITES {
            return log::warn!("event=content_not_kept content={:016x}", quarantine.content);
        }
        self.writes.set(self.writes.get() + 1);
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            write(&hub, quarantine).await;
            hub.writes.set(hub.writes.get() - 1);
        });
    }

    /// The store came back from a copy: writes again which quarantines it lacks. One of those that know a quarantine does
    /// so at once, the next ones if it is still missing later.
    pub(crate) fn keep_again(self: &Rc<Self>) {
        let held = self.dispatch.borrow().quarantine().quarantines(self.clock.now());
        for quarantine in held.into_iter().filter(|one| !self.is_kept(one.content)) {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let others = peers.keys().filter(|host| *host != own);
            let ranked = rendezvous_rank(quarantine.content, others.chain([own]));
            let place = ranked.iter().take(KEEPERS + 1).position(|host| *host == own);
            let Some(place) = place else {
                continue;
            };
            let hub = self.clone();
            tokio::task::spawn_local(async move {
                sleep(AGAIN * place as u32 + jittered(RETRY)).await;
                if hub.holds(quarantine.content) && !hub.is_kept(quarantine.content) {
                    hub.keep(quarantine);
                }
            });
        }
    }

    /// Whether the store keeps a quarantine of this content, as far as is known here.
    fn is_kept(&self, content: ContentHash) -> bool {
        let key = key(content);
        let feeds = self.feeds.borrow();
        feeds.iter().any(|feed| feed.mirror.borrow().contains(&key))
    }

    /// The store keeps this quarantine.
    pub(crate) fn kept_quarantine(self: &Rc<Self>, item: &Item) {
        let content =
            item.key.strip_prefix(CONTENTS).map(|hex| ContentHash::from_str_radix(hex, 16));
        let kept = serde_json::from_slice::<Kept>(&item.value);
        let (Some(Ok(content)), Ok(Kept { for_ms, ended })) = (content, kept) else {
            return log::error!("event=content_unreadable key={}", item.key);
        };
        let for_ms = for_ms.min(MOST_KEPT_MS);
        let quarantine = Quarantine { content, for_ms, ended, age_ms: None };
        if !quarantine.is_release() {
            self.take_quarantine(&"store".into(), quarantine);
        }
    }
}

fn key(content: ContentHash) -> Name {
    format!("{CONTENTS}{content:016x}").into()
}

/// Whether a key of the product's is that of a quarantine.
pub(crate) fn is_quarantine(key: &str) -> bool {
    key.starts_with(CONTENTS)
}

/// Writes a quarantine until it is written or over.
async fn write(hub: &Hub, quarantine: Quarantine) {
    let until = hub.clock.now() + quarantine.for_ms.max(RETRY.as_millis() as u64);
    while !try_write(hub, quarantine).await {
        let is_released = !quarantine.is_release() && !hub.holds(quarantine.content);
        if is_released || hub.clock.now() >= until {
            return log::warn!("event=content_not_kept content={:016x}", quarantine.content);
        }
        sleep(jittered(RETRY)).await;
    }
    log::info!(
        "event=content_kept content={:016x} for_ms={}",
        quarantine.content,
        quarantine.for_ms
    );
}

async fn try_write(hub: &Hub, quarantine: Quarantine) -> bool {
    let Quarantine { content, for_ms, ended, .. } = quarantine;
    let key = key(content);
    if quarantine.is_release() {
        let transaction = Transaction { remove: vec![key], ..Transaction::default() };
        return matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)));
    }
    let ttl_ms = for_ms.min(MOST_KEPT_MS).max(hub.settings.store.min_ttl_ms);
    let Ok(StoreAnswer::Done((lease, _))) = hub.store.grant(ttl_ms).await else {
        return false;
    };
    let Ok(value) = serde_json::to_vec(&Kept { for_ms, ended }) else {
        return false;
    };
    let write = Write { key, value: value.into(), lease: Some(lease) };
    let transaction = Transaction { put: vec![write], ..Transaction::default() };
    matches!(hub.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)))
}
