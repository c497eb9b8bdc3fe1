//! Model of the revocation of a key. One host, the reader, reads the store; another one, the
//! follower, gets the configuration from the reader and sends requests with the key.
//!
//! The clocks of the hosts differ, every message may be delayed by any time, and either host may
//! pause between any two steps. Time passes in ticks.

use crate::{State, Steps};
use std::collections::BTreeSet;
use vanetally_fanout::{Freshness, SourceStatus};
use vanetally_types::Tick;

/// Guards of the hosts; each can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// The reader counts the age of what it read from when it sent the read, not from when the
    /// answer arrived.
    pub age_from_request: bool,
    /// The follower counts the age of a status from when it was written, by the writer's clock, not
    /// from when it arrived.
    pub age_from_writing: bool,
    /// A status about a newer configuration than the follower's own confirms nothing.
    pub same_version: bool,
    /// Whether the key may be used is checked right before a request is sent, not only when the
    /// request arrives.
    pub check_before_send: bool,
}

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the hosts.
    pub guards: Guards,
    /// Maximum number of ticks that pass.
    pub max_ticks: u64,
    /// Maximum number of reads of the store.
    pub store_reads: u8,
    /// Maximum number of requests for the reader's clock.
    pub clock_requests: u8,
    /// Maximum number of statuses sent by the reader.
    pub statuses: u8,
}

/// A message in flight; it arrives at any later time, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    /// The store's answer to a read that the reader sent at `requested_at`.
    ReadAnswer { requested_at: Tick, version: u64 },
    /// The follower's request for the reader's clock.
    ClockRequest { requested_at: Tick },
    /// The reader's answer with its clock.
    ClockAnswer { requested_at: Tick, status: SourceStatus },
    /// Status of the reader.
    Status { status: SourceStatus },
    /// Configuration of the reader.
    Configuration { version: u64 },
}

/// State of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    freshness: Freshness,
    version: u64,
}

/// State of the one request with the key at the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Request {
    None,
    /// Accepted when it arrived.
    Waiting,
    /// Sent at this time.
    Sent(Tick),
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revocation {
    options: Options,
    /// Time by the reader's clock.
    now: Tick,
    /// When the configuration without the key was accepted, by the reader's clock.
    revoked_at: Option<Tick>,
    reader: Host,
    follower: Host,
    request: Request,
    in_flight: BTreeSet<InFlight>,
}

/// Number of ticks after its revocation during which the key may still be used.
const MAX_USE_TICKS: u64 = 2;
/// A host uses the key only if its configuration was certainly the newest at most this many ticks
/// ago.
const MAX_AGE_TICKS: u64 = 2;
/// How far the follower's clock is ahead of the reader's.
const CLOCK_SKEW_TICKS: u64 = 5;
/// Start time, by the reader's clock.
const START: Tick = Tick(100);
/// Versions of the configuration with the key and of the one without it.
const WITH_KEY: u64 = 1;
const WITHOUT_KEY: u64 = 2;

impl Revocation {
    /// Both hosts know the configuration with the key; nothing is confirmed.
    pub fn new(options: Options) -> Self {
        let host = Host { freshness: Freshness::default(), version: WITH_KEY };
        Self {
            options,
            now: START,
            revoked_at: None,
            reader: host.clone(),
            follower: host,
            request: Request::None,
            in_flight: BTreeSet::new(),
        }
    }

    fn stored_version(&self) -> u64 {
        if self.revoked_at.is_some() { WITHOUT_KEY } else { WITH_KEY }
    }

    /// Returns the time by the follower's clock.
    fn follower_now(&self) -> Tick {
        self.now + CLOCK_SKEW_TICKS
    }

    fn status(&self) -> SourceStatus {
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
        let is_fresh = confirmed.is_some_and(|at| self.follower_now().since(at) <= MAX_AGE_TICKS);
        self.follower.version == WITH_KEY && is_fresh
    }

    fn add_step(&self, steps: &mut Steps<Self>, label: &str, change: impl FnOnce(&mut Self)) {
        let mut next = self.clone();
        change(&mut next);
        steps.add(|| format!("{label} at {}", self.now.0 - START.0), next);
    }

    fn deliver(&mut self, in_flight: &InFlight) {
        self.in_flight.remove(in_flight);
        let guards = self.options.guards;
        match in_flight.clone() {
            InFlight::ReadAnswer { requested_at, version } => {
                self.reader.version = self.reader.version.max(version);
                let confirmed_at = if guards.age_from_request { requested_at } else { self.now };
                // An answer older than the configuration in force confirms nothing.
                if version == self.reader.version {
                    self.reader.freshness.record_read(confirmed_at);
                }
            }
            InFlight::ClockRequest { requested_at } => {
                let status = self.status();
                self.in_flight.insert(InFlight::ClockAnswer { requested_at, status });
            }
            InFlight::ClockAnswer { requested_at, status } => {
                let version = self.version_to_compare();
                self.follower.freshness.record_clock(requested_at, &status, version);
            }
            InFlight::Status { status } if guards.age_from_writing => {
                let version = self.version_to_compare();
                self.follower.freshness.record_status(&status, version);
            }
            InFlight::Status { status } => {
                let is_same = self.version_to_compare() >= status.version;
                if let Some(age_ms) = status.age_ms.filter(|_| is_same) {
                    let arrived_at = self.follower_now();
                    self.follower.freshness.record_read(arrived_at - age_ms);
                }
            }
            InFlight::Configuration { version } => {
                self.follower.version = self.follower.version.max(version);
            }
        }
    }

    fn version_to_compare(&self) -> u64 {
        if self.options.guards.same_version { self.follower.version } else { u64::MAX }
    }

    fn message_steps(&self, steps: &mut Steps<Self>) {
        if self.options.store_reads > 0 {
            self.add_step(steps, "the reader reads the store", |next| {
                next.options.store_reads -= 1;
                let (requested_at, version) = (next.now, next.stored_version());
                next.in_flight.insert(InFlight::ReadAnswer { requested_at, version });
            });
        }
        if self.options.clock_requests > 0 {
            self.add_step(steps, "the follower requests the clock", |next| {
                next.options.clock_requests -= 1;
                let requested_at = next.follower_now();
                next.in_flight.insert(InFlight::ClockRequest { requested_at });
            });
        }
        if self.options.statuses > 0 {
            self.add_step(steps, "the reader sends its status", |next| {
                next.options.statuses -= 1;
                let status = next.status();
                next.in_flight.insert(InFlight::Status { status });
            });
        }
        if self.reader.version > self.follower.version {
            let version = self.reader.version;
            self.add_step(steps, "the reader sends its configuration", |next| {
                next.in_flight.insert(InFlight::Configuration { version });
            });
        }
    }
}

impl State for Revocation {
    fn successors(&self, steps: &mut Steps<Self>) {
        if matches!(self.request, Request::Sent(_)) {
            return;
        }
        if self.now.since(START) < self.options.max_ticks {
            self.add_step(steps, "time passes", |next| next.now = next.now + 1);
        }
        if self.revoked_at.is_none() {
            self.add_step(steps, "the key is revoked", |next| next.revoked_at = Some(next.now));
        }
        self.message_steps(steps);
        for in_flight in &self.in_flight {
            self.add_step(steps, &format!("arrives: {in_flight:?}"), |next| {
                next.deliver(in_flight)
            });
        }
        if self.request == Request::None && self.may_use() {
            self.add_step(steps, "a request arrives", |next| next.request = Request::Waiting);
        }
        if self.request == Request::Waiting
            && (self.may_use() || !self.options.guards.check_before_send)
        {
            self.add_step(steps, "the request is sent", |next| {
                next.request = Request::Sent(next.now)
            });
        }
    }

    fn violation(&self) -> Option<String> {
        let (Request::Sent(sent_at), Some(revoked_at)) = (self.request, self.revoked_at) else {
            return None;
        };
        let late_ticks = sent_at.since(revoked_at);
        (late_ticks > MAX_USE_TICKS)
            .then(|| format!("sent {late_ticks} ticks after the key was revoked"))
    }
}
