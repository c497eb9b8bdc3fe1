//! A key is taken away: one host reads the store, another one hears from it and sends requests with the key.
//!
//! Clocks differ, every message may be late by any time, and either host may pause between any two steps. Time passes in
//! ticks.

use crate::{Steps, World};
use std::collections::BTreeSet;
use vanetally_fanout::{Freshness, SourceStatus};
use vanetally_types::Tick;

/// Guards of the hosts; each can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// The reader counts from the sending of its question to the store, not from the answer's arrival.
    pub from_sending: bool,
    /// The follower counts a word from when it was written, by the writer's clock, not from its arrival.
    pub from_writing: bool,
    /// A word about a newer configuration confirms nothing.
    pub same_version: bool,
    /// A request is judged right before it is sent, not only when it arrives.
    pub last_look: bool,
}

/// Bounds and switches of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the hosts.
    pub guards: Guards,
    /// Ticks that pass at most.
    pub ticks: u64,
    /// Questions to the store.
    pub reads: u8,
    /// Questions for the reader's clock.
    pub asks: u8,
    /// Words of the reader.
    pub words: u8,
}

/// Something on its way; it arrives at any later time, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Flight {
    /// The store's answer to a question that the reader sent at `asked`.
    Answer { asked: Tick, version: u64 },
    /// The follower's question for the reader's clock.
    Question { asked: Tick },
    /// The reader's clock.
    Clock { asked: Tick, word: SourceStatus },
    /// The reader told how it stands.
    Word { word: SourceStatus },
    /// The reader sent its configuration.
    Patch { version: u64 },
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    freshness: Freshness,
    version: u64,
}

/// A request with the key at the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Request {
    None,
    /// It was judged when it arrived.
    Waiting,
    /// It left at this moment.
    Sent(Tick),
}

/// The world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revocation {
    options: Options,
    now: Tick,
    /// When the configuration without the key was accepted.
    revoked: Option<Tick>,
    reader: Host,
    follower: Host,
    request: Request,
    flights: BTreeSet<Flight>,
}

/// Within so many ticks after its end no host may use the key.
const ALLOWED: u64 = 2;
/// A host uses the key while its configuration was certainly the newest so many ticks ago.
const USED: u64 = 2;
/// What the follower's clock shows beyond the reader's.
const AHEAD: u64 = 5;
/// The first moment, by the reader's clock.
const START: Tick = Tick(100);
/// The configuration with the key, and the one without.
const WITH_KEY: u64 = 1;
const WITHOUT_KEY: u64 = 2;

impl Revocation {
    /// Both hosts know the configuration with the key; nothing is confirmed.
    pub fn new(options: Options) -> Self {
        let host = Host { freshness: Freshness::default(), version: WITH_KEY };
        Self {
            options,
            now: START,
            revoked: None,
            reader: host.clone(),
            follower: host,
            request: Request::None,
            flights: BTreeSet::new(),
        }
    }

    fn stored(&self) -> u64 {
        if self.revoked.is_some() { WITHOUT_KEY } else { WITH_KEY }
    }

    /// What the follower's clock shows.
    fn follower_now(&self) -> Tick {
        self.now + AHEAD
    }

    fn word(&self) -> SourceStatus {
        SourceStatus {
            host: "reader".into(),
            incarnation: 1,
            written_at: self.now,
            age_ms: self.reader.freshness.age_ms(self.now),
            version: self.reader.version,
        }
    }

    /// Whether the follower may use the key now.
    fn may_use(&self) -> bool {
        let confirmed = self.follower.freshness.confirmed_at();
        let is_fresh = confirmed.is_some_and(|at| self.follower_now().since(at) <= USED);
        self.follower.version == WITH_KEY && is_fresh
    }

    fn step(&self, out: &mut Steps<Self>, label: &str, change: impl FnOnce(&mut Self)) {
        let mut world = self.clone();
        change(&mut world);
        out.add(|| format!("{label} at {}", self.now.0 - START.0), world);
    }

    fn arrive(&mut self, flight: &Flight) {
        self.flights.remove(flight);
        let guards = self.options.guards;
        match flight.clone() {
            Flight::Answer { asked, version } => {
                self.reader.version = self.reader.version.max(version);
                let counted = if guards.from_sending { asked } else { self.now };
                // An answer that is older than what is in force tells nothing new.
                if version == self.reader.version {
                    self.reader.freshness.record_read(counted);
                }
            }
            Flight::Question { asked } => {
                let word = self.word();
                self.flights.insert(Flight::Clock { asked, word });
            }
            Flight::Clock { asked, word } => {
                let version = self.compared_version();
                self.follower.freshness.record_clock(asked, &word, version);
            }
            Flight::Word { word } if guards.from_writing => {
                let version = self.compared_version();
                self.follower.freshness.record_status(&word, version);
            }
            Flight::Word { word } => {
                let is_same = self.compared_version() >= word.version;
                if let Some(age_ms) = word.age_ms.filter(|_| is_same) {
                    let arrived = self.follower_now();
                    self.follower.freshness.record_read(arrived - age_ms);
                }
            }
            Flight::Patch { version } => {
                self.follower.version = self.follower.version.max(version);
            }
        }
    }

    fn compared_version(&self) -> u64 {
        if self.options.guards.same_version { self.follower.version } else { u64::MAX }
    }

    fn messages(&self, out: &mut Steps<Self>) {
        if self.options.reads > 0 {
            self.step(out, "the reader asks the store", |world| {
                world.options.reads -= 1;
                let (asked, version) = (world.now, world.stored());
                world.flights.insert(Flight::Answer { asked, version });
            });
        }
        if self.options.asks > 0 {
            self.step(out, "the follower asks for the clock", |world| {
                world.options.asks -= 1;
                let asked = world.follower_now();
                world.flights.insert(Flight::Question { asked });
            });
        }
        if self.options.words > 0 {
            self.step(out, "the reader tells how it stands", |world| {
                world.options.words -= 1;
                let word = world.word();
                world.flights.insert(Flight::Word { word });
            });
        }
        if self.reader.version > self.follower.version {
            let version = self.reader.version;
            self.step(out, "the reader sends its configuration", |world| {
                world.flights.insert(Flight::Patch { version });
            });
        }
    }
}

impl World for Revocation {
    fn next(&self, out: &mut Steps<Self>) {
        if matches!(self.request, Request::Sent(_)) {
            return;
        }
        if self.now.since(START) < self.options.ticks {
            self.step(out, "time passes", |world| world.now = world.now + 1);
        }
        if self.revoked.is_none() {
            self.step(out, "the key is taken away", |world| world.revoked = Some(world.now));
        }
        self.messages(out);
        for flight in &self.flights {
            self.step(out, &format!("arrives: {flight:?}"), |world| world.arrive(flight));
        }
        if self.request == Request::None && self.may_use() {
            self.step(out, "a request arrives", |world| world.request = Request::Waiting);
        }
        if self.request == Request::Waiting && (self.may_use() || !self.options.guards.last_look) {
            self.step(out, "it is sent", |world| world.request = Request::Sent(world.now));
        }
    }

    fn broken(&self) -> Option<String> {
        let (Request::Sent(sent), Some(revoked)) = (self.request, self.revoked) else {
            return None;
        };
        let late = sent.since(revoked);
        (late > ALLOWED).then(|| format!("sent {late} ticks after the key was taken away"))
    }
}
