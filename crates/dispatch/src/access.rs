//! Who may send a request, on whose behalf it goes, and what bars it from being sent.

use crate::{Dispatch, request::Request};
use std::{collections::HashMap, rc::Rc};
use vanetally_ports::{
    CallerKey, CallerRequest, Configuration, Credential, Organisation, Origin, Refusal,
    RefusalCause, Route,
};
use vanetally_types::{Name, Tick};

/// Where keys that were taken away must not be used, a host uses those that it knows only for this share of the
/// time allowed since the store confirmed them: a request that was judged may wait for a tenth of that time before
/// its first byte leaves.
const CONFIRMATION_SHARE: f64 = 0.9;
/// When to come back to a host that can't tell whether a key holds, in milliseconds: another one may.
const UNCONFIRMED_RETRY_AFTER_MS: u64 = 500;

/// The organisations of one configuration, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyIndex {
    /// None if requests need no key.
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

/// On whose behalf a request goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Access {
    pub origin: Origin,
    /// The key that it came with, where it needs one.
    pub key: Option<CallerKey>,
    /// Its organisation's rank.
    pub priority: Option<u8>,
}

impl Dispatch {
    /// The organisation that a request counts for, if any; or why it can't be sent.
    ///
    /// # Errors
    /// The answer to its caller.
    pub fn identify(&self, now: Tick, head: &CallerRequest) -> Result<Option<Name>, Refusal> {
        let route = self.route(now, head)?;
        Ok(match self.access(now, &route, head)?.origin {
            Origin::Organisation(name) => Some(name),
            Origin::Unchecked | Origin::Open => None,
        })
    }

    /// On whose behalf a request of `route` goes.
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
        // A host that may have missed a change can't say that a key is unknown either.
        if !self.is_confirmed(now) {
            return Err(unconfirmed());
        }
        let Credential::Key(key) = head.credential else {
            return Err(Refusal::not_run(RefusalCause::Unauthorized, None));
        };
        self.access_of(key).ok_or(Refusal::not_run(RefusalCause::Unauthorized, None))
    }

    fn access_of(&self, key: CallerKey) -> Option<Access> {
        let organisation = self.keys.by_key.as_ref()?.get(&key)?;
        Some(Access {
            origin: Origin::Organisation(organisation.name.clone()),
            key: Some(key),
            priority: organisation.priority,
        })
    }

    /// Why a request that has arrived must not be sent now, if anything bars it: keys and contents are judged anew
    /// at each sending.
    pub(crate) fn send_refusal(&self, now: Tick, request: &Request) -> Option<Refusal> {
        if let Some(rest_ms) = self.quarantine.remaining_ms(now, request.content_hash) {
            return Some(Refusal::not_run(RefusalCause::Quarantined, Some(rest_ms)));
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

    /// Whether the keys that are known here may be used: the store confirmed them a short while ago, or hosts serve
    /// on without it.
    pub(crate) fn is_confirmed(&self, now: Tick) -> bool {
        let Some(revoke_ms) = self.options.revoke_ms else {
            return true;
        };
        let most = (revoke_ms as f64 * CONFIRMATION_SHARE) as u64;
        self.confirmed_at.is_some_and(|at| now.since(at) <= most)
    }

    /// Whether requests that bear keys can be served.
    pub(crate) fn serves_keys(&self, now: Tick) -> bool {
        self.keys.by_key.is_none() || self.is_confirmed(now)
    }
}

fn unconfirmed() -> Refusal {
    Refusal::not_run(RefusalCause::Unconfirmed, Some(UNCONFIRMED_RETRY_AFTER_MS))
}
