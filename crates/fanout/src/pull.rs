//! When to ask another host for what it holds in a newer version.

use vanetally_types::{Name, Tick};

/// What was asked for and has not come yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    asked: Option<(Name, Tick)>,
}

/// A whole value on a slow link takes as long: asking the same host again would only slow it down, in
/// milliseconds.
const AGAIN_MS: u64 = 1_500;
/// Another host is asked after this long, in milliseconds: a patch takes a tenth of it, and the first
/// one may be cut off.
const OTHER_MS: u64 = 400;

impl Pull {
    /// The host `of` holds a newer version than this one; tells whether to ask for it now, and takes
    /// it as asked. What is under way is waited for, however many versions follow: the answer brings
    /// the newest one.
    pub fn should_request(&mut self, now: Tick, of: &Name) -> bool {
        let is_under_way = self.asked.as_ref().is_some_and(|(host, at)| {
            let limit = if host == of { AGAIN_MS } else { OTHER_MS };
            now.since(*at) < limit
        });
        if !is_under_way {
            self.asked = Some((of.clone(), now));
        }
        !is_under_way
    }

    /// What was asked for came: the next version may be asked for at once.
    pub fn received(&mut self) {
        self.asked = None;
    }
}
