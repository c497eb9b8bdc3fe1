//! A rate-limited upstream: it states a limit for all hosts together while faults are injected.

use crate::{
    callers::Exchange,
    faults,
    invariants::Violation,
    site::{Site, is_other_build},
};
use rand::{RngExt, rngs::StdRng};
use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Runner;

/// Limits that the upstream may state, in requests per second.
const RATES: [f64; 5] = [0.4, 1.0, 1.8, 4.0, 12.0];
/// Duration of the rate limit.
const LIMIT_DURATION: Duration = Duration::from_secs(12);
/// Time after the first stated limit in which hosts need not keep to it.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a host relayed an answer with the limit, from which on its requests count.
const INFORMED_AFTER: Duration = Duration::from_millis(500);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Allowed requests in a window as a multiple of the limit.
const EXCESS: f64 = 1.5;
/// Allowed requests in a window beyond that.
const SLACK: f64 = 5.0;
/// Maximum time after the end of the limit until the upstream receives more than the limit.
const MAX_LIFT_TIME: Duration = Duration::from_secs(15);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// A phase in which a runner states a rate limit.
pub struct RateLimitPhase {
    runner: Runner,
    pub rate: f64,
    began: Instant,
    ended: Instant,
}

impl RateLimitPhase {
    /// Rate-limits an engine for a while and injects faults into hosts and the store meanwhile.
    pub fn run(rng: &mut StdRng, site: &mut Site) -> Self {
        let engines = &site.deployment.engines;
        // A restarted engine holds no model and receives no requests while others hold it.
        let runner = engines.iter().find(|engine| holds_model(engine)).unwrap_or(&engines[0]);
        let runner = runner.clone();
        let rate = RATES[rng.random_range(0..RATES.len())];
        runner.set_limit(Some(&rate.to_string()));
        let began = Instant::now();
        // Most hosts learn of the limit before faults are injected.
        thread::sleep(SETTLE_TIME);
        while began.elapsed() < LIMIT_DURATION {
            faults::inject_host_fault(rng, site);
        }
        runner.set_limit(None);
        let ended = Instant::now();
        faults::heal(site);
        Self { runner, rate, began, ended }
    }

    /// Checks that the runner receives more than its limit now that it states none.
    pub fn check_lifted(&self) -> Option<Violation> {
        let began = Instant::now();
        while began.elapsed() < MAX_LIFT_TIME && holds_model(&self.runner) {
            let before = self.runner.requests().len();
            thread::sleep(SAMPLE_INTERVAL);
            let now = self.runner.requests().len();
            if (now - before) as f64 > self.rate + SLACK {
                return None;
            }
        }
        holds_model(&self.runner).then_some(Violation::StillLimited { rate: self.rate })
    }

    /// Checks that hosts which knew the limit kept to it in sum, whatever the faults.
    pub fn check_limit(&self, max: usize) -> Option<Violation> {
        let allowed = EXCESS * self.rate * WINDOW.as_secs_f64() + SLACK;
        (max as f64 > allowed).then_some(Violation::OverLimit { rate: self.rate, max, allowed })
    }

    /// Returns the maximum number of requests in a window from hosts that knew the limit.
    pub fn max_in_window(&self, exchanges: &[Exchange]) -> usize {
        let informed = informed_hosts(exchanges);
        let senders: HashMap<&str, (usize, u64)> = exchanges
            .iter()
            .map(|exchange| (exchange.id.as_str(), (exchange.host, exchange.incarnation)))
            .collect();
        let requests = self.runner.requests();
        let is_counted = |(request, at): &(&vanetally_platform_standin::Message, Instant)| {
            let sender = request.header("x-attempt-id").and_then(|id| senders.get(id));
            // The other build may not support rate limits.
            let sender = sender.filter(|(host, incarnation)| !is_other_build(*host, *incarnation));
            let informed = sender.and_then(|sender| informed.get(sender));
            informed.is_some_and(|since| *since + INFORMED_AFTER <= *at)
        };
        let arrivals: Vec<Instant> = requests
            .iter()
            .zip(self.runner.arrivals())
            .filter(|(_, at)| *at >= self.began + SETTLE_TIME && *at < self.ended)
            .filter(is_counted)
            .map(|(_, at)| at)
            .collect();
        let within = |from: &Instant| {
            arrivals.iter().filter(|at| *at >= from && **at - *from < WINDOW).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Whether a runner holds the model that callers request.
fn holds_model(runner: &Runner) -> bool {
    let (_, entry) = runner.entry();
    let models = entry["models"].as_array().cloned().unwrap_or_default();
    models.iter().any(|model| model["name"] == "m1")
}

/// Returns when each host incarnation first relayed an answer with a limit.
fn informed_hosts(exchanges: &[Exchange]) -> HashMap<(usize, u64), Instant> {
    let mut informed = HashMap::new();
    for exchange in exchanges {
        let has_limit =
            exchange.answer.as_ref().is_some_and(|a| a.header("server-limit").is_some());
        if has_limit {
            let first =
                informed.entry((exchange.host, exchange.incarnation)).or_insert(exchange.ended);
            *first = exchange.ended.min(*first);
        }
    }
    informed
}
