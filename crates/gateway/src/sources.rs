//! From whom this host hears what lies in the store, and what it passes on.

use crate::{
    feed::{Feed, PrefixChanges, PrefixSnapshot, PrefixSync, unpack},
    hub::Hub,
    peers::{self, PeerMessage, Told, Word},
    store::Snapshot,
    tenure::HOLDER_KEY,
};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_fanout::{Action, Event, Reason, Source, StoreState};
use vanetally_ports::{Change, Era, Freshness, Revision};
use vanetally_types::{Name, Tick};

/// This long between two ticks means that the process did not run, in milliseconds. A host with an eighth of a
/// processor is held back for up to a tenth of a second at a time.
const STALL_MS: u64 = 250;
/// A process that did not run for this long, in milliseconds, asks the store anew: the answers that it waits for may
/// have been lost with their connections, and its time-outs have not counted a suspension.
const DOUBT_MS: u64 = 1_000;

impl Hub {
    /// Tells the choice of a source what happened, and does what it says.
    pub(crate) fn follow_event(self: &Rc<Self>, event: Event) {
        self.follow_at(self.clock.now(), event);
    }

    /// Time passed. A stall may strike anywhere in a turn of the loop: what is measured here and what the
    /// decision goes by are the same moment, so that none is taken for the silence of others.
    pub(crate) fn follow_tick(self: &Rc<Self>) {
        let now = self.clock.now();
        let gap_ms = now.since(self.followed.replace(now));
        if gap_ms > STALL_MS {
            log::warn!("event=host_stalled gap_ms={gap_ms}");
            self.follow_at(now, Event::Stalled);
        }
        if gap_ms > DOUBT_MS {
            self.store.begin_anew();
        }
        self.follow_at(now, Event::Tick);
    }

    fn follow_at(self: &Rc<Self>, now: Tick, event: Event) {
        let actions = self.follow.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                Action::Subscribe(to) => self.subscribe(&to),
                Action::Unsubscribe(to) => self.send(&to, &PeerMessage::Unsubscribe),
                Action::ListHosts => {
                    tokio::task::spawn_local(survey(self.clone()));
                }
                Action::Probe => {
                    tokio::task::spawn_local(probe(self.clone()));
                }
                Action::Announce => {
                    log::info!("event=source_announced");
                    self.broadcast(&PeerMessage::Word(self.word()));
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
        // What is known of an earlier era is needed whole.
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
        self.ask_clock();
        self.review_loads();
    }

    /// A host that reads the store asks it now and then whether it answers.
    pub(crate) fn probe_store(self: &Rc<Self>) {
        if !self.reads_store() {
            return;
        }
        self.follow_event(Event::StoreConfirmed(self.age_ms()));
        if self.store.should_probe(self.is_fleet()) {
            tokio::task::spawn_local(probe(self.clone()));
        }
    }

    /// Milliseconds since the store confirmed the oldest of what this host passes on. The configuration is not
    /// part of that: it travels in another way, and may be read much later than the keys.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let now = self.clock.now();
        let ages: Option<Vec<u64>> =
            self.shared_feeds().iter().map(|feed| feed.age_ms(now)).collect();
        ages?.into_iter().max()
    }

    /// The store answered a call sent at `at`: what a watch that waits has not told by then has not happened.
    fn confirmed(&self, at: Tick) {
        let era = self.store.eras().newest();
        let is_current = |feed: &&Rc<Feed>| feed.is_watched.get() && feed.era() == Some(era);
        for feed in self.feeds.borrow().iter().filter(is_current) {
            feed.confirmed.set(feed.confirmed.get().max(Some(at)));
        }
    }

    /// The source told how old its word is.
    fn take_age(&self, age_ms: Option<u64>) {
        let at = age_ms.map(|age| self.clock.now() - age);
        self.shared_feeds().iter().for_each(|feed| feed.confirmed.set(at));
    }

    /// The feeds that aggregators pass on.
    fn shared_feeds(&self) -> Vec<Rc<Feed>> {
        let feeds = self.feeds.borrow();
        feeds.iter().filter(|feed| feed.is_shared()).cloned().collect()
    }

    /// The era of all that aggregators pass on, if it is one.
    fn shared_era(&self) -> Option<Era> {
        let feeds = self.shared_feeds();
        let eras: Option<BTreeSet<Era>> = feeds.iter().map(|feed| feed.era()).collect();
        eras.filter(|eras| eras.len() == 1)?.pop_first()
    }

    /// What is new to a host that knows all changes up to `have`; `None` while something is not known here, or only of
    /// an earlier era.
    pub(crate) fn sync(&self, have: &[(Name, Revision)]) -> Option<PeerMessage> {
        self.shared_era()?;
        let feeds = self.shared_feeds();
        let prefixes = feeds.iter().map(|feed| {
            let known = have.iter().find(|(prefix, _)| *prefix == feed.prefix);
            feed.sync(known.map(|(_, at)| *at))
        });
        let prefixes: Option<Vec<PrefixSync>> = prefixes.collect();
        let (store, age_ms) = (self.store.state(), self.age_ms());
        let path = self.follow.borrow().path();
        Some(PeerMessage::Sync { store, age_ms, path, prefixes: prefixes? })
    }

    /// Another host told what is new to this one.
    pub(crate) fn take_sync(
        self: &Rc<Self>,
        from: &Name,
        age_ms: Option<u64>,
        prefixes: Vec<PrefixSync>,
    ) {
        let feeds = self.shared_feeds();
        let before = self.shared_era();
        let mut taken = 0;
        for sync in prefixes {
            taken += usize::from(self.take_prefix(&feeds, sync));
        }
        if taken < feeds.len() {
            return log::info!("event=sync_incomplete from={from} taken={taken}");
        }
        let is_over = self.shared_era().is_some_and(|era| self.is_over(era));
        let age_ms = age_ms.filter(|_| !is_over);
        self.follow_event(Event::Synced { from: from.clone(), age_ms });
        if *self.source.borrow() == Source::Host(from.clone()) {
            self.take_age(age_ms);
        }
        if before != self.shared_era() {
            self.tell_subscribers(|| self.sync(&[]));
        }
    }

    /// Whether another host tells of an era that is over, though it has had the time to hear of the next one.
    fn is_over(&self, era: Era) -> bool {
        self.store.eras().is_over(self.clock.now(), era)
    }

    /// Takes in what is new under one prefix and passes it on; tells whether it was news enough.
    fn take_prefix(&self, feeds: &[Rc<Feed>], sync: PrefixSync) -> bool {
        let find = |prefix: &Name| feeds.iter().find(|feed| feed.prefix == *prefix);
        match sync {
            PrefixSync::Whole(packed) => {
                let Some(PrefixSnapshot { prefix, at, items }) = unpack(&packed) else {
                    return false;
                };
                find(&prefix).is_some_and(|feed| self.take_whole(feed, Snapshot { items, at }))
            }
            PrefixSync::Since(PrefixChanges { prefix, after, at, changes }) => {
                let Some(feed) = find(&prefix) else {
                    return false;
                };
                let is_taken = feed.change(after, at, changes.clone()).is_ok();
                if is_taken {
                    self.pass_on(feed, at, changes);
                }
                is_taken
            }
        }
    }

    fn take_whole(&self, feed: &Feed, snapshot: Snapshot) -> bool {
        let (at, changes) = (snapshot.at, feed.changes_to(&snapshot));
        if !feed.replace(snapshot) {
            return false;
        }
        match changes {
            Some(changes) => self.pass_on(feed, at, changes),
            None => feed.told.set(at),
        }
        true
    }

    /// An aggregator told changes.
    pub(crate) fn take_changes(
        self: &Rc<Self>,
        from: &Name,
        store: StoreState,
        changes: PrefixChanges,
    ) {
        if *self.source.borrow() != Source::Host(from.clone()) {
            return;
        }
        self.store.told(store);
        let feeds = self.shared_feeds();
        let PrefixChanges { prefix, after, at, changes } = changes;
        let Some(feed) = feeds.iter().find(|feed| feed.prefix == prefix) else {
            return;
        };
        if feed.era().is_some_and(|known| at.era < known) {
            return feed.log_passed_over("changes", at, changes.len());
        }
        if feed.change(after, at, changes.clone()).is_ok() {
            return self.pass_on(feed, at, changes);
        }
        log::info!("event=changes_missed from={from} prefix={prefix} after={after}");
        self.follow_event(Event::ChangesMissed);
    }

    /// How this host stands, for those that hear from it.
    pub(crate) fn word(&self) -> Word {
        Word {
            version: self.version(),
            age_ms: self.age_ms(),
            configuration: self.configuration_word(),
            store: self.store.state(),
            told: self.shared_feeds().iter().map(|feed| feed.told()).collect(),
            is_leaving: self.is_leaving(),
            path: self.follow.borrow().path(),
        }
    }

    /// A host that passes on what lies in the store told how it stands.
    pub(crate) fn take_word(self: &Rc<Self>, from: &Name, word: &Word) {
        let era = word.told.iter().map(|told| told.at.era).min();
        let age_ms = word.age_ms.filter(|_| !era.is_some_and(|era| self.is_over(era)));
        if *self.source.borrow() == Source::Host(from.clone()) {
            self.store.told(word.store);
            self.take_age(age_ms);
            self.check_told(from, &word.told);
            self.compare_version(from, word.version);
            self.take_configuration_word(from, word.configuration);
        }
        self.follow_event(Event::Path { from: from.clone(), path: word.path.clone() });
        let is_leaving = word.is_leaving;
        self.follow_event(Event::Status { from: from.clone(), age_ms, is_leaving });
    }

    /// Messages of one link come in order: what is missing of what was told was lost with a link.
    fn check_told(self: &Rc<Self>, from: &Name, told: &[Told]) {
        let feeds = self.shared_feeds();
        let lacks = |told: &&Told| {
            let feed = feeds.iter().find(|feed| feed.prefix == told.prefix);
            feed.is_some_and(|feed| feed.lacks(told))
        };
        if let Some(Told { prefix, last, .. }) = told.iter().find(lacks) {
            log::info!("event=changes_missed from={from} prefix={prefix} told={last}");
            self.follow_event(Event::ChangesMissed);
        }
    }

    /// Passes changes on to the subscribers.
    pub(crate) fn pass_on(&self, feed: &Feed, at: Revision, changes: Vec<Change>) {
        let after = feed.told.replace(feed.told.get().max(at));
        if changes.is_empty() {
            return;
        }
        let prefix = feed.prefix.clone();
        let changes = PrefixChanges { prefix, after, at, changes };
        let store = self.store.state();
        self.tell_subscribers(|| Some(PeerMessage::Changes { store, changes }));
    }

    /// All keys were read for the first time, or in another era: subscribers start from there as well.
    pub(crate) fn resend(&self, feed: &Feed, at: Revision) {
        feed.told.set(at);
        self.tell_subscribers(|| self.sync(&[]));
    }
}

/// Sees whether the store answers this host.
async fn probe(hub: Rc<Hub>) {
    let sent = hub.clock.now();
    let is_answered = hub.store.probe(HOLDER_KEY).await;
    if is_answered && hub.reads_store() {
        hub.confirmed(sent);
    }
    hub.follow_event(Event::Probed(is_answered));
}

/// Reads the list of hosts, however old, to find one to hear from.
async fn survey(hub: Rc<Hub>) {
    let Ok(snapshot) = hub.store.range(peers::HOSTS, Freshness::MayBeStale).await else {
        return;
    };
    if *hub.source.borrow() == Source::Searching {
        hub.set_peers(snapshot.items.iter().filter_map(peers::entry).collect(), false);
    }
}
