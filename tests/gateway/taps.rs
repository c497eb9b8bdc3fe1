//! Deployments whose upstreams are behind taps, so that single hosts can be cut off from all of them.

use super::{
    Deployment, Host, fresh_ip, fronts,
    load::{Exchange, run_per_host},
};
use serde_json::Value;
use std::{
    ops::Range,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Proxy, Runner, Tap, TapMode, TapModes};

/// Hosts that reach all upstreams through taps.
pub struct TappedDeployment {
    pub hosts: Vec<Host>,
    pub taps: Vec<Tap>,
    engine_modes: TapModes,
    desk_modes: TapModes,
    /// Ways of the hosts to the store, by host; none if they reach it directly.
    pub stores: Vec<Proxy>,
    pub deployment: Deployment,
}

impl TappedDeployment {
    /// Starts `count` hosts with `engines` engines and `desks` plain upstreams.
    pub fn start(count: usize, engines: usize, desks: usize) -> Self {
        Self::start_with(count, engines, desks, Vec::new())
    }

    /// Starts hosts like [`TappedDeployment::start`], on machines with these limits.
    pub fn start_limited(count: usize, engines: usize, desks: usize, limits: &Value) -> Self {
        Self::start_hosts(count, engines, desks, |deployment, number| {
            deployment.spawn_limited(&format!("front-{number}"), limits)
        })
    }

    /// Starts `count` hosts with `engines` engines, which the hosts reach through taps, like the store.
    pub fn start_partitioned(count: usize, engines: usize) -> Self {
        let ips = (0..count).map(|_| fresh_ip());
        Self::start_with(count, engines, 1, ips.collect())
    }

    fn start_with(count: usize, engines: usize, desks: usize, store_ips: Vec<String>) -> Self {
        let mut stores = Vec::new();
        let site = Self::start_hosts(count, engines, desks, |deployment, number| {
            let store = deployment.store.address();
            let proxy = store_ips.get(number).map(|ip| Proxy::start(ip, store));
            let store = proxy.as_ref().map_or(store, Proxy::address);
            stores.extend(proxy);
            deployment.spawn_at(&format!("front-{number}"), &fresh_ip(), store)
        });
        Self { stores, ..site }
    }

    /// Starts the upstreams behind taps, and then `count` hosts by `spawn`.
    fn start_hosts(
        count: usize,
        engines: usize,
        desks: usize,
        mut spawn: impl FnMut(&Deployment, usize) -> Host,
    ) -> Self {
        let mut deployment = Deployment::start();
        (1..engines).for_each(|_| deployment.add_engine());
        (1..desks).for_each(|_| drop(deployment.add_desk()));
        let (engine_modes, desk_modes) = (TapModes::default(), TapModes::default());
        let tap = |(runner, modes): (&Runner, &TapModes)| {
            let tap = Tap::start(&fresh_ip(), runner.address(), modes);
            let (key, value) = runner.entry_at(tap.address());
            deployment.store.put(&key, &value);
            tap
        };
        let engines = deployment.engines.iter().map(|engine| (engine, &engine_modes));
        let desks = deployment.desks.iter().map(|desk| (desk, &desk_modes));
        let taps = engines.chain(desks).map(tap).collect();
        let hosts: Vec<Host> = (0..count).map(|number| spawn(&deployment, number)).collect();
        let stores = Vec::new();
        let site = Self { hosts, taps, engine_modes, desk_modes, stores, deployment };
        site.set_mode(0..count, TapMode::Pass);
        site.hosts.iter().for_each(|host| super::wait_for("the host is ready", || host.is_ready()));
        site
    }

    /// Sets how the connections of some hosts to all upstreams are treated.
    pub fn set_mode(&self, hosts: Range<usize>, mode: TapMode) {
        self.set_desk_mode(hosts.clone(), mode);
        self.hosts[hosts].iter().for_each(|host| self.engine_modes.set(host.process(), mode));
    }

    /// Sets how the connections of some hosts to the plain upstreams are treated.
    pub fn set_desk_mode(&self, hosts: Range<usize>, mode: TapMode) {
        self.hosts[hosts].iter().for_each(|host| self.desk_modes.set(host.process(), mode));
    }

    /// Sends requests to each host as [`run_per_host`] does, by host.
    pub fn under_load(
        &self,
        request: impl Fn(u64) -> Client + Sync,
        callers: usize,
        pause: Duration,
        scenario: impl FnOnce(),
    ) -> Vec<Vec<Exchange>> {
        let fronts = fronts(&self.hosts);
        let all = run_per_host(&fronts, request, callers, pause, scenario);
        let mut by_host: Vec<Vec<Exchange>> = fronts.iter().map(|_| Vec::new()).collect();
        for exchange in all {
            let host = fronts.iter().position(|front| *front == exchange.front);
            by_host[host.expect("a front of a host")].push(exchange);
        }
        by_host
    }
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub served: usize,
    pub tries: usize,
}

impl Tally {
    /// Counts the requests that began in `span`.
    pub fn of<'a>(
        exchanges: impl IntoIterator<Item = &'a Exchange>,
        span: &Range<Instant>,
    ) -> Self {
        let mut tally = Self::default();
        for exchange in exchanges.into_iter().filter(|one| span.contains(&one.began)) {
            let answer = &exchange.answer;
            tally.tries += 1;
            tally.served += usize::from(answer.status == 200 && answer.is_complete);
        }
        tally
    }

    /// Returns the number of failed requests.
    pub fn failed(self) -> usize {
        self.tries - self.served
    }
}
