//! Up to which moment the configuration in force is certainly the newest.
//!
//! A host that reads the store counts from the sending of the question that the store answered. A host that hears
//! from another one is told how old that one's knowledge is; but a word may have been on its way for any time. So it
//! asks the other host for its clock: the answer can't have been written before the question was sent. From then on
//! each word, which states when it was written by the same clock, is counted on this host's own clock, at worst as
//! older than it is.

use vanetally_types::{Name, Tick};

/// One life of a host's process.
pub type HostIncarnation = u64;

/// What one host knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    confirmed: Option<Tick>,
    clock: Option<SourceClock>,
    /// When the source was last asked for its clock.
    asked: Option<(Name, Tick)>,
}

/// The clock of another host: when it showed `stated`, this host's showed `asked` or more.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SourceClock {
    host: Name,
    life: HostIncarnation,
    asked: Tick,
    stated: Tick,
}

impl SourceClock {
    /// The least that this host's clock showed when the other's showed `stated`.
    fn own_time(&self, stated: Tick) -> Tick {
        self.asked + stated.since(self.stated) - self.stated.since(stated)
    }
}

/// A word of a host that passes on what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SourceStatus {
    /// The host.
    pub host: Name,
    /// The life of its process.
    pub life: HostIncarnation,
    /// When it was written, by that host's clock.
    pub stated: Tick,
    /// Milliseconds since the host's configuration was certainly the newest; none if that is not known.
    pub age_ms: Option<u64>,
    /// The version of that configuration.
    pub version: u64,
}

/// The source's clock is asked for this often, in milliseconds: an answer that took long makes all words older by as
/// much, until a quicker one comes.
const ASK_MS: u64 = 2_000;

impl Freshness {
    /// The store answered a question that was sent at `asked`, and what it told is in force.
    pub fn record_read(&mut self, asked: Tick) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// When the configuration in force was certainly the newest.
    pub fn confirmed_at(&self) -> Option<Tick> {
        self.confirmed
    }

    /// Milliseconds since then, for others.
    pub fn age_ms(&self, now: Tick) -> Option<u64> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether to ask `source` for its clock now; takes it as asked.
    pub fn should_ask_clock(&mut self, now: Tick, source: &Name) -> bool {
        let is_recent = |(host, at): &(Name, Tick)| host == source && now.since(*at) < ASK_MS;
        if self.asked.as_ref().is_some_and(is_recent) {
            return false;
        }
        self.asked = Some((source.clone(), now));
        true
    }

    /// A host answered with its clock, and a word, to the question that was sent at `asked`.
    pub fn record_clock(&mut self, asked: Tick, word: &SourceStatus, own_version: u64) {
        let new =
            SourceClock { host: word.host.clone(), life: word.life, asked, stated: word.stated };
        let is_same = |old: &&SourceClock| old.host == new.host && old.life == new.life;
        let is_worse = self
            .clock
            .as_ref()
            .filter(is_same)
            .is_some_and(|old| old.own_time(new.stated) >= new.asked);
        if !is_worse {
            self.clock = Some(new);
        }
        self.record_status(word, own_version);
    }

    /// The source told how it stands.
    pub fn record_status(&mut self, word: &SourceStatus, own_version: u64) {
        let clock = self.clock.as_ref();
        let clock = clock.filter(|clock| clock.host == word.host && clock.life == word.life);
        let (Some(clock), Some(age_ms)) = (clock, word.age_ms) else {
            return;
        };
        // What is newer here was in force after the moment that the word is about.
        if own_version >= word.version {
            self.confirmed = self.confirmed.max(Some(clock.own_time(word.stated) - age_ms));
        }
    }
}
