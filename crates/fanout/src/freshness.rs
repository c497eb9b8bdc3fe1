//! The latest time at which the configuration in force was certainly the newest.
//!
//! For a host that reads the store, this is the time when it sent the last call that the store answered. A host that
//! reads from another host receives the age of that host's configuration, but the message may have been delayed by any
//! time. So it requests the other host's clock: the reply cannot have been written before the request was sent. With
//! that, it converts the time stamp of each later status message to its own clock, and never counts a status as newer
//! than it is.

use vanetally_types::{Name, Tick};

/// Identifies one run of a host's process.
pub type HostIncarnation = u64;

/// Tracks how recently one host's configuration was confirmed as the newest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    confirmed_at: Option<Tick>,
    clock: Option<SourceClock>,
    /// The source whose clock was last requested, and when.
    clock_request: Option<(Name, Tick)>,
}

/// The clock of another host: when it showed `remote_time`, this host's clock showed `local_time` or later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SourceClock {
    host: Name,
    incarnation: HostIncarnation,
    local_time: Tick,
    remote_time: Tick,
}

impl SourceClock {
    /// Returns the earliest time that this host's clock can have shown when the other's showed `remote_time`.
    fn to_local(&self, remote_time: Tick) -> Tick {
        self.local_time + remote_time.since(self.remote_time) - self.remote_time.since(remote_time)
    }
}

/// The status of a host that forwards store data.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SourceStatus {
    /// The host.
    pub host: Name,
    /// The incarnation of its process.
    pub incarnation: HostIncarnation,
    /// When the status was written, by that host's clock.
    pub written_at: Tick,
    /// Milliseconds since the host's configuration was certainly the newest; `None` if unknown.
    pub age_ms: Option<u64>,
    /// The version of that configuration.
    pub version: u64,
}

/// Interval between requests for the source's clock. A slow reply makes every status count as older by its delay until
/// a faster one arrives.
const CLOCK_REQUEST_MS: u64 = 2_000;

impl Freshness {
    /// Records that the store answered a call sent at `sent` and that the configuration it returned is in force.
    pub fn record_read(&mut self, sent: Tick) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Returns the latest time at which the configuration in force was certainly the newest.
    pub fn confirmed_at(&self) -> Option<Tick> {
        self.confirmed_at
    }

    /// Returns the milliseconds since [`Self::confirmed_at`], to be sent to other hosts.
    pub fn age_ms(&self, now: Tick) -> Option<u64> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether to request the clock of `source` now; records the request if so.
    pub fn should_request_clock(&mut self, now: Tick, source: &Name) -> bool {
        let is_recent =
            |(host, at): &(Name, Tick)| host == source && now.since(*at) < CLOCK_REQUEST_MS;
        if self.clock_request.as_ref().is_some_and(is_recent) {
            return false;
        }
        self.clock_request = Some((source.clone(), now));
        true
    }

    /// Records a host's clock and status, received in reply to a request that was sent at `requested`.
    pub fn record_clock(&mut self, requested: Tick, status: &SourceStatus, own_version: u64) {
        let new = SourceClock {
            host: status.host.clone(),
            incarnation: status.incarnation,
            local_time: requested,
            remote_time: status.written_at,
        };
        let is_same =
            |old: &&SourceClock| old.host == new.host && old.incarnation == new.incarnation;
        let is_less_precise = self
            .clock
            .as_ref()
            .filter(is_same)
            .is_some_and(|old| old.to_local(new.remote_time) >= new.local_time);
        if !is_less_precise {
            self.clock = Some(new);
        }
        self.record_status(status, own_version);
    }

    /// Records a status message of the source.
    pub fn record_status(&mut self, status: &SourceStatus, own_version: u64) {
        let clock = self.clock.as_ref();
        let clock = clock
            .filter(|clock| clock.host == status.host && clock.incarnation == status.incarnation);
        let (Some(clock), Some(age_ms)) = (clock, status.age_ms) else {
            return;
        };
        // The source's version was the newest at the time that the status refers to, and the own one is at least as
        // new.
        if own_version >= status.version {
            self.confirmed_at =
                self.confirmed_at.max(Some(clock.to_local(status.written_at) - age_ms));
        }
    }
}
