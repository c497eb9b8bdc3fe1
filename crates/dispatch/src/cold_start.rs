//! Cold upstreams, which take only a few requests per second from all hosts together.
//!
//! An upstream is cold for some seconds after its start, and after its failure domain was evacuated. Until then the
//! configured rate of its service counts as its rate limit, so that the grantor of permits spaces the requests of all
//! hosts.

use crate::{Dispatch, upstream::Upstream};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_ports::ColdStart;
use vanetally_types::{Name, Tick};

/// How long an upstream stays cold, and what it takes meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ColdState {
    until: Tick,
    /// Requests per second over all hosts; `None` if the service does not limit cold upstreams.
    rate: Option<f64>,
}

impl ColdState {
    /// Keeps the upstream cold for at least `ms` from `now` on.
    pub(crate) fn extend(&mut self, now: Tick, ms: u64) {
        self.until = self.until.max(now + ms);
    }

    /// Sets the rate of cold upstreams by the configuration of their service.
    pub(crate) fn configure(&mut self, cold_start: Option<ColdStart>) {
        self.rate = cold_start.map(|cold_start| cold_start.rate);
    }

    /// Returns the rate limit in requests per second over all hosts, while the upstream is cold.
    pub(crate) fn rate(&self, now: Tick) -> Option<f64> {
        self.rate.filter(|_| now < self.until)
    }
}

impl Dispatch {
    /// Returns the cold start of the upstreams of a service, if it limits them.
    pub(crate) fn cold_start(&self, service: &Name) -> Option<ColdStart> {
        self.configuration.as_ref()?.services.get(service)?.cold_start
    }

    /// Applies the cold starts of a new configuration to the known upstreams.
    pub(crate) fn configure_cold_starts(&mut self) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        for upstream in self.upstreams.values_mut() {
            let service = configuration.services.get(&upstream.state.service);
            upstream.cold.configure(service.and_then(|service| service.cold_start));
        }
    }

    /// Sets the failure domains that are evacuated. The upstreams of a domain that is no longer evacuated count as
    /// cold: they may have idled, and their announcements may not show it yet.
    pub(crate) fn set_evacuated(&mut self, now: Tick, domains: Rc<BTreeSet<Name>>) {
        let configuration = self.configuration.clone();
        let cold_ms = |upstream: &Upstream| {
            let service = configuration.as_ref()?.services.get(&upstream.state.service)?;
            Some(service.cold_start?.duration_ms)
        };
        for upstream in self.upstreams.values_mut() {
            let is_evacuated = domains.contains(&upstream.state.domain);
            let was_evacuated = std::mem::replace(&mut upstream.is_evacuated, is_evacuated);
            if was_evacuated && !is_evacuated {
                let ms = cold_ms(upstream).unwrap_or(0);
                upstream.cold.extend(now, ms);
            }
        }
        self.evacuated = domains;
    }
}
