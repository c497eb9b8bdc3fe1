//! What this host knows of the store's keys, from the store itself or from another host.

use crate::{peers::Told, store::Snapshot, telemetry, watch::Follower, wire};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use vanetally_fanout::{Gap, Mirror, Packed};
use vanetally_link::peer;
use vanetally_ports::{Change, Era, Item, Revision};
use vanetally_types::{Name, Tick};

/// The keys of one prefix.
pub(crate) struct Feed {
    pub prefix: Name,
    /// Whether aggregators pass its keys on.
    is_shared: bool,
    pub follower: Rc<dyn Follower>,
    pub mirror: RefCell<Mirror>,
    /// When the store last confirmed what is known.
    pub confirmed: Cell<Option<Tick>>,
    /// Whether a watch of the store that tells of its changes waits.
    pub is_watched: Cell<bool>,
    /// Up to where subscribers were told changes.
    pub told: Cell<Revision>,
    /// All keys as they are sent to hosts that start, until one changes: many ask at the same time.
    packed: RefCell<Option<Packed>>,
}

/// All keys of one prefix, as an aggregator passes them on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "wire::Snapshot", into = "wire::Snapshot")]
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

/// Changes of one prefix, all of one era, as an aggregator passes them on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "wire::Changes", into = "wire::Changes")]
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
            is_watched: Cell::new(false),
            told: Cell::default(),
            packed: RefCell::default(),
        }
    }

    /// Whether other hosts pass its keys on.
    pub(crate) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// All keys were read; tells whether the reading was news enough to be taken.
    pub(crate) fn replace(&self, snapshot: Snapshot) -> bool {
        let is_taken = self.mirror.borrow_mut().try_replace(snapshot.at, &snapshot.items);
        if is_taken {
            self.packed.take();
            self.follower.replaced(snapshot);
        } else {
            self.log_passed_over("reading", snapshot.at, snapshot.items.len());
        }
        is_taken
    }

    /// What a reading changes here; `None` if nothing was read before, or in another era.
    pub(crate) fn changes_to(&self, snapshot: &Snapshot) -> Option<Vec<Change>> {
        let mirror = self.mirror.borrow();
        let follows = mirror.is_same_era(snapshot.at);
        follows.then(|| mirror.changes_to(snapshot.at, &snapshot.items))
    }

    /// Some keys changed.
    pub(crate) fn change(
        &self,
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
    ) -> Result<(), Gap> {
        let told = changes.len();
        let news = self.mirror.borrow_mut().try_apply(after, at, changes)?;
        if news.len() < told {
            self.log_passed_over("changes", at, told - news.len());
        }
        if !news.is_empty() {
            self.packed.take();
        }
        news.into_iter().for_each(|change| self.follower.changed(change));
        Ok(())
    }

    /// The era of what is known.
    pub(crate) fn era(&self) -> Option<Era> {
        self.mirror.borrow().revision().map(|at| at.era)
    }

    /// What was told is older than what is known here, or was told twice.
    pub(crate) fn log_passed_over(&self, what: &'static str, at: Revision, keys: usize) {
        let known = self.mirror.borrow().revision().unwrap_or_default();
        telemetry::passed_over(what);
        log::info!(
            "event=news_passed_over what={what} prefix={} at={at} known={known} keys={keys}",
            self.prefix,
        );
    }

    pub(crate) fn has(&self, change: &Change) -> bool {
        change.key().starts_with(&*self.prefix)
    }

    /// What is new to a host that knows all changes up to `have`; `None` if nothing is known here.
    pub(crate) fn sync(&self, have: Option<Revision>) -> Option<PrefixSync> {
        let mirror = self.mirror.borrow();
        let at = mirror.revision()?;
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
    pub(crate) fn told(&self) -> Told {
        let told = self.told.get();
        let at = self.mirror.borrow().revision().unwrap_or(told);
        let last = if told.era == at.era { told } else { at };
        Told { prefix: self.prefix.clone(), last, at }
    }

    /// The source told all changes up to `told`; tells whether something of it is missing.
    pub(crate) fn lacks(&self, told: &Told) -> bool {
        let mut mirror = self.mirror.borrow_mut();
        let lacks = mirror.is_behind(told.last);
        if !lacks {
            mirror.advance(told.at);
        }
        lacks
    }

    /// Milliseconds since the store confirmed what is known.
    pub(crate) fn age_ms(&self, now: Tick) -> Option<u64> {
        self.confirmed.get().map(|at| now.since(at))
    }
}

fn pack(snapshot: &PrefixSnapshot) -> Option<Packed> {
    let bytes = peer::encode(snapshot).map_err(|error| error.to_string());
    let packed =
        bytes.and_then(|bytes| Packed::try_from_bytes(&bytes).map_err(|error| error.to_string()));
    packed.inspect_err(|error| log::error!("event=keys_not_packed error=\"{error}\"")).ok()
}

/// The keys that another host sent; `None` if they can't be read.
pub(crate) fn unpack(packed: &Packed) -> Option<PrefixSnapshot> {
    match packed.try_unpack() {
        Ok(bytes) => peer::decode(&bytes),
        Err(error) => {
            log::warn!("event=keys_not_unpacked error=\"{error}\"");
            None
        }
    }
}
