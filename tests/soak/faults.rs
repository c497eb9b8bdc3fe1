//! Random faults. A fault lasts until it is healed, so several overlap.

use crate::{
    late_bytes,
    site::{HostSlot, Site},
};
use rand::{RngExt, rngs::StdRng};
use std::{thread, time::Duration};
use vanetally_platform_standin::{
    Behaviour, Downtime, DowntimeMode, ProxyMode, Runner, StoreMode, TapMode,
};

/// Number of events of a complete stream.
pub const EVENTS: u32 = 5;
/// Behaviour of a healthy engine.
pub const HEALTHY_ENGINE: Behaviour = Behaviour::Stream { events: EVENTS, pause_ms: 2 };
/// Behaviour of a healthy runner of the plain service.
pub const HEALTHY_DESK: Behaviour = Behaviour::Complete;

const ENGINE_FAULTS: [Behaviour; 7] = [
    Behaviour::Stream { events: EVENTS, pause_ms: 60 },
    Behaviour::BreakAfter(3),
    Behaviour::BreakOnce { after: 2, events: EVENTS },
    Behaviour::WrongRequestId,
    Behaviour::Unsealed,
    Behaviour::Full,
    Behaviour::Unresponsive,
];
const DESK_FAULTS: [Behaviour; 6] = [
    Behaviour::Failing,
    Behaviour::ExtraAnswer,
    Behaviour::UnframedReset,
    Behaviour::WrongRequestId,
    Behaviour::Full,
    Behaviour::Unresponsive,
];
const STORE_FAULTS: [StoreMode; 4] =
    [StoreMode::Busy, StoreMode::Silent, StoreMode::StalledWatches, StoreMode::DroppedAnswers];
const LINK_FAULTS: [ProxyMode; 5] =
    [ProxyMode::Delay(40), ProxyMode::Reset, ProxyMode::Silent, ProxyMode::OneWay, ProxyMode::Drop];

const TAP_FAULTS: [TapMode; 3] = [TapMode::Reset, TapMode::Silent, TapMode::ResetNew];
/// Rejections in a second that a brittle runner survives, and how long it is away after its crash.
const BRITTLE_REJECTIONS: usize = 3;
const BRITTLE_DOWNTIME: Duration = Duration::from_millis(500);
/// Share of the faults after which an entry fault is injected.
const ENTRY_SHARE: f64 = 0.2;
/// Fields of an entry with the invalid values that another writer puts into them.
const INVALID_FIELDS: [(&str, &str); 5] = [
    ("state", "resting"),
    ("slots", "many"),
    ("address", "nowhere"),
    ("born", "lately"),
    ("service", ""),
];

/// Injects a fault, sometimes heals another, and pauses briefly.
pub fn inject(rng: &mut StdRng, site: &mut Site) {
    let host = rng.random_range(0..site.slots.len());
    match rng.random_range(0..18) {
        0 | 1 => site.slots[host].kill(),
        2 | 3 => site.slots[host].pause(),
        4 => site.slots[host].signal("TERM"),
        5 => site.slots[host].signal("HUP"),
        6 => site.deployment.store.set_mode(choose(rng, &STORE_FAULTS)),
        7 => site.slots[host].store_link.set_mode(choose(rng, &LINK_FAULTS)),
        8 => {
            let runner = rng.random_range(0..site.runner_links.len());
            site.runner_links[runner].set_mode(choose(rng, &LINK_FAULTS));
        }
        9 => {
            choose_runner(rng, &site.deployment.engines).set_behaviour(choose(rng, &ENGINE_FAULTS))
        }
        10 => choose_runner(rng, &site.deployment.desks).set_behaviour(choose(rng, &DESK_FAULTS)),
        11 => site.configure(),
        12 => site.deployment.store.compact_history(),
        13 => {
            let number = site.choose_present(rng);
            site.announce(number, "draining");
        }
        14 => site.withdraw(site.choose_present(rng)),
        15 => cut_off(rng, site),
        16 => make_brittle(rng, site),
        _ => heal_some(rng, site),
    }
    if rng.random_bool(0.4) {
        heal_some(rng, site);
    }
    thread::sleep(Duration::from_millis(rng.random_range(20..250)));
}

/// Injects a fault into a host, the store or a link to it, revives a host, mostly heals something
/// else, and pauses briefly.
pub fn inject_host_fault(rng: &mut StdRng, site: &mut Site) {
    let host = rng.random_range(0..site.slots.len());
    match rng.random_range(0..8) {
        0 => site.slots[host].kill(),
        1 | 2 => site.slots[host].pause(),
        3 => site.slots[host].signal("TERM"),
        4 => site.deployment.store.set_mode(choose(rng, &STORE_FAULTS)),
        5 => site.slots[host].store_link.set_mode(choose(rng, &LINK_FAULTS)),
        6 => site.configure(),
        _ => site.deployment.store.compact_history(),
    }
    let back = rng.random_range(0..site.slots.len());
    site.slots[back].revive(&site.deployment, &site.shared, &site.tap_modes);
    if rng.random_bool(0.7) {
        heal_some(rng, site);
    }
    thread::sleep(Duration::from_millis(rng.random_range(100..700)));
}

/// Restarts a runner under its id or corrupts its entry, with the probability `ENTRY_SHARE`.
pub fn inject_entry_fault(rng: &mut StdRng, site: &mut Site) {
    if !rng.random_bool(ENTRY_SHARE) {
        return;
    }
    let number = site.choose_present(rng);
    match rng.random_range(0..3) {
        0 => site.restart_runner(number),
        1 => {
            // The restart is announced only with the next heartbeat.
            site.runner(number).restart();
        }
        _ => site.corrupt_entry(number, choose(rng, &INVALID_FIELDS)),
    }
}

/// Cuts most hosts off from the store for a while, in which an upstream may leave.
pub fn cut_store(rng: &mut StdRng, site: &Site) {
    for slot in &site.slots {
        if rng.random_bool(0.7) {
            slot.store_link.set_mode(choose(rng, &[ProxyMode::Drop, ProxyMode::Silent]));
        }
    }
    thread::sleep(Duration::from_millis(rng.random_range(1_000..4_000)));
}

/// Cuts some hosts off from all runners.
fn cut_off(rng: &mut StdRng, site: &Site) {
    let mode = choose(rng, &TAP_FAULTS);
    for slot in &site.slots {
        if rng.random_bool(0.5) {
            slot.set_tap_mode(&site.tap_modes, mode);
        }
    }
}

/// Makes the runners of the plain service brittle, with few slots and short queues.
fn make_brittle(rng: &mut StdRng, site: &Site) {
    let downtime = Downtime { length: BRITTLE_DOWNTIME, mode: DowntimeMode::Refused };
    let first = site.deployment.engines.len();
    for (desk, tap) in site.deployment.desks.iter().zip(&site.taps[first..]) {
        desk.set_brittle(BRITTLE_REJECTIONS, downtime, &site.deployment.store, tap.address());
        desk.set_behaviour(Behaviour::Slots { work_ms: 5, queue: rng.random_range(0..3) });
    }
}

/// Heals one kind of fault.
fn heal_some(rng: &mut StdRng, site: &mut Site) {
    let host = rng.random_range(0..site.slots.len());
    match rng.random_range(0..5) {
        0 => site.slots[host].revive(&site.deployment, &site.shared, &site.tap_modes),
        1 => site.deployment.store.set_mode(StoreMode::Serving),
        2 => site.slots[host].store_link.set_mode(ProxyMode::Pass),
        3 => site.runner_links.iter().for_each(|link| link.set_mode(ProxyMode::Pass)),
        _ => {
            heal_runners(site);
            site.announce_all();
        }
    }
}

/// Heals all faults.
pub fn heal(site: &mut Site) {
    heal_runners(site);
    site.deployment.store.set_mode(StoreMode::Serving);
    site.runner_links.iter().for_each(|link| link.set_mode(ProxyMode::Pass));
    for slot in &mut site.slots {
        slot.store_link.set_mode(ProxyMode::Pass);
        HostSlot::revive(slot, &site.deployment, &site.shared, &site.tap_modes);
        slot.set_tap_mode(&site.tap_modes, TapMode::Pass);
    }
    site.announce_all();
}

fn heal_runners(site: &Site) {
    late_bytes::heal(site);
    site.deployment.engines.iter().for_each(|engine| engine.set_behaviour(HEALTHY_ENGINE));
    for desk in &site.deployment.desks {
        desk.set_behaviour(HEALTHY_DESK);
        desk.clear_brittle();
    }
}

fn choose<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

fn choose_runner<'a>(rng: &mut StdRng, runners: &'a [Runner]) -> &'a Runner {
    &runners[rng.random_range(0..runners.len())]
}
