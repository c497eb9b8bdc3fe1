//! Which entry key a starting host reads, and when.

use vanetally_types::{Name, hash64};

/// Number of entry keys of a failure domain. The host of each one serves the others that read it: a hundred new links
/// take a host with an eighth of a core nearly a second.
pub const ENTRY_KEYS: u64 = 16;
/// Number of turns in which the hosts that start together read the keys.
pub const ENTRY_TURNS: u32 = 3;
/// Factor by which the number of hosts grows from turn to turn.
const TURN_GROWTH: u64 = 4;

/// Returns the number of the entry key that `host` reads.
pub fn entry_key(host: &Name) -> u64 {
    hash64(host.as_bytes()) % ENTRY_KEYS
}

/// Returns the turn of `host`, from 0; each has four times as many hosts as the one before.
///
/// Few hosts find no key and write it; the others find it at their first attempt.
pub fn entry_turn(host: &Name) -> u32 {
    let lot = hash64(host.as_bytes()) / ENTRY_KEYS;
    let lots = u64::MAX / ENTRY_KEYS;
    let is_before = |turn: &u32| lot < lots / TURN_GROWTH.pow(ENTRY_TURNS - 1 - turn);
    (0..ENTRY_TURNS - 1).find(is_before).unwrap_or(ENTRY_TURNS - 1)
}
