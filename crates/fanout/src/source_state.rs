//! What a host knows of the one that it hears from, or asked to hear from.

use vanetally_types::{Name, Tick};

/// Where a host stands with its source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// A host is looked for.
    Starting(Search),
    /// The store is read since then; when it last confirmed what is known, if it did.
    Store {
        since: Tick,
        confirmed: Option<Tick>,
    },
    Host(Heard),
}

/// The search of a host that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Search {
    pub since: Tick,
    /// Until then all hosts may be starting: the list may lack most of them.
    pub settled: Tick,
    /// When the list of hosts was last asked for.
    pub surveyed: Option<Tick>,
}

/// The host that this one hears from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Heard {
    pub host: Name,
    /// When it last said something.
    pub at: Tick,
    /// How old its word was then.
    pub age_ms: Option<u64>,
    /// Since when it is silent.
    pub lost: Option<Tick>,
    pub is_leaving: bool,
}

impl Heard {
    pub(crate) fn is_stale(&self, now: Tick) -> bool {
        self.age_ms.is_none_or(|age| age + now.since(self.at) > STALE_MS)
    }
}

/// How a host whose source is stale looked by itself whether the store answers it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Looks {
    /// The last look.
    pub at: Option<Tick>,
    pub count: u32,
    /// When the store answered one of the later looks.
    pub answered: Option<Tick>,
}

/// A subscription that was asked for.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub host: Name,
    pub at: Tick,
    /// How often it was repeated.
    pub repeats: u32,
    /// Whether the host has said something since: its answer may be on its way.
    pub is_alive: bool,
    /// Whether what it told was too old to be taken.
    pub is_refused: bool,
}

impl Asked {
    pub(crate) fn new(now: Tick, host: Name) -> Self {
        Self { host, at: now, repeats: 0, is_alive: false, is_refused: false }
    }

    /// Whether the host, which knew nothing newer, should have read the store by now.
    pub(crate) fn is_silent_since_refused(&self, now: Tick) -> bool {
        now.since(self.at) >= REFUSED_MS
    }

    /// Whether the host should have answered.
    pub(crate) fn is_silent(&self, now: Tick) -> bool {
        let limit = if self.is_alive { ANSWER_MS } else { WORD_MS };
        now.since(self.at) >= limit
    }
}

/// What the store confirmed longer ago than this is stale, in milliseconds: readers ask it twice in this
/// time.
pub(crate) const STALE_MS: u64 = 1_100;
/// A host that comes next in the order notices a stale source when the others do, asks the store and reads it within a
/// tenth of a second; one that told nothing newer for this long can't, in milliseconds.
const REFUSED_MS: u64 = 300;
/// While there is no source, a host that says nothing for this long is passed over, in milliseconds: its
/// first word takes a few, of a busy host a tenth of a second.
const WORD_MS: u64 = 250;
/// The same for one that has said something: all that it knows takes a tenth of a second on a slow link,
/// and many may ask at once.
const ANSWER_MS: u64 = 1_500;

/// Whether a word is too old to rest on.
pub(crate) fn is_old(age_ms: Option<u64>) -> bool {
    age_ms.is_none_or(|age| age > STALE_MS)
}

/// Whether the store, read since then, has not confirmed for long what is known.
pub(crate) fn is_unconfirmed(now: Tick, since: Tick, confirmed: Option<Tick>) -> bool {
    now.since(confirmed.unwrap_or(since)) > STALE_MS
}
