//! Announcements of former holders of the order lease.

use vanetally_ports::FencingToken;

/// Rejects what a former holder announces once its successor has announced something: announcements travel between hosts
/// on several ways, and some are made with a delay, so that they may arrive in any order.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncementFence {
    highest: Option<FencingToken>,
}

impl AnnouncementFence {
    /// Whether an announcement under `token` may be used. Hosts of earlier builds state no token.
    pub fn admits(&mut self, token: Option<FencingToken>) -> bool {
        if token.is_some() && token < self.highest {
            return false;
        }
        self.highest = self.highest.max(token);
        true
    }
}
