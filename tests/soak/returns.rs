//! A store that comes back from an older copy of itself, in the midst of all other faults.

use crate::site::{Site, other_build};
use rand::{RngExt, rngs::StdRng};
use std::{thread, time::Duration};
use vanetally_platform_standin::{Restore, StoreMode};

/// Share of the strikes after which a copy is made, or the store comes back from the last one.
const SHARE: f64 = 0.2;
/// Share of these in which a newer copy is made.
const COPIES: f64 = 0.3;
/// What was lost is written again within this time, in milliseconds.
const AGAIN_MS: u64 = 1_500;
/// The store is away for so long at most, in milliseconds.
const AWAY_MS: u64 = 900;

/// Now and then the store is copied, or comes back from its copy. Builds that know of no era can't follow it: beside one
/// it does not.
pub fn strike(rng: &mut StdRng, site: &mut Site) {
    if other_build().is_some() || !rng.random_bool(SHARE) {
        return;
    }
    let copy = site.copy.clone().filter(|_| !rng.random_bool(COPIES));
    match copy {
        None => site.copy = Some(site.deployment.store.snapshot()),
        Some(copy) => {
            let store = &site.deployment.store;
            store.set_mode(if rng.random_bool(0.5) { StoreMode::Busy } else { StoreMode::Silent });
            thread::sleep(Duration::from_millis(rng.random_range(0..AWAY_MS)));
            let how = Restore {
                keeps_leases: rng.random_bool(0.5),
                rewrite_delay: Duration::from_millis(rng.random_range(0..AGAIN_MS)),
                delays_watches: rng.random_bool(0.5),
            };
            store.restore(&copy, how);
            store.set_mode(StoreMode::Serving);
        }
    }
}
