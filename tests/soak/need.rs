//! An upstream in need: it names what it takes from all hosts while faults strike them.

use crate::{
    callers::Seen,
    faults,
    promises::Broken,
    site::{Site, is_other},
};
use rand::{RngExt, rngs::StdRng};
use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Runner;

/// Requests a second that it may name.
const RATES: [f64; 5] = [0.4, 1.0, 1.8, 4.0, 12.0];
/// How long it is in need.
const NEED: Duration = Duration::from_secs(12);
/// So long after it first named a limit hosts need not keep to it.
const CONTACT: Duration = Duration::from_secs(3);
/// So long after a host passed on an answer that names it, the host has to count.
const TOLD: Duration = Duration::from_millis(500);
/// The window in which requests are counted; what it may hold beyond the limit, as a share and in requests.
const WINDOW: Duration = Duration::from_secs(4);
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
/// When the need is over, the upstream gets more than it named within this time.
const FREE: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_secs(1);

/// A time in which a runner was in need.
pub struct Need {
    runner: Runner,
    pub rate: f64,
    began: Instant,
    ended: Instant,
}

impl Need {
    /// An engine is in need for a while; hosts and the store are struck meanwhile.
    pub fn play(rng: &mut StdRng, site: &mut Site) -> Self {
        let engines = &site.deployment.engines;
        // One that started again holds nothing, and gets nothing, where others hold all.
        let runner = engines.iter().find(|engine| holds_model(engine)).unwrap_or(&engines[0]);
        let runner = runner.clone();
        let rate = RATES[rng.random_range(0..RATES.len())];
        runner.set_limit(Some(&rate.to_string()));
        let began = Instant::now();
        // Most hosts hear of it before they are struck.
        thread::sleep(CONTACT);
        while began.elapsed() < NEED {
            faults::strike_hosts(rng, site);
        }
        runner.set_limit(None);
        let ended = Instant::now();
        faults::heal(site);
        Self { runner, rate, began, ended }
    }

    /// Whether the runner gets more than it named, now that it is in need no more.
    pub fn is_over(&self) -> Option<Broken> {
        let begun = Instant::now();
        while begun.elapsed() < FREE && holds_model(&self.runner) {
            let before = self.runner.requests().len();
            thread::sleep(LOOK);
            let now = self.runner.requests().len();
            if (now - before) as f64 > self.rate + SLACK {
                return None;
            }
        }
        holds_model(&self.runner).then_some(Broken::StillLimited { rate: self.rate })
    }

    /// Whether hosts that knew of the limit kept to it, all together, whatever struck them.
    pub fn kept(&self, most: usize) -> Option<Broken> {
        let allowed = EXCESS * self.rate * WINDOW.as_secs_f64() + SLACK;
        (most as f64 > allowed).then_some(Broken::OverLimit { rate: self.rate, most, allowed })
    }

    /// The most requests that the runner got within one window from hosts that knew of the limit.
    pub fn most(&self, seen: &[Seen]) -> usize {
        let told = told_hosts(seen);
        let senders: HashMap<&str, (usize, u64)> =
            seen.iter().map(|one| (one.id.as_str(), (one.host, one.life))).collect();
        let requests = self.runner.requests();
        let counts = |(request, at): &(&vanetally_platform_standin::Message, Instant)| {
            let sender = request.header("x-attempt-id").and_then(|id| senders.get(id));
            // What the other build knows of limits is not known here.
            let sender = sender.filter(|(host, life)| !is_other(*host, *life));
            let told = sender.and_then(|sender| told.get(sender));
            told.is_some_and(|told| *told + TOLD <= *at)
        };
        let arrivals: Vec<Instant> = requests
            .iter()
            .zip(self.runner.arrivals())
            .filter(|(_, at)| *at >= self.began + CONTACT && *at < self.ended)
            .filter(counts)
            .map(|(_, at)| at)
            .collect();
        let within = |from: &Instant| {
            arrivals.iter().filter(|at| *at >= from && **at - *from < WINDOW).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Whether a runner holds the model that callers ask for.
fn holds_model(runner: &Runner) -> bool {
    let (_, entry) = runner.entry();
    let models = entry["models"].as_array().cloned().unwrap_or_default();
    models.iter().any(|model| model["name"] == "m1")
}

/// When each life of a host first passed on an answer that names a limit.
fn told_hosts(seen: &[Seen]) -> HashMap<(usize, u64), Instant> {
    let mut told = HashMap::new();
    for one in seen {
        let names = one.answer.as_ref().is_some_and(|a| a.header("server-limit").is_some());
        if names {
            let first = told.entry((one.host, one.life)).or_insert(one.ended);
            *first = one.ended.min(*first);
        }
    }
    told
}
