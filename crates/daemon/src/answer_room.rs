//! Memory for what is held of upstreams' answers while they are read.

use std::sync::{Arc, Mutex, MutexGuard};
use vanetally_admission::{Share, SharedRoom};

/// Share of the memory that answers may use, as a divisor. Callers may use half.
const MEMORY_DIVISOR: u64 = 4;

/// The room of all answers of a host.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRoom(Arc<Mutex<SharedRoom>>);

impl AnswerRoom {
    /// Creates the room of a process that may use `memory` bytes.
    pub fn new(memory: u64) -> Self {
        let bytes = usize::try_from(memory / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self(Arc::new(Mutex::new(SharedRoom::new(bytes))))
    }

    /// Begins to hold an answer.
    pub fn hold(&self) -> HeldAnswer {
        HeldAnswer { room: self.clone(), share: Share::default() }
    }

    fn lock(&self) -> MutexGuard<'_, SharedRoom> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// What is held of one answer, until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    room: AnswerRoom,
    share: Share,
}

impl HeldAnswer {
    /// Enlarges what is held to `bytes`; returns whether there is room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.room.lock().grow(&mut self.share, bytes)
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.room.lock().release(self.share);
    }
}
