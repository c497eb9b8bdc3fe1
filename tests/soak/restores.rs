//! Restores of the store from an older backup, amid all other faults.

use crate::site::{Site, other_build};
use rand::{RngExt, rngs::StdRng};
use std::{thread, time::Duration};
use vanetally_platform_standin::{Restore, StoreMode};

/// Share of the faults after which a backup is taken or the store is restored from the last one.
const SHARE: f64 = 0.2;
/// Share of these in which a newer backup is taken.
const BACKUP_SHARE: f64 = 0.3;
/// Maximum delay until lost entries are rewritten.
const MAX_REWRITE_DELAY_MS: u64 = 1_500;
/// Maximum duration of the store outage before a restore.
const MAX_OUTAGE_MS: u64 = 900;

/// Takes a backup of the store or restores it, with the probability `SHARE`. Does nothing beside
/// another build, which may not support eras and could not follow a restore.
pub fn inject(rng: &mut StdRng, site: &mut Site) {
    if other_build().is_some() || !rng.random_bool(SHARE) {
        return;
    }
    let backup = site.backup.clone().filter(|_| !rng.random_bool(BACKUP_SHARE));
    match backup {
        None => site.backup = Some(site.deployment.store.snapshot()),
        Some(backup) => {
            let store = &site.deployment.store;
            store.set_mode(if rng.random_bool(0.5) { StoreMode::Busy } else { StoreMode::Silent });
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_OUTAGE_MS)));
            let options = Restore {
                keeps_leases: rng.random_bool(0.5),
                rewrite_delay: Duration::from_millis(rng.random_range(0..MAX_REWRITE_DELAY_MS)),
                delays_watches: rng.random_bool(0.5),
            };
            store.restore(&backup, options);
            store.set_mode(StoreMode::Serving);
        }
    }
}
