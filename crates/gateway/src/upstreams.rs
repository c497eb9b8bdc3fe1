//! Tracks the announcements of upstreams in the store.

use crate::{hub::Hub, odd_entries::Escaped, store::Snapshot, telemetry, watch::FeedHandler};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    iter::once,
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;
use vanetally_dispatch::{self as dispatch, Roster, RosterUpdate};
use vanetally_ports::{Change, Item, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Names, Tick};

/// Handles changes of the upstream keys.
pub(crate) struct UpstreamFeedHandler {
    hub: Rc<Hub>,
    roster: Rc<RefCell<Roster>>,
    /// Thousands of announcements name the same services, failure domains and models.
    names: RefCell<Names>,
    /// Upstreams whose keys disappeared while the store was unreachable, and until when to wait for
    /// them: most write their keys again soon.
    lapsed: Rc<RefCell<BTreeMap<Name, Tick>>>,
}

/// How an announcement was read.
#[derive(Clone, Copy)]
enum Reading {
    /// Among all that the store holds.
    Snapshot,
    /// In a change that was just made.
    Change,
}

impl UpstreamFeedHandler {
    pub(crate) fn new(hub: Rc<Hub>) -> Self {
        Self { hub, roster: Rc::default(), names: RefCell::default(), lapsed: Rc::default() }
    }

    fn id(&self, key: &str) -> Option<Name> {
        key.strip_prefix(self.hub.ports.upstreams.prefix()).map(Name::from)
    }

    /// Handles a key that was read with the others, or just written; `log_level` is that of the log line about a new upstream.
    fn key_read(&self, item: &Item, reading: Reading, log_level: log::Level) {
        let Some(id) = self.id(&item.key) else {
            return;
        };
        if self.lapsed.borrow_mut().remove(&id).is_some() {
            log::log!(self.hub.relayed_log_level(), "event=upstream_returned upstream={id}");
        }
        let mut read = self.hub.ports.upstreams.read(id.clone(), &item.value);
        if let Ok(announcement) = &mut read {
            share_names(&mut self.names.borrow_mut(), &mut announcement.state);
        }
        let now = self.hub.clock.now();
        let updates = self.roster.borrow_mut().record(now, &id, item.revision, read);
        for update in updates {
            self.apply_update(&id, item.revision, update, reading, log_level);
        }
    }

    fn apply_update(
        &self,
        id: &Name,
        revision: Revision,
        update: RosterUpdate,
        reading: Reading,
        log_level: log::Level,
    ) {
        match update {
            RosterUpdate::Seen { incarnation, state, is_new } => {
                if is_new || state.draining {
                    log_seen(log_level, &incarnation, &state, revision);
                }
                self.hub.upstream_seen(incarnation.clone(), state);
                match reading {
                    Reading::Change => self.hub.upstream_identified(incarnation),
                    Reading::Snapshot if is_new => self.hub.upstream_unidentified(incarnation),
                    Reading::Snapshot => {}
                }
            }
            RosterUpdate::Unreadable { incarnation, error } => {
                telemetry::announcement_unreadable(&error);
                let reason = error.as_str();
                if let Some(passed_over) = self.hub.store.odd_entries().record("upstreams", reason)
                {
                    log::error!(
                        "event=upstream_unreadable upstream={} revision={revision} reason={reason} error=\"{error}\" \
                         passed_over={passed_over}",
                        Escaped(id)
                    );
                }
                if let Some(incarnation) = incarnation {
                    self.hub.upstream_unreadable(incarnation);
                }
            }
            RosterUpdate::Outdated { incarnation } => {
                telemetry::stale_update("announcement");
                log::log!(
                    self.hub.relayed_log_level(),
                    "event=upstream_outdated upstream={incarnation} revision={revision}"
                );
            }
            RosterUpdate::Ended { incarnation, next } => {
                telemetry::upstream_restarted();
                log::log!(
                    self.hub.relayed_log_level(),
                    "event=upstream_reborn upstream={id} born_before={} born={} revision={revision}",
                    birth_text(&incarnation),
                    birth_text(&next)
                );
                self.hub.upstream_ended(incarnation);
            }
        }
    }

    /// Handles the removal of an upstream's key. The upstream is gone too, unless the store may
    /// have lost keys.
    fn key_removed(&self, id: &Name) {
        let contact = self.hub.store.contact();
        let now = self.hub.clock.now();
        if !contact.may_miss_keys(now) {
            return forget(&self.hub, &self.roster, id);
        }
        if !self.roster.borrow().contains(id) || self.lapsed.borrow().contains_key(id) {
            return;
        }
        let wait_ms = contact.missing_key_wait_ms(now);
        log::log!(
            self.hub.relayed_log_level(),
            "event=upstream_lapsed upstream={id} wait_ms={wait_ms}"
        );
        self.lapsed.borrow_mut().insert(id.clone(), now + wait_ms);
        tokio::task::spawn_local(self.wait_for_return(id.clone(), wait_ms));
    }

    fn wait_for_return(&self, id: Name, wait_ms: u64) -> impl Future<Output = ()> + use<> {
        let (hub, roster, lapsed) = (self.hub.clone(), self.roster.clone(), self.lapsed.clone());
        async move {
            sleep(Duration::from_millis(wait_ms)).await;
            let now = hub.clock.now();
            // It may have returned and lapsed again, in which case a later wait is responsible.
            let is_expired = lapsed.borrow().get(&id).is_some_and(|until| now >= *until);
            if is_expired {
                lapsed.borrow_mut().remove(&id);
                forget(&hub, &roster, &id);
            }
        }
    }
}

impl Hub {
    /// Handles that an upstream was announced before this host knew it.
    fn upstream_unidentified(self: &Rc<Self>, id: Incarnation) {
        self.request_event(dispatch::Event::UpstreamUnidentified { id });
    }

    /// Handles that an upstream has shown which incarnation it is.
    pub(crate) fn upstream_identified(self: &Rc<Self>, id: Incarnation) {
        self.request_event(dispatch::Event::UpstreamIdentified { id });
    }
}

fn forget(hub: &Rc<Hub>, roster: &RefCell<Roster>, id: &Name) {
    let incarnation = roster.borrow_mut().remove(hub.clock.now(), id);
    if let Some(incarnation) = incarnation {
        log::log!(hub.relayed_log_level(), "event=upstream_gone upstream={incarnation}");
        hub.upstream_gone(incarnation);
    }
}

fn log_seen(
    level: log::Level,
    incarnation: &Incarnation,
    state: &UpstreamState,
    revision: Revision,
) {
    log::log!(
        level,
        "event=upstream_seen upstream={incarnation} service={} software={} address={} draining={} \
         remaining_ms={} revision={revision}",
        state.service,
        state.software_version,
        state.address,
        state.draining,
        state.remaining_ms.map_or_else(|| "-".into(), |ms| ms.to_string()),
    );
}

/// Replaces the names in an announcement by those of earlier ones.
fn share_names(names: &mut Names, state: &mut UpstreamState) {
    let UpstreamState { service, domain, software_version, models, at_hand, .. } = state;
    let held = models.iter_mut().flat_map(|held| once(&mut held.name).chain(&mut held.adapters));
    once(service)
        .chain(once(domain))
        .chain(once(software_version))
        .chain(held)
        .chain(at_hand)
        .for_each(|name| names.share(name));
}

fn birth_text(incarnation: &Incarnation) -> String {
    incarnation.born.map_or_else(|| "-".into(), |born| born.to_string())
}

impl FeedHandler for UpstreamFeedHandler {
    fn replaced(&self, snapshot: Snapshot) {
        let listed: BTreeSet<Name> =
            snapshot.items.iter().filter_map(|item| self.id(&item.key)).collect();
        let missing: Vec<Name> =
            self.roster.borrow().ids().filter(|id| !listed.contains(*id)).cloned().collect();
        missing.iter().for_each(|id| self.key_removed(id));
        log::log!(
            self.hub.relayed_log_level(),
            "event=upstreams_read keys={} missing={} revision={}",
            snapshot.items.len(),
            missing.len(),
            snapshot.at
        );
        // One line stands for the thousands of upstreams that a read may return.
        let read = |item| self.key_read(item, Reading::Snapshot, log::Level::Debug);
        snapshot.items.iter().for_each(read);
    }

    fn changed(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(item) => {
                    self.key_read(&item, Reading::Change, self.hub.relayed_log_level());
                }
                Change::Deleted { key, .. } => {
                    if let Some(id) = self.id(&key) {
                        self.key_removed(&id);
                    }
                }
            }
        }
    }

    fn lost(&self) {}
}
