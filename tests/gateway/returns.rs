//! A store that comes back from a copy.

use super::{Deployment, Host};
use std::{thread::sleep, time::Duration};
use vanetally_platform_standin::{Restore, Snapshot, StoreMode};

/// How long the store is away.
pub const AWAY: Duration = Duration::from_millis(400);
/// The hosts have heard all of the return.
pub const HEARD: Duration = Duration::from_millis(1_500);
/// One host gives orders within this time after the return.
pub const HELD: Duration = Duration::from_millis(4_000);
/// Writes that the copy does not hold.
const WRITES: usize = 40;

/// Its leases hold on, and what was lost is written again at once.
pub const KEPT: Restore =
    Restore { keeps_leases: true, rewrite_delay: Duration::ZERO, delays_watches: false };
/// Its leases are gone.
pub const LOST: Restore = Restore { keeps_leases: false, ..KEPT };
/// What was lost is written again later, and watches are answered as of before.
pub const LATE: Restore =
    Restore { rewrite_delay: Duration::from_millis(700), delays_watches: true, ..LOST };

/// The name of a host.
pub fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Writes that only move the store's revision on.
pub fn write_much(deployment: &Deployment) {
    for number in 0..WRITES {
        deployment.store.put("servers/i-noise", &serde_json::json!([number]));
    }
    deployment.store.remove("servers/i-noise");
}

/// The store goes away and comes back from `copy`.
pub fn come_back(deployment: &Deployment, copy: &Snapshot, how: Restore) {
    deployment.store.set_mode(StoreMode::Busy);
    sleep(AWAY);
    deployment.store.restore(copy, how);
    deployment.store.set_mode(StoreMode::Serving);
}

/// How many hosts say that they give the orders.
pub fn holders(hosts: &[Host]) -> usize {
    hosts.iter().filter(|host| host.is_order_holder()).count()
}
