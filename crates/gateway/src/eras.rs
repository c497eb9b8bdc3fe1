//! Tracks the era of the store, as reported by its own responses and by other hosts.

use std::cell::Cell;
use tokio::sync::watch;
use vanetally_ports::Era;
use vanetally_types::Tick;

/// The eras known to this host.
pub(crate) struct Eras {
    /// The newest era in which the store answered this host; `None` before its first answer.
    answered: Cell<Option<Era>>,
    /// When the store first answered in that era.
    since: Cell<Tick>,
    /// The newest era whose keys are known here, from the store or another host.
    read: Cell<Option<Era>>,
    /// The newest era known from any source.
    newest: watch::Sender<Era>,
}

/// How the era of a store response compares with the known era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EraUpdate {
    /// Same era as before.
    Known,
    /// The first era seen by this host.
    First,
    /// The store was restored from a backup.
    Restored {
        /// The previous era.
        before: Era,
        /// Whether no keys of the new era have been read yet.
        is_unread: bool,
    },
    /// The response is outdated: the store has been restored from a backup since.
    Outdated {
        /// The known era.
        known: Era,
    },
}

/// Time for another host's source to read the keys of a new era.
const KEYS_READ_MS: u64 = 600;

impl Eras {
    pub(crate) fn new(now: Tick) -> Self {
        Self {
            answered: Cell::default(),
            since: Cell::new(now),
            read: Cell::default(),
            newest: watch::Sender::new(Era::default()),
        }
    }

    /// Records that the store answered in `era`.
    pub(crate) fn record_answer(&self, now: Tick, era: Era) -> EraUpdate {
        let known = self.answered.get();
        if let Some(known) = known.filter(|known| era <= *known) {
            return if era == known { EraUpdate::Known } else { EraUpdate::Outdated { known } };
        }
        self.answered.set(Some(era));
        self.since.set(now);
        self.update_newest(era);
        known.map_or(EraUpdate::First, |before| EraUpdate::Restored {
            before,
            is_unread: Some(era) > self.read.get(),
        })
    }

    /// Records that the keys of `era` were read, by this host or its source. Returns whether the
    /// store was restored from a backup since the last read.
    pub(crate) fn record_read(&self, era: Era) -> bool {
        let before = self.read.replace(self.read.get().max(Some(era)));
        self.update_newest(era);
        before.is_some_and(|before| before < era)
    }

    fn update_newest(&self, era: Era) {
        self.newest.send_if_modified(|newest| {
            let is_newer = era > *newest;
            *newest = era.max(*newest);
            is_newer
        });
    }

    /// Returns the newest known era.
    pub(crate) fn newest(&self) -> Era {
        *self.newest.borrow()
    }

    /// Subscribes to the newest known era.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Era> {
        self.newest.subscribe()
    }

    /// Whether data of `era` from another host is outdated, although that host has had time to
    /// learn of the next era.
    pub(crate) fn is_outdated(&self, now: Tick, era: Era) -> bool {
        self.answered.get().is_some_and(|known| era < known)
            && now.since(self.since.get()) >= KEYS_READ_MS
    }
}
