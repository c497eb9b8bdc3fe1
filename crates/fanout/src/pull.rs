//! When to request a newer version of a value from another host.

use vanetally_types::{Name, Tick};

/// The pending request for a newer version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// The newest version stated, and the host that is asked for it.
    newest: Option<(Name, u64)>,
    pending: Option<(Name, Tick)>,
    /// Whether the value is so small that its transfer takes no longer than that of a patch.
    is_small: bool,
}

/// Time before the same host is asked again. The transfer of a whole value over a slow link takes this long, and a
/// second request would only slow it down.
const SAME_HOST_RETRY_MS: u64 = 1_500;
/// Time before another host is asked, or the same one for a small value: ten times as long as a patch takes. The first
/// host may be unreachable, and its response may be lost.
const OTHER_HOST_RETRY_MS: u64 = 400;
/// Maximum size of a small value: a link of 10 Mbit/s transfers it in 40 ms.
const SMALL_BYTES: usize = 48 << 10;

impl Pull {
    /// Sets the size of the version that this host has, as an estimate for the newest one.
    pub fn set_bytes(&mut self, bytes: usize) {
        self.is_small = (1..=SMALL_BYTES).contains(&bytes);
    }

    /// Records that `from` has `version` of the value. One that stated the same version before may be gone since, but may
    /// also be sending a value that is not small.
    pub fn heard(&mut self, from: &Name, version: u64) {
        let is_news = self.newest.as_ref().is_none_or(|(host, newest)| {
            host == from || *newest < version || (*newest == version && self.is_small)
        });
        if is_news {
            self.newest = Some((from.clone(), version));
        }
    }

    /// Returns the host to request the value from again, if this one still has `have` and nothing was received
    /// in time; records the request. A host may state its version only once.
    pub fn overdue(&mut self, now: Tick, have: u64) -> Option<Name> {
        let (host, _) = self.newest.clone().filter(|(_, newest)| *newest > have)?;
        self.should_request(now, &host).then_some(host)
    }

    /// Whether to request the value now from `from`, which has a newer version; records the request if so.
    ///
    /// While a request is pending no other is sent, however many versions follow: the response holds the newest one.
    pub fn should_request(&mut self, now: Tick, from: &Name) -> bool {
        let is_pending = self.pending.as_ref().is_some_and(|(host, at)| {
            let is_slow = host == from && !self.is_small;
            let limit = if is_slow { SAME_HOST_RETRY_MS } else { OTHER_HOST_RETRY_MS };
            now.since(*at) < limit
        });
        if !is_pending {
            self.pending = Some((from.clone(), now));
        }
        !is_pending
    }

    /// Records that the value was received: the next version may be requested at once.
    pub fn received(&mut self) {
        self.pending = None;
    }
}
