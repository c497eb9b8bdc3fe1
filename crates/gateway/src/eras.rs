//! In which era the store is, as its own answers and other hosts tell.

use std::cell::Cell;
use tokio::sync::watch;
use vanetally_ports::Era;
use vanetally_types::Tick;

/// The eras that this host knows of.
pub(crate) struct Eras {
    /// The newest one in which the store answered this host; none before its first answer.
    answered: Cell<Option<Era>>,
    /// When it first did.
    since: Cell<Tick>,
    /// The newest one whose keys are known here, from the store or another host.
    read: Cell<Option<Era>>,
    /// The newest one of all.
    newest: watch::Sender<Era>,
}

/// What the era of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// It is the one that is known.
    Known,
    /// It is the first that this host hears of.
    First,
    /// The store came back from a copy.
    Returned {
        /// The era before.
        before: Era,
        /// Whether nothing is known of the new one yet.
        is_news: bool,
    },
    /// The answer comes late: the store has come back from a copy since.
    Late {
        /// The era that is known.
        known: Era,
    },
}

/// The host that others hear from has read the keys of a new era within this time, in milliseconds.
const READ_MS: u64 = 600;

impl Eras {
    pub(crate) fn new(now: Tick) -> Self {
        Self {
            answered: Cell::default(),
            since: Cell::new(now),
            read: Cell::default(),
            newest: watch::Sender::new(Era::default()),
        }
    }

    /// The store answered in `era`.
    pub(crate) fn answer(&self, now: Tick, era: Era) -> Sign {
        let known = self.answered.get();
        if let Some(known) = known.filter(|known| era <= *known) {
            return if era == known { Sign::Known } else { Sign::Late { known } };
        }
        self.answered.set(Some(era));
        self.since.set(now);
        self.note(era);
        known.map_or(Sign::First, |before| Sign::Returned {
            before,
            is_news: Some(era) > self.read.get(),
        })
    }

    /// The keys of `era` were read, here or by the host that this one hears from; tells whether the store came back from
    /// a copy since they last were.
    pub(crate) fn read(&self, era: Era) -> bool {
        let before = self.read.replace(self.read.get().max(Some(era)));
        self.note(era);
        before.is_some_and(|before| before < era)
    }

    fn note(&self, era: Era) {
        self.newest.send_if_modified(|newest| {
            let is_newer = era > *newest;
            *newest = era.max(*newest);
            is_newer
        });
    }

    /// The newest era that is known of.
    pub(crate) fn newest(&self) -> Era {
        *self.newest.borrow()
    }

    /// Changes with the newest era.
    pub(crate) fn follow(&self) -> watch::Receiver<Era> {
        self.newest.subscribe()
    }

    /// Whether what another host tells is of an era that is over, though it has had the time to hear of the next one.
    pub(crate) fn is_over(&self, now: Tick, era: Era) -> bool {
        self.answered.get().is_some_and(|known| era < known)
            && now.since(self.since.get()) >= READ_MS
    }
}
