//! What a host knows about its source, and about the host that it asked to become its source.

use vanetally_types::{Name, Tick};

/// The current source of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SourceState {
    /// The host is looking for another host to subscribe to.
    Searching(Search),
    /// The host has read the store since `since`; `confirmed` is when the store last confirmed the data.
    Store {
        since: Tick,
        confirmed: Option<Tick>,
    },
    Host(HostSource),
}

/// The search of a host that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Search {
    pub since: Tick,
    /// When it last asked for a host that it could turn to.
    pub last_attempt: Option<Tick>,
}

/// The host that is the current source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HostSource {
    pub host: Name,
    /// When it last sent its status.
    pub last_status: Tick,
    /// The age of its data at that time.
    pub age_ms: Option<u64>,
    /// When it was found to be silent.
    pub silent_since: Option<Tick>,
    pub is_leaving: bool,
}

impl HostSource {
    pub(crate) fn is_stale(&self, now: Tick) -> bool {
        self.age_ms.is_none_or(|age| age + now.since(self.last_status) > STALE_MS)
    }
}

/// The store probes of a host that has waited without success for the hosts before it in the order to replace a stale
/// source.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FallbackProbes {
    pub last: Option<Tick>,
    pub count: u32,
    /// When the store first answered; the answer to the very first probe does not count.
    pub answered: Option<Tick>,
}

/// A subscription that was requested and has not brought the data yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingSubscription {
    pub host: Name,
    pub requested: Tick,
    pub retries: u32,
    /// Whether the host has sent its status since: the data may be on its way.
    pub has_status: bool,
    /// Whether the data that it sent was rejected as too old.
    pub is_rejected: bool,
}

impl PendingSubscription {
    pub(crate) fn new(now: Tick, host: Name) -> Self {
        Self { host, requested: now, retries: 0, has_status: false, is_rejected: false }
    }

    /// Whether the host, whose data was too old, should have read the store by now.
    pub(crate) fn is_overdue_after_rejection(&self, now: Tick) -> bool {
        now.since(self.requested) >= REJECTED_TIMEOUT_MS
    }

    /// Whether the host should have answered by now.
    pub(crate) fn is_overdue(&self, now: Tick) -> bool {
        let limit = if self.has_status { SYNC_TIMEOUT_MS } else { STATUS_TIMEOUT_MS };
        now.since(self.requested) >= limit
    }
}

/// Age above which data is stale: readers call the store twice in this time.
pub(crate) const STALE_MS: u64 = 1_100;
/// Time after which a host that sent nothing newer is given up. The next host in the order notices a stale source at
/// the same time as the others, and probes and reads the store within a tenth of a second.
const REJECTED_TIMEOUT_MS: u64 = 300;
/// Time after which a host that sent nothing is given up while there is no source. Its first status normally arrives
/// within a few milliseconds, within a tenth of a second if it is busy.
const STATUS_TIMEOUT_MS: u64 = 250;
/// Time after which a host that sent its status but no data is given up. All of the data takes a tenth of a second on a
/// slow link, and many hosts may request it at once.
const SYNC_TIMEOUT_MS: u64 = 1_500;

/// Whether data of this age is too old for its sender to become the source.
pub(crate) fn is_too_old(age_ms: Option<u64>) -> bool {
    age_ms.is_none_or(|age| age > STALE_MS)
}

/// Whether the store, which is read since `since`, has not confirmed the data for too long.
pub(crate) fn is_unconfirmed(now: Tick, since: Tick, confirmed: Option<Tick>) -> bool {
    now.since(confirmed.unwrap_or(since)) > STALE_MS
}
