//! Paths that lose bytes and send them again later, and runners that send copies of their answers, amid all other faults.

use crate::{
    faults::EVENTS,
    invariants::Violation,
    site::{HostSlot, Site, other_build},
};
use rand::{RngExt, rngs::StdRng};
use std::{thread, time::Duration};
use vanetally_platform_standin::{
    AnswerClass, Behaviour, ProxyMode, ReceivedOrder, Surplus, SurplusTime, TapMode,
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
/// Share of the cuts that strike the holder of the order lease.
const HOLDER_SHARE: f64 = 0.7;
/// Time in which a host that was cut off gives orders, before it may be cut off from the store.
const UNDER_WAY: Duration = Duration::from_millis(300);
const REJECTIONS: [u16; 3] = [503, 429, 421];
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
pub fn inject(rng: &mut StdRng, site: &mut Site) {
    if other_build().is_some() || !rng.random_bool(SHARE) {
        return;
    }
    let slot = rng.random_range(0..site.slots.len());
    match rng.random_range(0..6) {
        0 | 1 => cut_off(rng, site),
        2 => reject_first(rng, site),
        3 => site.slots[slot].set_tap_mode(&site.tap_modes, TapMode::Pass),
        4 => {
            let of = CLASSES[rng.random_range(0..CLASSES.len())];
            let when = TIMES[rng.random_range(0..TIMES.len())];
            let surplus = Surplus { of, copies: rng.random_range(1..3), when };
            let runner = rng.random_range(0..site.runner_links.len());
            site.runner(runner).set_surplus(Some(surplus));
        }
        _ => heal(site),
    }
}

/// Cuts a host off, mostly the holder of the order lease, and has it give orders: an engine has just restarted.
fn cut_off(rng: &mut StdRng, site: &mut Site) {
    let holder = site.slots.iter().position(HostSlot::is_order_holder);
    let random = rng.random_range(0..site.slots.len());
    let slot = holder.filter(|_| rng.random_bool(HOLDER_SHARE)).unwrap_or(random);
    site.slots[slot].set_tap_mode(&site.tap_modes, TapMode::Cut);
    let engine = rng.random_range(0..site.deployment.engines.len());
    site.restart_runner(engine);
    site.runner(engine).load_initial_models();
    thread::sleep(UNDER_WAY);
    if rng.random_bool(STORE_SHARE) {
        site.slots[slot].store_link.set_mode(ProxyMode::Silent);
    }
}

/// Has the engines reject each request once and send copies of the rejection.
fn reject_first(rng: &mut StdRng, site: &Site) {
    let status = REJECTIONS[rng.random_range(0..REJECTIONS.len())];
    let when = TIMES[rng.random_range(0..TIMES.len())];
    for engine in &site.deployment.engines {
        engine.set_behaviour(Behaviour::RejectFirstStream { status, after: None, events: EVENTS });
        engine.set_surplus(Some(Surplus { of: AnswerClass::Rejection, copies: 1, when }));
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
