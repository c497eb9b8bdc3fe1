//! Where this host reads store data from, and what it forwards to its subscribers.

use crate::{
    entry_point,
    feed::{Feed, MAX_ENTRY_BYTES, PrefixChanges, PrefixSnapshot, PrefixSync, unpack},
    host_entry::parse_entry,
    hub::Hub,
    order_lease::HOLDER_KEY,
    peers::{self, AnnouncedRevisions, HostStatus, PeerMessage},
    store::Snapshot,
};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_fanout::{Action, Event, Reason, Source, StoreState};
use vanetally_ports::{Change, Era, Freshness, Revision};
use vanetally_types::{Name, Tick};

/// Gap between two ticks from which on the process counts as stalled. A host with an eighth of a
/// CPU is throttled for up to 100 ms at a time.
const STALL_THRESHOLD_MS: u64 = 250;
/// Stall after which pending store calls are restarted: their responses may have been lost with
/// their connections, and their timeouts don't include a suspension.
const RESTART_CALLS_MS: u64 = 1_000;

impl Hub {
    /// Passes an event to the source selection and performs the resulting actions.
    pub(crate) fn source_event(self: &Rc<Self>, event: Event) {
        self.handle_source_event(self.clock.now(), event);
    }

    /// Runs the source selection's tick. The process can stall at any point of the loop, so the gap
    /// is measured with the same timestamp that the selection receives; a local stall is then not
    /// taken for silence of other hosts.
    pub(crate) fn tick_source(self: &Rc<Self>) {
        let now = self.clock.now();
        let gap_ms = now.since(self.last_source_tick.replace(now));
        if gap_ms > STALL_THRESHOLD_MS {
            log::warn!("event=host_stalled gap_ms={gap_ms}");
            self.handle_source_event(now, Event::Stalled);
        }
        if gap_ms > RESTART_CALLS_MS {
            self.store.restart_calls();
        }
        self.handle_source_event(now, Event::Tick);
    }

    fn handle_source_event(self: &Rc<Self>, now: Tick, event: Event) {
        let actions = self.source_selector.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                Action::Subscribe(to) => self.subscribe(&to),
                Action::Unsubscribe(to) => self.send(&to, &PeerMessage::Unsubscribe),
                Action::FindSource => {
                    tokio::task::spawn_local(entry_point::find_source(self.clone()));
                }
                Action::Probe => {
                    tokio::task::spawn_local(probe(self.clone()));
                }
                Action::Announce => {
                    log::info!("event=source_announced");
                    self.broadcast(&PeerMessage::Status(self.host_status()));
                }
                Action::Switch { to, reason } => self.switch(to, reason),
            }
        }
    }

    fn subscribe(&self, to: &Name) {
        let feeds = self.shared_feeds();
        let known = |feed: &Rc<Feed>| Some((feed.prefix.clone(), feed.mirror.borrow().revision()?));
        let known: Vec<(Name, Revision)> = feeds.iter().filter_map(known).collect();
        let era = known.iter().map(|(_, at)| at.era).max().unwrap_or_default();
        // Data of an earlier era has to be sent in full.
        let have = known.into_iter().filter(|(_, at)| at.era == era);
        let subscribe = PeerMessage::Subscribe {
            entry: self.own_entry(),
            have: have.map(|(prefix, at)| (prefix, at.number)).collect(),
            era: era.0,
            is_aggregator: self.is_aggregator(),
        };
        self.send(to, &subscribe);
    }

    fn switch(self: &Rc<Self>, source: Source, reason: Reason) {
        let name = match &source {
            Source::Searching => "-",
            Source::Store => "store",
            Source::Host(host) => host,
        };
        let age_ms = self.age_ms().map_or_else(|| "-".into(), |ms| ms.to_string());
        let reason = reason.as_str();
        log::info!("event=source_changed source={name} reason={reason} age_ms={age_ms}");
        self.source.send_replace(source);
        self.request_clock();
        self.update_load_aggregator();
    }

    /// Probes the store if this host reads it and a probe is due.
    pub(crate) fn probe_store(self: &Rc<Self>) {
        if !self.reads_store() {
            return;
        }
        self.source_event(Event::StoreConfirmed(self.age_ms()));
        if self.store.should_probe(self.uses_aggregators()) {
            tokio::task::spawn_local(probe(self.clone()));
        }
    }

    /// Milliseconds since the store confirmed the oldest of the forwarded feeds. The configuration
    /// is excluded: it is distributed separately and may be read much later than the keys.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let now = self.clock.now();
        let ages: Option<Vec<u64>> =
            self.available_feeds().iter().map(|feed| feed.age_ms(now)).collect();
        ages?.into_iter().max()
    }

    /// Records that the store answered a call sent at `at`: a pending watch would have reported any
    /// earlier change.
    fn confirm_watched(&self, at: Tick) {
        let era = self.store.eras().newest();
        let is_current = |feed: &&Rc<Feed>| feed.is_watched.get() && feed.era() == Some(era);
        for feed in self.feeds.borrow().iter().filter(is_current) {
            feed.confirmed.set(feed.confirmed.get().max(Some(at)));
        }
    }

    /// Records the age of the data reported by the source.
    fn set_age(&self, age_ms: Option<u64>) {
        let at = age_ms.map(|age| self.clock.now() - age);
        self.shared_feeds().iter().for_each(|feed| feed.confirmed.set(at));
    }

    /// Returns the feeds that aggregators forward.
    fn shared_feeds(&self) -> Vec<Rc<Feed>> {
        let feeds = self.feeds.borrow();
        feeds.iter().filter(|feed| feed.is_shared()).cloned().collect()
    }

    /// Returns the feeds that aggregators forward, without those that no source has forwarded yet.
    fn available_feeds(&self) -> Vec<Rc<Feed>> {
        let mut feeds = self.shared_feeds();
        feeds.retain(|feed| !feed.is_unavailable());
        feeds
    }

    /// Returns the era of the forwarded feeds; `None` unless all have the same.
    fn shared_era(&self) -> Option<Era> {
        let feeds = self.available_feeds();
        let eras: Option<BTreeSet<Era>> = feeds.iter().map(|feed| feed.era()).collect();
        eras.filter(|eras| eras.len() == 1)?.pop_first()
    }

    /// Returns the sync message for a host that knows all changes up to `have`; `None` while a
    /// forwarded feed is unknown here, or the eras of the feeds differ.
    pub(crate) fn sync(&self, have: &[(Name, Revision)]) -> Option<PeerMessage> {
        self.shared_era()?;
        let feeds = self.available_feeds();
        let prefixes = feeds.iter().map(|feed| {
            let known = have.iter().find(|(prefix, _)| *prefix == feed.prefix);
            feed.sync(known.map(|(_, at)| *at))
        });
        let prefixes: Option<Vec<PrefixSync>> = prefixes.collect();
        let (store, age_ms) = (self.store.state(), self.age_ms());
        let path = self.source_selector.borrow().path();
        Some(PeerMessage::Sync { store, age_ms, path, prefixes: prefixes? })
    }

    /// Handles a sync message from another host.
    pub(crate) fn receive_sync(
        self: &Rc<Self>,
        from: &Name,
        age_ms: Option<u64>,
        prefixes: Vec<PrefixSync>,
    ) {
        let feeds = self.shared_feeds();
        let before = self.shared_era();
        let applied = prefixes.into_iter().filter_map(|sync| self.apply_prefix(&feeds, sync));
        let applied: BTreeSet<Name> = applied.collect();
        let is_lacking = |feed: &Rc<Feed>| !feed.is_optional() && !applied.contains(&feed.prefix);
        if feeds.iter().any(is_lacking) {
            return log::info!("event=sync_incomplete from={from} taken={}", applied.len());
        }
        let is_era_outdated = self.shared_era().is_some_and(|era| self.is_era_outdated(era));
        let age_ms = age_ms.filter(|_| !is_era_outdated);
        self.source_event(Event::Synced { from: from.clone(), age_ms });
        if *self.source.borrow() == Source::Host(from.clone()) {
            self.set_age(age_ms);
        }
        if before != self.shared_era() {
            self.send_to_subscribers(|| self.sync(&[]));
        }
    }

    /// Whether data of `era` from another host is outdated, although that host has had time to
    /// learn of the next era.
    fn is_era_outdated(&self, era: Era) -> bool {
        self.store.eras().is_outdated(self.clock.now(), era)
    }

    /// Applies the sync of one prefix and forwards it; returns the prefix if the sync was recent
    /// enough.
    fn apply_prefix(&self, feeds: &[Rc<Feed>], sync: PrefixSync) -> Option<Name> {
        let find = |prefix: &Name| feeds.iter().find(|feed| feed.prefix == *prefix);
        match sync {
            PrefixSync::Whole(packed) => {
                let PrefixSnapshot { prefix, at, items, is_partial } = unpack(&packed)?;
                let snapshot = Snapshot { items, at, is_partial };
                let is_applied = self.apply_snapshot(find(&prefix)?, snapshot);
                is_applied.then_some(prefix)
            }
            PrefixSync::Since(PrefixChanges { prefix, after, at, changes }) => {
                let feed = find(&prefix)?;
                let is_applied = feed.apply_changes(after, at, changes.clone()).is_ok();
                if is_applied {
                    self.forward_changes(feed, at, changes);
                }
                is_applied.then_some(prefix)
            }
        }
    }

    fn apply_snapshot(&self, feed: &Feed, snapshot: Snapshot) -> bool {
        let (at, changes) = (snapshot.at, feed.changes_to(&snapshot));
        let is_same_era = feed.era() == Some(at.era);
        if !feed.replace(snapshot) {
            return false;
        }
        match changes {
            Some(changes) => self.forward_changes(feed, at, changes),
            None if is_same_era => self.resend(feed, at),
            None => feed.announced.set(at),
        }
        true
    }

    /// Handles changes sent by an aggregator.
    pub(crate) fn receive_changes(
        self: &Rc<Self>,
        from: &Name,
        store: StoreState,
        changes: PrefixChanges,
    ) {
        if *self.source.borrow() != Source::Host(from.clone()) {
            return;
        }
        self.store.state_reported(store);
        let feeds = self.shared_feeds();
        let PrefixChanges { prefix, after, at, changes } = changes;
        let Some(feed) = feeds.iter().find(|feed| feed.prefix == prefix) else {
            return;
        };
        if feed.era().is_some_and(|known| at.era < known) {
            return feed.log_stale_update("changes", at, changes.len());
        }
        if feed.apply_changes(after, at, changes.clone()).is_ok() {
            return self.forward_changes(feed, at, changes);
        }
        log::info!("event=changes_missed from={from} prefix={prefix} after={after}");
        self.source_event(Event::ChangesMissed);
    }

    /// Returns this host's status for its subscribers.
    pub(crate) fn host_status(&self) -> HostStatus {
        HostStatus {
            version: self.version(),
            age_ms: self.age_ms(),
            configuration: self.configuration_status(),
            store: self.store.state(),
            announced: self
                .available_feeds()
                .iter()
                .map(|feed| feed.announced_revisions())
                .collect(),
            is_leaving: self.is_leaving(),
            path: self.source_selector.borrow().path(),
        }
    }

    /// Handles the status of a host that forwards store data.
    pub(crate) fn receive_status(self: &Rc<Self>, from: &Name, status: &HostStatus) {
        let era = status.announced.iter().map(|announced| announced.at.era).min();
        let age_ms = status.age_ms.filter(|_| !era.is_some_and(|era| self.is_era_outdated(era)));
        if *self.source.borrow() == Source::Host(from.clone()) {
            self.store.state_reported(status.store);
            self.set_age(age_ms);
            self.check_announced(from, &status.announced);
            self.check_version(from, status.version);
            self.receive_configuration_status(from, status.configuration);
            self.follow_source();
        }
        self.source_event(Event::Path { from: from.clone(), path: status.path.clone() });
        let is_leaving = status.is_leaving;
        self.source_event(Event::Status { from: from.clone(), age_ms, is_leaving });
    }

    /// Compares the announced revisions with the local copies. Messages of one link arrive in
    /// order, so announced changes that are missing were lost with a link.
    fn check_announced(self: &Rc<Self>, from: &Name, announced: &[AnnouncedRevisions]) {
        let feeds = self.shared_feeds();
        let is_missing = |announced: &&AnnouncedRevisions| {
            let feed = feeds.iter().find(|feed| feed.prefix == announced.prefix);
            feed.is_some_and(|feed| feed.is_missing_changes(announced))
        };
        if let Some(AnnouncedRevisions { prefix, last, .. }) = announced.iter().find(is_missing) {
            log::info!("event=changes_missed from={from} prefix={prefix} told={last}");
            self.source_event(Event::ChangesMissed);
        }
    }

    /// Forwards changes to the subscribers.
    pub(crate) fn forward_changes(&self, feed: &Feed, at: Revision, changes: Vec<Change>) {
        let after = feed.announced.replace(feed.announced.get().max(at));
        if changes.is_empty() {
            return;
        }
        let prefix = feed.prefix.clone();
        let changes = PrefixChanges { prefix, after, at, changes };
        let store = self.store.state();
        self.send_to_subscribers(|| Some(PeerMessage::Changes { store, changes }));
    }

    /// Sends all keys to the subscribers after the first read, or the first one of another era.
    pub(crate) fn resend(&self, feed: &Feed, at: Revision) {
        feed.announced.set(at);
        self.send_to_subscribers(|| self.sync(&[]));
    }
}

/// Probes whether the store answers this host.
async fn probe(hub: Rc<Hub>) {
    let sent = hub.clock.now();
    let is_answered = hub.store.probe(HOLDER_KEY).await;
    if is_answered && hub.reads_store() {
        hub.confirm_watched(sent);
    }
    hub.source_event(Event::Probed(is_answered));
}

/// Lists the hosts, accepting stale data, to find a source.
pub(crate) async fn list_hosts(hub: Rc<Hub>) {
    let Ok(snapshot) =
        hub.store.range(peers::HOST_PREFIX, Freshness::MayBeStale, MAX_ENTRY_BYTES).await
    else {
        return;
    };
    let odd = hub.store.odd_entries();
    if *hub.source.borrow() == Source::Searching {
        hub.set_peers(
            snapshot.items.iter().filter_map(|item| parse_entry(item, odd)).collect(),
            false,
        );
    }
}
