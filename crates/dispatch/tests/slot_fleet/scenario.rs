//! What is replayed, and what became of it.

use super::{CAPACITY, TARGET_MS};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The owner of the first upstream neither receives nor sends for a while.
    OwnerFrozen {
        from_ms: u64,
        to_ms: u64,
    },
    /// The owner of the first upstream is gone, which others notice a second later.
    OwnerGone {
        at_ms: u64,
    },
    /// The owner of the first upstream reaches no other host for a while.
    OwnerCutOff {
        from_ms: u64,
        to_ms: u64,
    },
    /// A host that holds grants is gone, which others notice a second later.
    HostsGone {
        at_ms: u64,
        count: usize,
    },
    /// One of this many releases is lost.
    ReleasesLost {
        one_in: u64,
    },
}

/// A replay.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub slot_grants: bool,
    pub seed: u64,
    /// Requests per second in the first second and after the burst.
    pub usual_rate: u64,
    /// Requests per second in the burst.
    pub burst_rate: u64,
    pub burst_from_ms: u64,
    pub burst_to_ms: u64,
    /// No calls begin after this time.
    pub quiet_from_ms: u64,
    pub end_ms: u64,
    /// Tenths of the calls that are urgent.
    pub urgent_tenths: u64,
    pub fault: Fault,
}

impl Scenario {
    /// A burst of four times the capacity.
    pub fn burst(slot_grants: bool) -> Self {
        Self {
            slot_grants,
            seed: 1,
            usual_rate: CAPACITY / 2,
            burst_rate: CAPACITY * 4,
            burst_from_ms: 1_000,
            burst_to_ms: 5_000,
            quiet_from_ms: 8_000,
            end_ms: 9_000,
            urgent_tenths: 1,
            fault: Fault::None,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused { retry_ms: u64 },
    Failed,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub host: usize,
    pub route: &'static str,
    /// Milliseconds from the start of the replay.
    pub began_ms: u64,
    pub ended: Option<(u64, End)>,
}

impl Call {
    pub fn is_in_time(&self) -> bool {
        self.ended.is_some_and(|(at, end)| end == End::Served && at - self.began_ms <= TARGET_MS)
    }

    /// Returns the milliseconds until the refusal, if the request was refused.
    pub fn refused_after_ms(&self) -> Option<u64> {
        self.ended
            .and_then(|(at, end)| matches!(end, End::Refused { .. }).then_some(at - self.began_ms))
    }
}
