//! What exchanges read without asking the loop: the revision in force and readiness.

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

/// Shared by all threads of a daemon; written by the loop only.
pub(crate) struct Board {
    pub settings: Settings,
    pub me: HostId,
    pub clock: Clock,
    pub ready: AtomicBool,
    pub stopping: AtomicBool,
    pub watching: AtomicBool,
    next_id: AtomicU64,
    revision: RwLock<Arc<Revision>>,
}

/// Unix milliseconds: read once at the start, then advanced by a clock that never jumps.
fn unix_now() -> Tick {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Tick(unix.as_millis() as u64)
}

impl Board {
    /// The board of a daemon that starts now: its incarnation is the time.
    pub fn new(settings: Settings) -> Self {
        let started = unix_now();
        Self {
            me: HostId::new(settings.host.clone(), started.0),
            settings,
            clock: Clock::starting_at(started),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            watching: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            revision: RwLock::default(),
        }
    }

    /// A number that no other request of this process has.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The revision in force.
    pub fn revision(&self) -> Arc<Revision> {
        match self.revision.read() {
            Ok(revision) => revision.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Puts a revision in force.
    pub fn set_revision(&self, revision: Arc<Revision>) {
        match self.revision.write() {
            Ok(mut slot) => *slot = revision,
            Err(poisoned) => *poisoned.into_inner() = revision,
        }
    }
}
