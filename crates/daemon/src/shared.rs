//! State that all threads read without a message to the event loop: revision, readiness, clock.

use std::{
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};
use vanetally_clock::Clock;
use vanetally_config::{Revision, Settings};
use vanetally_types::{HostId, Tick};

/// State shared by all threads of a daemon. Only the event loop writes the revision, `ready` and
/// `watches_config`.
pub(crate) struct Shared {
    pub settings: Settings,
    pub host_id: HostId,
    pub clock: Clock,
    pub ready: AtomicBool,
    pub stopping: AtomicBool,
    /// Whether this host watches the configuration on the platform.
    pub watches_config: AtomicBool,
    next_id: AtomicU64,
    revision: RwLock<Arc<Revision>>,
}

/// Returns the system time. It is read only at the start; a monotonic clock advances it.
fn unix_now() -> Tick {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Tick(unix.as_millis() as u64)
}

impl Shared {
    /// Creates the state of a daemon that starts now; the start time is the host's incarnation.
    pub fn new(settings: Settings) -> Self {
        let started = unix_now();
        Self {
            host_id: HostId::new(settings.host.clone(), started.0),
            settings,
            clock: Clock::starting_at(started),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            watches_config: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            revision: RwLock::default(),
        }
    }

    /// Returns a request number that is unique within this process.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Arc<Revision> {
        match self.revision.read() {
            Ok(revision) => revision.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Puts a revision in force.
    pub fn set_revision(&self, revision: Arc<Revision>) {
        match self.revision.write() {
            Ok(mut current) => *current = revision,
            Err(poisoned) => *poisoned.into_inner() = revision,
        }
    }
}
