//! Restores of the store from an older backup.

use super::{Deployment, Host};
use std::{thread::sleep, time::Duration};
use vanetally_platform_standin::{Restore, Snapshot, StoreMode};

/// Duration of the store outage before a restore.
pub const OUTAGE: Duration = Duration::from_millis(400);
/// Time in which all hosts learn of a restore or of a write.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time after a restore until exactly one host holds the order lease.
pub const MAX_HOLDER_GAP: Duration = Duration::from_millis(4_000);
/// Number of writes that the backup does not hold.
const WRITES: usize = 40;

/// Leases are kept, and lost entries are rewritten at once.
pub const LEASES_KEPT: Restore =
    Restore { keeps_leases: true, rewrite_delay: Duration::ZERO, delays_watches: false };
/// Leases are lost.
pub const LEASES_LOST: Restore = Restore { keeps_leases: false, ..LEASES_KEPT };
/// Lost entries are rewritten later, and watches are answered late with the state before the restore.
pub const ANSWERS_LATE: Restore =
    Restore { rewrite_delay: Duration::from_millis(700), delays_watches: true, ..LEASES_LOST };

/// Returns the name of a host.
pub fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Writes that only advance the revision of the store.
pub fn advance_revision(deployment: &Deployment) {
    for number in 0..WRITES {
        deployment.store.put("servers/i-noise", &serde_json::json!([number]));
    }
    deployment.store.remove("servers/i-noise");
}

/// Takes the store offline and restores it from `backup`.
pub fn restore_store(deployment: &Deployment, backup: &Snapshot, options: Restore) {
    deployment.store.set_mode(StoreMode::Busy);
    sleep(OUTAGE);
    deployment.store.restore(backup, options);
    deployment.store.set_mode(StoreMode::Serving);
}

/// Returns the number of hosts that hold the order lease.
pub fn holders(hosts: &[Host]) -> usize {
    hosts.iter().filter(|host| host.is_order_holder()).count()
}
