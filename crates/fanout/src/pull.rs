//! When to ask another host for what it holds in a newer version.

use vanetally_types::Tick;

/// What was asked for and has not come yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    asked: Option<Tick>,
}

/// A whole value on a slow link takes as long: asking for it again would only slow it down, in
/// milliseconds.
const AGAIN_MS: u64 = 1_500;

impl Pull {
    /// Another host holds a newer version than this one; tells whether to ask for it now, and takes
    /// it as asked. What is under way is waited for, however many versions follow: the answer brings
    /// the newest one.
    pub fn should_ask(&mut self, now: Tick) -> bool {
        let is_under_way = |at: Tick| now.since(at) < AGAIN_MS;
        if self.asked.is_some_and(is_under_way) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// What was asked for came: the next version may be asked for at once.
    pub fn came(&mut self) {
        self.asked = None;
    }
}
