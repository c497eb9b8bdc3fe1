//! Reading the store for this host and for those that hear from it.

use crate::{feed::Feed, hub::Hub, store::Snapshot, watch};
use std::rc::Rc;
use vanetally_fanout::{Gap, Source};
use vanetally_ports::{Change, Revision};
use vanetally_types::{Name, Tick};

/// Watches in the time after which a key that was taken away must not be used any more.
const CONFIRMATIONS: u64 = 8;

/// Reads all feeds from the store while that is this host's source, for as long as the process lives.
pub(crate) async fn run(hub: Rc<Hub>) {
    let mut source = hub.source.subscribe();
    let store = hub.store.clone();
    let feeds = hub.feeds.borrow().clone();
    let reader = Reader { hub, feeds };
    loop {
        // The sender lives as long as the hub.
        let _ = source.wait_for(|source| *source == Source::Store).await;
        tokio::select! {
            _ = source.wait_for(|source| *source != Source::Store) => {}
            () = watch::follow(&store, &reader) => {}
        }
        reader.stop_watching();
    }
}

/// Feeds that one watch tells of.
pub(crate) struct Scope {
    feeds: Vec<Rc<Feed>>,
    /// The beginning that their keys share.
    pub prefix: Name,
}

impl Scope {
    fn new(feeds: Vec<Rc<Feed>>) -> Self {
        let prefixes = feeds.iter().map(|feed| &*feed.prefix);
        let prefix = prefixes.reduce(common_beginning).unwrap_or_default().into();
        Self { feeds, prefix }
    }

    pub(crate) fn feeds(&self) -> &[Rc<Feed>] {
        &self.feeds
    }

    /// Notes whether a watch waits, so that an answered probe shows that nothing has changed.
    pub(crate) fn set_watching(&self, is_watching: bool) {
        self.feeds.iter().for_each(|feed| feed.is_watched.set(is_watching));
    }

    /// Whether what only the store tells, and may be large, is among them.
    pub(crate) fn has_bulk(&self) -> bool {
        self.feeds.iter().any(|feed| !feed.is_shared())
    }

    /// Whether nothing else is.
    pub(crate) fn is_bulk_alone(&self) -> bool {
        self.feeds.iter().all(|feed| !feed.is_shared())
    }

    /// The last change of what may be large.
    pub(crate) fn last_change(&self) -> Option<Revision> {
        let bulk = self.feeds.iter().filter(|feed| !feed.is_shared());
        bulk.filter_map(|feed| feed.mirror.borrow().items().map(|item| item.revision).max()).max()
    }
}

/// Takes in what the store says.
pub(crate) struct Reader {
    hub: Rc<Hub>,
    feeds: Vec<Rc<Feed>>,
}

impl Reader {
    /// All feeds together.
    pub(crate) fn all(&self) -> Scope {
        Scope::new(self.feeds.clone())
    }

    /// Each feed by itself.
    pub(crate) fn each(&self) -> Vec<Scope> {
        self.feeds.iter().map(|feed| Scope::new(vec![feed.clone()])).collect()
    }

    /// Whether the configuration, which only the store and other hosts on request tell, is large.
    pub(crate) fn is_bulk(&self) -> bool {
        self.hub.versions.borrow().newest_bytes() > watch::BULK_BYTES
    }

    /// No watch waits.
    pub(crate) fn stop_watching(&self) {
        self.feeds.iter().for_each(|feed| feed.is_watched.set(false));
    }

    /// From where the shared feeds of `scope` are known, as other hosts or an earlier watch told them; a watch
    /// may go on from there, if it is of the store's era.
    pub(crate) fn known(&self, scope: &Scope) -> Option<Revision> {
        let shared = scope.feeds().iter().filter(|feed| feed.is_shared());
        let known: Option<Vec<Revision>> =
            shared.map(|feed| feed.mirror.borrow().revision()).collect();
        let era = self.hub.store.eras().newest();
        known?.into_iter().min().filter(|known| known.era == era)
    }

    /// How long the store may hold a watch of `scope`, in milliseconds.
    ///
    /// Each answer confirms the configuration as of the watch's sending. Where keys that were taken away must not be
    /// used, hosts serve for most of the time allowed from there: longer watches would eat into the time for which
    /// they can go on while the store is away.
    pub(crate) fn watch_ms(&self, scope: &Scope) -> u64 {
        match self.hub.settings.bounds.revoke_ms {
            Some(revoke_ms) if scope.has_bulk() => (revoke_ms / CONFIRMATIONS).min(watch::WATCH_MS),
            _ => watch::WATCH_MS,
        }
    }

    /// The moment, for a question to the store.
    pub(crate) fn now(&self) -> Tick {
        self.hub.clock.now()
    }

    /// All keys of `feed` were read, with calls from `asked` on.
    pub(crate) fn read(&self, feed: &Feed, snapshot: Snapshot, asked: Tick) {
        let at = snapshot.at;
        feed.confirmed.set(Some(self.hub.clock.now()));
        if !feed.is_shared() {
            feed.replace(snapshot);
            self.hub.configuration_read(feed, asked);
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

    /// The store told changes of the keys of `scope` up to `at`.
    ///
    /// # Errors
    /// If something before them is missing: all has to be read anew.
    pub(crate) fn changed(
        &self,
        scope: &Scope,
        after: Revision,
        at: Revision,
        mut changes: Vec<Change>,
        asked: Tick,
    ) -> Result<(), Gap> {
        let now = self.hub.clock.now();
        for feed in scope.feeds() {
            let own: Vec<Change> = changes.extract_if(.., |change| feed.has(change)).collect();
            let is_change = !own.is_empty();
            feed.change(after, at, own.clone())?;
            feed.confirmed.set(Some(now));
            if !feed.is_shared() {
                self.hub.configuration_read(feed, asked);
            } else if is_change {
                self.hub.pass_on(feed, at, own);
            }
        }
        Ok(())
    }

    /// The store can't be asked.
    pub(crate) fn lost(&self) {
        self.feeds.iter().for_each(|feed| feed.follower.lost());
    }
}

fn common_beginning<'a>(one: &'a str, other: &'a str) -> &'a str {
    let same = one.char_indices().zip(other.chars()).take_while(|((_, a), b)| a == b);
    let end = same.last().map_or(0, |((at, last), _)| at + last.len_utf8());
    &one[..end]
}
