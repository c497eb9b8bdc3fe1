//! What a host says that has just started and knows no configuration.

mod support;

use support::{START, options, refusal, request};
use vanetally_dispatch::{Dispatch, Event, RequestId};
use vanetally_ports::RefusalCause;

/// What a caller is told that comes `age_ms` after the start.
fn retry_ms(age_ms: u64, has_store: bool) -> Option<u64> {
    let mut dispatch = Dispatch::new(START, options());
    if has_store {
        dispatch.handle(START, Event::StoreAnswered);
    }
    let head = request("a", "offer", None);
    let arrived = Event::Arrived { id: RequestId(0), request: head, content_hash: 0 };
    let refused = refusal(&dispatch.handle(START + age_ms, arrived), RequestId(0)).unwrap();
    assert_eq!(refused.cause, RefusalCause::NotConfigured);
    refused.retry_after_ms
}

/// All hosts start at once, know a configuration half a second later, and callers want an answer within a
/// second of their first try: whoever is refused comes back when the host serves, not after a whole second.
#[test]
fn back_in_time() {
    for age_ms in (0..=400).step_by(50) {
        let back_ms = age_ms + retry_ms(age_ms, true).unwrap();
        assert!((550..=650).contains(&back_ms), "{age_ms} ms old: back at {back_ms} ms");
    }
}

/// The first call to the store takes a while.
#[test]
fn store_unknown() {
    assert_eq!(retry_ms(20, false), retry_ms(20, true));
}

/// Hosts start while the store is away: nothing is gained by coming back at once.
#[test]
fn store_away() {
    assert_eq!(retry_ms(200, false), Some(1_000));
    assert_eq!(retry_ms(5_000, false), Some(1_000));
    assert_eq!(retry_ms(5_000, true), Some(1_000));
}
