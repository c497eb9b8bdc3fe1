//! What this host knows of the store's keys, from the store itself or from an aggregator.

use crate::{
    hub::Hub,
    peers::{self, PeerMessage, Told, Word},
    store::Snapshot,
    tenure::HOLDER_KEY,
    watch::{self, Follower},
};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use vanetally_fanout::{Action, Event, Gap, Mirror, Packed, Reason, Source, StoreState};
use vanetally_link::peer;
use vanetally_ports::{Change, Freshness, Item, Revision};
use vanetally_types::{Name, Tick};

/// The keys of one prefix.
pub(crate) struct Feed {
    pub prefix: Name,
    /// Whether aggregators pass its keys on.
    is_shared: bool,
    follower: Rc<dyn Follower>,
    mirror: RefCell<Mirror>,
    /// When the store last confirmed what is known.
    confirmed: Cell<Option<Tick>>,
    /// Up to where subscribers were told changes.
    told: Cell<Revision>,
    /// All keys as they are sent to hosts that start, until one changes: many ask at the same time.
    packed: RefCell<Option<Packed>>,
}

/// All keys of one prefix, as an aggregator passes them on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PrefixSnapshot {
    /// The prefix.
    pub prefix: Name,
    /// Up to where all changes are known.
    pub at: Revision,
    /// The keys.
    pub items: Vec<Item>,
}

/// What is new to a subscriber of one prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PrefixSync {
    /// All keys: a [`PrefixSnapshot`].
    Whole(Packed),
    /// What changed since it last heard.
    Since(PrefixChanges),
}

/// Changes of one prefix, as an aggregator passes them on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PrefixChanges {
    /// The prefix.
    pub prefix: Name,
    /// What was told before this.
    pub after: Revision,
    /// Up to where all changes are known now.
    pub at: Revision,
    /// What changed in between.
    pub changes: Vec<Change>,
}

impl Feed {
    /// Knows nothing yet; `follower` hears what comes, from the store or an aggregator.
    pub(crate) fn shared(prefix: Name, follower: Rc<dyn Follower>) -> Self {
        Self { is_shared: true, ..Self::own(prefix, follower) }
    }

    /// The same, but only the store tells: what other hosts need of it they ask for in another way.
    pub(crate) fn own(prefix: Name, follower: Rc<dyn Follower>) -> Self {
        Self {
            prefix,
            is_shared: false,
            follower,
            mirror: RefCell::default(),
            confirmed: Cell::new(None),
            told: Cell::new(Revision(0)),
            packed: RefCell::default(),
        }
    }

    /// Whether other hosts pass its keys on.
    pub(crate) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// All keys were read; tells whether the reading was news enough to be taken.
    fn replace(&self, snapshot: Snapshot) -> bool {
        let is_taken = self.mirror.borrow_mut().try_replace(snapshot.at, &snapshot.items);
        if is_taken {
            self.packed.take();
            self.follower.replaced(snapshot);
        }
        is_taken
    }

    /// What a reading changes here; `None` if nothing was read before.
    fn changes_to(&self, snapshot: &Snapshot) -> Option<Vec<Change>> {
        let mirror = self.mirror.borrow();
        mirror.at()?;
        Some(mirror.changes_to(snapshot.at, &snapshot.items))
    }

    /// Some keys changed.
    fn change(&self, after: Revision, at: Revision, changes: Vec<Change>) -> Result<(), Gap> {
        let news = self.mirror.borrow_mut().try_apply(after, at, changes)?;
        if !news.is_empty() {
            self.packed.take();
        }
        news.into_iter().for_each(|change| self.follower.changed(change));
        Ok(())
    }

    fn has(&self, change: &Change) -> bool {
        change.key().starts_with(&*self.prefix)
    }

    /// What is new to a host that knows all changes up to `have`; `None` if nothing is known here.
    fn sync(&self, have: Option<Revision>) -> Option<PrefixSync> {
        let mirror = self.mirror.borrow();
        let at = mirror.at()?;
        let since = have.and_then(|have| Some((have, mirror.changes_since(have)?)));
        if let Some((after, changes)) = since {
            let prefix = self.prefix.clone();
            return Some(PrefixSync::Since(PrefixChanges { prefix, after, at, changes }));
        }
        let mut packed = self.packed.borrow_mut();
        if packed.is_none() {
            let items = mirror.items().cloned().collect();
            *packed = pack(&PrefixSnapshot { prefix: self.prefix.clone(), at, items });
        }
        packed.clone().map(PrefixSync::Whole)
    }

    /// Up to where subscribers were told changes.
    fn told(&self) -> Told {
        let last = self.told.get();
        let at = self.mirror.borrow().at().unwrap_or(last);
        Told { prefix: self.prefix.clone(), last, at }
    }

    /// The source told all changes up to `told`; tells whether something of it is missing.
    fn lacks(&self, told: &Told) -> bool {
        let mut mirror = self.mirror.borrow_mut();
        let lacks = mirror.lacks(told.last);
        if !lacks {
            mirror.advance(told.at);
        }
        lacks
    }

    /// Milliseconds since the store confirmed what is known.
    fn age_ms(&self, now: Tick) -> Option<u64> {
        self.confirmed.get().map(|at| now.since(at))
    }
}

/// Reads all feeds from the store while that is this host's source, for as long as the process lives.
pub(crate) async fn run(hub: Rc<Hub>) {
    let mut source = hub.source.subscribe();
    let store = hub.store.clone();
    let feeds = hub.feeds.borrow().clone();
    let mut reader = Reader { hub, feeds };
    loop {
        // The sender lives as long as the hub.
        let _ = source.wait_for(|source| *source == Source::Store).await;
        tokio::select! {
            _ = source.wait_for(|source| *source != Source::Store) => {}
            () = watch::follow(&store, &mut reader) => {}
        }
    }
}

/// Takes in what the store says.
pub(crate) struct Reader {
    hub: Rc<Hub>,
    feeds: Vec<Rc<Feed>>,
}

impl Reader {
    pub(crate) fn feeds(&self) -> Vec<Rc<Feed>> {
        self.feeds.clone()
    }

    /// The beginning that the keys of all feeds share: one watch tells of all changes.
    pub(crate) fn common_prefix(&self) -> Name {
        let prefixes = self.feeds.iter().map(|feed| &*feed.prefix);
        prefixes.reduce(common_beginning).unwrap_or_default().into()
    }

    /// How long the store may hold a watch.
    pub(crate) fn watch_ms(&self) -> u64 {
        if self.hub.is_fleet() { FLEET_WATCH_MS } else { WATCH_MS }
    }

    /// Notes whether a watch waits, so that an answered probe shows that nothing has changed.
    pub(crate) fn set_watching(&self, is_watching: bool) {
        self.hub.is_watching.set(is_watching);
    }

    /// From where all shared feeds are known, as other hosts passed them on; a watch may go on from there.
    pub(crate) fn known(&self) -> Option<Revision> {
        let shared = self.feeds.iter().filter(|feed| feed.is_shared);
        let known: Option<Vec<Revision>> = shared.map(|feed| feed.mirror.borrow().at()).collect();
        known?.into_iter().min()
    }

    /// All keys of `feed` were read.
    pub(crate) fn read(&mut self, feed: &Feed, snapshot: Snapshot) {
        let at = snapshot.at;
        feed.confirmed.set(Some(self.hub.clock.now()));
        if !feed.is_shared {
            feed.replace(snapshot);
            return;
        }
        let changes = feed.changes_to(&snapshot);
        if !feed.replace(snapshot) {
            return;
        }
        match changes {
            Some(changes) if changes.is_empty() => {}
            Some(changes) => self.hub.pass_on(feed, at, changes),
            None => self.hub.resend(feed, at),
        }
    }

    /// The last change of what only the store tells: it may be large.
    pub(crate) fn bulk_revision(&self) -> Option<Revision> {
        let bulk = self.feeds.iter().filter(|feed| !feed.is_shared);
        bulk.filter_map(|feed| feed.mirror.borrow().items().map(|item| item.revision).max()).max()
    }

    /// The store told changes up to `at`.
    ///
    /// # Errors
    /// If something before them is missing: all has to be read anew.
    pub(crate) fn changed(
        &mut self,
        after: Revision,
        at: Revision,
        mut changes: Vec<Change>,
    ) -> Result<(), Gap> {
        let now = self.hub.clock.now();
        for feed in &self.feeds {
            let own: Vec<Change> = changes.extract_if(.., |change| feed.has(change)).collect();
            let is_change = !own.is_empty();
            feed.change(after, at, own.clone())?;
            feed.confirmed.set(Some(now));
            if is_change && feed.is_shared {
                self.hub.pass_on(feed, at, own);
            }
        }
        Ok(())
    }

    /// The store can't be asked.
    pub(crate) fn lost(&mut self) {
        self.feeds.iter().for_each(|feed| feed.follower.lost());
    }
}

fn pack(snapshot: &PrefixSnapshot) -> Option<Packed> {
    let bytes = peer::encode(snapshot).map_err(|error| error.to_string());
    let packed =
        bytes.and_then(|bytes| Packed::try_from_bytes(&bytes).map_err(|error| error.to_string()));
    packed.inspect_err(|error| log::error!("event=keys_not_packed error=\"{error}\"")).ok()
}

fn unpack(packed: &Packed) -> Option<PrefixSnapshot> {
    match packed.try_unpack() {
        Ok(bytes) => peer::decode(&bytes),
        Err(error) => {
            log::warn!("event=keys_not_unpacked error=\"{error}\"");
            None
        }
    }
}

fn common_beginning<'a>(one: &'a str, other: &'a str) -> &'a str {
    let same = one.char_indices().zip(other.chars()).take_while(|((_, a), b)| a == b);
    let end = same.last().map_or(0, |((at, last), _)| at + last.len_utf8());
    &one[..end]
}

/// How long the store may hold a watch, in milliseconds.
const WATCH_MS: u64 = 3_000;
/// The same in a large deployment, where others rest on one host's watch: a connection that has gone silent
/// is noticed within this time and a margin, which stays below the three seconds that deployments allow
/// for it. Probes show sooner whether the way to the store is open.
const FLEET_WATCH_MS: u64 = 1_500;

impl Hub {
    /// Tells the choice of a source what happened, and does what it says.
    pub(crate) fn follow_event(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = self.follow.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                Action::Subscribe(to) => self.subscribe(&to),
                Action::Unsubscribe(to) => self.send(&to, &PeerMessage::Unsubscribe),
                Action::Survey => {
                    tokio::task::spawn_local(survey(self.clone()));
                }
                Action::Probe => {
                    tokio::task::spawn_local(probe(self.clone()));
                }
                Action::Switch { to, reason } => self.switch(to, reason),
            }
        }
    }

    fn subscribe(&self, to: &Name) {
        let feeds = self.shared_feeds();
        let have =
            feeds.iter().filter_map(|feed| Some((feed.prefix.clone(), feed.mirror.borrow().at()?)));
        let subscribe = PeerMessage::Subscribe {
            entry: self.own_entry(),
            have: have.collect(),
            is_aggregator: self.is_aggregator(),
        };
        self.send(to, &subscribe);
    }

    fn switch(self: &Rc<Self>, source: Source, reason: Reason) {
        let name = match &source {
            Source::Nobody => "-",
            Source::Store => "store",
            Source::Host(host) => host,
        };
        let age_ms = self.age_ms().map_or_else(|| "-".into(), |ms| ms.to_string());
        let reason = reason.as_str();
        log::info!("event=source_changed source={name} reason={reason} age_ms={age_ms}");
        self.source.send_replace(source);
        self.review_loads();
    }

    /// A host that reads the store asks it now and then whether it answers.
    pub(crate) fn probe_store(self: &Rc<Self>) {
        if !self.reads_store() {
            return;
        }
        let age_ms = self.read_age_ms();
        self.follow_event(Event::Confirmed(age_ms));
        if self.store.should_probe(self.is_fleet()) {
            tokio::task::spawn_local(probe(self.clone()));
        }
    }

    /// Milliseconds since the store confirmed the oldest of what this host reads there.
    fn read_age_ms(&self) -> Option<u64> {
        self.oldest_ms(|_| true)
    }

    /// Milliseconds since the store confirmed the oldest of what this host passes on. The configuration is not
    /// part of that: it travels in another way, and may be read much later than the keys.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        self.oldest_ms(|feed| feed.is_shared)
    }

    fn oldest_ms(&self, is_meant: impl Fn(&Feed) -> bool) -> Option<u64> {
        let now = self.clock.now();
        let feeds = self.feeds.borrow();
        let meant = feeds.iter().filter(|feed| is_meant(feed));
        let ages: Option<Vec<u64>> = meant.map(|feed| feed.age_ms(now)).collect();
        ages?.into_iter().max()
    }

    /// The store confirmed at `at` what the feeds know.
    fn confirmed(&self, at: Tick) {
        for feed in self.feeds.borrow().iter().filter(|feed| feed.confirmed.get().is_some()) {
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
        feeds.iter().filter(|feed| feed.is_shared).cloned().collect()
    }

    /// What is new to a host that knows all changes up to `have`; `None` while something is not known here.
    pub(crate) fn sync(&self, have: &[(Name, Revision)]) -> Option<PeerMessage> {
        let feeds = self.shared_feeds();
        let prefixes = feeds.iter().map(|feed| {
            let known = have.iter().find(|(prefix, _)| *prefix == feed.prefix);
            feed.sync(known.map(|(_, at)| *at))
        });
        let prefixes: Option<Vec<PrefixSync>> = prefixes.collect();
        let (store, age_ms) = (self.store.state(), self.age_ms());
        Some(PeerMessage::Sync { store, age_ms, prefixes: prefixes? })
    }

    /// Another host told what is new to this one.
    pub(crate) fn take_sync(
        self: &Rc<Self>,
        from: &Name,
        age_ms: Option<u64>,
        prefixes: Vec<PrefixSync>,
    ) {
        let feeds = self.shared_feeds();
        let is_first = feeds.iter().any(|feed| feed.mirror.borrow().at().is_none());
        let mut taken = 0;
        for sync in prefixes {
            taken += usize::from(self.take_prefix(&feeds, sync));
        }
        if taken < feeds.len() {
            return log::info!("event=sync_incomplete from={from} taken={taken}");
        }
        self.follow_event(Event::Synced { from: from.clone(), age_ms });
        if *self.source.borrow() == Source::Host(from.clone()) {
            self.take_age(age_ms);
        }
        if is_first {
            self.tell_subscribers(|| self.sync(&[]));
        }
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
        if feed.change(after, at, changes.clone()).is_ok() {
            return self.pass_on(feed, at, changes);
        }
        log::info!("event=changes_missed from={from} prefix={prefix} after={}", after.0);
        self.follow_event(Event::Missed);
    }

    /// How this host stands, for those that hear from it.
    pub(crate) fn word(&self) -> Word {
        Word {
            version: self.version(),
            age_ms: self.age_ms(),
            store: self.store.state(),
            told: self.shared_feeds().iter().map(|feed| feed.told()).collect(),
            is_leaving: self.is_leaving(),
        }
    }

    /// A host that passes on what lies in the store told how it stands.
    pub(crate) fn take_word(self: &Rc<Self>, from: &Name, word: &Word) {
        if *self.source.borrow() == Source::Host(from.clone()) {
            self.store.told(word.store);
            self.take_age(word.age_ms);
            self.check_told(from, &word.told);
            self.compare_version(from, word.version);
        }
        let (age_ms, is_leaving) = (word.age_ms, word.is_leaving);
        self.follow_event(Event::Told { from: from.clone(), age_ms, is_leaving });
    }

    /// Messages of one link come in order: what is missing of what was told was lost with a link.
    fn check_told(self: &Rc<Self>, from: &Name, told: &[Told]) {
        let feeds = self.shared_feeds();
        let lacks = |told: &&Told| {
            let feed = feeds.iter().find(|feed| feed.prefix == told.prefix);
            feed.is_some_and(|feed| feed.lacks(told))
        };
        if let Some(Told { prefix, last, .. }) = told.iter().find(lacks) {
            log::info!("event=changes_missed from={from} prefix={prefix} told={}", last.0);
            self.follow_event(Event::Missed);
        }
    }

    /// Passes changes on to the subscribers.
    fn pass_on(&self, feed: &Feed, at: Revision, changes: Vec<Change>) {
        let after = feed.told.replace(feed.told.get().max(at));
        if changes.is_empty() {
            return;
        }
        let prefix = feed.prefix.clone();
        let changes = PrefixChanges { prefix, after, at, changes };
        let store = self.store.state();
        self.tell_subscribers(|| Some(PeerMessage::Changes { store, changes }));
    }

    /// All keys were read for the first time: subscribers start from there as well.
    fn resend(&self, feed: &Feed, at: Revision) {
        feed.told.set(at);
        self.tell_subscribers(|| self.sync(&[]));
    }
}

/// Sees whether the store answers this host.
async fn probe(hub: Rc<Hub>) {
    let sent = hub.clock.now();
    let is_answered = hub.store.probe(HOLDER_KEY).await;
    // What a watch that waits has not told has not happened.
    if is_answered && hub.reads_store() && hub.is_watching.get() {
        hub.confirmed(sent);
    }
    hub.follow_event(Event::Probed(is_answered));
}

/// Reads the list of hosts, however old, to find one to hear from.
async fn survey(hub: Rc<Hub>) {
    let Ok(snapshot) = hub.store.range(peers::HOSTS, Freshness::MayBeOld).await else {
        return;
    };
    if *hub.source.borrow() == Source::Nobody {
        hub.set_peers(snapshot.items.iter().filter_map(peers::entry).collect());
    }
}
