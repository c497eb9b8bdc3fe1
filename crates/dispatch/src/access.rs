//! Caller access: who may send a request, on whose behalf it is sent, and why it may not be sent
//! now.

use crate::{Dispatch, request::Request};
use std::{collections::HashMap, rc::Rc};
use vanetally_ports::{
    CallerKey, CallerRequest, Configuration, Credential, Organisation, Origin, Refusal,
    RefusalCause, Route,
};
use vanetally_quarantine::ContentHash;
use vanetally_types::{Name, Rank, Tick};

/// Share of the revocation time for which the known keys are used after the last confirmation by
/// the store. The rest covers the time from the check of a request to its first byte.
const CONFIRMATION_SHARE: f64 = 0.9;
/// `Retry-After` of a host that can't verify keys; another host may.
const UNCONFIRMED_RETRY_AFTER_MS: u64 = 500;

/// The organisations of one configuration, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyIndex {
    /// `None` if requests need no key.
    by_key: Option<HashMap<CallerKey, Rc<Organisation>>>,
}

impl KeyIndex {
    /// Indexes the organisations of `configuration`.
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let by_key = configuration.organisations.as_ref().map(|all| {
            let keys = all.iter().flat_map(|organisation| {
                let shared = Rc::new(Organisation { keys: Vec::new(), ..organisation.clone() });
                organisation.keys.iter().map(move |key| (*key, shared.clone()))
            });
            keys.collect()
        });
        Self { by_key }
    }
}

/// Result of the access check of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Access {
    pub origin: Origin,
    /// The caller's key, if one is required.
    pub key: Option<CallerKey>,
    /// Priority of the organisation.
    pub priority: Option<u8>,
}

impl Access {
    /// Returns the urgency of a request of this caller on `route`; the route's priority stands for that of an
    /// organisation without one.
    pub(crate) fn rank(&self, route: &Route) -> Rank {
        Rank(self.priority.unwrap_or(route.priority), route.priority)
    }
}

/// What decides how a request waits for quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTerms {
    /// Urgency of the request.
    pub rank: Rank,
    /// Milliseconds from its arrival within which an answer is on time and of use to the caller.
    pub objective_ms: u64,
}

impl Dispatch {
    /// Returns how a request waits for quota; `None` if it can't be sent.
    pub fn quota_terms(&self, now: Tick, head: &CallerRequest) -> Option<QuotaTerms> {
        let route = self.route(now, head).ok()?;
        let access = self.access(now, &route, head).ok()?;
        let rank = access.rank(&route);
        let deadline_ms = head.wait_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        Some(QuotaTerms { rank, objective_ms: route.target_ms.min(deadline_ms) })
    }

    /// Returns the organisation to which a request is charged, if any.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request can't be sent.
    pub fn identify(&self, now: Tick, head: &CallerRequest) -> Result<Option<Name>, Refusal> {
        let route = self.route(now, head)?;
        Ok(match self.access(now, &route, head)?.origin {
            Origin::Organisation(name) => Some(name),
            Origin::Unchecked | Origin::Open => None,
        })
    }

    /// Checks the access of a request to `route`.
    pub(crate) fn access(
        &self,
        now: Tick,
        route: &Route,
        head: &CallerRequest,
    ) -> Result<Access, Refusal> {
        if self.keys.by_key.is_none() {
            return Ok(Access::default());
        }
        if route.is_open {
            return Ok(Access { origin: Origin::Open, ..Access::default() });
        }
        // A host that may have missed a configuration change can't reject an unknown key either.
        if !self.is_confirmed(now) {
            return Err(unconfirmed());
        }
        let Credential::Key(key) = head.credential else {
            return Err(Refusal::not_run(RefusalCause::Unauthorized, None));
        };
        self.access_of(key).ok_or_else(|| self.unknown_refusal(now, RefusalCause::Unauthorized))
    }

    fn access_of(&self, key: CallerKey) -> Option<Access> {
        let organisation = self.keys.by_key.as_ref()?.get(&key)?;
        Some(Access {
            origin: Origin::Organisation(organisation.name.clone()),
            key: Some(key),
            priority: organisation.priority,
        })
    }

    /// Returns the refusal if a request must not be sent now. Keys and contents are checked again
    /// at each attempt.
    pub(crate) fn send_refusal(&self, now: Tick, request: &Request) -> Option<Refusal> {
        if let Some(refusal) = self.quarantine_refusal(now, &request.contents) {
            return Some(refusal);
        }
        let key = request.access.key?;
        if !self.is_confirmed(now) {
            return Some(unconfirmed());
        }
        match self.access_of(key) {
            Some(access) if access.origin == request.access.origin => None,
            _ => Some(Refusal::not_run(RefusalCause::Unauthorized, None)),
        }
    }

    /// Returns the refusal of a request with these contents if one of them is quarantined.
    pub fn quarantine_refusal(&self, now: Tick, contents: &[ContentHash]) -> Option<Refusal> {
        let remaining = contents.iter().filter_map(|one| self.quarantine.remaining_ms(now, *one));
        let remaining_ms = remaining.max()?;
        Some(Refusal::not_run(RefusalCause::Quarantined, Some(remaining_ms)))
    }

    /// Whether the known keys may be used: the store confirmed them recently, or the deployment
    /// does not require it.
    pub(crate) fn is_confirmed(&self, now: Tick) -> bool {
        let Some(revoke_ms) = self.options.revoke_ms else {
            return true;
        };
        let max_age_ms = (revoke_ms as f64 * CONFIRMATION_SHARE) as u64;
        self.confirmed_at.is_some_and(|at| now.since(at) <= max_age_ms)
    }

    /// Whether requests with keys can be served.
    pub(crate) fn serves_keys(&self, now: Tick) -> bool {
        self.keys.by_key.is_none() || self.is_confirmed(now)
    }
}

fn unconfirmed() -> Refusal {
    Refusal::not_run(RefusalCause::Unconfirmed, Some(UNCONFIRMED_RETRY_AFTER_MS))
}
