//! Work that is done once for all changes of a period instead of once for each change.

use vanetally_types::Tick;

/// Decides when work that changes have made necessary is done.
///
/// The first change is worked on at once. While hundreds of hosts start or fail, the changes that arrive within a pause
/// are worked on together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    is_pending: bool,
    next: Tick,
}

impl Throttle {
    /// Records a change.
    pub fn request(&mut self) {
        self.is_pending = true;
    }

    /// Whether the work is to be done now; if so, changes of the next `pause_ms` wait until then.
    pub fn take_due(&mut self, now: Tick, pause_ms: u64) -> bool {
        let is_due = self.is_pending && now >= self.next;
        if is_due {
            self.is_pending = false;
            self.next = now + pause_ms;
        }
        is_due
    }
}
