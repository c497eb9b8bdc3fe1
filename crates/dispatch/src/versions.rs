//! Streams stay at the software version that began them: what two versions write does not fit together.

use crate::{
    Dispatch, RequestId,
    ending::RETRY_AFTER_MS,
    request::{Request, Stage},
    routes,
    upstream::Upstream,
};
use vanetally_ports::{
    CallerRequest, RefusalCause, RequestKind, Route, Software, Target, UpstreamState,
};
use vanetally_streams::Versions;
use vanetally_types::{Incarnation, Name, Tick};

/// A stream whose first event reaches its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamBegun {
    /// The software that began it.
    pub software: Software,
    /// The ids by which its caller may take it up: that of this request, and the one that this request named itself.
    pub ids: Vec<Name>,
    /// Maximum time until the end of its answer, in milliseconds.
    pub timeout_ms: u64,
}

impl Request {
    /// Whether the request may be sent to an upstream with the software version of `upstream`.
    pub(crate) fn fits(&self, upstream: &Upstream) -> bool {
        match &self.software_version {
            Some(version) => *version == upstream.state.software_version,
            None => upstream.is_version_stored || !self.needs_stored_version(),
        }
    }

    /// Whether the request begins a stream that may be taken up. Where it began follows from the versions in the store
    /// once all hosts have been lost, so that it begins at one of them.
    pub(crate) fn needs_stored_version(&self) -> bool {
        let may_resume = self.route.kind == RequestKind::Stream && self.route.resumable;
        may_resume && self.software_version.is_none()
    }
}

/// Whether a request to `route` asks for the rest of a stream.
pub(crate) fn takes_up(route: &Route, head: &CallerRequest) -> bool {
    route.kind == RequestKind::Stream && route.resumable && head.last_event.is_some()
}

/// Returns the target of a new request: by its id, or the service that began the stream which it takes up.
///
/// # Errors
/// If there is none: the cause, and the time after which a retry is worthwhile.
pub(crate) fn target<'a>(
    route: &'a Route,
    head: &CallerRequest,
) -> Result<&'a Target, (RefusalCause, Option<u64>)> {
    if !takes_up(route, head) {
        let target = routes::target(route, &head.id);
        return target.ok_or((RefusalCause::NoUpstream, Some(RETRY_AFTER_MS)));
    }
    let software = head.continues.as_ref().ok_or((RefusalCause::StreamUnknown, None))?;
    let target = route.targets.iter().find(|target| target.service == software.service);
    // The route leads to other services now, whose events would not fit.
    target.ok_or((RefusalCause::VersionGone, None))
}

/// Returns the version at which a request that has just arrived must be served.
pub(crate) fn version_of(request: &Request) -> Option<Name> {
    let continues =
        request.head.continues.as_ref().filter(|_| takes_up(&request.route, &request.head));
    continues.map(|software| software.version.clone())
}

impl Dispatch {
    /// Handles a change of the versions of a service that the store keeps.
    pub(crate) fn versions_stored(&mut self, service: Name, versions: Option<Versions>) {
        match versions {
            Some(versions) => drop(self.stored_versions.insert(service.clone(), versions)),
            None => drop(self.stored_versions.remove(&service)),
        }
        let stored = self.stored_versions.get(&service);
        for id in self.directory.upstreams_of(&service) {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                let version = &upstream.state.software_version;
                upstream.is_version_stored =
                    stored.is_some_and(|versions| versions.include(version));
            }
        }
    }

    /// Whether the store keeps the version of an upstream with this state.
    pub(crate) fn is_version_stored(&self, state: &UpstreamState) -> bool {
        let stored = self.stored_versions.get(&state.service);
        stored.is_some_and(|versions| versions.include(&state.software_version))
    }

    /// Returns the services that may have begun the stream that a request asks to go on; `None` if it asks for no
    /// such stream.
    pub fn stream_services(&self, now: Tick, head: &CallerRequest) -> Option<Vec<Name>> {
        let route = self.route(now, head).ok()?;
        let services = route.targets.iter().map(|target| target.service.clone());
        takes_up(&route, head).then(|| services.collect())
    }

    /// Handles the first event of a stream that reaches the caller. The stream may go on only at the version that began
    /// it from now on.
    pub fn stream_begun(&mut self, id: RequestId) -> Option<StreamBegun> {
        let request = self.requests.get_mut(&id)?;
        let Stage::Sent(attempt) = &request.stage else {
            return None;
        };
        let version =
            request.software_version.get_or_insert_with(|| attempt.software_version.clone());
        let software = Software { service: request.service.clone(), version: version.clone() };
        let named = request.head.resumes.clone().filter(|_| request.head.continues.is_some());
        let ids = [Some(request.head.id.clone()), named].into_iter().flatten().collect();
        Some(StreamBegun { software, ids, timeout_ms: request.route.timeout_ms })
    }

    /// Returns the upstreams of a request's service that have its version.
    pub(crate) fn fitting_upstreams<'a>(
        &'a self,
        request: &'a Request,
    ) -> impl Iterator<Item = (&'a Incarnation, &'a Upstream)> {
        let known = self.known_upstreams(self.directory.upstreams_of(&request.service));
        known.filter(|(_, upstream)| request.fits(upstream))
    }

    /// Whether a stream can't go on: no upstream of its version accepts requests, or its model is held at other
    /// versions only, so that nobody loads it here.
    pub(crate) fn lacks_version(&self, now: Tick, request: &Request) -> bool {
        if request.software_version.is_none() {
            return false;
        }
        let accepts = |(_, upstream): &(&Incarnation, &Upstream)| upstream.accepts_new(now);
        let Some(model) = &request.head.model else {
            return !self.fitting_upstreams(request).any(|known| accepts(&known));
        };
        let holders = self.directory.holders(&request.service, &model.model);
        let holders = self.known_upstreams(holders).filter(accepts);
        let mut is_held = false;
        for (_, holder) in holders.filter(|(_, upstream)| upstream.holds_base(model, now)) {
            if request.fits(holder) {
                return false;
            }
            is_held = true;
        }
        is_held || !self.fitting_upstreams(request).any(|known| accepts(&known))
    }

    /// Whether an upstream of another version holds what a request asks for.
    pub(crate) fn is_held_elsewhere(&self, now: Tick, request: &Request) -> bool {
        let (Some(subject), Some(_)) = (&request.head.model, &request.software_version) else {
            return false;
        };
        let holders = self.directory.holders(&request.service, &subject.model);
        let mut others =
            self.known_upstreams(holders).filter(|(_, upstream)| !request.fits(upstream));
        others.any(|(_, upstream)| upstream.accepts_new(now) && upstream.holds(subject, now))
    }
}
