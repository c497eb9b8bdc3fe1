//! Routes and keys that are unknown here, and whether the configuration may be outdated.

use crate::{
    Dispatch,
    ending::{RETRY_AFTER_MS, startup_retry_ms},
};
use std::rc::Rc;
use vanetally_ports::{CallerRequest, Refusal, RefusalCause, Route};
use vanetally_types::Tick;

/// Time since the configuration was last confirmed as the newest after which routes and keys may exist
/// that this host does not know. A host that reads the store is confirmed as of up to 3 s ago, and others
/// a little later.
const MAX_UNCONFIRMED_MS: u64 = 5_000;
impl Dispatch {
    /// Returns the route that matches a request.
    pub(crate) fn route(&self, now: Tick, head: &CallerRequest) -> Result<Rc<Route>, Refusal> {
        if self.configuration.is_none() {
            return Err(self.startup_refusal(now));
        }
        let route = self.routes.find(&head.host, &head.path).cloned();
        route.ok_or_else(|| self.unknown_refusal(now, RefusalCause::NoRoute))
    }

    /// Returns the refusal of a request whose body is too long for the configuration, if there is one.
    pub fn too_long_refusal(&self, now: Tick) -> Refusal {
        match self.configuration.is_none() {
            true => self.startup_refusal(now),
            false => self.unknown_refusal(now, RefusalCause::TooLong),
        }
    }

    fn startup_refusal(&self, now: Tick) -> Refusal {
        let retry_ms = startup_retry_ms(now.since(self.started_at), self.has_store);
        Refusal::not_run(RefusalCause::NotConfigured, Some(retry_ms))
    }

    /// Returns the refusal of a request whose route or key is unknown. It may be known by a newer
    /// configuration, which other hosts may have.
    pub(crate) fn unknown_refusal(&self, now: Tick, cause: RefusalCause) -> Refusal {
        match self.may_be_outdated(now) {
            true => Refusal::not_run(RefusalCause::NotConfigured, Some(RETRY_AFTER_MS)),
            false => Refusal::not_run(cause, None),
        }
    }

    /// Whether a newer configuration is known to exist, or may exist since none was confirmed as the
    /// newest for long.
    fn may_be_outdated(&self, now: Tick) -> bool {
        let is_unconfirmed = self.confirmed_at.is_some_and(|at| now.since(at) > MAX_UNCONFIRMED_MS);
        is_unconfirmed || self.newest_version > self.version()
    }
}
