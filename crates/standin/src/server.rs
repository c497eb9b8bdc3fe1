//! Limits of the stand-ins' servers, which are far above what tests need.

use vanetally_link::http::{Limits, Options};

/// Memory and descriptors of which the callers of a stand-in may use a share.
const MEMORY_BYTES: u64 = 4_000_000_000;
const DESCRIPTORS: u64 = 20_000;
const MAX_EXCHANGES: usize = 4_000;

/// Returns the limits of a server whose requests have bodies of at most `max_body_bytes`.
pub(crate) fn options(max_body_bytes: usize) -> Options {
    let limits = Limits::of(MEMORY_BYTES, DESCRIPTORS);
    Options { max_exchanges: MAX_EXCHANGES, max_body_bytes, limits, ..Options::default() }
}
