//! When to ask another host for what it holds in a newer version.

use vanetally_types::Tick;

/// What was asked for and has not come yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    asked: Option<Asked>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Asked {
    version: u64,
    at: Tick,
}

/// A large value on a slow link takes as long: asking for it again would only slow it down.
const AGAIN_MS: u64 = 1_500;

impl Pull {
    /// Another host holds `version`, which is newer than what is held here; tells whether to ask
    /// for it now, and takes it as asked.
    pub fn should_ask(&mut self, now: Tick, version: u64) -> bool {
        let is_under_way =
            |asked: Asked| asked.version >= version && now.since(asked.at) < AGAIN_MS;
        if self.asked.is_some_and(is_under_way) {
            return false;
        }
        self.asked = Some(Asked { version, at: now });
        true
    }
}
