//! Which entry key a starting host reads, and when.

use crate::timeouts::{FIRST_START_SEARCH_MS, SEARCH_MS};
use vanetally_types::{Name, hash64};

/// Number of entry keys of a failure domain. The host of each one serves the others that read it: a hundred new links
/// take a host with an eighth of a core nearly a second.
pub const ENTRY_KEYS: u64 = 16;
/// Number of turns in which the hosts that start together read the keys.
const TURNS: u32 = 3;
/// Factor by which the number of hosts grows from turn to turn.
const TURN_GROWTH: u64 = 4;
/// Time between two turns, in which one host writes the key and the next ones read it.
const TURN_INTERVAL_MS: u64 = 80;
/// Time for reading a key and for the answer of the host that it names.
const ENTRY_CALLS_MS: u64 = 140;
/// Time from the end of the wait for the lease until the last turn has passed and its read was answered.
const TURNS_MS: u64 = (TURNS as u64 - 1) * TURN_INTERVAL_MS + ENTRY_CALLS_MS;

/// Returns the maximum wait of a starting host for its own lease: after it the last turn still comes before the search is
/// over.
pub(crate) fn max_lease_wait_ms(is_first_start: bool) -> u64 {
    let search_ms = if is_first_start { FIRST_START_SEARCH_MS } else { SEARCH_MS };
    search_ms - TURNS_MS
}

/// Returns the number of the entry key that `host` reads.
pub fn entry_key(host: &Name) -> u64 {
    hash64(host.as_bytes()) % ENTRY_KEYS
}

/// Returns how long `host` waits before it reads its key.
///
/// Few hosts find no key and write it; the others find it at their first attempt.
pub fn entry_delay_ms(host: &Name) -> u64 {
    u64::from(turn(host)) * TURN_INTERVAL_MS
}

/// Returns the turn of `host`, from 0; each has four times as many hosts as the one before.
fn turn(host: &Name) -> u32 {
    let lot = hash64(host.as_bytes()) / ENTRY_KEYS;
    let lots = u64::MAX / ENTRY_KEYS;
    let is_before = |turn: &u32| lot < lots / TURN_GROWTH.pow(TURNS - 1 - turn);
    (0..TURNS - 1).find(is_before).unwrap_or(TURNS - 1)
}
