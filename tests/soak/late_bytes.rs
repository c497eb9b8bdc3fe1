//! Paths that lose bytes and send them again later, and runners that send copies of their answers, amid all other faults.

use crate::{
    invariants::Violation,
    site::{Site, other_build},
};
use rand::{RngExt, rngs::StdRng};
use std::time::Duration;
use vanetally_platform_standin::{
    AnswerClass, ProxyMode, ReceivedOrder, Surplus, SurplusTime, TapMode,
};

/// Share of the faults after which one of these is injected or healed.
const SHARE: f64 = 0.35;
/// Share of the cuts from runners that cut the host off from the store as well.
const STORE_SHARE: f64 = 0.5;
const CLASSES: [AnswerClass; 4] =
    [AnswerClass::Rejection, AnswerClass::Success, AnswerClass::Report, AnswerClass::Order];
const TIMES: [SurplusTime; 4] = [
    SurplusTime::AtOnce,
    SurplusTime::BeforeNext,
    SurplusTime::BeforeSecond,
    SurplusTime::BeforeSameId,
];
/// In seeds divisible by this runners check no fencing tokens.
const UNFENCED_EVERY: u64 = 3;
/// Longest time for which what a host has sent may be held up. A proxy acknowledges what it holds up, so that the system of
/// a host that stands still can't give it up in time as it would on a network.
const MAX_HELD_UP: Duration = Duration::from_secs(5);

/// Has runners ignore fencing tokens in some seeds.
pub fn set_fences(site: &Site, seed: u64) {
    if seed.is_multiple_of(UNFENCED_EVERY) {
        site.deployment.engines.iter().for_each(|engine| engine.ignore_fences());
    }
}

/// Injects or heals one of these faults, with the probability `SHARE`. Does nothing beside another build.
pub fn inject(rng: &mut StdRng, site: &Site) {
    if other_build().is_some() || !rng.random_bool(SHARE) {
        return;
    }
    let slot = &site.slots[rng.random_range(0..site.slots.len())];
    match rng.random_range(0..4) {
        0 => {
            slot.set_tap_mode(&site.tap_modes, TapMode::Cut);
            if rng.random_bool(STORE_SHARE) {
                slot.store_link.set_mode(ProxyMode::Silent);
            }
        }
        1 => slot.set_tap_mode(&site.tap_modes, TapMode::Pass),
        2 => {
            let of = CLASSES[rng.random_range(0..CLASSES.len())];
            let when = TIMES[rng.random_range(0..TIMES.len())];
            let surplus = Surplus { of, copies: rng.random_range(1..3), when };
            let runner = rng.random_range(0..site.runner_links.len());
            site.runner(runner).set_surplus(Some(surplus));
        }
        _ => heal(site),
    }
}

/// Ends the copies of answers.
pub fn heal(site: &Site) {
    let runners = site.deployment.engines.iter().chain(&site.deployment.desks);
    runners.for_each(|runner| runner.set_surplus(None));
}

/// Checks that no order arrives after one of a later holder, unless its sender stood still meanwhile.
pub fn check(site: &Site) -> Vec<Violation> {
    if other_build().is_some() {
        return Vec::new();
    }
    site.deployment.engines.iter().flat_map(|engine| overtaken(site, &engine.orders())).collect()
}

fn overtaken(site: &Site, orders: &[ReceivedOrder]) -> Vec<Violation> {
    let mut highest: Option<&ReceivedOrder> = None;
    let mut violations = Vec::new();
    for order in orders {
        match highest {
            Some(before) if order.token < before.token => {
                let since = order.at.checked_sub(MAX_HELD_UP).unwrap_or(order.at);
                if !site.was_paused(&order.holder, since..order.at) {
                    violations.push(Violation::OvertakenOrder {
                        holder: order.holder.clone(),
                        token: order.token,
                        after: before.token,
                    });
                }
            }
            _ => highest = Some(order),
        }
    }
    violations
}
