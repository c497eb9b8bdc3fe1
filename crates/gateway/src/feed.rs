//! What this host knows of the store's keys, from the store itself or from an aggregator.

use crate::{
    hub::Hub,
    peers::PeerMessage,
    store::Snapshot,
    tenure::HOLDER_KEY,
    watch::{self, Follower},
};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use vanetally_fanout::{Action, Event, Gap, Mirror, Source, StoreState};
use vanetally_ports::{Change, Item, Revision};
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
        }
    }

    /// All keys were read; tells whether the reading was news enough to be taken.
    fn replace(&self, snapshot: Snapshot) -> bool {
        let is_taken = self.mirror.borrow_mut().try_replace(snapshot.at, &snapshot.items);
        if is_taken {
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
        news.into_iter().for_each(|change| self.follower.changed(change));
        Ok(())
    }

    fn has(&self, change: &Change) -> bool {
        change.key().starts_with(&*self.prefix)
    }

    fn snapshot(&self) -> Option<PrefixSnapshot> {
        let mirror = self.mirror.borrow();
        let items = mirror.items().cloned().collect();
        Some(PrefixSnapshot { prefix: self.prefix.clone(), at: mirror.at()?, items })
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

    /// How long the store may hold a watch: others rest on this one where it is an aggregator.
    pub(crate) fn watch_ms(&self) -> u64 {
        if self.hub.is_fleet() { SHORT_WATCH_MS } else { WATCH_MS }
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

fn common_beginning<'a>(one: &'a str, other: &'a str) -> &'a str {
    let same = one.char_indices().zip(other.chars()).take_while(|((_, a), b)| a == b);
    let end = same.last().map_or(0, |((at, last), _)| at + last.len_utf8());
    &one[..end]
}

/// How long the store may hold a watch, in milliseconds.
const WATCH_MS: u64 = 3_000;
/// The same in a large deployment, where an aggregator's silence must be told from the store's.
const SHORT_WATCH_MS: u64 = 500;

impl Hub {
    /// Tells the choice of a source what happened, and does what it says.
    pub(crate) fn follow_event(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = self.follow.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                Action::Subscribe(to) => self.send(&to, &PeerMessage::Subscribe),
                Action::Unsubscribe(to) => self.send(&to, &PeerMessage::Unsubscribe),
                Action::Probe => {
                    tokio::task::spawn_local(probe(self.clone()));
                }
                Action::Switch(source) => self.switch(source),
            }
        }
    }

    fn switch(self: &Rc<Self>, source: Source) {
        let name = match &source {
            Source::Store => "store",
            Source::Aggregator(host) => host,
        };
        log::info!("event=source_changed source={name}");
        self.source.send_replace(source);
        // The loads of the earlier source are of no use beside those of the new one.
        let hosts: Vec<Name> = self.peers.borrow().keys().cloned().collect();
        for host in hosts {
            self.request_event(vanetally_dispatch::Event::PeerGone { host });
        }
    }

    /// A host that reads the store asks it now and then whether it answers.
    pub(crate) fn probe_store(self: &Rc<Self>) {
        if self.reads_store() && self.store.should_probe() {
            tokio::task::spawn_local(probe(self.clone()));
        }
    }

    /// Milliseconds since the store confirmed the oldest of what is known here.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let now = self.clock.now();
        let ages = self.feeds.borrow().iter().map(|feed| feed.age_ms(now)).collect();
        let ages: Option<Vec<u64>> = ages;
        ages?.into_iter().max()
    }

    /// The feeds that aggregators pass on.
    fn shared_feeds(&self) -> Vec<Rc<Feed>> {
        let feeds = self.feeds.borrow();
        feeds.iter().filter(|feed| feed.is_shared).cloned().collect()
    }

    /// All that this host knows, if it reads the store and has read all of it.
    pub(crate) fn snapshots(&self) -> Option<PeerMessage> {
        let feeds = self.shared_feeds();
        let prefixes: Option<Vec<PrefixSnapshot>> =
            feeds.iter().map(|feed| feed.snapshot()).collect();
        let prefixes = prefixes.filter(|_| self.reads_store())?;
        Some(PeerMessage::Snapshots { store: self.store.state(), prefixes })
    }

    /// An aggregator told all that it knows.
    pub(crate) fn take_snapshots(self: &Rc<Self>, from: &Name, snapshots: Vec<PrefixSnapshot>) {
        let feeds = self.shared_feeds();
        let mut taken = 0;
        for snapshot in snapshots {
            let PrefixSnapshot { prefix, at, items } = snapshot;
            if let Some(feed) = feeds.iter().find(|feed| feed.prefix == prefix) {
                taken += usize::from(feed.replace(Snapshot { items, at }));
            }
        }
        if taken == feeds.len() {
            self.follow_event(Event::Synced { from: from.clone() });
        }
    }

    /// An aggregator told changes.
    pub(crate) fn take_changes(
        self: &Rc<Self>,
        from: &Name,
        store: StoreState,
        changes: PrefixChanges,
    ) {
        if *self.source.borrow() != Source::Aggregator(from.clone()) {
            return;
        }
        self.store.told(store);
        let feeds = self.shared_feeds();
        let PrefixChanges { prefix, after, at, changes } = changes;
        let feed = feeds.iter().find(|feed| feed.prefix == prefix);
        if feed.is_some_and(|feed| feed.change(after, at, changes).is_err()) {
            log::info!("event=changes_missed from={from} prefix={prefix} after={}", after.0);
            self.follow_event(Event::Missed);
        }
    }

    /// Up to where subscribers were told changes.
    pub(crate) fn told(&self) -> Vec<(Name, Revision)> {
        let feeds = self.shared_feeds();
        feeds.iter().map(|feed| (feed.prefix.clone(), feed.told.get())).collect()
    }

    /// An aggregator said up to where it has told changes: messages of one link come in order, so
    /// what is missing was lost with a link.
    pub(crate) fn check_told(self: &Rc<Self>, from: &Name, told: &[(Name, Revision)]) {
        let feeds = self.shared_feeds();
        let lacks = |(prefix, told): &&(Name, Revision)| {
            let feed = feeds.iter().find(|feed| feed.prefix == *prefix);
            feed.is_some_and(|feed| feed.mirror.borrow().lacks(*told))
        };
        if let Some((prefix, told)) = told.iter().find(lacks) {
            log::info!("event=changes_missed from={from} prefix={prefix} told={}", told.0);
            self.follow_event(Event::Missed);
        }
    }

    /// Passes changes on to the subscribers.
    fn pass_on(&self, feed: &Feed, at: Revision, changes: Vec<Change>) {
        let after = feed.told.replace(at);
        let prefix = feed.prefix.clone();
        let changes = PrefixChanges { prefix, after, at, changes };
        let store = self.store.state();
        self.tell_subscribers(|| Some(PeerMessage::Changes { store, changes }));
    }

    /// All keys were read for the first time: subscribers start from there as well.
    fn resend(&self, feed: &Feed, at: Revision) {
        feed.told.set(at);
        self.tell_subscribers(|| self.snapshots());
    }
}

/// Sees whether the store answers this host.
async fn probe(hub: Rc<Hub>) {
    let is_answered = hub.store.probe(HOLDER_KEY).await;
    hub.follow_event(Event::Probed(is_answered));
}
